package move

import (
	"fmt"
	"slices"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/rules"
	"nutmeghoist.example/nutmeghoist/pkg/source"
)

// Confirmation is a host's answer about a move to the report writer.
type Confirmation struct {
	Version   mesh.ConfigVersion // configuration in force on the host
	FullShare bool               // the host sends all calls of the route to the new version
	ZeroShare bool               // the host sends no new calls to the new version
}

// Member is a host in the membership. A host that was removed from the mesh is
// not a member and does not delay a report.
type Member struct {
	ID         mesh.HostID
	DataCentre mesh.DataCentre
}

// ReportMove is one move of the active revision.
type ReportMove struct {
	Rule          rules.Rule
	Accepted      time.Time
	Veto          *source.Veto // nil unless the version was rolled back
	Confirmations map[mesh.HostID]Confirmation
}

// ReportInput is the input of DecideReports.
type ReportInput struct {
	Now         time.Time
	Version     mesh.ConfigVersion // the version that hosts must confirm
	Moves       []ReportMove
	Hosts       []Member
	Unreachable []mesh.DataCentre
	Written     []source.Report // reports that already exist
}

// DecideReports returns the reports to write. It is a pure function of its
// input, so two writers with the same input decide alike. The keys of the rows
// and the epoch of the lease prevent a report from being written twice, also by
// a writer that was paused and has outdated input.
func DecideReports(in ReportInput) []source.Report {
	var out []source.Report
	for i := range in.Moves {
		out = append(out, decideMove(&in, &in.Moves[i])...)
	}
	return out
}

// confirmationCount counts the hosts that have confirmed the end of a move and
// lists the others.
type confirmationCount struct {
	confirmed   int
	missing     []mesh.HostID
	unreachable []mesh.DataCentre
}

func (c *confirmationCount) complete() bool {
	return c.confirmed > 0 && len(c.missing) == 0 && len(c.unreachable) == 0
}

func decideMove(in *ReportInput, m *ReportMove) []source.Report {
	counts := countConfirmations(in, m)
	b := reportBuilder{in: in, move: m, counts: counts}
	if m.Veto != nil {
		if counts.complete() {
			b.add(source.ReportTakenBack, fmt.Sprintf("%s is taken back on all %d hosts: %s.", m.Rule.Destination(), counts.confirmed, m.Veto.Evidence))
			return b.reports
		}
		b.addWaiting()
		return b.reports
	}
	schedule := Schedule{Accepted: m.Accepted, By: m.Rule.By}
	ended := !in.Now.Before(schedule.End())
	if ended && counts.complete() {
		b.add(source.ReportDone, fmt.Sprintf("All calls of %q go to %s on all %d hosts.", m.Rule.Route(), m.Rule.Destination(), counts.confirmed))
		return b.reports
	}
	if b.exists(source.ReportDone) {
		return nil // a host that joined or restarted after the end does not reopen the move
	}
	b.add(source.ReportMoving, fmt.Sprintf("%q moves from %s to %s by %s.", m.Rule.Route(), m.Rule.From, m.Rule.Destination(), m.Rule.By.Format(time.RFC3339)))
	if ended {
		b.addWaiting()
	}
	if !in.Now.Before(m.Rule.By) {
		b.add(source.ReportLate, fmt.Sprintf("%q was due at %s; %d of %d hosts send all calls to %s.",
			m.Rule.Route(), m.Rule.By.Format(time.RFC3339), counts.confirmed, len(in.Hosts), m.Rule.Destination()))
	}
	return b.reports
}

// countConfirmations checks for each member whether it has reached the end of
// the move: the full share, or the zero share after a veto.
func countConfirmations(in *ReportInput, m *ReportMove) confirmationCount {
	var counts confirmationCount
	for _, h := range in.Hosts {
		if slices.Contains(in.Unreachable, h.DataCentre) {
			counts.missing = append(counts.missing, h.ID)
			continue
		}
		confirmation, ok := m.Confirmations[h.ID]
		reached := confirmation.FullShare
		if m.Veto != nil {
			reached = confirmation.ZeroShare
		}
		if ok && reached && confirmation.Version.Compare(in.Version) >= 0 {
			counts.confirmed++
		} else {
			counts.missing = append(counts.missing, h.ID)
		}
	}
	slices.Sort(counts.missing)
	counts.unreachable = slices.Clone(in.Unreachable)
	slices.Sort(counts.unreachable)
	counts.unreachable = slices.Compact(counts.unreachable)
	return counts
}

// reportBuilder collects the reports of one move.
type reportBuilder struct {
	in      *ReportInput
	move    *ReportMove
	counts  confirmationCount
	reports []source.Report
}

func (b *reportBuilder) exists(k source.ReportKind) bool {
	id := b.move.Rule.MoveID()
	return slices.ContainsFunc(b.in.Written, func(r source.Report) bool { return r.Move == id && r.Kind == k })
}

// add appends a report unless one of its kind exists.
func (b *reportBuilder) add(k source.ReportKind, text string) {
	if b.exists(k) {
		return
	}
	b.reports = append(b.reports, b.newReport(k, text))
}

// addWaiting appends a report for each unreachable data centre that has none.
func (b *reportBuilder) addWaiting() {
	id := b.move.Rule.MoveID()
	for _, dc := range b.counts.unreachable {
		exists := slices.ContainsFunc(b.in.Written, func(r source.Report) bool {
			return r.Move == id && r.Kind == source.ReportWaiting && slices.Contains(r.WaitingFor, dc)
		})
		if exists {
			continue
		}
		r := b.newReport(source.ReportWaiting, fmt.Sprintf("%q to %s waits for data centre %s, which is out of reach; %d of %d hosts have confirmed.",
			b.move.Rule.Route(), b.move.Rule.Destination(), dc, b.counts.confirmed, len(b.in.Hosts)))
		r.WaitingFor = []mesh.DataCentre{dc}
		b.reports = append(b.reports, r)
	}
}

func (b *reportBuilder) newReport(k source.ReportKind, text string) source.Report {
	r := &b.move.Rule
	return source.Report{
		Move: r.MoveID(), Kind: k, Service: r.Service, Version: r.Version, From: r.From, Route: r.Route(),
		Revision: b.in.Version.Revision, At: b.in.Now, Text: text,
		Confirmed: b.counts.confirmed, Unconfirmed: b.counts.missing,
	}
}
