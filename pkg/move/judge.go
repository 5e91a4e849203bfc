package move

import (
	"maps"
	"math"
	"slices"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// stream is the judgement of one move in one data centre.
type stream struct {
	seen  *tally // what this node saw
	local detector
	all   *tally // what all nodes saw, while this node is the evaluator
	eval  [signals]detector
	mesh  *tally // what all data centres saw, while this node is the evaluator of the mesh
}

// duty is whether this node judges a move for its data centre.
type duty struct {
	on      bool
	since   time.Duration
	checked time.Duration
	host    mesh.HostID // who has the duty, as of the last check
	skip    bool        // took over in the middle of the move
}

// judged reports whether evidence about the move still matters.
func (p *progress) judged() bool { return p.state != StateTakenBack && p.state != StateWithdrawn }

func (p *progress) full() bool { return p.step == lastStep }

// life is the time over which the false-alarm budget is spread: to the end of
// the watch period.
func (p *progress) life() time.Duration {
	return max(time.Minute, p.schedule.WatchEnd().Sub(p.schedule.Accepted))
}

func (p *progress) stream(dc mesh.DataCentre, now time.Duration) *stream {
	s, ok := p.streams[dc]
	if !ok {
		s = &stream{seen: newTally(now), all: newTally(now), mesh: newTally(now)}
		p.streams[dc] = s
		p.centres = slices.Sorted(maps.Keys(p.streams))
	}
	return s
}

// observeMove counts an outcome and, when the call failed, runs the local test
// at once.
func (c *Controller) observeMove(p *progress, side Side, o *Outcome) {
	if !p.judged() {
		return
	}
	target := o.Host
	if side != SideNew {
		target = ""
	}
	c.own.row(p.id, rowKey{c.cfg.Self, p.instance, side, o.DataCentre, target}).add(o)
	p.seenChanged = true
	s := p.stream(o.DataCentre, c.mono)
	s.seen.observe(side, target, o)
	if p.duty.on {
		s.all.observe(side, target, o)
	}
	if side == SideNew && !o.Cold && o.Kind.bad() {
		c.pace.failures++
		c.judgeLocal(p, o.DataCentre)
		if p.state == StateTakenBack {
			c.publish()
		}
	}
}

// merge joins what another node saw.
func (c *Controller) merge(p *progress, from mesh.HostID, e *Evidence) {
	if e.SummaryOf != "" {
		c.mergeSummary(p, e)
		return
	}
	p.mergedChanged = true
	s := p.stream(e.DataCentre, c.mono)
	for i := range e.Targets {
		t := &e.Targets[i]
		gain := c.merged.join(p.id, rowKey{from, e.Instance, e.Side, e.DataCentre, t.Host}, &t.Counters)
		if p.duty.on {
			s.all.add(e.Side, t.Host, gain)
			if e.Side == SideNew && gain.bad() > 0 {
				c.pace.failures++
			}
		}
	}
}

// countControl adds the calls to other services since the last time. They are
// needed at the full share only and counted from the step before it.
func (c *Controller) countControl(p *progress) {
	if p.step < lastStep-1 {
		return
	}
	others := c.control.others(p.rule.Service)
	if p.controlBase == nil {
		p.controlBase = others
		return
	}
	for dc, n := range others {
		if base := p.controlBase[dc]; base != nil {
			n.combineScalars(base, minus)
		}
		n.combineScalars(c.own.row(p.id, rowKey{c.cfg.Self, p.instance, SideControl, dc, ""}), minus)
		c.countControlDelta(p, dc, n)
	}
}

func (c *Controller) countControlDelta(p *progress, dc mesh.DataCentre, delta *Counters) {
	c.own.row(p.id, rowKey{c.cfg.Self, p.instance, SideControl, dc, ""}).combineScalars(delta, sum)
	p.seenChanged = p.seenChanged || p.full()
	s := p.stream(dc, c.mono)
	s.seen.add(SideControl, "", delta)
	if p.duty.on {
		s.all.add(SideControl, "", delta)
	}
}

// judge runs all tests of a move that are due.
func (c *Controller) judge(p *progress) {
	if !p.judged() || p.step < 0 {
		return
	}
	if p.duty.host == "" || c.mono-p.duty.checked >= evidencePeriod {
		p.duty.checked = c.mono
		c.countControl(p)
		if p.state != StateDone {
			c.takeDuty(p)
			c.takePoolDuty(p)
		} else {
			p.duty.on = false
		}
	}
	judged := false
	for _, dc := range p.centres {
		s := p.streams[dc]
		if s.seen.due(c.mono) {
			c.judgeLocal(p, dc)
			judged = true
		}
		if p.judged() && p.duty.on && s.all.due(c.mono) {
			c.judgeCentre(p, dc, s)
			judged = true
		}
		if p.judged() && p.state != StateDone && c.pool(p).duty.on && s.mesh.due(c.mono) {
			c.judgePool(p, dc, s)
			judged = true
		}
		if !p.judged() {
			return
		}
	}
	if judged || p.absent || p.state == StateHeld {
		c.hold(p)
	}
}

// takeDuty decides whether this node is the evaluator of the move. An evaluator
// from the first step on counts what was sent before it took up the duty.
func (c *Controller) takeDuty(p *progress) {
	p.duty.host = c.cfg.Self
	if c.cfg.Hosts != nil {
		p.duty.host = Evaluator(p.id, c.cfg.Hosts())
	}
	on := p.duty.host == c.cfg.Self
	if on && !p.duty.on {
		p.duty.since, p.duty.skip = c.mono, p.step > 0
		for dc, s := range p.streams {
			s.all = newTally(c.mono)
			count := func(k rowKey, n *Counters) { s.all.add(k.side, k.target, n) }
			c.own.each(p.id, dc, count)
			c.merged.each(p.id, dc, count)
		}
	}
	p.duty.on = on
}

// judgeLocal runs the failure test on what this node saw itself.
func (c *Controller) judgeLocal(p *progress, dc mesh.DataCentre) {
	if p.full() {
		c.countControl(p) // a common fault must show in the same batch
	}
	s := p.stream(dc, c.mono)
	elapsed := s.seen.close(c.mono)
	s.local.update(p.failures(s.seen), p.weight(elapsed))
	s.seen.clear()
	if s.local.value(c.witnesses(p, dc)) >= localThreshold {
		c.condemn(p, c.sentence(p, dc, signalFailure))
	}
}

// witnesses is the number of target hosts that could speak for the version. With
// an evaluator of the mesh, a data centre with one target host leaves the verdict
// on that host to it.
func (c *Controller) witnesses(p *progress, dc mesh.DataCentre) int {
	if c.cfg.MeshHosts == nil {
		return p.hosts[dc].fresh
	}
	return p.freshHosts()
}

// reportLife replaces the life of a move after the watch period, so that false
// reports stay below the same bound for each day.
const reportLife = 24 * time.Hour

// weight is the part of the life of the move that has passed since the last batch.
func (p *progress) weight(elapsed time.Duration) float64 {
	life := p.life()
	if p.state == StateDone {
		life = max(life, reportLife)
	}
	return math.Max(0, float64(elapsed)/float64(life))
}

// judgeCentre runs the evaluator's tests for a data centre.
func (c *Controller) judgeCentre(p *progress, dc mesh.DataCentre, s *stream) {
	elapsed := s.all.close(c.mono)
	defer s.all.clear()
	if p.duty.skip && c.mono-p.duty.since < takeoverPause {
		return
	}
	for sig, b := range p.batches(s.all, dc) {
		if b == nil {
			continue
		}
		s.eval[sig].update(b, p.weight(elapsed))
		if s.eval[sig].value(c.witnesses(p, dc)) >= threshold(centreBudget/float64(max(1, len(p.hosts))), signal(sig)) {
			c.condemn(p, c.sentence(p, dc, signal(sig)))
			return
		}
	}
}

// hold holds the move while a statistic is suspicious and releases it after.
func (c *Controller) hold(p *progress) {
	suspicious, clear := p.absent, !p.absent
	look := func(d *detector, hosts int, limit float64) {
		v := d.value(hosts)
		suspicious = suspicious || v >= math.Log(limit)
		clear = clear && v < math.Log(holdRelease)
	}
	for dc, s := range p.streams {
		look(&s.local, c.witnesses(p, dc), holdLocal)
		for i := range s.eval {
			look(&s.eval[i], c.witnesses(p, dc), holdEvaluator)
		}
	}
	for i := range c.pool(p).eval {
		look(&c.pool(p).eval[i], p.freshHosts(), holdEvaluator)
	}
	switch {
	case suspicious:
		c.fire(p, eventSuspect)
	case clear && p.state == StateHeld:
		c.fire(p, eventClear)
		p.stepAt = c.mono // the next step waits for its length again
	}
}
