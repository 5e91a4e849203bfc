package move

import (
	"fmt"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/source"
)

// rejectVersion rolls the version back with a veto. After the watch period it
// only reports the fault.
func (c *Controller) rejectVersion(p *progress, text string) {
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
		c.callbacks = append(c.callbacks, func() { c.cfg.OnVeto(veto) })
	}
}

func (c *Controller) reportFault(p *progress) {
	if c.cfg.OnFault != nil {
		id, text := p.id, p.fault
		c.callbacks = append(c.callbacks, func() { c.cfg.OnFault(id, text) })
	}
}

// evidenceText describes the evidence of one data centre in one sentence with
// numbers.
func (c *Controller) evidenceText(p *progress, dc mesh.DataCentre, sig signal) string {
	t := newTally(0)
	count := func(k rowKey, n *Counters) { t.counters(k.side, k.target).combine(n, sum) }
	c.ownCounters.forEach(p.id, dc, count)
	c.peerCounters.forEach(p.id, dc, count)
	return fmt.Sprintf("in data centre %s on route %q, %s", dc, p.rule.Route(), t.comparisonText(p, sig))
}

// comparisonText describes the counts of both versions.
func (t *tally) comparisonText(p *progress, sig signal) string {
	newTotal := Counters{}
	for _, n := range t.newByHost {
		newTotal.combine(n, sum)
	}
	firstSlow := firstSlowBucket(&t.old)
	newCalls, newBad := newTotal.signalCounts(sig, firstSlow)
	oldCalls, oldBad := t.old.signalCounts(sig, firstSlow)
	return fmt.Sprintf("%d of %d calls to %s %s, against %d of %d calls to %s",
		newBad, newCalls, p.rule.Destination(), signalPhrases[sig], oldBad, oldCalls, p.rule.From)
}

// signalCounts returns the number of calls that a signal counts, and of the bad
// ones among them.
func (c *Counters) signalCounts(sig signal, firstSlow int) (calls, bad uint64) {
	switch sig {
	case signalCold:
		return c.Cold, c.ColdFailed
	case signalSlow:
		slow, all := c.slowCalls(firstSlow)
		return all, slow
	case signalShed:
		return c.Calls + c.Shed, c.Shed
	}
	return c.Calls, c.bad()
}
