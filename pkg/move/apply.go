package move

import (
	"maps"
	"slices"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/chart"
	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/rules"
	"nutmeghoist.example/nutmeghoist/pkg/snapshot"
	"nutmeghoist.example/nutmeghoist/pkg/source"
)

// Apply applies a new snapshot. It reports false and changes nothing when the
// snapshot is older than one applied before. The first snapshot of a process
// puts each move at the step that its schedule gives at BuiltAt. A move that
// a later snapshot adds starts at the first step.
func (c *Controller) Apply(s *snapshot.Snapshot) bool {
	c.mu.Lock()
	defer c.unlock()
	if c.applied && s.Version.Compare(c.version) < 0 {
		return false
	}
	restart := !c.applied
	c.applied, c.version = true, s.Version
	if c.now.IsZero() {
		c.setTime(s.BuiltAt)
	}
	for id := range s.Vetoed {
		c.recordVeto(s.Vetoed[id])
	}
	c.applyRules(s, restart)
	c.publish()
	return true
}

// ApplyVeto records a veto received from another node before a snapshot contains
// it, and sets the share of its moves to zero at once.
func (c *Controller) ApplyVeto(v source.Veto) {
	c.mu.Lock()
	defer c.unlock()
	c.recordVeto(v)
	c.publish()
}

func (c *Controller) applyRules(s *snapshot.Snapshot, restart bool) {
	c.moveSides = map[callKey]moveSide{}
	c.rulesChanged = true
	c.ruleIDs = map[*rules.Rule]mesh.MoveID{}
	for i := range s.Rules {
		r := &s.Rules[i]
		if !r.IsMove() {
			continue
		}
		id := r.MoveID()
		c.ruleIDs[r] = id
		p := c.applyMove(id, r, s, restart)
		c.moveSides[callKey{r.Service, r.Version, r.Route()}] = moveSide{p, SideNew}
		c.moveSides[callKey{r.Service, r.From, r.Route()}] = moveSide{p, SideOld}
	}
	present := map[mesh.MoveID]bool{}
	for _, id := range c.ruleIDs {
		present[id] = true
	}
	for id, p := range c.moves {
		if !present[id] {
			c.fire(p, eventWithdraw)
			c.ownCounters.deleteMove(id)
			c.peerCounters.deleteMove(id)
			c.centreSums.deleteMove(id)
		}
	}
	c.order = slices.Sorted(maps.Keys(c.moves))
}

// applyMove starts a move or updates an existing one. A move that reappears
// after its withdrawal starts again.
func (c *Controller) applyMove(id mesh.MoveID, r *rules.Rule, s *snapshot.Snapshot, restart bool) *progress {
	accepted, exact := acceptedAt(id, s)
	p, ok := c.moves[id]
	if !ok || p.state == StateWithdrawn {
		c.movesStarted++
		p = &progress{
			id: id, state: moveChart.Initial(), step: -1, instance: c.cfg.Instance<<16 + c.movesStarted,
			schedule: Schedule{Accepted: accepted, By: r.By}, byCentre: map[mesh.DataCentre]*centreState{},
		}
		c.moves[id] = p
	}
	if exact {
		p.schedule.Accepted = accepted
	}
	p.rule = *r
	p.setTargets(s)
	if v, ok := c.vetoes[r.Destination()]; ok && v.Attempt >= r.Attempt {
		c.rollBack(p, v)
	}
	if !p.schedule.By.Equal(r.By) {
		c.fire(p, eventNewTime)
	}
	if restart {
		c.resume(p)
	} else {
		c.advance(p)
	}
	return p
}

// acceptedAt returns when a move was accepted and whether the snapshot contains
// that time. Otherwise it falls back to the acceptance of the head, or else to
// the time at which the snapshot was built. A later time is safer, since it
// gives a smaller share.
func acceptedAt(id mesh.MoveID, s *snapshot.Snapshot) (at time.Time, exact bool) {
	if t, ok := s.MoveAcceptedAt[id]; ok {
		return t, true
	}
	if s.Head.AcceptedAt.IsZero() {
		return s.BuiltAt, false
	}
	return s.Head.AcceptedAt, false
}

// setTargets counts the target hosts of both versions in each data centre.
func (p *progress) setTargets(s *snapshot.Snapshot) {
	p.hosts = map[mesh.DataCentre]hostCount{}
	newHosts := countHosts(s.Targets[p.rule.Destination()])
	for dc, n := range newHosts {
		p.hosts[dc] = hostCount{newVersion: n}
	}
	oldHosts := countHosts(s.Targets[p.rule.OldDestination()])
	for dc, n := range oldHosts {
		h := p.hosts[dc]
		h.oldVersion = n
		p.hosts[dc] = h
	}
	p.onlyNewTargets = len(newHosts) > 0 && len(oldHosts) == 0
	p.noNewTargets = len(newHosts) == 0 && len(oldHosts) > 0
}

// countHosts returns, by data centre, the number of hosts with a target that is
// not draining.
func countHosts(targets []snapshot.Target) map[mesh.DataCentre]int {
	type place struct {
		dc   mesh.DataCentre
		host mesh.HostID
	}
	seen := map[place]bool{}
	n := map[mesh.DataCentre]int{}
	for i := range targets {
		t := &targets[i]
		if p := (place{t.DataCentre, t.Host}); t.State != membership.TargetDraining && !seen[p] {
			seen[p] = true
			n[t.DataCentre]++
		}
	}
	return n
}

func (p *progress) newVersionHosts() int {
	n := 0
	for _, h := range p.hosts {
		n += h.newVersion
	}
	return n
}

// recordVeto stores the veto permanently and rolls back every move it covers.
func (c *Controller) recordVeto(v source.Veto) {
	key := mesh.ServiceVersion{Service: v.Service, Version: v.Version}
	if known, ok := c.vetoes[key]; !ok || known.Attempt < v.Attempt {
		c.vetoes[key] = v
	}
	for _, p := range c.moves {
		if p.rule.Destination() == key && p.rule.Attempt <= v.Attempt {
			c.rollBack(p, v)
		}
	}
}

func (c *Controller) rollBack(p *progress, v source.Veto) {
	if p.state == StateTakenBack || p.state == StateWithdrawn {
		return
	}
	p.veto = &v
	c.fire(p, eventVeto)
}

// fire applies an event to the state chart and runs the actions of the
// transition. An event that the state does not allow changes nothing. TestChart
// lists the events that each state allows.
func (c *Controller) fire(p *progress, e chart.Event) {
	t, err := moveChart.Next(p.state, e)
	if err != nil {
		return
	}
	p.state = t.To
	for _, a := range t.Actions {
		switch a {
		case actionZeroShare:
			p.step = -1
		case actionReschedule:
			p.schedule.By = p.rule.By
		case actionReportFault:
			c.reportFault(p)
		}
	}
}
