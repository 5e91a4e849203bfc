package evacuation

import "time"

// staleShare is the share of the operators' bound for which a process goes by what it
// knows without hearing its neighbours. The rest is for the way of the news.
const staleShare = 0.7

// minStaleTime is the time after which links on which nothing is received are closed.
const minStaleTime = 3 * time.Second

// IsStale reports whether a process may have missed an evacuation, which must be in force
// within bound, because it was paused: its links are open, but it has not read them for so
// long that they would have been closed if it had run. lastHeard is when it last received
// something on an open link, and zero without one: a process that is cut off goes by what
// it knows. All times are of the steady clock. Without a bound, nothing is stale.
func IsStale(bound time.Duration, lastHeard, now time.Time) bool {
	return bound > 0 && !lastHeard.IsZero() && now.Sub(lastHeard) > max(minStaleTime, time.Duration(staleShare*float64(bound)))
}
