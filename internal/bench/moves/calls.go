package moves

import (
	"slices"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/move"
	"nutmeghoist.example/nutmeghoist/pkg/rules"
	"nutmeghoist.example/nutmeghoist/pkg/source"
)

type moveRoute struct {
	rule  *rules.Rule
	route string
}

// simulateCall simulates one call that enters the mesh at a random node of a data
// centre.
func (r *run) simulateCall(dc int, load float64) {
	entryCount := len(r.byDC[dc])
	if r.entryNodes > 0 {
		entryCount = r.entryNodes
	}
	n := r.byDC[dc][r.rng.IntN(entryCount)]
	call := callContext{progress: r.progress(), dc: dc, load: load, uptimeSeconds: r.now.Seconds()}
	if r.rng.IntN(3) == 0 {
		r.simulateOtherCall(n, call)
		return
	}
	call.route = r.rng.IntN(2)
	call.host = r.rng.IntN(r.size.movedHosts)
	ref := r.routes[call.route]
	version := n.controller.Choose(ref.rule, r.rng.Uint64())
	eff := backgroundNoise
	if r.scenario.effectOnBoth != nil {
		eff = eff.combine(r.scenario.effectOnBoth(call, r.faultSite))
	}
	isNew := version == newVersion
	if isNew && r.scenario.effectOnNew != nil {
		eff = eff.combine(r.scenario.effectOnNew(call))
	}
	r.countExposure(call, isNew)
	r.finishCall(n, eff, move.Outcome{
		Service: r.size.movedService, Version: version, Route: ref.route,
		Host: movedNames[dc][call.host], DataCentre: dcNames[dc],
		Cold: isNew && r.now < r.scenario.warmUp,
	})
}

func (r *run) simulateOtherCall(n *node, call callContext) {
	call.host = r.rng.IntN(r.size.otherHosts)
	eff := backgroundNoise
	if r.scenario.effectOnBoth != nil && r.scenario.affectsOther {
		eff = eff.combine(r.scenario.effectOnBoth(call, r.faultSite))
	}
	r.finishCall(n, eff, move.Outcome{
		Service: r.size.otherService, Version: otherVersion, Route: "GET /other",
		Host: otherNames[call.dc][call.host], DataCentre: dcNames[call.dc],
	})
}

// countExposure counts the calls of the window and those that reached a faulty
// version.
func (r *run) countExposure(call callContext, isNew bool) {
	if r.scenario.exposedRoute >= 0 && call.route != r.scenario.exposedRoute {
		return
	}
	if call.progress < 1 {
		r.result.calls++
	}
	if r.scenario.bad && isNew && call.progress >= r.scenario.faultStart {
		r.result.badCalls++
	}
}

// finishCall draws the outcome of a call at random and passes it to the node.
func (r *run) finishCall(n *node, eff effect, o move.Outcome) {
	o.Latency = r.latency(eff)
	switch draw := r.rng.Float64(); {
	case draw < eff.shed:
		o.Kind = move.OutcomeShed
	case draw < eff.shed+eff.fail:
		o.Kind = move.OutcomeFailed
	case draw < eff.shed+eff.fail+eff.earlyEnd:
		o.Kind = move.OutcomeEarlyEnd
	case draw < eff.shed+eff.fail+eff.earlyEnd+eff.noAnswer:
		o.Kind, o.Latency = move.OutcomeNoAnswer, callTimeout
		r.unanswered = append(r.unanswered, pendingCall{r.now + callTimeout, n, o})
		return
	default:
		o.Kind = move.OutcomeOK
	}
	r.observe(n, o)
}

// checkShares records when the veto has reached all nodes, which sets their shares
// to zero, and decides the reports once per report period.
func (r *run) checkShares() {
	if r.result.vetoedAt >= 0 && r.result.zeroShareAt < 0 && !slices.ContainsFunc(r.nodes, func(n *node) bool { return !n.vetoed }) {
		r.result.zeroShareAt = r.now
	}
	if r.now-r.reportsDecidedAt < reportPeriod {
		return
	}
	r.reportsDecidedAt = r.now
	r.decideReports()
}

// decideReports decides the reports of the first route and compares them with the
// shares.
func (r *run) decideReports() {
	input := move.ReportInput{Now: r.wallTime(), Version: mesh.ConfigVersion{Revision: 1}, Written: r.reports}
	reportMove := move.ReportMove{Rule: *r.routes[0].rule, Accepted: startTime, Confirmations: map[mesh.HostID]move.Confirmation{}}
	id := reportMove.Rule.MoveID()
	for dc := range r.size.dataCentres {
		if r.scenario.unreachable != nil && r.scenario.unreachable(r.progress(), dc) {
			input.Unreachable = append(input.Unreachable, dcNames[dc])
		}
	}
	allFull, allZero := true, true
	for _, n := range r.nodes {
		input.Hosts = append(input.Hosts, move.Member{ID: n.id, DataCentre: dcNames[n.dc]})
		for _, s := range n.controller.Moves() {
			if s.Move != id {
				continue
			}
			allFull, allZero = allFull && s.Share == move.FullShare, allZero && s.Share == 0
			if n.vetoed && s.Share > 0 {
				r.result.shareRises++
			}
			if s.Veto != nil {
				reportMove.Veto = s.Veto
			}
			reportMove.Confirmations[n.id] = move.Confirmation{
				Version: n.controller.Version(), FullShare: s.Share == move.FullShare, ZeroShare: s.Share == 0,
			}
		}
	}
	input.Moves = []move.ReportMove{reportMove}
	for _, rep := range move.DecideReports(input) {
		r.reports = append(r.reports, rep)
		r.recordReport(rep, allFull, allZero)
	}
}

func (r *run) recordReport(rep source.Report, allFull, allZero bool) {
	switch rep.Kind {
	case source.ReportDone:
		r.result.doneAt = r.now
		if !allFull {
			r.result.untrueReports++
		}
	case source.ReportTakenBack:
		r.result.takenBackAt = r.now
		if !allZero {
			r.result.untrueReports++
		}
	}
}

// Limits of errorThreshold, the policy of the first baseline.
const (
	thresholdWindow    = 10 * time.Second
	thresholdMinCalls  = 10
	thresholdErrorRate = 0.05
)

// errorThreshold takes a version back when more than 5% of its calls in the last
// 10 s did not succeed, regardless of the old version.
type errorThreshold struct {
	calls []thresholdCall
}

type thresholdCall struct {
	at  time.Duration
	bad bool
}

func (t *errorThreshold) observe(now time.Duration, o *move.Outcome) {
	if o.Version == newVersion {
		t.calls = append(t.calls, thresholdCall{now, o.Kind != move.OutcomeOK})
	}
}

func (t *errorThreshold) isExceeded(now time.Duration) bool {
	for len(t.calls) > 0 && t.calls[0].at < now-thresholdWindow {
		t.calls = t.calls[1:]
	}
	bad := 0
	for _, c := range t.calls {
		if c.bad {
			bad++
		}
	}
	return len(t.calls) >= thresholdMinCalls && float64(bad) > thresholdErrorRate*float64(len(t.calls))
}
