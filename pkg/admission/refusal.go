package admission

import (
	"fmt"
	"time"
)

// Reason says why a call was refused.
type Reason string

// The reasons. None of them means that the call ran.
const (
	ReasonQueueFull Reason = "queue_full" // no room to wait in the call's class
	ReasonDeadline  Reason = "deadline"   // the deadline cannot be met
	ReasonLate      Reason = "late"       // the aim cannot be met, and others can meet theirs
	ReasonQueueWait Reason = "queue_wait" // waited much longer than expected
	ReasonCancelled Reason = "cancelled"  // the caller left while the call waited
	ReasonDraining  Reason = "draining"   // the target takes no new work
)

// Refusal is the error for a call that was not admitted.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
}

func (r *Refusal) Error() string {
	return fmt.Sprintf("call refused: %s, retry after %s", r.Reason, r.RetryAfter)
}

// IsLoad reports whether the call was refused because of load.
func (r *Refusal) IsLoad() bool {
	return r.Reason == ReasonQueueFull || r.Reason == ReasonLate || r.Reason == ReasonDeadline || r.Reason == ReasonQueueWait
}

// refusalOf returns the error for a decision; nil when it is "".
func refusalOf(reason Reason, after time.Duration) error {
	if reason == "" {
		return nil
	}
	return &Refusal{Reason: reason, RetryAfter: after}
}

// MinRetryAfter keeps callers from retrying within the same burst.
const MinRetryAfter = 50 * time.Millisecond
