package moves

import (
	"slices"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/move"
	"nutmeghoist.example/nutmeghoist/pkg/rules"
	"nutmeghoist.example/nutmeghoist/pkg/source"
)

type ruleRef struct {
	rule  *rules.Rule
	route string
}

// call runs one call that enters the mesh at a random node of a data centre.
func (r *run) call(dc int, load float64) {
	entries := len(r.byDC[dc])
	if r.entry > 0 {
		entries = r.entry
	}
	n := r.byDC[dc][r.rng.IntN(entries)]
	p := place{at: r.at(), dc: dc, load: load, sinceS: r.now.Seconds()}
	if r.rng.IntN(3) == 0 {
		r.otherCall(n, p)
		return
	}
	p.route = r.rng.IntN(2)
	p.host = r.rng.IntN(r.size.movedHosts)
	ref := r.routes[p.route]
	version := n.c.Choose(ref.rule, r.rng.Uint64())
	e := noise
	if r.kind.common != nil {
		e = e.and(r.kind.common(p, r.roll))
	}
	fresh := version == newVersion
	if fresh && r.kind.onlyNew != nil {
		e = e.and(r.kind.onlyNew(p))
	}
	r.countExposure(p, fresh)
	r.end(n, e, move.Outcome{
		Service: r.size.moved, Version: version, Route: ref.route,
		Host: movedNames[dc][p.host], DataCentre: dcNames[dc],
		Cold: fresh && r.now < r.kind.warmUp,
	})
}

func (r *run) otherCall(n *node, p place) {
	p.host = r.rng.IntN(r.size.otherHosts)
	e := noise
	if r.kind.common != nil && r.kind.otherToo {
		e = e.and(r.kind.common(p, r.roll))
	}
	r.end(n, e, move.Outcome{
		Service: r.size.other, Version: otherVersion, Route: "GET /other",
		Host: otherNames[p.dc][p.host], DataCentre: dcNames[p.dc],
	})
}

// countExposure counts the calls of the window and those that reached a faulty version.
func (r *run) countExposure(p place, fresh bool) {
	if r.kind.route >= 0 && p.route != r.kind.route {
		return
	}
	if p.at < 1 {
		r.result.calls++
	}
	if r.kind.bad && fresh && p.at >= r.kind.faultAt {
		r.result.badCalls++
	}
}

// end draws the outcome of a call and shows it to the node.
func (r *run) end(n *node, e effect, o move.Outcome) {
	o.Latency = r.latency(e)
	switch x := r.rng.Float64(); {
	case x < e.shed:
		o.Kind = move.OutcomeShed
	case x < e.shed+e.fail:
		o.Kind = move.OutcomeFailed
	case x < e.shed+e.fail+e.early:
		o.Kind = move.OutcomeEarlyEnd
	case x < e.shed+e.fail+e.early+e.silent:
		o.Kind, o.Latency = move.OutcomeNoAnswer, callTimeout
		r.silent = append(r.silent, pendingCall{r.now + callTimeout, n, o})
		return
	default:
		o.Kind = move.OutcomeOK
	}
	r.observe(n, o)
}

// check watches the shares and writes the reports.
func (r *run) check() {
	if r.result.decided >= 0 && r.result.zero < 0 && !slices.ContainsFunc(r.nodes, func(n *node) bool { return !n.vetoed }) {
		r.result.zero = r.now
	}
	if r.now-r.reported < reportPeriod {
		return
	}
	r.reported = r.now
	r.report()
}

// report decides the reports of the first route and compares them with the shares.
func (r *run) report() {
	in := move.ReportInput{Now: r.wall(), Version: mesh.ConfigVersion{Revision: 1}, Written: r.reports}
	m := move.ReportMove{Rule: *r.routes[0].rule, Accepted: epoch, Confirmations: map[mesh.HostID]move.Confirmation{}}
	id := m.Rule.MoveID()
	for dc := range r.size.dataCentres {
		if r.kind.unreach != nil && r.kind.unreach(r.at(), dc) {
			in.Unreachable = append(in.Unreachable, dcNames[dc])
		}
	}
	full, zero := true, true
	for _, n := range r.nodes {
		in.Hosts = append(in.Hosts, move.Member{ID: n.id, DataCentre: dcNames[n.dc]})
		for _, s := range n.c.Moves() {
			if s.Move != id {
				continue
			}
			full, zero = full && s.Share == move.FullShare, zero && s.Share == 0
			if n.vetoed && s.Share > 0 {
				r.result.rose++
			}
			if s.Veto != nil {
				m.Veto = s.Veto
			}
			m.Confirmations[n.id] = move.Confirmation{
				Version: n.c.Version(), FullShare: s.Share == move.FullShare, ZeroShare: s.Share == 0,
			}
		}
	}
	in.Moves = []move.ReportMove{m}
	for _, rep := range move.DecideReports(in) {
		r.reports = append(r.reports, rep)
		r.record(rep, full, zero)
	}
}

func (r *run) record(rep source.Report, full, zero bool) {
	switch rep.Kind {
	case source.ReportDone:
		r.result.done = r.now
		if !full {
			r.result.untrue++
		}
	case source.ReportTakenBack:
		r.result.takenBack = r.now
		if !zero {
			r.result.untrue++
		}
	}
}

// Limits of the plain threshold, the first baseline.
const (
	plainWindow = 10 * time.Second
	plainCalls  = 10
	plainRate   = 0.05
)

// plainThreshold takes a version back when more than 5% of its calls in the
// last 10 s ended badly, whatever the old version does.
type plainThreshold struct {
	seen []plainCall
}

type plainCall struct {
	at  time.Duration
	bad bool
}

func (t *plainThreshold) observe(now time.Duration, o *move.Outcome) {
	if o.Version == newVersion {
		t.seen = append(t.seen, plainCall{now, o.Kind != move.OutcomeOK})
	}
}

func (t *plainThreshold) exceeded(now time.Duration) bool {
	for len(t.seen) > 0 && t.seen[0].at < now-plainWindow {
		t.seen = t.seen[1:]
	}
	bad := 0
	for _, c := range t.seen {
		if c.bad {
			bad++
		}
	}
	return len(t.seen) >= plainCalls && float64(bad) > plainRate*float64(len(t.seen))
}
