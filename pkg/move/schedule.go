package move

import "time"

// Share is a fraction of a route's calls in units of 1/10,000. It is an integer
// so that comparisons are exact.
type Share uint32

// FullShare is all calls of a route.
const FullShare Share = 10_000

// Limits of a schedule.
const (
	// MinWindow is the shortest time from acceptance to the deadline.
	MinWindow = 30 * time.Second
	// ClockSkewMargin is the time between the end of the schedule and the deadline.
	// Clock skew between hosts is tolerated up to this value.
	ClockSkewMargin = 2 * time.Second
	// WatchPeriod is how long after the deadline a fault still causes a rollback.
	WatchPeriod = 10 * time.Minute
	// minStepFloor is the lower bound of MinStepDuration, for short windows.
	minStepFloor = 500 * time.Millisecond
)

// steps are the shares of the schedule. Step i starts at i/len(steps) of the
// window, so the last step starts at 80%.
var steps = [...]Share{100, 500, 2500, 5000, FullShare}

// lastStep is the step with the full share.
const lastStep = len(steps) - 1

// Schedule gives the share of a move at any time. The share depends on nothing
// else, so every host computes the same share without communication.
type Schedule struct {
	Accepted time.Time
	By       time.Time // deadline for the full share
}

// End returns when the schedule ends, ClockSkewMargin before the deadline.
func (s Schedule) End() time.Time { return s.By.Add(-ClockSkewMargin) }

// WatchEnd returns when the watch period ends.
func (s Schedule) WatchEnd() time.Time { return s.By.Add(WatchPeriod) }

func (s Schedule) window() time.Duration { return max(0, s.End().Sub(s.Accepted)) }

// Step returns the step at now, counted from 0. A time before the acceptance
// counts as the acceptance, since the clocks of hosts differ.
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

// MinStepDuration returns the shortest time between two steps when a node
// catches up after a hold, a late start or a jump of its clock. With a fiftieth
// of the window, a node that was held until the last step still meets the
// deadline.
func (s Schedule) MinStepDuration() time.Duration { return max(minStepFloor, s.window()/50) }
