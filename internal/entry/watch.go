package entry

import (
	"context"
	"net/http"
	"time"

	"nutmeghoist.example/nutmeghoist/internal/hop"
	"nutmeghoist.example/nutmeghoist/internal/view"
	"nutmeghoist.example/nutmeghoist/pkg/retry"
	"nutmeghoist.example/nutmeghoist/pkg/routing"
)

const (
	// slowFactor times the mean of the route must have passed before a second
	// target is asked: few sound answers take that long.
	slowFactor = 2.2
	// spareFactor times the mean must be left for the second target.
	spareFactor = 1.3
)

// attempt is a try at a target with its end.
type attempt struct {
	t    *routing.Candidate
	resp *hop.Response
}

// good reports whether the attempt has the answer that the caller gets.
func (a *attempt) good() bool {
	return a.resp.Outcome == hop.Answered && a.resp.Status < http.StatusInternalServerError
}

// patience returns how long to wait for an answer before a second target is
// asked as well; 0 means until the deadline. It ends when a second answer would
// just be in time, but not before most sound answers have come.
func (c *call) patience() time.Duration {
	takes, _ := c.e.routes.expect(c.route.Name)
	if !c.route.Idempotent || takes == 0 || c.attempts+1 >= c.route.MaxAttempts {
		return 0
	}
	least := time.Duration(slowFactor * float64(takes))
	spare := time.Duration(spareFactor * float64(takes))
	inTime := time.Until(c.aim) - spare
	wait := max(least, inTime)
	if time.Until(c.deadline)-wait < spare {
		return 0
	}
	return wait
}

// tryWatched asks a target, and a second one when the first stays silent for
// too long. The first good answer counts; the other attempt is cancelled. It
// returns the attempt that the call goes on with.
func (c *call) tryWatched(service *view.Service, set *routing.Set, t *routing.Candidate, isNew bool) (*routing.Candidate, *hop.Response) {
	c.places++
	c.target = t.ID
	patience := c.patience()
	if patience == 0 {
		return t, c.try(c.ctx, service, t, isNew)
	}
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	ended := make(chan attempt, 2)
	run := func(t *routing.Candidate) { ended <- attempt{t, c.try(ctx, service, t, isNew)} }
	go run(t)
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case a := <-ended:
		return a.t, a.resp
	case <-timer.C:
	}
	second := c.second(set, t)
	if second == nil {
		a := <-ended
		return a.t, a.resp
	}
	go run(second)
	a := <-ended
	if !a.good() {
		if b := <-ended; b.good() || a.resp.Outcome == hop.NotRun {
			a, b = b, a
		}
	}
	c.target = a.t.ID
	return a.t, a.resp
}

// second returns the target for an attempt beside one that waits, or nil.
func (c *call) second(set *routing.Set, first *routing.Candidate) *routing.Candidate {
	tried := c.tried
	tried.Targets = append(append([]*routing.Candidate(nil), tried.Targets...), first)
	tried.Shed = true // only where the call is expected to be in time
	p := c.placement()
	p.TimeLeft = max(p.TimeLeft, time.Until(c.deadline)/2)
	t := set.PickCheapest(time.Now(), c.e.rng, &tried, p)
	if t == nil {
		return nil
	}
	d := retry.Decide(retry.Attempt{
		Hedge: true, Idempotent: true, Replayable: true, Attempts: c.attempts + 1, TimeLeft: time.Until(c.deadline), PathBudget: 1,
	}, c.budget, c.e.rng)
	if !d.Retry {
		c.e.count("noretry." + string(d.Reason))
		return nil
	}
	c.e.count("retried." + string(d.Reason))
	c.places++
	c.attempts++
	c.tried.Targets = append(c.tried.Targets, first)
	return t
}
