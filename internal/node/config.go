package node

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/chart"
	"nutmeghoist.example/nutmeghoist/pkg/distribution"
	"nutmeghoist.example/nutmeghoist/pkg/finding"
	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/platform"
	"nutmeghoist.example/nutmeghoist/pkg/rules"
	"nutmeghoist.example/nutmeghoist/pkg/snapshot"
	"nutmeghoist.example/nutmeghoist/pkg/source"
)

const (
	// rebuildInterval is the minimum time between two snapshots built for changes
	// of the target sets. It is far below the 3 s within which a leaving target
	// must be removed, and limits rebuilds to 20 a second.
	rebuildInterval = 50 * time.Millisecond
)

// candidate is a received configuration with the result of its check.
type candidate struct {
	head     source.Head
	text     []byte
	file     rules.File
	checkErr error // why the check rejected it
}

// accepted is a configuration that passed this node's check.
type accepted struct {
	head source.Head
	file rules.File
}

// adoptHead fetches the text of a head that is newer than the node's current one
// and announces both to the gossip, which forwards them to the neighbours and
// calls handleHead.
func (n *Node) adoptHead(ctx context.Context, head source.Head) error {
	if current, _, ok := n.gossip.Head(); ok && current.Revision >= head.Revision {
		return nil
	}
	text, err := n.source.Text(ctx, head.Hash)
	if err != nil {
		return fmt.Errorf("text of revision %d: %w", head.Revision, err)
	}
	return n.gossip.AnnounceHead(head, text)
}

func (n *Node) loadVetoes(ctx context.Context) error {
	vetoes, err := n.source.Vetoes(ctx)
	if err != nil {
		return fmt.Errorf("vetoes: %w", err)
	}
	for _, v := range vetoes {
		if err := n.gossip.AddVeto(v); err != nil {
			return err
		}
	}
	return nil
}

// handleHead is called by the gossip with each newer head and its text. Until
// the floor is established, it only stores the newest one.
func (n *Node) handleHead(head source.Head, text []byte) {
	n.configMu.Lock()
	defer n.configMu.Unlock()
	if n.newest != nil && head.Revision <= n.newest.head.Revision {
		return
	}
	n.newest = &candidate{head: head, text: text}
	if n.floorKnown.Load() {
		n.fire(n.newest, snapshot.EventHeadSeen)
	}
}

// startServing marks the floor as established and processes the newest head
// received so far.
func (n *Node) startServing() {
	n.configMu.Lock()
	defer n.configMu.Unlock()
	n.floorKnown.Store(true)
	if n.newest != nil {
		n.fire(n.newest, snapshot.EventHeadSeen)
	}
}

// fire applies an event to a candidate's state chart and runs the resulting
// actions. The caller holds configMu.
func (n *Node) fire(c *candidate, e chart.Event) {
	actions, err := n.revisions.Fire(c.head.Revision, e)
	if err != nil {
		n.log.Error().Uint64("revision", c.head.Revision).Err(err).Msg("unexpected event of a configuration")
		return
	}
	for _, a := range actions {
		switch a {
		case snapshot.ActionFetch:
			// The gossip delivers a head together with its text.
			n.fire(c, snapshot.EventTextFetched)
		case snapshot.ActionCheck:
			n.check(c)
		case snapshot.ActionActivate:
			n.accepted = &accepted{head: c.head, file: c.file}
			n.activate()
		case snapshot.ActionReject:
			n.reject(c.head, c.checkErr)
			if n.accepted == nil {
				select {
				case n.fallback <- c.head.Base:
				default: // full while fallbackLoop retries an earlier revision
				}
			}
		}
	}
}

// check parses a candidate and builds a snapshot of it, so that a bad
// configuration is rejected as a whole before it replaces the one in force.
func (n *Node) check(c *candidate) {
	var findings finding.List
	c.file, findings = rules.Parse(fmt.Sprintf("revision-%d", c.head.Revision), c.text)
	if c.checkErr = findings.Err(); c.checkErr == nil {
		_, c.checkErr = n.buildSnapshot(&accepted{head: c.head, file: c.file})
	}
	if c.checkErr != nil {
		n.fire(c, snapshot.EventCheckFailed)
		return
	}
	n.fire(c, snapshot.EventCheckPassed)
}

// maxLoggedError limits the findings of a bad configuration in a log line.
const maxLoggedError = 2048 // bytes

func (n *Node) reject(head source.Head, err error) {
	n.count("config.rejected")
	text := err.Error()
	if len(text) > maxLoggedError {
		text = text[:maxLoggedError] + " ... (see nutmeghoistctl check)"
	}
	n.log.Error().Uint64("revision", head.Revision).Str("hash", head.Hash).Str("error", text).Msg("configuration rejected")
}

// rebuildSnapshot replaces the active snapshot after a change of the target sets
// or the vetoes.
func (n *Node) rebuildSnapshot() {
	n.configMu.Lock()
	defer n.configMu.Unlock()
	n.activate()
}

func (n *Node) buildSnapshot(a *accepted) (*snapshot.Snapshot, error) {
	n.generation++
	return snapshot.Build(a.head, a.file, n.members.Hosts(), n.gossip.Vetoes(), n.generation, time.Now())
}

// activate builds a snapshot of the accepted configuration with the current
// target sets and vetoes and swaps it in, unless it is older than the one in
// force or below the floor. The caller holds configMu.
func (n *Node) activate() {
	if n.accepted == nil {
		return
	}
	s, err := n.buildSnapshot(n.accepted)
	if err != nil {
		n.count("config.inconsistent")
		n.log.Error().Uint64("revision", n.accepted.head.Revision).Err(err).Msg("configuration inconsistent")
		return
	}
	before := n.activeVersion()
	if err := n.active.Swap(s); err != nil {
		n.count("config.older_refused")
		n.log.Warn().Err(err).Msg("older configuration refused")
		return
	}
	n.moves.Apply(s)
	n.targets.SetServices(s.Services)
	n.metricsGauge("config.revision").Update(int64(s.Version.Revision))
	n.metricsGauge("config.epoch").Update(int64(s.Version.Epoch))
	if s.Version.Compare(before) != 0 {
		n.metricsGauge("config.convergence_ms").Update(time.Since(s.Head.AcceptedAt).Milliseconds())
		n.log.Info().Str("version", s.Version.String()).Str("hash", s.Head.Hash).Int("rules", len(s.Rules)).Msg("configuration in force")
	}
}

// activeVersion returns the version in force, or the zero version if there is
// none yet.
func (n *Node) activeVersion() mesh.ConfigVersion {
	if s := n.active.Load(); s != nil {
		return s.Version
	}
	return mesh.ConfigVersion{}
}

// pollLoop polls the head with a period proportional to the number of hosts in
// the data centre, so that the load on the platform does not grow with it.
func (n *Node) pollLoop(ctx context.Context) {
	for sleepOrWake(ctx, n.pollDelay(), n.pollNow) {
		ctx, cancel := context.WithTimeout(ctx, floorTimeout)
		head, err := n.source.Head(ctx)
		if err == nil {
			err = n.adoptHead(ctx, head)
		}
		if err == nil || errors.Is(err, platform.ErrNotFound) {
			n.repairPlatform(ctx, head)
		}
		cancel()
		switch {
		case err == nil:
			n.count("poll.ok")
			n.metricsGauge("platform.reachable").Update(1)
		case errors.Is(err, platform.ErrNotFound):
			n.count("poll.no_head")
		default:
			n.count("poll.failed")
			n.metricsGauge("platform.reachable").Update(0)
			n.log.Debug().Err(err).Msg("poll failed")
		}
	}
}

// repairPlatform writes again what a restored platform has lost of what was accepted:
// the vetoes, and a head that is newer than the one just read there (stored). Before the first
// restore, an older head is a stale read.
func (n *Node) repairPlatform(ctx context.Context, stored source.Head) {
	era := n.table.Era()
	if era <= platform.FirstEra {
		return
	}
	n.storedVetoesMu.Lock()
	if era > n.storedVetoesEra {
		n.log.Warn().Uint64("era", era).Msg("platform was restored from an older copy")
		n.storedVetoes, n.storedVetoesEra = map[source.VetoKey]bool{}, era
	}
	n.storedVetoesMu.Unlock()
	head, text, ok := n.gossip.Head()
	if !ok || head.Revision < stored.Revision || head.Token == stored.Token {
		return
	}
	written, err := n.source.WriteAgain(ctx, head, text)
	switch {
	case errors.Is(err, source.ErrOtherHistory):
		n.count("config.other_history")
		n.log.Error().Err(err).Msg("accepted revisions conflict; apply the rules again until their revision is the highest")
	case err != nil:
		n.log.Debug().Err(err).Uint64("revision", head.Revision).Msg("head not written again yet")
	case written:
		n.count("config.written_again")
		n.log.Warn().Uint64("revision", head.Revision).Msg("accepted revision written to the restored platform again")
	}
}

func (n *Node) pollDelay() time.Duration {
	live := 0
	for _, h := range slices.Concat(n.members.Hosts(), n.gossip.Presumed()) {
		if h.DataCentre == n.settings.DataCentre && h.Status <= membership.StatusSuspect {
			live++
		}
	}
	n.rngMu.Lock()
	defer n.rngMu.Unlock()
	return distribution.PollPeriod(live, n.rng)
}

// rebuildLoop rebuilds the snapshot after changes of hosts, targets and vetoes.
func (n *Node) rebuildLoop(ctx context.Context) {
	changed := n.members.NextChange()
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-n.vetoesChanged:
		}
		changed = n.members.NextChange()
		n.rebuildSnapshot()
		if !sleep(ctx, rebuildInterval) {
			return
		}
	}
}
