package node

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"nutmeghoist.example/nutmeghoist/pkg/lease"
	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/move"
	"nutmeghoist.example/nutmeghoist/pkg/rules"
	"nutmeghoist.example/nutmeghoist/pkg/snapshot"
	"nutmeghoist.example/nutmeghoist/pkg/source"
)

const (
	reportLeaseKey = "lease/reporter"
	reportLeaseTTL = 10 * time.Second
	reportInterval = 2 * time.Second
	// reportCandidates is how many hosts compete for the lease. A fixed number
	// keeps the reads of the lease row constant as the mesh grows; three tolerate
	// the loss of two.
	reportCandidates = 3
)

// reportLoop competes for the lease while this host is a candidate, and writes
// reports while it holds the lease.
func (n *Node) reportLoop(ctx context.Context) {
	for sleep(ctx, reportInterval/2+n.jitter(reportInterval)) {
		if !n.isReportCandidate() {
			continue
		}
		holder := lease.NewHolder(n.table, reportLeaseKey, string(n.settings.Host), reportLeaseTTL)
		err := holder.Run(ctx, func(ctx context.Context) { n.writeReportsWhileHeld(ctx, holder) })
		if err != nil && ctx.Err() == nil {
			n.count("reports.lease_failed")
			n.log.Debug().Err(err).Msg("report lease not held")
		}
	}
}

// isReportCandidate reports whether this host is among the first alive or
// suspect hosts when ordered by the hash of their IDs. The two sides of a
// partition may choose different candidates; the lease still admits only one
// writer. A host that still looks for others is none.
func (n *Node) isReportCandidate() bool {
	if !n.knowsHosts() {
		return false
	}
	hosts := slices.DeleteFunc(slices.Clone(n.members.Hosts()), func(h membership.Host) bool { return h.Status > membership.StatusSuspect })
	slices.SortFunc(hosts, func(a, b membership.Host) int {
		if xxhash.Sum64String(string(a.ID)) < xxhash.Sum64String(string(b.ID)) {
			return -1
		}
		return 1
	})
	i := slices.IndexFunc(hosts, func(h membership.Host) bool { return h.ID == n.settings.Host })
	return i >= 0 && i < reportCandidates
}

// writeReportsWhileHeld writes reports until the lease is lost, this host is no
// longer a candidate or the context ends.
func (n *Node) writeReportsWhileHeld(ctx context.Context, holder *lease.Holder) {
	n.log.Info().Msg("report lease acquired")
	// Info sets the timestamp of the entry, so it must run in the deferred call.
	defer func() { n.log.Info().Msg("report lease given up") }()
	written, err := n.source.Reports(ctx)
	if err != nil {
		n.log.Warn().Err(err).Msg("reports not read")
		return
	}
	for n.isReportCandidate() {
		// Stores the vetoes of hosts that failed before they could do so.
		for _, v := range n.gossip.Vetoes() {
			n.storeVeto(ctx, v)
		}
		if written, err = n.writeReports(ctx, holder, written); err != nil {
			n.count("reports.write_failed")
			n.log.Debug().Err(err).Msg("report not written yet")
		}
		if !sleep(ctx, reportInterval) {
			return
		}
	}
}

func (n *Node) writeReports(ctx context.Context, holder *lease.Holder, written []source.Report) ([]source.Report, error) {
	in, ok := n.reportInput(ctx, written)
	if !ok {
		return written, nil
	}
	for _, r := range move.DecideReports(in) {
		err := holder.WithGrant(ctx, func(g lease.Grant) error { return n.source.PutReport(ctx, g, r) })
		if err != nil && !errors.Is(err, source.ErrAlreadyReported) {
			return written, err
		}
		written = append(written, r)
		n.count("reports." + string(r.Kind))
		n.log.Info().Str("kind", string(r.Kind)).Str("move", string(r.Move)).Str("text", r.Text).Msg("report written")
	}
	return written, nil
}

// reportInput collects the input of the report decision. ok is false when no
// configuration is in force or it has no move.
func (n *Node) reportInput(ctx context.Context, written []source.Report) (in move.ReportInput, ok bool) {
	snap := n.active.Load()
	if snap == nil || !slices.ContainsFunc(snap.Rules, func(r rules.Rule) bool { return r.IsMove() }) {
		return in, false
	}
	in = move.ReportInput{Now: time.Now(), Version: snap.Version, Written: written}
	state := meshState{}
	if confirmationsDue(snap, in.Now, written) {
		state = n.gatherMesh(ctx)
	}
	in.Hosts, in.Unreachable = state.members, state.unreachable
	for i := range snap.Rules {
		if snap.Rules[i].IsMove() {
			in.Moves = append(in.Moves, reportMove(snap, &snap.Rules[i], state.states))
		}
	}
	return in, true
}

// confirmationsDue reports whether a move has ended and its final report is
// missing. Requesting the states of all hosts in every round of every move would
// cost the hosts that gather a data centre far more than the 3 KB/s budgeted for
// control traffic.
func confirmationsDue(s *snapshot.Snapshot, now time.Time, written []source.Report) bool {
	return slices.ContainsFunc(s.Rules, func(r rules.Rule) bool {
		if !r.IsMove() {
			return false
		}
		m := reportMove(s, &r, nil)
		finalKind := source.ReportDone
		if m.Veto != nil {
			finalKind = source.ReportTakenBack
		} else if now.Before(move.Schedule{Accepted: m.Accepted, By: r.By}.End()) {
			return false
		}
		return !slices.ContainsFunc(written, func(w source.Report) bool { return w.Move == r.MoveID() && w.Kind == finalKind })
	})
}

func reportMove(s *snapshot.Snapshot, r *rules.Rule, states map[mesh.HostID]hostState) move.ReportMove {
	id := r.MoveID()
	m := move.ReportMove{Rule: *r, Accepted: s.Head.AcceptedAt, Confirmations: map[mesh.HostID]move.Confirmation{}}
	if at, ok := s.MoveAcceptedAt[id]; ok {
		m.Accepted = at
	}
	if v, ok := s.Vetoed[id]; ok {
		m.Veto = &v
	}
	for host, st := range states {
		c := move.Confirmation{Version: st.Version}
		for _, ms := range st.Moves {
			if ms.Move == id {
				c.FullShare, c.ZeroShare = ms.Share == move.FullShare, ms.Share == 0
			}
		}
		m.Confirmations[host] = c
	}
	return m
}

// moveTickInterval is how often the moves are advanced and evaluated.
const moveTickInterval = 200 * time.Millisecond

// moveLoop advances the moves and sends this host's counters to the evaluators.
func (n *Node) moveLoop(ctx context.Context) {
	for sleep(ctx, moveTickInterval) {
		n.moves.Tick(time.Now())
		if !n.moves.EvidenceDue() {
			continue
		}
		for to, evidence := range n.moves.OutgoingEvidence() {
			n.deliverEvidence(ctx, to, evidence)
		}
	}
}

func (n *Node) deliverEvidence(ctx context.Context, to mesh.HostID, evidence []move.Evidence) {
	if to == n.settings.Host {
		n.moves.MergeEvidence(to, evidence)
		return
	}
	h, ok := n.members.Get(to)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	// The counters are cumulative, so the next message makes up for a lost one.
	if err := n.sendControl(ctx, &h, "POST", pathEvidence, evidenceMessage{Host: n.settings.Host, Evidence: evidence}, nil); err != nil {
		n.count("evidence.send_failed")
		n.log.Debug().Err(err).Msg("evidence not delivered")
	}
}

// publishVeto is called by the move controller when it rolls back a version.
func (n *Node) publishVeto(v source.Veto) {
	n.count("moves.vetoed")
	n.log.Warn().Str("service", string(v.Service)).Str("version", string(v.Version)).Int("attempt", v.Attempt).Str("evidence", v.Evidence).Msg("version taken back")
	if err := n.gossip.AddVeto(v); err != nil {
		n.log.Error().Err(err).Msg("veto not spread")
	}
}

// handleVeto is called by the gossip for each veto that is new to this host.
func (n *Node) handleVeto(v source.Veto) {
	n.moves.ApplyVeto(v)
	notify(n.vetoesChanged)
}

// storeVeto writes a veto's row once and reports whether the row exists. The
// caller retries a failed write.
func (n *Node) storeVeto(ctx context.Context, v source.Veto) bool {
	n.storedVetoesMu.Lock()
	done := n.storedVetoes[v.Key()]
	n.storedVetoesMu.Unlock()
	if done {
		return true
	}
	if err := n.source.PutVeto(ctx, v); err != nil {
		n.count("vetoes.store_failed")
		n.log.Debug().Err(err).Msg("veto not stored yet")
		return false
	}
	n.storedVetoesMu.Lock()
	n.storedVetoes[v.Key()] = true
	n.storedVetoesMu.Unlock()
	return true
}
