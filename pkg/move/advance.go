package move

import (
	"slices"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// resume puts a move at the current step of its schedule after a restart. The
// share depends only on the rule and the clock, so it is the same as before the
// restart.
func (c *Controller) resume(p *progress) {
	if p.state != StateWaiting || p.newVersionHosts() == 0 {
		return
	}
	c.fire(p, eventStart)
	p.step, p.stepAt = p.schedule.Step(c.now), c.mono
	c.fireFull(p)
}

// advance takes at most one step. Steps are at least MinStepDuration of
// monotonic time apart, so a forward jump of the wall clock cannot skip the
// early steps. A step is never lowered, so a backward jump has no effect.
func (c *Controller) advance(p *progress) {
	switch p.state {
	case StateWaiting:
		if p.newVersionHosts() == 0 {
			return
		}
		c.fire(p, eventStart)
		p.step, p.stepAt = 0, c.mono
	case StateMoving:
		if p.schedule.Step(c.now) > p.step && c.mono-p.stepAt >= p.schedule.MinStepDuration() {
			p.step, p.stepAt = p.step+1, c.mono
		}
	case StateFull:
		if !c.now.Before(p.schedule.WatchEnd()) {
			c.fire(p, eventWatchEnd)
		}
	}
	c.fireFull(p)
}

func (c *Controller) fireFull(p *progress) {
	if p.state == StateMoving && p.step == lastStep {
		c.fire(p, eventFull)
	}
}

// removeWithdrawn deletes withdrawn moves after their watch period.
func (c *Controller) removeWithdrawn() {
	for id, p := range c.moves {
		if p.state == StateWithdrawn && !c.now.Before(p.schedule.WatchEnd()) {
			delete(c.moves, id)
			delete(c.pooledTests, p.versionAttempt())
			c.order = slices.DeleteFunc(c.order, func(o mesh.MoveID) bool { return o == id })
		}
	}
}
