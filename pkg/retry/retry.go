// Package retry decides whether a call may be tried again, when, and how many
// retries a node adds to the load. It holds no clock and no random source.
package retry

import (
	"math/rand/v2"
	"time"
)

// Reason says why a call is tried again or why it is not.
type Reason string

// The reasons to try again.
const (
	ReasonNotRun   Reason = "not_run"   // no target ran the call
	ReasonShed     Reason = "load"      // the target refused for load
	ReasonNoAnswer Reason = "no_answer" // may have run, but is idempotent
	ReasonSlow     Reason = "slow"      // still waits for an answer, and is idempotent
)

// The reasons to give up.
const (
	ReasonNotIdempotent Reason = "not_idempotent" // may have run and must not run twice
	ReasonMaxAttempts   Reason = "tries"          // tried often enough
	ReasonDeadline      Reason = "deadline"       // no time for another attempt
	ReasonPathBudget    Reason = "path_budget"    // the calls above have used the retries of the path
	ReasonNodeBudget    Reason = "node_budget"    // the node has used its share of retries
	ReasonBody          Reason = "body"           // the request body cannot be sent again
	ReasonCancelled     Reason = "cancelled"      // the caller left
)

const (
	// maxTries bounds the attempts of one call at one node.
	maxTries = 3
	// maxLoadRetries keeps an overload from being offered to every target.
	maxLoadRetries = 1

	// Full jitter draws the wait from zero to a bound that doubles with each
	// retry. The first bounds are small because the next attempt goes to another
	// target; a refusal for load must reach the caller within 5 ms.
	refusedWait  = time.Millisecond
	noAnswerWait = 5 * time.Millisecond
	maxWait      = 100 * time.Millisecond

	// minLeft is the time that must be left after the wait.
	minLeft = 2 * time.Millisecond
)

// Attempt describes a call after an attempt without an answer.
type Attempt struct {
	NotRun       bool // neither this attempt nor one before may have run the call
	Shed         bool // the target refused for load
	Hedge        bool // the attempt has not ended: the next one is made beside it
	Idempotent   bool
	Replayable   bool // the request body can be sent from its start
	Cancelled    bool
	Attempts     int           // attempts so far
	ShedAttempts int           // attempts so far that were refused for load
	TimeLeft     time.Duration // until the deadline
	PathBudget   int           // retries left for the call and the calls below it
}

// Decision says whether to try again, why, and after which wait.
type Decision struct {
	Retry   bool
	Reason  Reason
	Backoff time.Duration
	// PathBudget is what the next attempt passes on. It is 0 when the call may
	// have run, so that the calls below an attempt are not repeated by each
	// level of a chain.
	PathBudget int
}

// Decide applies the rules and takes a retry from the node's budget when it
// decides for one.
func Decide(a Attempt, b *Budget, rng *rand.Rand) Decision {
	if reason := refuse(a); reason != "" {
		return Decision{Reason: reason}
	}
	d := Decision{Retry: true, PathBudget: a.PathBudget - 1}
	bound := refusedWait
	switch {
	case a.Hedge:
		d.Reason, d.PathBudget, bound = ReasonSlow, 0, 0
	case !a.NotRun:
		d.Reason, d.PathBudget, bound = ReasonNoAnswer, 0, noAnswerWait
	case a.Shed:
		d.Reason = ReasonShed
	default:
		d.Reason = ReasonNotRun
	}
	bound = min(bound<<(a.Attempts-1), maxWait)
	d.Backoff = time.Duration(rng.Int64N(int64(bound) + 1))
	if a.TimeLeft-d.Backoff < minLeft {
		return Decision{Reason: ReasonDeadline}
	}
	reserve := int64(0)
	if d.Reason == ReasonShed || d.Reason == ReasonSlow {
		reserve = b.loadReserve()
	}
	if !b.take(reserve) {
		return Decision{Reason: ReasonNodeBudget}
	}
	return d
}

// refuse returns the reason that forbids a retry, or "".
func refuse(a Attempt) Reason {
	switch {
	case a.Cancelled:
		return ReasonCancelled
	case !a.NotRun && !a.Idempotent:
		return ReasonNotIdempotent
	case !a.Replayable:
		return ReasonBody
	case a.Attempts >= maxTries || a.ShedAttempts > maxLoadRetries:
		return ReasonMaxAttempts
	case a.PathBudget <= 0:
		return ReasonPathBudget
	case a.TimeLeft < minLeft:
		return ReasonDeadline
	}
	return ""
}
