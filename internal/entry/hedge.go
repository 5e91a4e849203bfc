package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"nutmeghoist.example/nutmeghoist/internal/hop"
	"nutmeghoist.example/nutmeghoist/internal/view"
	"nutmeghoist.example/nutmeghoist/pkg/retry"
	"nutmeghoist.example/nutmeghoist/pkg/routing"
	"nutmeghoist.example/nutmeghoist/pkg/suspect"
)

const (
	// hedgeDelayFactor times the mean service time of the route must have passed
	// before a hedge is sent: few successful responses take that long.
	hedgeDelayFactor = 2.2
	// hedgeTimeFactor times the mean service time must be left for the hedge.
	hedgeTimeFactor = 1.3
)

// errAbandoned is why an attempt is cancelled after another one has succeeded.
var errAbandoned = errors.New("another attempt has succeeded")

// attempt is a finished attempt at a target.
type attempt struct {
	target *routing.Candidate
	resp   *hop.Response
}

// succeeded reports whether the attempt has a response without a server error.
func (a *attempt) succeeded() bool {
	return a.resp.Outcome == hop.Answered && a.resp.Status < http.StatusInternalServerError
}

// hedgeDelay returns how long to wait for a response before a hedge is sent to
// a second target; 0 means that none is sent. The delay is the longest after
// which the hedge is still expected to meet the soft deadline, but at least the
// time in which most successful responses arrive.
func (c *call) hedgeDelay() time.Duration {
	meanTime, _ := c.entry.routes.means(c.route.Name)
	if !c.route.Idempotent || meanTime == 0 || c.attempts+1 >= c.route.MaxAttempts {
		return 0
	}
	minDelay := time.Duration(hedgeDelayFactor * float64(meanTime))
	hedgeTime := time.Duration(hedgeTimeFactor * float64(meanTime))
	latestInTime := time.Until(c.softDeadline) - hedgeTime
	delay := max(minDelay, latestInTime)
	if time.Until(c.deadline)-delay < hedgeTime {
		return 0
	}
	return delay
}

// callWithHedge makes an attempt at a target, and a hedged one at a second
// target when the first does not respond within the hedge delay. The first
// successful response wins and the other attempt is cancelled. It returns the
// attempt that decides how the call continues.
func (c *call) callWithHedge(service *view.Service, set *routing.Set, t *routing.Candidate, isNew bool) (*routing.Candidate, *hop.Response) {
	c.offers++
	c.lastTarget = t.ID
	delay := c.hedgeDelay()
	if delay == 0 {
		return t, c.callTarget(c.ctx, service, t, isNew, c.repeat)
	}
	ctx, cancel := context.WithCancelCause(c.ctx)
	defer cancel(errAbandoned)
	ended := make(chan attempt, 2)
	run := func(t *routing.Candidate, repeat bool) {
		ended <- attempt{t, c.callTarget(ctx, service, t, isNew, repeat)}
	}
	go run(t, c.repeat)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case a := <-ended:
		return a.target, a.resp
	case <-timer.C:
	}
	hedge := c.hedgeTarget(set, t)
	if hedge == nil {
		a := <-ended
		return a.target, a.resp
	}
	go run(hedge, true)
	a := <-ended
	if !a.succeeded() {
		if b := <-ended; b.succeeded() || a.resp.Outcome == hop.NotRun {
			a, b = b, a
		}
	}
	c.lastTarget = a.target.ID
	return a.target, a.resp
}

// hedgeTarget returns the target for a hedge beside the attempt at first, or
// nil when no hedge is allowed.
func (c *call) hedgeTarget(set *routing.Set, first *routing.Candidate) *routing.Candidate {
	if c.suspicion().Verdict != suspect.Clear {
		return nil // targets end under the request; a second one is not risked
	}
	tried := c.tried
	tried.Targets = append(append([]*routing.Candidate(nil), tried.Targets...), first)
	tried.Shed = true // limits the choice to targets expected to respond in time
	p := c.costParams()
	p.TimeLeft = max(p.TimeLeft, time.Until(c.deadline)/2)
	t := set.PickCheapest(time.Now(), c.entry.rng, &tried, p)
	if t == nil {
		return nil
	}
	token, ok := c.takeHedge()
	if !ok {
		c.entry.count("noretry.team_limit")
		return nil
	}
	d := retry.Decide(retry.Attempt{
		Hedge: true, Idempotent: true, Replayable: true, Attempts: c.attempts + 1, TimeLeft: time.Until(c.deadline), PathBudget: 1,
	}, c.budget, c.entry.rng)
	if !d.Retry {
		c.returnToken(token)
		c.entry.count("noretry." + string(d.Reason))
		return nil
	}
	c.entry.count("retried." + string(d.Reason))
	c.offers++
	c.attempts++
	c.tried.Targets = append(c.tried.Targets, first)
	return t
}
