package move

import "time"

// Share is a part of a route's calls in units of 1/10,000, so that shares and
// their comparison are exact.
type Share uint32

// FullShare is all calls of a route.
const FullShare Share = 10_000

// Limits of a schedule.
const (
	// MinWindow is the shortest time from acceptance to the time set.
	MinWindow = 30 * time.Second
	// ClockSkewMargin is the time between the end of the schedule and the time set. Clock
	// skew between hosts is tolerated up to this value.
	ClockSkewMargin = 2 * time.Second
	// WatchPeriod is how long after the time set a fault still takes a version back.
	WatchPeriod = 10 * time.Minute
	// minStepFloor bounds the step length for catching up in the shortest window.
	minStepFloor = 500 * time.Millisecond
)

// steps are the shares of the schedule; step i starts at i/len(steps) of the
// window, so the last step starts at 80%.
var steps = [...]Share{100, 500, 2500, 5000, FullShare}

// lastStep is the step with the full share.
const lastStep = len(steps) - 1

// Schedule gives the share of a move at any time. It depends on nothing else, so
// every host computes the same share without messages.
type Schedule struct {
	Accepted time.Time
	By       time.Time
}

// End returns when the schedule ends, ClockSkewMargin before the time set.
func (s Schedule) End() time.Time { return s.By.Add(-ClockSkewMargin) }

// WatchEnd returns when the watch period ends.
func (s Schedule) WatchEnd() time.Time { return s.By.Add(WatchPeriod) }

func (s Schedule) window() time.Duration { return max(0, s.End().Sub(s.Accepted)) }

// Step returns the step at now, from 0. A time before the acceptance counts as
// the acceptance, since clocks differ between hosts.
func (s Schedule) Step(now time.Time) int {
	w := s.window()
	if w == 0 || !now.Before(s.End()) {
		return lastStep
	}
	elapsed := max(0, now.Sub(s.Accepted))
	return min(lastStep, int(elapsed/max(1, w/time.Duration(len(steps)))))
}

// Share returns the share at now.
func (s Schedule) Share(now time.Time) Share { return steps[s.Step(now)] }

// MinStepDuration is the shortest time between two steps when a node catches up after a
// hold, a late start or a jump of its clock. A fiftieth of the window lets a
// node that was held until the last step still meet the time set.
func (s Schedule) MinStepDuration() time.Duration { return max(minStepFloor, s.window()/50) }
