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
	// reportCandidates is how many hosts try for the lease. Fewer hosts than the
	// whole mesh keep the reads of the lease row constant as the mesh grows;
	// three survive the loss of two.
	reportCandidates = 3
)

// reportLoop writes reports while this host is a candidate and holds the lease.
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

// isReportCandidate reports whether this host is one of the first live hosts in
// the hash order. Two sides of a partition may choose different candidates; the
// lease decides between them.
func (n *Node) isReportCandidate() bool {
	hosts := slices.DeleteFunc(n.members.Hosts(), func(h membership.Host) bool { return h.Status > membership.StatusSuspect })
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
// candidate any more or the context ends.
func (n *Node) writeReportsWhileHeld(ctx context.Context, holder *lease.Holder) {
	n.log.Info().Msg("report lease acquired")
	// Info takes the time of the line, so it must not be called before the end.
	defer func() { n.log.Info().Msg("report lease given up") }()
	written, err := n.source.Reports(ctx)
	if err != nil {
		n.log.Warn().Err(err).Msg("reports not read")
		return
	}
	for n.isReportCandidate() {
		// Hosts that died before they could store their vetoes left it to the others.
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

// reportInput gathers what the report decision needs; ok is false when no
// decision is due.
func (n *Node) reportInput(ctx context.Context, written []source.Report) (in move.ReportInput, ok bool) {
	snap := n.holder.Load()
	if snap == nil || !slices.ContainsFunc(snap.Rules, func(r rules.Rule) bool { return r.IsMove() }) {
		return in, false
	}
	in = move.ReportInput{Now: time.Now(), Version: snap.Version, Written: written}
	view := meshState{}
	if confirmationsDue(snap, in.Now, written) {
		view = n.gatherMesh(ctx)
	}
	in.Hosts, in.Unreachable = view.members, view.unreachable
	for i := range snap.Rules {
		if snap.Rules[i].IsMove() {
			in.Moves = append(in.Moves, reportMove(snap, &snap.Rules[i], view.states))
		}
	}
	return in, true
}

// confirmationsDue reports whether a move has reached its end without the report
// of it. Asking all hosts in each round of every move would cost the hosts that
// gather a data centre far more than the 3 KB/s that control may take.
func confirmationsDue(s *snapshot.Snapshot, now time.Time, written []source.Report) bool {
	return slices.ContainsFunc(s.Rules, func(r rules.Rule) bool {
		if !r.IsMove() {
			return false
		}
		m := reportMove(s, &r, nil)
		end := source.ReportDone
		if m.Veto != nil {
			end = source.ReportTakenBack
		} else if now.Before(move.Schedule{Accepted: m.Accepted, By: r.By}.End()) {
			return false
		}
		return !slices.ContainsFunc(written, func(w source.Report) bool { return w.Move == r.MoveID() && w.Kind == end })
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

// tickInterval is how often the moves advance and are judged.
const tickInterval = 200 * time.Millisecond

// moveLoop advances the moves and sends this host's counters to the evaluators.
func (n *Node) moveLoop(ctx context.Context) {
	for sleep(ctx, tickInterval) {
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
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	// Counters are cumulative, so the next message repairs a lost one.
	if err := n.control(ctx, &h, "POST", pathEvidence, evidenceMessage{Host: n.settings.Host, Evidence: evidence}, nil); err != nil {
		n.count("evidence.send_failed")
		n.log.Debug().Err(err).Msg("evidence not delivered")
	}
}

// decideVeto is called by the move controller when the evidence condemns a version.
func (n *Node) decideVeto(v source.Veto) {
	n.count("moves.vetoed")
	n.log.Warn().Str("service", string(v.Service)).Str("version", string(v.Version)).Int("attempt", v.Attempt).Str("evidence", v.Evidence).Msg("version taken back")
	if err := n.gossip.AddVeto(v); err != nil {
		n.log.Error().Err(err).Msg("veto not spread")
	}
}

// takeVeto is called by the gossip for each veto that this host did not know.
func (n *Node) takeVeto(v source.Veto) {
	n.moves.ApplyVeto(v)
	notify(n.vetoesChanged)
}

// storeVeto writes a veto's row once; a failure is repeated by the caller.
func (n *Node) storeVeto(ctx context.Context, v source.Veto) bool {
	n.storedMu.Lock()
	done := n.stored[v.Key()]
	n.storedMu.Unlock()
	if done {
		return true
	}
	if err := n.source.PutVeto(ctx, v); err != nil {
		n.count("vetoes.store_failed")
		n.log.Debug().Err(err).Msg("veto not stored yet")
		return false
	}
	n.storedMu.Lock()
	n.stored[v.Key()] = true
	n.storedMu.Unlock()
	return true
}
