package node

import (
	"context"
	"errors"
	"fmt"
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
	// rebuildInterval bounds how often changes of the target sets build a new
	// snapshot: 20 a second is well below the 3 s bound for a leaving target.
	rebuildInterval = 50 * time.Millisecond
)

// candidate is a configuration on its way into force.
type candidate struct {
	head  source.Head
	text  []byte
	file  rules.File
	fault error // why it was refused
}

// accepted is a configuration that passed this node's checks.
type accepted struct {
	head source.Head
	file rules.File
}

// adopt fetches the text of a head that is newer than the node's own and hands
// both to the gossip, which pushes them on and calls takeHead.
func (n *Node) adopt(ctx context.Context, head source.Head) error {
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

// takeHead is called by the gossip with each newer head and its text. Before the
// floor is known the newest one waits.
func (n *Node) takeHead(head source.Head, text []byte) {
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

// startServing ends the wait for the floor.
func (n *Node) startServing() {
	n.configMu.Lock()
	defer n.configMu.Unlock()
	n.floorKnown.Store(true)
	if n.newest != nil {
		n.fire(n.newest, snapshot.EventHeadSeen)
	}
}

// fire gives an event of a candidate to the configuration's state chart and runs
// the actions that the chart asks for. The caller holds configMu.
func (n *Node) fire(c *candidate, e chart.Event) {
	actions, err := n.progress.Fire(c.head.Revision, e)
	if err != nil {
		n.log.Error().Uint64("revision", c.head.Revision).Err(err).Msg("unexpected event of a configuration")
		return
	}
	for _, a := range actions {
		switch a {
		case snapshot.ActionFetch:
			// The gossip hands over a head together with its text.
			n.fire(c, snapshot.EventTextFetched)
		case snapshot.ActionCheck:
			n.check(c)
		case snapshot.ActionActivate:
			n.accepted = &accepted{head: c.head, file: c.file}
			n.activate()
		case snapshot.ActionReject:
			n.reject(c.head, c.fault)
			if n.accepted == nil {
				select {
				case n.fallBack <- c.head.Base:
				default: // fallBackLoop still looks for an earlier one
				}
			}
		}
	}
}

// check parses a candidate and builds a snapshot of it, so that a bad
// configuration is refused whole before it replaces anything.
func (n *Node) check(c *candidate) {
	var findings finding.List
	c.file, findings = rules.Parse(fmt.Sprintf("revision-%d", c.head.Revision), c.text)
	if c.fault = findings.Err(); c.fault == nil {
		_, c.fault = n.build(&accepted{head: c.head, file: c.file})
	}
	if c.fault != nil {
		n.fire(c, snapshot.EventCheckFailed)
		return
	}
	n.fire(c, snapshot.EventCheckPassed)
}

// maxLoggedError bounds the text of a bad configuration's findings in a log line.
const maxLoggedError = 2048 // bytes

func (n *Node) reject(head source.Head, err error) {
	n.count("config.rejected")
	text := err.Error()
	if len(text) > maxLoggedError {
		text = text[:maxLoggedError] + " ... (see nutmeghoistctl check)"
	}
	n.log.Error().Uint64("revision", head.Revision).Str("hash", head.Hash).Str("error", text).Msg("configuration rejected")
}

// rebuild follows a change of the target sets or the vetoes.
func (n *Node) rebuild() {
	n.configMu.Lock()
	defer n.configMu.Unlock()
	n.activate()
}

func (n *Node) build(a *accepted) (*snapshot.Snapshot, error) {
	n.generation++
	return snapshot.Build(a.head, a.file, n.members.Hosts(), n.gossip.Vetoes(), n.generation, time.Now())
}

// activate compiles the accepted configuration with the target sets and vetoes
// known now and swaps it in, unless it is older than the one in force or below
// the floor. The caller holds configMu.
func (n *Node) activate() {
	if n.accepted == nil {
		return
	}
	s, err := n.build(n.accepted)
	if err != nil {
		n.count("config.inconsistent")
		n.log.Error().Uint64("revision", n.accepted.head.Revision).Err(err).Msg("configuration inconsistent")
		return
	}
	before := n.inForce()
	if err := n.holder.Swap(s); err != nil {
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

// inForce returns the version in force; the zero version before the first.
func (n *Node) inForce() mesh.ConfigVersion {
	if s := n.holder.Load(); s != nil {
		return s.Version
	}
	return mesh.ConfigVersion{}
}

// pollLoop reads the head with a period in proportion to the size of the data
// centre, so that the platform's load does not grow with the fleet.
func (n *Node) pollLoop(ctx context.Context) {
	for sleepOr(ctx, n.pollPause(), n.pollNow) {
		ctx, cancel := context.WithTimeout(ctx, floorTimeout)
		head, err := n.source.Head(ctx)
		if err == nil {
			err = n.adopt(ctx, head)
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

func (n *Node) pollPause() time.Duration {
	live := 0
	for _, h := range n.members.Hosts() {
		if h.DataCentre == n.settings.DataCentre && h.Status <= membership.StatusSuspect {
			live++
		}
	}
	n.rngMu.Lock()
	defer n.rngMu.Unlock()
	return distribution.PollPeriod(live, n.rng)
}

// rebuildLoop follows changes of hosts, targets and vetoes.
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
		n.rebuild()
		if !sleep(ctx, rebuildInterval) {
			return
		}
	}
}
