package move

import (
	"fmt"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// pooledTest evaluates a target version over all routes and data centres
// together. The versions are still compared separately for each route and data
// centre, and only the likelihood ratios are multiplied. This detects faults
// under low traffic, when no single data centre gets enough calls.
type pooledTest struct {
	id          mesh.MoveID // input of Evaluator for the mesh
	role        evaluatorRole
	tests       [signalCount]detector
	evaluatedAt time.Duration // monotonic time of the last evaluation
}

type versionAttempt struct {
	version mesh.ServiceVersion
	attempt int
}

func (p *progress) versionAttempt() versionAttempt {
	return versionAttempt{p.rule.Destination(), p.rule.Attempt}
}

func (c *Controller) pooledTest(p *progress) *pooledTest {
	k := p.versionAttempt()
	if c.pooledTests[k] == nil {
		c.pooledTests[k] = &pooledTest{id: mesh.MoveID(fmt.Sprintf("%s#%d", k.version, k.attempt)), evaluatedAt: c.mono}
	}
	return c.pooledTests[k]
}

// resendPeriod is how often unchanged evidence is sent again, in case a message
// was lost.
const resendPeriod = 10 * time.Second

// OutgoingEvidence returns the evidence to send, by receiving host: this node's
// counters go to the evaluator of its data centre, and that evaluator's sums go
// to the evaluator of the mesh. Counters are cumulative. Each call returns only
// moves whose counters changed since the last call, and all of them every 10 s.
func (c *Controller) OutgoingEvidence() map[mesh.HostID][]Evidence {
	c.mu.Lock()
	defer c.unlock()
	all := c.mono-c.allSentAt >= resendPeriod
	if all {
		c.allSentAt = c.mono
	}
	out := map[mesh.HostID][]Evidence{}
	for _, id := range c.order {
		p := c.moves[id]
		if !p.needsEvaluation() || p.state == StateDone {
			continue // after the watch period each node evaluates only its own calls
		}
		if all || p.ownChanged {
			c.addOwnEvidence(p, out)
		}
		if p.role.active && (all || p.ownChanged || p.peerChanged) {
			c.addCentreEvidence(p, out)
		}
		if p.role.host != "" {
			p.ownChanged, p.peerChanged = false, false
		}
	}
	return out
}

func (c *Controller) addOwnEvidence(p *progress, out map[mesh.HostID][]Evidence) {
	if to := p.role.host; to != "" && to != c.cfg.Self {
		c.updateControl(p)
		out[to] = append(out[to], c.ownCounters.evidence(p.id)...)
	}
}

func (c *Controller) addCentreEvidence(p *progress, out map[mesh.HostID][]Evidence) {
	c.updateControl(p)
	switch to := c.pooledTest(p).role.host; to {
	case "": // no evaluator of the mesh is known
	case c.cfg.Self:
		for _, e := range c.centreSummary(p) {
			c.mergeMoveEvidence(p, c.cfg.Self, &e)
		}
	default:
		out[to] = append(out[to], c.centreSummary(p)...)
	}
}

// centreSummary returns the sums of the counters of all nodes of the data
// centre for a move.
func (c *Controller) centreSummary(p *progress) []Evidence {
	sums := newCounterStore()
	for _, s := range []*counterStore{c.ownCounters, c.peerCounters} {
		for k, n := range s.moves[p.id] {
			sums.row(p.id, rowKey{side: k.side, dc: k.dc, target: k.target}).combine(n, sum)
		}
	}
	list := sums.evidence(p.id)
	for i := range list {
		list[i].SummaryOf = c.cfg.DataCentre
	}
	return list
}

// mergeSummary merges the sums of a data centre. Two evaluators of one data
// centre send sums over the same nodes, so the rows are merged by the maximum.
func (c *Controller) mergeSummary(p *progress, e *Evidence) {
	s := p.centreState(e.DataCentre, c.mono)
	for i := range e.Targets {
		t := &e.Targets[i]
		k := rowKey{from: mesh.HostID(e.SummaryOf), side: e.Side, dc: e.DataCentre, target: t.Host}
		increase := c.centreSums.join(p.id, k, &t.Counters)
		if c.pooledTest(p).role.active {
			s.mesh.add(e.Side, t.Host, increase)
		}
	}
}

// updatePooledRole determines whether this node is the evaluator of the version
// for the mesh.
func (c *Controller) updatePooledRole(p *progress) {
	if c.cfg.MeshHosts == nil {
		return
	}
	pooled := c.pooledTest(p)
	if pooled.role.host != "" && c.mono-pooled.role.checkedAt < evidencePeriod {
		return
	}
	pooled.role.checkedAt = c.mono
	pooled.role.host = Evaluator(pooled.id, c.cfg.MeshHosts())
	active := pooled.role.host == c.cfg.Self
	if active && !pooled.role.active {
		pooled.role.activeSince, pooled.role.startedMidMove = c.mono, p.step > 0
		for _, other := range c.moves {
			if other.needsEvaluation() && other.versionAttempt() == p.versionAttempt() {
				for dc, s := range other.byCentre {
					s.mesh = newTally(c.mono)
					c.centreSums.forEach(other.id, dc, func(k rowKey, n *Counters) { s.mesh.add(k.side, k.target, n) })
				}
			}
		}
	}
	pooled.role.active = active
}

// evaluatePooled runs the tests for the whole mesh on a batch of one route and
// data centre.
func (c *Controller) evaluatePooled(p *progress, dc mesh.DataCentre, s *centreState) {
	pooled := c.pooledTest(p)
	s.mesh.closeBatch(c.mono)
	defer s.mesh.startBatch()
	if pooled.role.startedMidMove && c.mono-pooled.role.activeSince < takeoverPause {
		return
	}
	weight := p.batchWeight(c.mono - pooled.evaluatedAt)
	pooled.evaluatedAt = c.mono
	for sig, b := range p.batches(s.mesh, dc) {
		if b == nil {
			continue
		}
		pooled.tests[sig].update(b, weight)
		if pooled.tests[sig].logStatistic(p.newVersionHosts()) >= evaluatorLogThreshold(meshBudget, signal(sig)) {
			c.rejectVersion(p, c.pooledEvidenceText(p, signal(sig)))
			return
		}
	}
}

// pooledEvidenceText describes the evidence over all routes and data centres in
// one sentence.
func (c *Controller) pooledEvidenceText(p *progress, sig signal) string {
	t := newTally(0)
	for _, other := range c.moves {
		if other.versionAttempt() != p.versionAttempt() {
			continue
		}
		for k, n := range c.centreSums.moves[other.id] {
			t.counters(k.side, k.target).combine(n, sum)
		}
	}
	return "over all routes and data centres, " + t.comparisonText(p, sig)
}
