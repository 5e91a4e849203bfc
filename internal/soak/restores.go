package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/pause"
	"nutmeghoist.example/nutmeghoist/pkg/platform/platformtest"
	"nutmeghoist.example/nutmeghoist/platform"
)

// injectRestores takes the store away for a moment at random times and brings it back
// from a copy that is some seconds old. Its schedule has a source of its own, see
// injectAnswerFaults.
func (c *cluster) injectRestores(ctx context.Context) {
	rng := rand.New(rand.NewPCG(c.options.Seed, 3))
	for end := time.Now().Add(c.options.Duration); time.Now().Before(end) && ctx.Err() == nil; {
		pause.For(ctx, time.Duration(500+rng.IntN(3000))*time.Millisecond)
		copied := c.store.Copy()
		pause.For(ctx, time.Duration(300+rng.IntN(4000))*time.Millisecond)
		f := c.journal.beginFault("store-restored", c.nodes[0], c.nodes[0])
		c.store.SetFaults(platformtest.Faults{Down: true})
		pause.For(ctx, time.Duration(200+rng.IntN(800))*time.Millisecond)
		c.store.Restore(copied)
		c.store.SetFaults(platformtest.Faults{})
		c.config.writeAgain(ctx)
		c.journal.endFault(f)
	}
}

// checkStatusRows reports a final state of a rollout that operators have read and the
// store does not hold at the end.
func (c *cluster) checkStatusRows(ctx context.Context) {
	c.journal.mu.Lock()
	results := c.journal.rollouts
	c.journal.mu.Unlock()
	for _, r := range results {
		if !r.state.IsFinal() {
			continue
		}
		row, err := c.store.Get(ctx, platform.StatusKey(r.service))
		if _, state, _ := platform.DecodeStatus(row.Value); err != nil || state != r.state {
			c.journal.addViolation("the status of the rollout of %s is %q at the end, it was %s: %v", r.service, row.Value, r.state, err)
		}
	}
}
