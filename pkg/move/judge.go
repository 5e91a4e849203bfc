package move

import (
	"fmt"
	"math"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/source"
)

// The false-alarm budget of one move over its whole life, for the largest mesh:
// half of it is shared by the local tests of all nodes, half by the tests of the
// evaluators.
const (
	falseAlarms   = 1e-3
	maxNodes      = 2200
	maxCentres    = 16
	signals       = 4
	holdEvaluator = 1e3 // the statistic is below this with probability 0.999 while the versions are equal
	holdLocal     = 1e4
	holdRelease   = 10 // below this a held move goes on
)

var (
	localThreshold     = math.Log(maxNodes * maxCentres / (falseAlarms / 2))
	evaluatorThreshold = math.Log(maxCentres * signals / (falseAlarms / 2))
)

// Rates of bad outcomes that are always tolerated.
const (
	failureLimit = 0.01 // callers of a healthy service already see some failures
	coldLimit    = 0.25 // failures of targets that warm up
	slowLimit    = 0.05 // of the old version's calls, 10% are above its 90th percentile and fewer above the edge
	shedLimit    = 0.05
	shedLoad     = 1.2 // sheds count only when a target host has at most this multiple of the old version's load
)

// takeoverPause is how long an evaluator that starts in the middle of a move
// only takes counters as its starting point: sums over steps with different
// shares would not be comparable.
const takeoverPause = 5 * time.Second

// rollHalfLife is the half-life of the counts that give the proportions of the
// groups between batches.
const rollHalfLife = 5 * time.Second

type signal int

const (
	signalFailure signal = iota
	signalCold
	signalSlow
	signalShed
)

var signalNames = [...]string{"failed", "failed while warming up", "were slow", "were shed"}

// stream is the judgement of one move in one data centre.
type stream struct {
	local     detector
	localPrev *view
	localAt   time.Duration
	eval      [signals]detector
	evalPrev  *view
	evalAt    time.Duration
	roll      rolling
	localRoll rolling
}

// rolling holds decayed counts of calls by group.
type rolling struct {
	fresh, old, control float64
	at                  time.Duration
}

func (r *rolling) add(d *view, now time.Duration) {
	k := math.Exp2(-float64(now-r.at) / float64(rollHalfLife))
	r.at = now
	t := d.total()
	r.fresh = r.fresh*k + float64(t.Calls)
	r.old = r.old*k + float64(d.old.Calls)
	r.control = r.control*k + float64(d.control.Calls)
}

// duty is whether this node judges a move for its data centre.
type duty struct {
	on      bool
	since   time.Duration
	skip    bool // took over in the middle of the move
	watched bool // the budget after the watch period has begun
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
		s = &stream{localAt: now, evalAt: now}
		p.streams[dc] = s
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
	if side == SideNew && !o.Cold && (o.Kind == OutcomeFailed || o.Kind == OutcomeEarlyEnd || o.Kind == OutcomeNoAnswer) {
		c.judgeLocal(p, o.DataCentre)
		if p.state == StateTakenBack {
			c.publish()
		}
	}
}

// judge runs all tests of a move on the evidence since the last time.
func (c *Controller) judge(p *progress) {
	if !p.judged() || p.step < 0 {
		return
	}
	c.storeControl(p)
	for dc := range views(p.id, c.own) {
		c.judgeLocal(p, dc)
		if !p.judged() {
			return
		}
	}
	c.takeDuty(p)
	if p.duty.on {
		c.judgeCentre(p)
	}
	if p.judged() {
		c.hold(p)
	}
}

// storeControl refreshes the counters of the control group.
func (c *Controller) storeControl(p *progress) {
	c.control.refresh()
	for dc, n := range c.control.others(p.rule.Service) {
		c.own.row(p.id, rowKey{c.cfg.Self, p.instance, SideControl, dc, ""}).combine(n, maximum)
	}
}

// takeDuty decides whether this node is the evaluator of the move.
func (c *Controller) takeDuty(p *progress) {
	on := true
	if c.cfg.Hosts != nil {
		on = Evaluator(p.id, c.cfg.Hosts()) == c.cfg.Self
	}
	if on && !p.duty.on {
		p.duty.since, p.duty.skip = c.mono, p.step > 0
	}
	p.duty.on = on
}

// judgeLocal runs the failure test on what this node saw itself.
func (c *Controller) judgeLocal(p *progress, dc mesh.DataCentre) {
	s := p.stream(dc, c.mono)
	v := views(p.id, c.own)[dc]
	d := v.since(s.localPrev)
	record := s.localPrev
	s.localPrev = v
	s.localRoll.add(d, c.mono)
	b := p.failures(d, record, &s.localRoll)
	s.local.update(b, p.weight(c.mono-s.localAt))
	s.localAt = c.mono
	if s.local.value(p.hosts[dc].fresh) >= localThreshold {
		c.condemn(p, dc, signalFailure, v)
	}
}

// weight is the part of the life of the move that has passed since the last batch.
func (p *progress) weight(elapsed time.Duration) float64 {
	return math.Max(0, float64(elapsed)/float64(p.life()))
}

// judgeCentre runs the evaluator's tests for every data centre it has evidence of.
func (c *Controller) judgeCentre(p *progress) {
	for dc, v := range views(p.id, c.own, c.merged) {
		s := p.stream(dc, c.mono)
		d := v.since(s.evalPrev)
		record := s.evalPrev
		s.evalPrev = v
		elapsed := c.mono - s.evalAt
		s.evalAt = c.mono
		if p.duty.skip && c.mono-p.duty.since < takeoverPause {
			continue
		}
		s.roll.add(d, c.mono)
		for sig, b := range p.batches(d, record, s, dc) {
			if b == nil {
				continue
			}
			s.eval[sig].update(b, p.weight(elapsed))
			if s.eval[sig].value(p.hosts[dc].fresh) >= evaluatorThreshold {
				c.condemn(p, dc, signal(sig), v)
				return
			}
		}
	}
}

// hold holds the move while a statistic is suspicious and releases it after.
func (c *Controller) hold(p *progress) {
	suspicious, clear := p.absent, !p.absent
	for dc, s := range p.streams {
		hosts := p.hosts[dc].fresh
		l := s.local.value(hosts)
		suspicious = suspicious || l >= math.Log(holdLocal)
		clear = clear && l < math.Log(holdRelease)
		for i := range s.eval {
			e := s.eval[i].value(hosts)
			suspicious = suspicious || e >= math.Log(holdEvaluator)
			clear = clear && e < math.Log(holdRelease)
		}
	}
	switch {
	case suspicious:
		c.fire(p, eventSuspect)
	case clear:
		c.fire(p, eventClear)
	}
}

// condemn takes the version back, or only reports the fault after the watch period.
func (c *Controller) condemn(p *progress, dc mesh.DataCentre, sig signal, v *view) {
	text := p.sentence(dc, sig, v)
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
func (p *progress) sentence(dc mesh.DataCentre, sig signal, v *view) string {
	fresh := v.total()
	n, bad := fresh.group(sig, slowEdge(&v.old))
	on, obad := v.old.group(sig, slowEdge(&v.old))
	return fmt.Sprintf("in data centre %s, %d of %d calls to %s %s on route %q, against %d of %d calls to %s",
		dc, bad, n, p.rule.Target(), signalNames[sig], p.rule.Route(), obad, on, p.rule.From)
}

// group returns the calls and the bad ones that a signal looks at.
func (c *Counters) group(sig signal, edge int) (n, bad uint64) {
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
