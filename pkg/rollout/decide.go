package rollout

import (
	"fmt"
	"math"
	"time"
)

const (
	// evidenceCalls is the number of calls from which a version is judged by Judge and
	// ShouldHold alone. With fewer, a version of which a quarter of the calls fail can
	// pass both by chance.
	evidenceCalls = 60
	// clearOdds is the logarithm of the odds below which a version with fewer calls may
	// be completed at once: 15 calls without a failure reach it.
	clearOdds = -3.0
	// completeOdds is the same for a version that has to be decided on, because the time
	// of its rollout ends. Lower values take good versions back more often, by failures
	// that any version has; higher ones complete more of the bad versions.
	completeOdds = -0.5
	// holdOdds is the same for a version whose share is not raised. Lower values make good
	// versions late whose first calls fail by chance.
	holdOdds = 0.7
	// decidePart is the part of Order.Within up to which the full share waits for more
	// evidence. It leaves time for the write of the final state.
	decidePart = 0.92
	// earlyCalls is the number of calls that a version may get before the schedule gives
	// it more than its first share. A service with little traffic has no evidence
	// otherwise. It is less than the calls that a bad version may get beyond its share.
	earlyCalls = 30
	// maxEarlyPermille is the highest share before that of the schedule. The old version
	// needs calls too for a comparison.
	maxEarlyPermille = 500
	// minEarlyTime is the least time over which earlyCalls are spread.
	minEarlyTime = time.Second
)

// Evidence is what the counts of a rollout say about its new version.
type Evidence struct {
	Bad      string  // the evidence that the version is bad, or ""
	Doubtful bool    // the share must not be raised
	New      Counts  // of the new version, on all routes
	Old      Counts  // of the old version, under the conditions of the new one's calls
	Odds     float64 // logarithm of the odds that the version is bad; for few calls only
	// PerSecond is the number of calls to both versions in a second; 0 while it is unknown.
	PerSecond float64
}

// Decision is the next step of a rollout.
type Decision struct {
	State    State
	Permille int
	Reason   string // of a roll-back
}

// Decide returns the next step of a rollout whose share has been in force for inForce.
func Decide(o *Order, permille int, elapsed, inForce time.Duration, e *Evidence) Decision {
	back := func(reason string) Decision { return Decision{State: RolledBack, Reason: reason} }
	mustDecide := float64(elapsed) >= decidePart*float64(o.Within)
	switch {
	case e.Bad != "":
		return back(e.Bad)
	case e.Doubtful && !MayHold(o, elapsed):
		return back(fmt.Sprintf("in doubt until the end: %d of %d calls failed", e.New.Failed, e.New.Calls))
	case mustDecide && e.seemsBad():
		return back(fmt.Sprintf("too few calls, of which too many failed: %d of %d, of the old version %d of %d", e.New.Failed, e.New.Calls, e.Old.Failed, e.Old.Calls))
	case permille == 1000 && !e.Doubtful && MayComplete(o, elapsed, inForce) && (e.isClear() || mustDecide):
		return Decision{State: Completed, Permille: permille}
	}
	return Decision{State: Running, Permille: nextShare(o, permille, elapsed, inForce, e)}
}

// isClear reports whether the version has had enough calls to be completed.
func (e *Evidence) isClear() bool { return e.New.Calls >= evidenceCalls || e.Odds <= clearOdds }

// seemsBad reports whether a version with few calls should rather be rolled back than
// completed. One without a failure should not.
func (e *Evidence) seemsBad() bool {
	return e.New.Calls < evidenceCalls && e.New.Failed > 0 && e.Odds > completeOdds
}

// nextShare returns the share that follows the current one. It skips no stage. While the
// version is in doubt or rather bad, the share is not raised, and is lowered when it is
// higher than maxHoldPermille or, with little traffic, than what gathers evidence.
func nextShare(o *Order, current int, elapsed, inForce time.Duration, e *Evidence) int {
	early := earlyShare(o, elapsed, e)
	if e.Doubtful || e.Odds > holdOdds {
		return min(current, max(maxHoldPermille, early))
	}
	allowed := max(ScheduledShare(o, elapsed), early)
	switch {
	case allowed < current && e.New.Calls >= earlyCalls:
		return allowed
	case allowed <= current || current > 0 && inForce < MinStageTime:
		return current
	}
	return nextStage(current)
}

// earlyShare returns the stage that gives the version earlyCalls calls by the end of the
// schedule's first stage, or 0.
func earlyShare(o *Order, elapsed time.Duration, e *Evidence) int {
	left := earlyCalls - e.New.Calls
	if ScheduledShare(o, elapsed) == 0 || e.PerSecond <= 0 || left <= 0 {
		return 0
	}
	span := max(minEarlyTime, time.Duration(schedule[2].fromPart*float64(o.Within))-elapsed)
	wanted := 1000 * float64(left) / (e.PerSecond * span.Seconds())
	share := 0
	for _, s := range schedule {
		if s.permille <= maxEarlyPermille && float64(s.permille) <= wanted {
			share = s.permille
		}
	}
	return share
}

// nextStage returns the share of the stage after that of the current share.
func nextStage(current int) int {
	for _, s := range schedule {
		if s.permille > current {
			return s.permille
		}
	}
	return current
}

// The failure rates that odds considers: rates of a good version, evenly spread by their
// logarithms, and parts of the other calls that a bad version fails in addition.
const (
	lowestRate, highestRate = 0.005, 0.5
	rateSteps               = 24
)

var excessRates = [...]float64{0.12, 0.20, 0.30, 0.45, 0.65}

// rateLogs holds the logarithms of a failure rate and of the rate of the other calls.
type rateLogs struct{ failed, succeeded float64 }

func logsOf(rate float64) rateLogs { return rateLogs{math.Log(rate), math.Log1p(-rate)} }

// likelihood returns the probability of the counts, up to a constant.
func (r rateLogs) likelihood(c *Counts) float64 {
	return math.Exp(float64(c.Failed)*r.failed + float64(c.Calls-c.Failed)*r.succeeded)
}

// ratesConsidered are the rates of a good version and, for each, those of a bad one.
var ratesConsidered = func() (list [rateSteps]struct {
	good rateLogs
	bad  [len(excessRates)]rateLogs
},
) {
	for i := range list {
		rate := lowestRate * math.Pow(highestRate/lowestRate, float64(i)/(rateSteps-1))
		list[i].good = logsOf(rate)
		for j, excess := range excessRates {
			list[i].bad[j] = logsOf(rate + excess*(1-rate))
		}
	}
	return list
}()

// odds returns the logarithm of the odds that the new version fails more often than the
// old one, when both were as likely before. Unlike a test against a fixed rate, it holds
// for few calls of both versions and for any rate at which the old one fails.
func (v *VersionCounts) odds() float64 {
	old := v.Old
	if old.Calls > evidenceCalls { // keeps the likelihoods within the range of a float64
		old.Failed = int64(math.Round(float64(old.Failed) * evidenceCalls / float64(old.Calls)))
		old.Calls = evidenceCalls
	}
	var good, bad float64
	for i := range ratesConsidered {
		r := &ratesConsidered[i]
		l := r.good.likelihood(&old)
		good += l * r.good.likelihood(&v.New)
		for _, b := range r.bad {
			bad += l * b.likelihood(&v.New) / float64(len(excessRates))
		}
	}
	return math.Log(bad / good)
}

// Evidence returns what the counts say. Evidence.PerSecond is 0 in the first window.
func (h *History) Evidence() Evidence {
	t := h.tally()
	e := Evidence{Bad: Judge(t), Doubtful: ShouldHold(t), PerSecond: h.perSecond()}
	odds := math.Inf(-1)
	for route := range t.Routes {
		v := h.fewCounts(route)
		e.New.add(v.New)
		e.Old.add(v.Old)
		// One failure on a route with a handful of calls says nothing about the route.
		if v.New.Failed >= 2 && v.New.Calls < evidenceCalls {
			odds = max(odds, v.odds())
		}
	}
	if e.New.Calls < evidenceCalls {
		e.Odds = max(odds, (&VersionCounts{New: e.New, Old: e.Old}).odds())
	}
	return e
}
