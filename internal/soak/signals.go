package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/pause"
	"nutmeghoist.example/nutmeghoist/platform"
)

const (
	// A node has passed a signal on when a caller has had the answer for signalDelay.
	signalDelay = 500 * time.Millisecond
	// A limit binds from limitDelay after it was first named. In any limitWindow at most
	// limitFactor times what it allows, and limitSlack calls, may arrive.
	limitDelay  = 3 * time.Second
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// rateLimitSpan is a time in which a target names a rate limit.
type rateLimitSpan struct {
	target     *target
	perSecond  int64
	begin, end time.Time // end is zero while it goes on
}

// signals returns the header lines in which the target says something of itself.
func (t *target) signals(draining bool) string {
	lines := ""
	if limit := t.rateLimit.Load(); limit > 0 {
		lines += fmt.Sprintf("%s: %d\r\n", platform.Headers.RateLimit, limit)
	}
	if draining {
		lines += platform.Headers.Leaving + ": 1\r\n"
	}
	return lines
}

// injectRateLimits makes targets name rate limits, one after the other and overlapping.
// Its schedule has a source of its own, see injectAnswerFaults.
func (c *cluster) injectRateLimits(ctx context.Context) {
	rng := rand.New(rand.NewPCG(c.options.Seed, 2))
	for end := time.Now().Add(c.options.Duration); time.Now().Before(end) && ctx.Err() == nil; {
		n, perSecond := c.nodes[rng.IntN(len(c.nodes))], int64(1+rng.IntN(9))
		duration := time.Duration(4+rng.IntN(6)) * time.Second
		gap := time.Duration(500+rng.IntN(1500)) * time.Millisecond
		n.eachServingTarget(func(t *target) {
			if t.rateLimit.CompareAndSwap(0, perSecond) {
				span := c.journal.beginRateLimit(t, perSecond)
				time.AfterFunc(duration, func() {
					t.rateLimit.Store(0)
					c.journal.endRateLimit(span)
				})
			}
		})
		pause.For(ctx, gap)
	}
}

func (j *journal) beginRateLimit(t *target, perSecond int64) *rateLimitSpan {
	j.mu.Lock()
	defer j.mu.Unlock()
	s := &rateLimitSpan{target: t, perSecond: perSecond, begin: time.Now()}
	j.limits = append(j.limits, s)
	return s
}

func (j *journal) endRateLimit(s *rateLimitSpan) {
	j.mu.Lock()
	defer j.mu.Unlock()
	s.end = time.Now()
}

// process is a process of a node.
type process struct {
	node   *node
	number int
}

// signalKey identifies what a process has been told about a target.
type signalKey struct {
	process
	target mesh.TargetID
}

// checkSignals checks that nodes which have passed on an answer go by what its target
// says. Calls of a process that was told nothing do not count.
func (j *journal) checkSignals() {
	limitTold, leavingTold := make(map[signalKey]time.Time), make(map[signalKey]time.Time)
	calls := make(map[string]*outcome, len(j.outcomes))
	for i := range j.outcomes {
		o := &j.outcomes[i]
		calls[o.id] = o
		key := signalKey{process{o.node, o.processNumber}, o.target}
		note := func(told map[signalKey]time.Time) {
			if at, ok := told[key]; !ok || o.end.Before(at) {
				told[key] = o.end
			}
		}
		if o.saysLimit {
			note(limitTold)
		}
		if o.saysLeaving {
			note(leavingTold)
		}
	}
	arrivals := make(map[*target][]time.Time)
	for _, r := range j.runs {
		o := calls[r.id]
		if o == nil {
			continue
		}
		key := signalKey{process{o.node, o.processNumber}, r.target.id}
		if at, ok := limitTold[key]; ok && r.at.After(at.Add(signalDelay)) {
			arrivals[r.target] = append(arrivals[r.target], r.at)
		}
		if at, ok := leavingTold[key]; ok && o.begin.After(at.Add(bounds.Drain)) {
			j.addViolationLocked("call %s reached target %s from %s, placed %s after an answer that said that the target leaves", r.id, r.target.id, o.node.host, o.begin.Sub(at))
		}
	}
	for _, s := range j.limits {
		j.checkRateLimit(s, arrivals[s.target])
	}
}

// checkRateLimit checks the arrivals at a target, in order, during a limit.
func (j *journal) checkRateLimit(s *rateLimitSpan, arrivals []time.Time) {
	allowed := int(limitFactor*float64(s.perSecond)*limitWindow.Seconds()) + limitSlack
	first := 0
	for last, at := range arrivals {
		if at.Before(s.begin.Add(limitDelay)) || !s.end.IsZero() && at.After(s.end) {
			first = last + 1
			continue
		}
		for at.Sub(arrivals[first]) >= limitWindow {
			first++
		}
		if n := last - first + 1; n > allowed {
			j.addViolationLocked("target %s got %d calls in %s under a limit of %d a second, %d allowed", s.target.id, n, limitWindow, s.perSecond, allowed)
			return
		}
	}
}
