package admission

import "time"

// adaptive is the number of calls that may be at the target at once. It drops
// when the target sheds below its nominal slots and probes back by one.
type adaptive struct {
	nominal  int
	now      int
	lastShed time.Time
	nextUp   time.Time
	failed   int // probes in a row that the target answered by shedding
}

const (
	// shedRound is the time within which several sheds count as one, since they
	// answer calls that were sent together.
	shedRound = 10 * time.Millisecond

	// probeInterval is the time from a shed to the next probe. It doubles with
	// each failed probe, so that a target that stays reduced refuses few calls.
	probeInterval     = 200 * time.Millisecond
	maxProbeDoublings = 4
)

// shed takes a refusal of the target that had others calls at it.
func (a *adaptive) shed(others int, now time.Time) {
	if now.Sub(a.lastShed) < shedRound {
		a.lastShed = now
		return
	}
	if a.now < a.nominal && a.failed < maxProbeDoublings {
		a.failed++
	}
	a.lastShed = now
	a.now = max(1, min(others, a.now-1))
	a.nextUp = now.Add(probeInterval << a.failed)
}

// probe raises the limit when the time has come.
func (a *adaptive) probe(now time.Time) {
	if a.now >= a.nominal || now.Before(a.nextUp) {
		return
	}
	if now.Sub(a.lastShed) > probeInterval<<(a.failed+1) {
		a.failed = 0 // the last probe held
	}
	a.now++
	a.nextUp = now.Add(probeInterval)
}

// estimate measures the service time: its mean, and a value near the fastest
// tenth of the calls, which a deadline must leave at the least.
type estimate struct {
	mean time.Duration
	fast time.Duration
	at   time.Time
}

const (
	meanGain     = 0.1
	fastDownGain = 0.2
	fastUpGain   = 0.02

	// estimateAge is how long the estimate may refuse calls that would find a
	// free slot. Without it, a target that was slow once would never be measured
	// again.
	estimateAge = 500 * time.Millisecond
)

func (e *estimate) add(d time.Duration, now time.Time) {
	if e.at.IsZero() {
		e.mean, e.fast = d, d
	}
	gain := fastUpGain
	if d < e.fast {
		gain = fastDownGain
	}
	e.fast += time.Duration(gain * float64(d-e.fast))
	e.mean += time.Duration(meanGain * float64(d-e.mean))
	e.at = now
}

// tooLong reports whether a call cannot end within the time left.
func (e *estimate) tooLong(left time.Duration, now time.Time) bool {
	return e.fast > left && now.Sub(e.at) < estimateAge
}
