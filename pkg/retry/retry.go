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
	NotRun   Reason = "not_run"   // no target ran the call
	Load     Reason = "load"      // the target refused for load
	NoAnswer Reason = "no_answer" // may have run, but is idempotent
	Slow     Reason = "slow"      // still waits for an answer, and is idempotent
)

// The reasons to give up.
const (
	NotIdempotent Reason = "not_idempotent" // may have run and must not run twice
	Tries         Reason = "tries"          // tried often enough
	Deadline      Reason = "deadline"       // no time for another attempt
	PathBudget    Reason = "path_budget"    // the calls above have used the retries of the path
	NodeBudget    Reason = "node_budget"    // the node has used its share of retries
	Body          Reason = "body"           // the request body cannot be sent again
	Cancelled     Reason = "cancelled"      // the caller left
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
	NotRun     bool // neither this attempt nor one before may have run the call
	ByLoad     bool // the target refused for load
	Waiting    bool // the attempt has not ended: the next one is made beside it
	Idempotent bool
	Replayable bool // the request body can be sent from its start
	Cancelled  bool
	Tries      int           // attempts so far
	LoadTries  int           // attempts so far that were refused for load
	Left       time.Duration // until the deadline
	PathBudget int           // retries left for the call and the calls below it
}

// Decision says whether to try again, why, and after which wait.
type Decision struct {
	Retry  bool
	Reason Reason
	Wait   time.Duration
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
	case a.Waiting:
		d.Reason, d.PathBudget, bound = Slow, 0, 0
	case !a.NotRun:
		d.Reason, d.PathBudget, bound = NoAnswer, 0, noAnswerWait
	case a.ByLoad:
		d.Reason = Load
	default:
		d.Reason = NotRun
	}
	bound = min(bound<<(a.Tries-1), maxWait)
	d.Wait = time.Duration(rng.Int64N(int64(bound) + 1))
	if a.Left-d.Wait < minLeft {
		return Decision{Reason: Deadline}
	}
	reserve := int64(0)
	if d.Reason == Load || d.Reason == Slow {
		reserve = b.loadReserve()
	}
	if !b.take(reserve) {
		return Decision{Reason: NodeBudget}
	}
	return d
}

// refuse returns the reason that forbids a retry, or "".
func refuse(a Attempt) Reason {
	switch {
	case a.Cancelled:
		return Cancelled
	case !a.NotRun && !a.Idempotent:
		return NotIdempotent
	case !a.Replayable:
		return Body
	case a.Tries >= maxTries || a.LoadTries > maxLoadRetries:
		return Tries
	case a.PathBudget <= 0:
		return PathBudget
	case a.Left < minLeft:
		return Deadline
	}
	return ""
}
