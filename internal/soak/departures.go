package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/pause"
)

// lateHeartbeatTime is how long after a target has left its late heartbeat is looked at.
const lateHeartbeatTime = 2 * time.Second

// injectDepartures lets targets leave, ends all processes, or some, at the same moment
// after the acknowledgement, and sends a heartbeat late that a target had sent before. Its
// schedule has a source of its own, see injectAnswerFaults.
func (c *cluster) injectDepartures(ctx context.Context) {
	rng := rand.New(rand.NewPCG(c.options.Seed, 6))
	for end := time.Now().Add(c.options.Duration); time.Now().Before(end) && ctx.Err() == nil; {
		pause.For(ctx, time.Duration(1000+rng.IntN(2500))*time.Millisecond)
		n := c.nodes[rng.IntN(len(c.nodes))]
		ended, after := c.nodes, time.Duration(rng.IntN(1200))*time.Millisecond
		if rng.IntN(3) == 0 {
			ended = []*node{n, c.nodes[rng.IntN(len(c.nodes))]}
		}
		late := time.Duration(rng.IntN(1500)) * time.Millisecond
		targets := n.servingTargets("")
		if len(targets) == 0 {
			continue
		}
		c.forget(ctx, targets[0], ended, after, late)
	}
}

// forget lets a target leave and ends processes after the acknowledgement. The late
// heartbeat arrives some time after the restart.
func (c *cluster) forget(ctx context.Context, t *target, ended []*node, after, late time.Duration) {
	path, body := t.encodeHeartbeat(false)
	var wg sync.WaitGroup
	defer wg.Wait()
	t.node.startTarget(ctx, t.version)
	wg.Go(func() { t.leave(ctx) })
	acked := false
	for begin := time.Now(); !acked && time.Since(begin) < 4*time.Second && ctx.Err() == nil; pause.For(ctx, 20*time.Millisecond) {
		acked = t.wasAcked()
	}
	if !acked {
		return // nothing was promised
	}
	pause.For(ctx, after)
	for _, n := range ended {
		f := c.journal.beginFault("herd", n, n)
		n.terminate(syscall.SIGKILL)
		c.journal.endFault(f)
	}
	pause.For(ctx, restartDelay+late)
	sent := time.Now()
	t.post(ctx, path, body)
	pause.For(ctx, lateHeartbeatTime)
	if runs := c.journal.runsOf(t, sent.Add(bounds.Drain/4)); runs > 0 && time.Since(t.ackedAt()) > bounds.Drain {
		c.journal.addViolation("target %s got %d calls after a late heartbeat; its drain was acknowledged before all processes ended", t.id, runs)
	}
}

// runsOf returns the number of calls that a target has run since a time, later than the
// drain time after it was acknowledged.
func (j *journal) runsOf(t *target, since time.Time) (n int) {
	acked := t.ackedAt()
	j.mu.Lock()
	defer j.mu.Unlock()
	for i := range j.runs {
		if r := &j.runs[i]; r.target == t && r.at.After(since) && r.at.Sub(acked) > bounds.Drain {
			n++
		}
	}
	return n
}

func (t *target) ackedAt() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.acked
}

func (t *target) wasAcked() bool { return !t.ackedAt().IsZero() }
