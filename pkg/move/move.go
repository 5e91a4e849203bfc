// Package move decides how traffic moves to a new target version: the share it
// gets, whether the evidence speaks against it, and what may be reported.
package move

import (
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/rules"
)

// OutcomeKind says how a call to a target ended.
type OutcomeKind uint8

// The kinds of outcomes.
const (
	OutcomeOK        OutcomeKind = iota + 1
	OutcomeFailed                // the target answered with a server error
	OutcomeEarlyEnd              // the answer ended before it was whole
	OutcomeNoAnswer              // timeout or broken connection after dispatch
	OutcomeShed                  // the target refused because of load, without running the call
	OutcomeCancelled             // the caller left
)

// Outcome is what the proxy saw of one call to one target.
type Outcome struct {
	Service    mesh.ServiceName
	Version    mesh.TargetVersion
	Route      string
	Host       mesh.HostID // host of the target
	DataCentre mesh.DataCentre
	Kind       OutcomeKind
	Latency    time.Duration // from dispatch to the last byte, without queueing
	Cold       bool          // the target became ready less than a warm-up ago
}

// Chooser picks the version for a call. The proxy calls it for each call that a
// move rule matches; key is a stable hash of the call.
type Chooser interface {
	Choose(r *rules.Rule, key uint64) mesh.TargetVersion
}

// Observer takes the outcomes of calls. It must not block.
type Observer interface {
	Observe(o Outcome)
}
