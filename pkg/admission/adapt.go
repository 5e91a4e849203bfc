package admission

import "time"

// adaptiveLimit is the number of calls that may be in flight at the target. It
// drops when the target sheds load below its nominal slots, and is raised again in
// steps of one, each of which probes the target.
type adaptiveLimit struct {
	nominal      int
	current      int
	lastShed     time.Time
	nextProbe    time.Time
	failedProbes int // probes in a row after which the target shed load
}

const (
	// shedBurstWindow is the time within which several refusals count as one, since
	// they answer calls that were sent together.
	shedBurstWindow = 10 * time.Millisecond

	// probeInterval is the time from a refusal to the next probe. It doubles with
	// each failed probe, so that a target whose capacity stays reduced refuses few
	// calls.
	probeInterval     = 200 * time.Millisecond
	maxProbeDoublings = 4
)

// onShed lowers the limit after the target refused a call for load. inFlight is
// the number of other calls at the target.
func (a *adaptiveLimit) onShed(inFlight int, now time.Time) {
	if now.Sub(a.lastShed) < shedBurstWindow {
		a.lastShed = now
		return
	}
	if a.current < a.nominal && a.failedProbes < maxProbeDoublings {
		a.failedProbes++
	}
	a.lastShed = now
	a.current = max(1, min(inFlight, a.current-1))
	a.nextProbe = now.Add(probeInterval << a.failedProbes)
}

// probe raises the limit by one when the next probe is due.
func (a *adaptiveLimit) probe(now time.Time) {
	if a.current >= a.nominal || now.Before(a.nextProbe) {
		return
	}
	if now.Sub(a.lastShed) > probeInterval<<(a.failedProbes+1) {
		a.failedProbes = 0 // the last probe succeeded
	}
	a.current++
	a.nextProbe = now.Add(probeInterval)
}

// estimate estimates the service time by moving averages: its mean, and a low
// value near the fastest tenth of the calls, which is the minimum that a deadline
// must leave.
type estimate struct {
	mean      time.Duration
	low       time.Duration
	updatedAt time.Time
}

const (
	meanGain    = 0.1
	lowDownGain = 0.2
	lowUpGain   = 0.02

	// estimateTTL is how long an estimate may cause the refusal of calls that would
	// find a free slot. Without it, a target that was slow once would get no call
	// that measures it again.
	estimateTTL = 500 * time.Millisecond
)

func (e *estimate) add(d time.Duration, now time.Time) {
	if e.updatedAt.IsZero() {
		e.mean, e.low = d, d
	}
	gain := lowUpGain
	if d < e.low {
		gain = lowDownGain
	}
	e.low += time.Duration(gain * float64(d-e.low))
	e.mean += time.Duration(meanGain * float64(d-e.mean))
	e.updatedAt = now
}

// exceeds reports whether even a fast call takes longer than the time left.
func (e *estimate) exceeds(remaining time.Duration, now time.Time) bool {
	return e.low > remaining && now.Sub(e.updatedAt) < estimateTTL
}
