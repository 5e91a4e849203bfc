// Package rules parses, checks, compiles and compares rules files: one routing
// rule or one service a line, each with a trailing comment that names who asked
// for it.
package rules

import (
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// File is what a rules file says.
type File struct {
	Rules    []Rule
	Services []Service
}

// Service is the line of a rules file that limits the targets of a service.
type Service struct {
	Line        int // from 1
	Name        mesh.ServiceName
	Connections int    // that each target is given at most; 0 means as it announces
	HealthPath  string // where targets are probed; empty means /health

	Author string
	Reason string
}

// Rule is the line of a rules file that routes calls.
type Rule struct {
	Line    int      // from 1
	Methods []string // upper case, sorted; empty means all methods
	Host    string   // of the Host header, lower case, without port; empty means any
	Prefix  string   // path prefix, matched on segment boundaries

	Service mesh.ServiceName
	Version mesh.TargetVersion // the version that gets the traffic, or gets it by By

	From    mesh.TargetVersion // the version the traffic moves from; empty when the rule is no move
	By      time.Time          // when the move must be complete
	Attempt int                // from 1; raised by an operator to allow a version that was taken back

	// Shares divide the calls by weight; the first names Service and Version too.
	// Empty when all calls go to one version or the rule is a move.
	Shares []Share

	Class      mesh.Class
	Priority   *int // the number that Class was written as; nil when it was named
	Timeout    time.Duration
	Latency    time.Duration // within which the answer has its full worth; 0 means the timeout
	Retries    *int          // repeats of a call; nil means DefaultRetries
	Idempotent *bool         // nil means as HTTP defines it for the method

	Author string
	Reason string
}

// Share is a part of the calls of a rule.
type Share struct {
	mesh.ServiceVersion
	Weight int
}

// IsMove reports whether the rule moves traffic from one version to another.
func (r *Rule) IsMove() bool { return r.From != "" }

// Route names the route of the rule, for example "GET,POST /pantry" or
// "GET menus.example/pantry".
func (r *Rule) Route() string {
	methods := "*"
	if len(r.Methods) > 0 {
		methods = strings.Join(r.Methods, ",")
	}
	return methods + " " + r.Host + r.Prefix
}

// MoveID identifies the rule's move. It leaves out the time, so that an edit of
// the time continues the move.
func (r *Rule) MoveID() mesh.MoveID {
	h := xxhash.Sum64String(fmt.Sprintf("%s\x00%s\x00%s\x00%s\x00%d", r.Route(), r.Service, r.From, r.Version, r.Attempt))
	return mesh.MoveID(fmt.Sprintf("%016x", h))
}

// Destination returns the service and the version that the rule leads to.
func (r *Rule) Destination() mesh.ServiceVersion {
	return mesh.ServiceVersion{Service: r.Service, Version: r.Version}
}

// Destinations returns the service versions that the rule leads to.
func (r *Rule) Destinations() []mesh.ServiceVersion {
	if len(r.Shares) == 0 {
		return []mesh.ServiceVersion{r.Destination()}
	}
	all := make([]mesh.ServiceVersion, len(r.Shares))
	for i, s := range r.Shares {
		all[i] = s.ServiceVersion
	}
	return all
}

// ReachableDestinations returns the service versions that calls of the rule can be sent to,
// with the old version of a move.
func (r *Rule) ReachableDestinations() []mesh.ServiceVersion {
	if r.IsMove() {
		return []mesh.ServiceVersion{r.Destination(), r.OldDestination()}
	}
	return r.Destinations()
}

// Pick returns the part of a rule with shares that a call belongs to. Calls
// with the same hash go to the same part.
func (r *Rule) Pick(hash uint64) mesh.ServiceVersion {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total == 0 {
		return r.Destination()
	}
	at := int(hash % uint64(total))
	for _, s := range r.Shares {
		if at -= s.Weight; at < 0 {
			return s.ServiceVersion
		}
	}
	return r.Destination() // not reached: the weights add up to the total
}

// MaxRetries returns how often a call may be repeated.
func (r *Rule) MaxRetries() int {
	if r.Retries == nil {
		return DefaultRetries
	}
	return *r.Retries
}

// OldDestination returns the service and the version that the rule moves from.
func (r *Rule) OldDestination() mesh.ServiceVersion {
	return mesh.ServiceVersion{Service: r.Service, Version: r.From}
}

// IsIdempotent reports whether a call with the given method may run more than once.
func (r *Rule) IsIdempotent(method string) bool {
	if r.Idempotent != nil {
		return *r.Idempotent
	}
	switch method {
	case "GET", "HEAD", "OPTIONS", "PUT", "DELETE":
		return true
	}
	return false
}
