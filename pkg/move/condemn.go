package move

import (
	"fmt"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/source"
)

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
