package proxy

import (
	"net/http"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/admission"
)

// Reason is why a call got no complete answer from a target.
type Reason string

// The reasons for refusals, all of which mean that the call was not run.
const (
	ReasonNotReady    Reason = "not_ready"    // the node has no configuration yet
	ReasonDraining    Reason = "draining"     // the node or the target is draining
	ReasonNoRoute     Reason = "no_route"     // no rule matches
	ReasonNoTarget    Reason = "no_target"    // the service version has no target that accepts calls
	ReasonBadRequest  Reason = "bad_request"  // a header of the call path is invalid
	ReasonDepth       Reason = "depth"        // the call chain is too long
	ReasonTargetGone  Reason = "target_gone"  // the target is not registered on its host
	ReasonUnreachable Reason = "unreachable"  // no connection to the target
	ReasonNodeDown    Reason = "node_down"    // no connection to the node of the target's host
	ReasonShed        Reason = "shed"         // the target refused for load
	ReasonQueueFull   Reason = "queue_full"   // the target's queue is full
	ReasonQueueWait   Reason = "queue_wait"   // queued much longer than expected
	ReasonDeadline    Reason = "deadline"     // the deadline cannot be met
	ReasonCancelled   Reason = "cancelled"    // the caller cancelled the call
	ReasonBody        Reason = "request_body" // the request body could not be read
	ReasonSuspect     Reason = "suspect"      // targets have ended under the same request
	ReasonSuspectBusy Reason = "suspect_busy" // other such requests are tried at the target
)

// The reasons for unknown outcomes.
const (
	ReasonTimeout    Reason = "timeout"     // no answer within the deadline
	ReasonBrokenLink Reason = "broken_link" // the connection broke before the answer
	ReasonEarlyEnd   Reason = "early_end"   // the answer ended before it was complete
)

// fromAdmission converts a reason of the limiter, which has the same name.
func fromAdmission(r admission.Reason) Reason { return Reason(r) }

// isOverload reports whether the reason is overload rather than a fault.
func (r Reason) isOverload() bool {
	switch r {
	case ReasonQueueFull, ReasonQueueWait, ReasonDeadline, ReasonShed:
		return true
	}
	return false
}

// status returns the HTTP status of a refusal for the reason.
func (r Reason) status() int {
	switch r {
	case ReasonNoRoute:
		return http.StatusNotFound
	case ReasonBadRequest, ReasonBody:
		return http.StatusBadRequest
	case ReasonDepth:
		return http.StatusLoopDetected
	case ReasonTimeout:
		return http.StatusGatewayTimeout
	case ReasonBrokenLink:
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

// defaultRetryAfter is sent to callers when there is no estimate.
const defaultRetryAfter = time.Second
