package move

import (
	"maps"
	"math"
	"slices"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// centreState holds the tallies and tests of one move in one data centre.
type centreState struct {
	own         *tally // calls of this node
	localTest   detector
	centre      *tally // calls of all nodes in this node's data centre, while this node is their evaluator
	centreTests [signalCount]detector
	mesh        *tally // calls of all nodes of the mesh, while this node is the mesh's evaluator
}

// evaluatorRole records whether this node is the evaluator of a move for its
// data centre, or of a version for the mesh.
type evaluatorRole struct {
	active         bool
	activeSince    time.Duration
	checkedAt      time.Duration
	host           mesh.HostID // the evaluator, as of the last check
	startedMidMove bool        // became the evaluator after the first step
}

// needsEvaluation reports whether evidence of the move can still lead to a
// rollback or, after the watch period, to the report of a fault.
func (p *progress) needsEvaluation() bool {
	return p.state != StateTakenBack && p.state != StateWithdrawn
}

func (p *progress) full() bool { return p.step == lastStep }

// lifetime returns the time over which the false-alarm budget is spread: from
// the acceptance to the end of the watch period.
func (p *progress) lifetime() time.Duration {
	return max(time.Minute, p.schedule.WatchEnd().Sub(p.schedule.Accepted))
}

func (p *progress) centreState(dc mesh.DataCentre, now time.Duration) *centreState {
	s, ok := p.byCentre[dc]
	if !ok {
		s = &centreState{own: newTally(now), centre: newTally(now), mesh: newTally(now)}
		p.byCentre[dc] = s
		p.centres = slices.Sorted(maps.Keys(p.byCentre))
	}
	return s
}

// recordOutcome counts an outcome and, when the call failed, runs the local test
// at once.
func (c *Controller) recordOutcome(p *progress, side Side, o *Outcome) {
	if !p.needsEvaluation() {
		return
	}
	target := o.Host
	if side != SideNew {
		target = ""
	}
	c.ownCounters.row(p.id, rowKey{c.cfg.Self, p.instance, side, o.DataCentre, target}).add(o)
	p.ownChanged = true
	s := p.centreState(o.DataCentre, c.mono)
	s.own.observe(side, target, o)
	if p.role.active {
		s.centre.observe(side, target, o)
	}
	if side == SideNew && !o.Cold && o.Kind.bad() {
		c.pacer.failures++
		c.evaluateLocal(p, o.DataCentre)
		if p.state == StateTakenBack {
			c.publish()
		}
	}
}

// mergeMoveEvidence merges the counters of another node, or the sums of a data
// centre, for one move.
func (c *Controller) mergeMoveEvidence(p *progress, from mesh.HostID, e *Evidence) {
	if e.SummaryOf != "" {
		c.mergeSummary(p, e)
		return
	}
	p.peerChanged = true
	s := p.centreState(e.DataCentre, c.mono)
	for i := range e.Targets {
		t := &e.Targets[i]
		increase := c.peerCounters.join(p.id, rowKey{from, e.Instance, e.Side, e.DataCentre, t.Host}, &t.Counters)
		if p.role.active {
			s.centre.add(e.Side, t.Host, increase)
			if e.Side == SideNew && increase.bad() > 0 {
				c.pacer.failures++
			}
		}
	}
}

// updateControl counts the calls to other services since the last update. They
// are needed only at the full share and counted from the step before it.
func (c *Controller) updateControl(p *progress) {
	if p.step < lastStep-1 {
		return
	}
	others := c.control.countsWithout(p.rule.Service)
	if p.controlBase == nil {
		p.controlBase = others
		return
	}
	for dc, n := range others {
		if base := p.controlBase[dc]; base != nil {
			n.combineScalars(base, subtract)
		}
		n.combineScalars(c.ownCounters.row(p.id, rowKey{c.cfg.Self, p.instance, SideControl, dc, ""}), subtract)
		c.addControl(p, dc, n)
	}
}

func (c *Controller) addControl(p *progress, dc mesh.DataCentre, delta *Counters) {
	c.ownCounters.row(p.id, rowKey{c.cfg.Self, p.instance, SideControl, dc, ""}).combineScalars(delta, sum)
	p.ownChanged = p.ownChanged || p.full()
	s := p.centreState(dc, c.mono)
	s.own.add(SideControl, "", delta)
	if p.role.active {
		s.centre.add(SideControl, "", delta)
	}
}

// evaluate runs all tests of a move that are due.
func (c *Controller) evaluate(p *progress) {
	if !p.needsEvaluation() || p.step < 0 {
		return
	}
	if p.role.host == "" || c.mono-p.role.checkedAt >= evidencePeriod {
		p.role.checkedAt = c.mono
		c.updateControl(p)
		if p.state != StateDone {
			c.updateRole(p)
			c.updatePooledRole(p)
		} else {
			p.role.active = false
		}
	}
	tested := false
	for _, dc := range p.centres {
		s := p.byCentre[dc]
		if s.own.evaluationDue(c.mono) {
			c.evaluateLocal(p, dc)
			tested = true
		}
		if p.needsEvaluation() && p.role.active && s.centre.evaluationDue(c.mono) {
			c.evaluateCentre(p, dc, s)
			tested = true
		}
		if p.needsEvaluation() && p.state != StateDone && c.pooledTest(p).role.active && s.mesh.evaluationDue(c.mono) {
			c.evaluatePooled(p, dc, s)
			tested = true
		}
		if !p.needsEvaluation() {
			return
		}
	}
	if tested || p.noNewTargets || p.state == StateHeld {
		c.updateHold(p)
	}
}

// updateRole determines whether this node is the evaluator of the move. A new
// evaluator starts with the counters received before it took over; if it takes
// over after the first step, it does not evaluate them (see takeoverPause).
func (c *Controller) updateRole(p *progress) {
	p.role.host = c.cfg.Self
	if c.cfg.Hosts != nil {
		p.role.host = Evaluator(p.id, c.cfg.Hosts())
	}
	active := p.role.host == c.cfg.Self
	if active && !p.role.active {
		p.role.activeSince, p.role.startedMidMove = c.mono, p.step > 0
		for dc, s := range p.byCentre {
			s.centre = newTally(c.mono)
			count := func(k rowKey, n *Counters) { s.centre.add(k.side, k.target, n) }
			c.ownCounters.forEach(p.id, dc, count)
			c.peerCounters.forEach(p.id, dc, count)
		}
	}
	p.role.active = active
}

// evaluateLocal runs the failure test on this node's own calls.
func (c *Controller) evaluateLocal(p *progress, dc mesh.DataCentre) {
	if p.full() {
		c.updateControl(p) // a common fault must show in the same batch
	}
	s := p.centreState(dc, c.mono)
	elapsed := s.own.closeBatch(c.mono)
	s.localTest.update(p.failureBatch(s.own), p.batchWeight(elapsed))
	s.own.startBatch()
	if s.localTest.logStatistic(c.comparableHosts(p, dc)) >= localLogThreshold {
		c.rejectVersion(p, c.evidenceText(p, dc, signalFailure))
	}
}

// comparableHosts returns the number of the new version's target hosts that a
// failing host is compared with, including itself. With an evaluator of the mesh
// these are the hosts of all data centres, so a data centre with a single target
// host leaves the decision about that host to the mesh's evaluator.
func (c *Controller) comparableHosts(p *progress, dc mesh.DataCentre) int {
	if c.cfg.MeshHosts == nil {
		return p.hosts[dc].newVersion
	}
	return p.newVersionHosts()
}

// reportLifetime is the minimum lifetime of a move for batches after the watch
// period. It keeps the rate of false reports per day below the same bound.
const reportLifetime = 24 * time.Hour

// batchWeight returns the fraction of the lifetime of the move that has passed
// since the last batch.
func (p *progress) batchWeight(elapsed time.Duration) float64 {
	lifetime := p.lifetime()
	if p.state == StateDone {
		lifetime = max(lifetime, reportLifetime)
	}
	return math.Max(0, float64(elapsed)/float64(lifetime))
}

// evaluateCentre runs the evaluator's tests for a data centre.
func (c *Controller) evaluateCentre(p *progress, dc mesh.DataCentre, s *centreState) {
	elapsed := s.centre.closeBatch(c.mono)
	defer s.centre.startBatch()
	if p.role.startedMidMove && c.mono-p.role.activeSince < takeoverPause {
		return
	}
	for sig, b := range p.batches(s.centre, dc) {
		if b == nil {
			continue
		}
		s.centreTests[sig].update(b, p.batchWeight(elapsed))
		if s.centreTests[sig].logStatistic(c.comparableHosts(p, dc)) >= evaluatorLogThreshold(centreBudget/float64(max(1, len(p.hosts))), signal(sig)) {
			c.rejectVersion(p, c.evidenceText(p, dc, signal(sig)))
			return
		}
	}
}

// updateHold holds the move while a statistic is suspicious and releases it once
// all statistics are low again.
func (c *Controller) updateHold(p *progress) {
	suspicious, cleared := p.noNewTargets, !p.noNewTargets
	check := func(d *detector, hosts int, limit float64) {
		v := d.logStatistic(hosts)
		suspicious = suspicious || v >= math.Log(limit)
		cleared = cleared && v < math.Log(releaseBelow)
	}
	for dc, s := range p.byCentre {
		check(&s.localTest, c.comparableHosts(p, dc), holdAtLocal)
		for i := range s.centreTests {
			check(&s.centreTests[i], c.comparableHosts(p, dc), holdAtEvaluator)
		}
	}
	for i := range c.pooledTest(p).tests {
		check(&c.pooledTest(p).tests[i], p.newVersionHosts(), holdAtEvaluator)
	}
	switch {
	case suspicious:
		c.fire(p, eventSuspect)
	case cleared && p.state == StateHeld:
		c.fire(p, eventClear)
		p.stepAt = c.mono // the next step is MinStepDuration away again
	}
}
