package move

import (
	"fmt"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// pool judges a target version over all routes and data centres together. Each
// route and data centre is still compared within itself, only the likelihood
// ratios are multiplied. This finds faults with little traffic, where no single
// data centre sees enough calls.
type pool struct {
	id   mesh.MoveID // what the evaluator of the mesh is chosen by
	duty duty
	eval [signals]detector
	at   time.Duration // monotonic time of the last judgement
}

type poolKey struct {
	version mesh.ServiceVersion
	attempt int
}

func (p *progress) poolKey() poolKey { return poolKey{p.rule.Target(), p.rule.Attempt} }

func (c *Controller) pool(p *progress) *pool {
	k := p.poolKey()
	if c.pools[k] == nil {
		c.pools[k] = &pool{id: mesh.MoveID(fmt.Sprintf("%s#%d", k.version, k.attempt)), at: c.mono}
	}
	return c.pools[k]
}

// fullPeriod is how often unchanged evidence is sent again, to make good for a
// lost message.
const fullPeriod = 10 * time.Second

// OutgoingEvidence returns the evidence to send and the hosts to send it to: what this
// node saw goes to the evaluator of its data centre, and the evaluator's sums go
// to the evaluator of the mesh. Counters are cumulative, and only moves whose
// counters changed since the last call are sent, all of them every 10 s.
func (c *Controller) OutgoingEvidence() map[mesh.HostID][]Evidence {
	c.mu.Lock()
	defer c.unlock()
	all := c.mono-c.sentAll >= fullPeriod
	if all {
		c.sentAll = c.mono
	}
	out := map[mesh.HostID][]Evidence{}
	for _, id := range c.order {
		p := c.moves[id]
		if !p.judged() || p.state == StateDone {
			continue // after the watch period each node judges only what it sees
		}
		if all || p.seenChanged {
			c.sendSeen(p, out)
		}
		if p.duty.on && (all || p.seenChanged || p.mergedChanged) {
			c.sendSums(p, out)
		}
		if p.duty.host != "" {
			p.seenChanged, p.mergedChanged = false, false
		}
	}
	return out
}

func (c *Controller) sendSeen(p *progress, out map[mesh.HostID][]Evidence) {
	if to := p.duty.host; to != "" && to != c.cfg.Self {
		c.countControl(p)
		out[to] = append(out[to], c.own.list(p.id)...)
	}
}

func (c *Controller) sendSums(p *progress, out map[mesh.HostID][]Evidence) {
	c.countControl(p)
	switch to := c.pool(p).duty.host; to {
	case "":
	case c.cfg.Self:
		for _, e := range c.summary(p) {
			c.merge(p, c.cfg.Self, &e)
		}
	default:
		out[to] = append(out[to], c.summary(p)...)
	}
}

// summary sums what all nodes of the data centre saw of a move.
func (c *Controller) summary(p *progress) []Evidence {
	sums := newStore()
	for _, s := range []*store{c.own, c.merged} {
		for k, n := range s.moves[p.id] {
			sums.row(p.id, rowKey{side: k.side, dc: k.dc, target: k.target}).combine(n, sum)
		}
	}
	list := sums.list(p.id)
	for i := range list {
		list[i].SummaryOf = c.cfg.DataCentre
	}
	return list
}

// mergeSummary joins the sums of a data centre. Two evaluators of one data
// centre send sums over the same nodes, so the rows join by the maximum.
func (c *Controller) mergeSummary(p *progress, e *Evidence) {
	s := p.stream(e.DataCentre, c.mono)
	for i := range e.Targets {
		t := &e.Targets[i]
		k := rowKey{from: mesh.HostID(e.SummaryOf), side: e.Side, dc: e.DataCentre, target: t.Host}
		gain := c.sums.join(p.id, k, &t.Counters)
		if c.pool(p).duty.on {
			s.mesh.add(e.Side, t.Host, gain)
		}
	}
}

// takePoolDuty decides whether this node judges the version for the mesh.
func (c *Controller) takePoolDuty(p *progress) {
	if c.cfg.MeshHosts == nil {
		return
	}
	q := c.pool(p)
	if q.duty.host != "" && c.mono-q.duty.checked < evidencePeriod {
		return
	}
	q.duty.checked = c.mono
	q.duty.host = Evaluator(q.id, c.cfg.MeshHosts())
	on := q.duty.host == c.cfg.Self
	if on && !q.duty.on {
		q.duty.since, q.duty.skip = c.mono, p.step > 0
		for _, o := range c.moves {
			if o.judged() && o.poolKey() == p.poolKey() {
				for dc, s := range o.streams {
					s.mesh = newTally(c.mono)
					c.sums.each(o.id, dc, func(k rowKey, n *Counters) { s.mesh.add(k.side, k.target, n) })
				}
			}
		}
	}
	q.duty.on = on
}

// judgePool runs the tests over the whole mesh with a batch of one route and data centre.
func (c *Controller) judgePool(p *progress, dc mesh.DataCentre, s *stream) {
	q := c.pool(p)
	s.mesh.close(c.mono)
	defer s.mesh.clear()
	if q.duty.skip && c.mono-q.duty.since < takeoverPause {
		return
	}
	weight := p.weight(c.mono - q.at)
	q.at = c.mono
	for sig, b := range p.batches(s.mesh, dc) {
		if b == nil {
			continue
		}
		q.eval[sig].update(b, weight)
		if q.eval[sig].value(p.freshHosts()) >= threshold(meshBudget, signal(sig)) {
			c.condemn(p, c.poolSentence(p, signal(sig)))
			return
		}
	}
}

// poolSentence puts the evidence over all routes and data centres in one sentence.
func (c *Controller) poolSentence(p *progress, sig signal) string {
	t := newTally(0)
	for _, o := range c.moves {
		if o.poolKey() != p.poolKey() {
			continue
		}
		for k, n := range c.sums.moves[o.id] {
			t.group(k.side, k.target).combine(n, sum)
		}
	}
	return "over all routes and data centres, " + t.comparison(p, sig)
}
