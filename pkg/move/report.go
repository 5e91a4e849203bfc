package move

import (
	"fmt"
	"slices"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/rules"
	"nutmeghoist.example/nutmeghoist/pkg/source"
)

// Confirmation is what a host said about a move when the report writer asked it.
type Confirmation struct {
	Version   mesh.ConfigVersion // in force on the host
	FullShare bool               // the host sends all calls of the route to the new version
	ZeroShare bool               // the host sends no new calls to the new version
}

// Member is a host in membership. A host that is gone for good is in no
// membership and holds no report.
type Member struct {
	ID         mesh.HostID
	DataCentre mesh.DataCentre
}

// ReportMove is one move of the active revision.
type ReportMove struct {
	Rule          rules.Rule
	Accepted      time.Time
	Veto          *source.Veto // nil unless the version was taken back
	Confirmations map[mesh.HostID]Confirmation
}

// ReportInput is all that a report decision depends on.
type ReportInput struct {
	Now         time.Time
	Version     mesh.ConfigVersion // the version that hosts have to confirm
	Moves       []ReportMove
	Hosts       []Member
	Unreachable []mesh.DataCentre
	Written     []source.Report // rows that exist already
}

// DecideReports returns the reports to write. It is pure, so two writers decide alike
// and a writer that was paused decides from what it then knows; the rows' keys
// and the lease's epoch keep a report from being written twice.
func DecideReports(in ReportInput) []source.Report {
	var out []source.Report
	for i := range in.Moves {
		out = append(out, decideMove(&in, &in.Moves[i])...)
	}
	return out
}

// confirmed is who has confirmed the end of a move.
type confirmed struct {
	confirmed int
	missing   []mesh.HostID
	waiting   []mesh.DataCentre // unreachable data centres
}

func (t *confirmed) complete() bool {
	return t.confirmed > 0 && len(t.missing) == 0 && len(t.waiting) == 0
}

func decideMove(in *ReportInput, m *ReportMove) []source.Report {
	t := count(in, m)
	w := writer{in: in, move: m, tally: t}
	if m.Veto != nil {
		if t.complete() {
			w.write(source.ReportTakenBack, fmt.Sprintf("%s is taken back on all %d hosts: %s.", m.Rule.Target(), t.confirmed, m.Veto.Evidence))
			return w.out
		}
		w.waiting()
		return w.out
	}
	schedule := Schedule{Accepted: m.Accepted, By: m.Rule.By}
	ended := !in.Now.Before(schedule.End())
	if ended && t.complete() {
		w.write(source.ReportDone, fmt.Sprintf("All calls of %q go to %s on all %d hosts.", m.Rule.Route(), m.Rule.Target(), t.confirmed))
		return w.out
	}
	if w.written(source.ReportDone) {
		return nil // a host that joined or restarted after the end does not reopen the move
	}
	w.write(source.ReportMoving, fmt.Sprintf("%q moves from %s to %s by %s.", m.Rule.Route(), m.Rule.From, m.Rule.Target(), m.Rule.By.Format(time.RFC3339)))
	if ended {
		w.waiting()
	}
	if !in.Now.Before(m.Rule.By) {
		w.write(source.ReportLate, fmt.Sprintf("%q was due at %s; %d of %d hosts send all calls to %s.",
			m.Rule.Route(), m.Rule.By.Format(time.RFC3339), t.confirmed, len(in.Hosts), m.Rule.Target()))
	}
	return w.out
}

// count compares each host in membership with the end that the move must reach.
func count(in *ReportInput, m *ReportMove) confirmed {
	var t confirmed
	for _, h := range in.Hosts {
		if slices.Contains(in.Unreachable, h.DataCentre) {
			t.missing = append(t.missing, h.ID)
			continue
		}
		c, ok := m.Confirmations[h.ID]
		reached := c.FullShare
		if m.Veto != nil {
			reached = c.ZeroShare
		}
		if ok && reached && c.Version.Compare(in.Version) >= 0 {
			t.confirmed++
		} else {
			t.missing = append(t.missing, h.ID)
		}
	}
	slices.Sort(t.missing)
	t.waiting = slices.Clone(in.Unreachable)
	slices.Sort(t.waiting)
	t.waiting = slices.Compact(t.waiting)
	return t
}

type writer struct {
	in    *ReportInput
	move  *ReportMove
	tally confirmed
	out   []source.Report
}

func (w *writer) written(k source.ReportKind) bool {
	id := w.move.Rule.MoveID()
	return slices.ContainsFunc(w.in.Written, func(r source.Report) bool { return r.Move == id && r.Kind == k })
}

func (w *writer) write(k source.ReportKind, text string) {
	if w.written(k) {
		return
	}
	w.out = append(w.out, w.report(k, text))
}

// waiting writes one report for each unreachable data centre without one.
func (w *writer) waiting() {
	id := w.move.Rule.MoveID()
	for _, dc := range w.tally.waiting {
		known := slices.ContainsFunc(w.in.Written, func(r source.Report) bool {
			return r.Move == id && r.Kind == source.ReportWaiting && slices.Contains(r.WaitingFor, dc)
		})
		if known {
			continue
		}
		r := w.report(source.ReportWaiting, fmt.Sprintf("%q to %s waits for data centre %s, which is out of reach; %d of %d hosts have confirmed.",
			w.move.Rule.Route(), w.move.Rule.Target(), dc, w.tally.confirmed, len(w.in.Hosts)))
		r.WaitingFor = []mesh.DataCentre{dc}
		w.out = append(w.out, r)
	}
}

func (w *writer) report(k source.ReportKind, text string) source.Report {
	r := &w.move.Rule
	return source.Report{
		Move: r.MoveID(), Kind: k, Service: r.Service, Version: r.Version, From: r.From, Route: r.Route(),
		Revision: w.in.Version.Revision, At: w.in.Now, Text: text,
		Confirmed: w.tally.confirmed, Unconfirmed: w.tally.missing,
	}
}
