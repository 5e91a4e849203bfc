// Package rules parses, checks, compiles and compares rules files: one routing
// rule a line, each with a trailing comment that names who asked for it.
package rules

import (
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// Rule is one line of a rules file.
type Rule struct {
	Line    int      // from 1
	Methods []string // upper case, sorted; empty means all methods
	Prefix  string   // path prefix, matched on segment boundaries

	Service mesh.ServiceName
	Version mesh.TargetVersion // the version that gets the traffic, or gets it by By

	From    mesh.TargetVersion // the version the traffic moves from; empty when the rule is no move
	By      time.Time          // when the move must be complete
	Attempt int                // from 1; raised by an operator to allow a version that was taken back

	Class      mesh.Class
	Timeout    time.Duration
	Idempotent *bool // nil means as HTTP defines it for the method

	Author string
	Reason string
}

// IsMove reports whether the rule moves traffic from one version to another.
func (r *Rule) IsMove() bool { return r.From != "" }

// Route names the route of the rule, for example "GET,POST /pantry".
func (r *Rule) Route() string {
	methods := "*"
	if len(r.Methods) > 0 {
		methods = strings.Join(r.Methods, ",")
	}
	return methods + " " + r.Prefix
}

// MoveID identifies the rule's move. It leaves out the time, so that an edit of
// the time continues the move.
func (r *Rule) MoveID() mesh.MoveID {
	h := xxhash.Sum64String(fmt.Sprintf("%s\x00%s\x00%s\x00%s\x00%d", r.Route(), r.Service, r.From, r.Version, r.Attempt))
	return mesh.MoveID(fmt.Sprintf("%016x", h))
}

// Target returns the service and the version that the rule leads to.
func (r *Rule) Target() mesh.ServiceVersion {
	return mesh.ServiceVersion{Service: r.Service, Version: r.Version}
}

// Previous returns the service and the version that the rule moves from.
func (r *Rule) Previous() mesh.ServiceVersion {
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
