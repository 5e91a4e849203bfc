package move

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/source"
)

// The false-alarm budget of one move over its whole life is shared by the local
// tests of all nodes of the largest mesh, the tests of the evaluators in the data
// centres and those of the mesh's evaluator.
const (
	falseAlarms   = 1e-3
	localBudget   = falseAlarms / 2
	centreBudget  = falseAlarms / 4
	meshBudget    = falseAlarms / 4
	maxNodes      = 2200
	maxCentres    = 16
	holdEvaluator = 1e3 // the statistic is below this with probability 0.999 while the versions are equal
	holdLocal     = 1e4
	holdRelease   = 10 // below this a held move goes on
)

// budgetParts divide an evaluator's budget between the signals.
var budgetParts = [signals]float64{signalFailure: 0.5, signalCold: 0.1, signalSlow: 0.2, signalShed: 0.2}

// localThreshold is the logarithm of the statistic from which a node takes a
// version back by itself.
var localThreshold = math.Log(maxNodes * maxCentres / localBudget)

// threshold is the same for one signal of an evaluator.
func threshold(budget float64, sig signal) float64 { return -math.Log(budget * budgetParts[sig]) }

// Rates of bad outcomes that are always tolerated.
const (
	failureLimit = 0.01 // callers of a healthy service already see some failures
	coldLimit    = 0.25 // failures of targets that warm up
	slowLimit    = 0.05 // part of the calls above twice the median
	shedLimit    = 0.05
	shedLoad     = 1.2 // sheds count only when a target host has at most this multiple of the old version's load
)

// takeoverPause is how long an evaluator that starts in the middle of a move
// only takes counters as its starting point: sums over steps with different
// shares would not be comparable.
const takeoverPause = 5 * time.Second

type signal int

const (
	signalFailure signal = iota
	signalCold
	signalSlow
	signalShed
	signals // number of signals
)

var signalNames = [...]string{"failed", "failed while warming up", "were slow", "were shed"}

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
	watched bool        // the budget after the watch period has begun
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
	var delta Counters
	delta.add(o)
	c.count(p, side, o.DataCentre, target, &delta)
	if side == SideNew && delta.bad() > 0 {
		c.pace.failures++
		c.judgeLocal(p, o.DataCentre)
		if p.state == StateTakenBack {
			c.publish()
		}
	}
}

// count adds what this node saw.
func (c *Controller) count(p *progress, side Side, dc mesh.DataCentre, target mesh.HostID, delta *Counters) {
	c.own.row(p.id, rowKey{c.cfg.Self, p.instance, side, dc, target}).combine(delta, sum)
	p.seenChanged = p.seenChanged || side != SideControl || p.full()
	s := p.stream(dc, c.mono)
	s.seen.add(side, target, delta)
	if p.duty.on {
		s.all.add(side, target, delta)
	}
}

// merge joins what another node saw.
func (c *Controller) merge(p *progress, from mesh.HostID, e *Evidence) {
	if e.Observer != "" {
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

// countControl adds the calls to other services since the last time.
func (c *Controller) countControl(p *progress) {
	for dc, n := range c.control.others(p.rule.Service) {
		delta := *n
		delta.combineScalars(c.own.row(p.id, rowKey{c.cfg.Self, p.instance, SideControl, dc, ""}), minus)
		c.count(p, SideControl, dc, "", &delta)
	}
}

// judge runs all tests of a move that are due.
func (c *Controller) judge(p *progress) {
	if !p.judged() || p.step < 0 {
		return
	}
	if c.mono-p.duty.checked >= evidencePeriod {
		p.duty.checked = c.mono
		c.countControl(p)
		c.takeDuty(p)
		c.takePoolDuty(p)
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
		if p.judged() && c.pool(p).duty.on && s.mesh.due(c.mono) {
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
	if s.local.value(p.hosts[dc].fresh) >= localThreshold {
		c.condemn(p, c.sentence(p, dc, signalFailure))
	}
}

// weight is the part of the life of the move that has passed since the last batch.
func (p *progress) weight(elapsed time.Duration) float64 {
	return math.Max(0, float64(elapsed)/float64(p.life()))
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
		if s.eval[sig].value(p.hosts[dc].fresh) >= threshold(centreBudget/float64(max(1, len(p.hosts))), signal(sig)) {
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
		look(&s.local, p.hosts[dc].fresh, holdLocal)
		for i := range s.eval {
			look(&s.eval[i], p.hosts[dc].fresh, holdEvaluator)
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

// condemn takes the version back, or only reports the fault after the watch period.
func (c *Controller) condemn(p *progress, text string) {
	if p.state == StateDone {
		if p.fault == "" {
			p.fault = text
			c.fire(p, eventFault)
		}
		return
	}
	veto := source.Veto{
		Service: p.rule.Service, Version: p.rule.Version, Attempt: p.rule.Attempt,
		Route: p.rule.Route(), Evidence: text, Host: c.cfg.Self, At: c.now,
	}
	c.recordVeto(veto)
	if c.cfg.OnVeto != nil {
		c.pending = append(c.pending, func() { c.cfg.OnVeto(veto) })
	}
}

func (c *Controller) reportFault(p *progress) {
	if c.cfg.OnFault != nil {
		id, text := p.id, p.fault
		c.pending = append(c.pending, func() { c.cfg.OnFault(id, text) })
	}
}

// sentence puts the evidence in one sentence with numbers.
func (c *Controller) sentence(p *progress, dc mesh.DataCentre, sig signal) string {
	t := newTally(0)
	count := func(k rowKey, n *Counters) { t.group(k.side, k.target).combine(n, sum) }
	c.own.each(p.id, dc, count)
	c.merged.each(p.id, dc, count)
	return fmt.Sprintf("in data centre %s on route %q, %s", dc, p.rule.Route(), t.comparison(p, sig))
}

// comparison words the counts of both versions.
func (t *tally) comparison(p *progress, sig signal) string {
	fresh := Counters{}
	for _, n := range t.fresh {
		fresh.combine(n, sum)
	}
	edge := slowEdge(&t.old)
	n, bad := fresh.judged(sig, edge)
	oldN, oldBad := t.old.judged(sig, edge)
	return fmt.Sprintf("%d of %d calls to %s %s, against %d of %d calls to %s",
		bad, n, p.rule.Target(), signalNames[sig], oldBad, oldN, p.rule.From)
}

// judged returns the calls and the bad ones that a signal looks at.
func (c *Counters) judged(sig signal, edge int) (n, bad uint64) {
	switch sig {
	case signalCold:
		return c.Cold, c.ColdFailed
	case signalSlow:
		slow, all := c.slower(edge)
		return all, slow
	case signalShed:
		return c.Calls + c.Shed, c.Shed
	}
	return c.Calls, c.bad()
}
