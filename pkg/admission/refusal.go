package admission

import (
	"fmt"
	"time"
)

// Reason is why a call was refused.
type Reason string

// The reasons. None of them means that the call ran.
const (
	ReasonQueueFull Reason = "queue_full" // the queue has no room for the call's class
	ReasonDeadline  Reason = "deadline"   // the deadline cannot be met
	ReasonLate      Reason = "late"       // the soft deadline cannot be met, and other calls are queued
	ReasonQueueWait Reason = "queue_wait" // the call was queued much longer than expected
	ReasonCancelled Reason = "cancelled"  // the caller cancelled the queued call
	ReasonDraining  Reason = "draining"   // the target takes no new calls
	ReasonRateLimit Reason = "rate_limit" // the rate that the target takes leaves no room in time
	ReasonCold      Reason = "cold_start" // the rate that the target takes while it is cold leaves no room in time
)

// Refusal is the error for a call that was not admitted.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration // after which the caller may try again
}

func (r *Refusal) Error() string {
	return fmt.Sprintf("call refused: %s, retry after %s", r.Reason, r.RetryAfter)
}

// IsLoad reports whether the reason is the load of the target.
func (r Reason) IsLoad() bool {
	switch r {
	case ReasonQueueFull, ReasonLate, ReasonDeadline, ReasonQueueWait, ReasonRateLimit, ReasonCold:
		return true
	}
	return false
}

// refusalError returns a *Refusal, or nil when reason is "".
func refusalError(reason Reason, retryAfter time.Duration) error {
	if reason == "" {
		return nil
	}
	return &Refusal{Reason: reason, RetryAfter: retryAfter}
}

// MinRetryAfter is the minimum delay that a refused call's RetryAfter asks for. It
// is long enough that callers do not retry within the same burst.
const MinRetryAfter = 50 * time.Millisecond
