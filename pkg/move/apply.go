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

// Apply takes a new snapshot. It reports false and changes nothing when the
// snapshot is older than one applied before. The first snapshot of a process
// puts each move at the step that its schedule gives at BuiltAt; later ones
// advance step by step in Tick.
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

// ApplyVeto records a veto that was heard from another node, before a snapshot holds
// it, and sets the share of its moves to zero at once.
func (c *Controller) ApplyVeto(v source.Veto) {
	c.mu.Lock()
	defer c.unlock()
	c.recordVeto(v)
	c.publish()
}

func (c *Controller) applyRules(s *snapshot.Snapshot, restart bool) {
	c.calls = map[callKey]callRef{}
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
		c.calls[callKey{r.Service, r.Version, r.Route()}] = callRef{p, SideNew}
		c.calls[callKey{r.Service, r.From, r.Route()}] = callRef{p, SideOld}
	}
	present := map[mesh.MoveID]bool{}
	for _, id := range c.ruleIDs {
		present[id] = true
	}
	for id, p := range c.moves {
		if !present[id] {
			c.fire(p, eventWithdraw)
			c.own.drop(id)
			c.merged.drop(id)
			c.sums.drop(id)
		}
	}
	c.order = slices.Sorted(maps.Keys(c.moves))
}

// applyMove starts a move or edits a known one. A move that returns after a
// withdrawal starts again from its schedule.
func (c *Controller) applyMove(id mesh.MoveID, r *rules.Rule, s *snapshot.Snapshot, restart bool) *progress {
	accepted, known := acceptedAt(id, s)
	p, ok := c.moves[id]
	if !ok || p.state == StateWithdrawn {
		c.made++
		p = &progress{
			id: id, state: moveChart.Initial(), step: -1, instance: c.cfg.Instance<<16 + c.made,
			schedule: Schedule{Accepted: accepted, By: r.By}, streams: map[mesh.DataCentre]*stream{},
		}
		c.moves[id] = p
	}
	if known {
		p.schedule.Accepted = accepted
	}
	p.rule = *r
	p.setTargets(s)
	if v, ok := c.vetoes[r.Target()]; ok && v.Attempt >= r.Attempt {
		c.takeBack(p, v)
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

// acceptedAt returns when a move was accepted and whether the snapshot says so.
// Without it the acceptance of the head counts, and without that the moment the
// snapshot was built: later is the safe side, since the share is then smaller.
func acceptedAt(id mesh.MoveID, s *snapshot.Snapshot) (at time.Time, known bool) {
	if t, ok := s.Accepted[id]; ok {
		return t, true
	}
	if s.Head.AcceptedAt.IsZero() {
		return s.BuiltAt, false
	}
	return s.Head.AcceptedAt, false
}

// setTargets counts the target hosts of both versions.
func (p *progress) setTargets(s *snapshot.Snapshot) {
	p.hosts = map[mesh.DataCentre]hostCount{}
	fresh := countHosts(s.Targets[p.rule.Target()])
	for dc, n := range fresh {
		p.hosts[dc] = hostCount{fresh: n}
	}
	old := countHosts(s.Targets[p.rule.Previous()])
	for dc, n := range old {
		h := p.hosts[dc]
		h.old = n
		p.hosts[dc] = h
	}
	p.oldGone = len(fresh) > 0 && len(old) == 0
	p.absent = len(fresh) == 0 && len(old) > 0
}

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

func (p *progress) freshHosts() int {
	n := 0
	for _, h := range p.hosts {
		n += h.fresh
	}
	return n
}

// recordVeto keeps the veto for good and takes back every move it covers.
func (c *Controller) recordVeto(v source.Veto) {
	key := mesh.ServiceVersion{Service: v.Service, Version: v.Version}
	if known, ok := c.vetoes[key]; !ok || known.Attempt < v.Attempt {
		c.vetoes[key] = v
	}
	for _, p := range c.moves {
		if p.rule.Target() == key && p.rule.Attempt <= v.Attempt {
			c.takeBack(p, v)
		}
	}
}

func (c *Controller) takeBack(p *progress, v source.Veto) {
	if p.state == StateTakenBack || p.state == StateWithdrawn {
		return
	}
	p.veto = &v
	c.fire(p, eventVeto)
}

// fire runs an event through the chart. An event that the state does not allow
// changes nothing; the chart's table test lists them.
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
