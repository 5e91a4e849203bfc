// Package move controls how traffic moves to a new target version: the share of
// calls that the version gets, whether the evidence requires a rollback, and
// which reports to write.
package move

import (
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/rules"
)

// OutcomeKind is how a call to a target ended.
type OutcomeKind uint8

// The kinds of outcomes.
const (
	OutcomeOK        OutcomeKind = iota + 1
	OutcomeFailed                // the target answered with a server error
	OutcomeEarlyEnd              // the answer ended before it was complete
	OutcomeNoAnswer              // timeout or broken connection after dispatch
	OutcomeShed                  // the target refused the call because of load, without running it
	OutcomeCancelled             // the caller cancelled the call or disconnected
)

// Outcome describes one call of the proxy to one target.
type Outcome struct {
	Service    mesh.ServiceName
	Version    mesh.TargetVersion
	Route      string
	Host       mesh.HostID // host of the target
	DataCentre mesh.DataCentre
	Kind       OutcomeKind
	Latency    time.Duration // from dispatch to the last byte, without queueing
	Cold       bool          // the target became ready less than its warm-up period ago
}

// Chooser chooses the version for a call. The proxy uses it for each call that a
// move rule matches. key is a stable hash of the call.
type Chooser interface {
	Choose(r *rules.Rule, key uint64) mesh.TargetVersion
}

// Observer receives the outcomes of calls. It must not block.
type Observer interface {
	Observe(o Outcome)
}
