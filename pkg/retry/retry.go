// Package retry decides whether and when a call is retried, and bounds the
// retries that a node adds to the load. It has no clock and no random source of
// its own.
package retry

import (
	"math/rand/v2"
	"time"
)

// Reason is why a call is retried or not retried.
type Reason string

// The reasons to retry.
const (
	ReasonNotRun   Reason = "not_run"   // no target ran the call
	ReasonShed     Reason = "load"      // the target refused for load
	ReasonNoAnswer Reason = "no_answer" // may have run, but is idempotent
	ReasonSlow     Reason = "slow"      // has no answer yet, and is idempotent: a hedge
)

// The reasons not to retry.
const (
	ReasonNotIdempotent Reason = "not_idempotent" // may have run and must not run twice
	ReasonMaxAttempts   Reason = "tries"          // the maximum of attempts is reached
	ReasonDeadline      Reason = "deadline"       // no time for another attempt
	ReasonPathBudget    Reason = "path_budget"    // the calls upstream have used the retries of the path
	ReasonNodeBudget    Reason = "node_budget"    // the node's budget has no retry left
	ReasonBody          Reason = "body"           // the request body cannot be sent again
	ReasonCancelled     Reason = "cancelled"      // the caller has cancelled the call
)

const (
	// maxAttempts bounds the attempts of one call at one node.
	maxAttempts = 3
	// maxShedRetries is low so that an overload does not spread to every target.
	maxShedRetries = 1

	// The back-off has full jitter: it is uniform between zero and a bound that
	// doubles with each retry. The first bounds are small because the next attempt
	// goes to another target, and because a refusal for load must reach the caller
	// within 5 ms.
	notRunBackoff   = time.Millisecond
	noAnswerBackoff = 5 * time.Millisecond
	maxBackoff      = 100 * time.Millisecond

	// minTimeLeft is the time that must be left after the back-off.
	minTimeLeft = 2 * time.Millisecond
)

// Attempt describes a call after an attempt that got no usable answer.
type Attempt struct {
	NotRun       bool // no attempt so far may have run the call
	Shed         bool // the target refused for load
	Hedge        bool // the attempt has not ended, the next one runs in parallel
	Idempotent   bool
	Replayable   bool // the request body can be sent from its start
	Cancelled    bool
	Attempts     int           // so far
	ShedAttempts int           // so far, refused for load
	TimeLeft     time.Duration // until the deadline
	PathBudget   int           // retries left for the call and its calls downstream
}

// Decision says whether to retry, why, and after which back-off.
type Decision struct {
	Retry   bool
	Reason  Reason
	Backoff time.Duration
	// PathBudget is passed downstream with the next attempt. It is 0 when the call
	// may have run, so that not every level of a call chain repeats the calls of
	// the levels below.
	PathBudget int
}

// Decide applies the retry rules, and withdraws from the node's budget when it
// decides to retry.
func Decide(a Attempt, b *Budget, rng *rand.Rand) Decision {
	if reason := denyReason(a); reason != "" {
		return Decision{Reason: reason}
	}
	d := Decision{Retry: true, PathBudget: a.PathBudget - 1}
	bound := notRunBackoff
	switch {
	case a.Hedge:
		d.Reason, d.PathBudget, bound = ReasonSlow, 0, 0
	case !a.NotRun:
		d.Reason, d.PathBudget, bound = ReasonNoAnswer, 0, noAnswerBackoff
	case a.Shed:
		d.Reason = ReasonShed
	default:
		d.Reason = ReasonNotRun
	}
	bound = min(bound<<(a.Attempts-1), maxBackoff)
	d.Backoff = time.Duration(rng.Int64N(int64(bound) + 1))
	if a.TimeLeft-d.Backoff < minTimeLeft {
		return Decision{Reason: ReasonDeadline}
	}
	reserve := int64(0)
	if d.Reason == ReasonShed || d.Reason == ReasonSlow {
		reserve = b.shedReserve()
	}
	if !b.withdraw(reserve) {
		return Decision{Reason: ReasonNodeBudget}
	}
	return d
}

// denyReason returns the reason that forbids a retry, or "".
func denyReason(a Attempt) Reason {
	switch {
	case a.Cancelled:
		return ReasonCancelled
	case !a.NotRun && !a.Idempotent:
		return ReasonNotIdempotent
	case !a.Replayable:
		return ReasonBody
	case a.Attempts >= maxAttempts || a.ShedAttempts > maxShedRetries:
		return ReasonMaxAttempts
	case a.PathBudget <= 0:
		return ReasonPathBudget
	case a.TimeLeft < minTimeLeft:
		return ReasonDeadline
	}
	return ""
}
