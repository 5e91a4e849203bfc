// Package rules parses, checks, formats and compares rules files. Each line of a
// file is a routing rule or the settings of a service, with a trailing comment
// that names who asked for it.
package rules

import (
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// File is the content of a rules file.
type File struct {
	Rules    []Rule
	Services []Service
}

// Service holds the settings for a service's targets, from one line of a rules
// file.
type Service struct {
	Line        int // from 1
	Name        mesh.ServiceName
	Connections int    // upper limit of the connections that a target announces; 0 means no limit
	HealthPath  string // path of health checks; empty means /health

	Author string
	Reason string
}

// Rule is a routing rule, from one line of a rules file.
type Rule struct {
	Line    int      // from 1
	Methods []string // upper case, sorted; empty means all methods
	Host    string   // of the Host header, lower case, without port; empty means any
	Prefix  string   // path prefix, matched on segment boundaries

	Service mesh.ServiceName
	Version mesh.TargetVersion // the version that gets the calls; for a move, the new version

	From    mesh.TargetVersion // the old version of a move; empty if the rule is not a move
	By      time.Time          // when the move must be complete
	Attempt int                // from 1; operators raise it to allow a version that was rolled back

	// Shares divide the calls by weight. The first one is Service and Version.
	// Empty if all calls go to one version or the rule is a move.
	Shares []Share

	Class      mesh.Class
	Priority   *int // the number from which Class is derived; nil if the rule names the class
	Timeout    time.Duration
	Latency    time.Duration // latency target, the soft deadline of a call; 0 means that only Timeout applies
	Retries    *int          // retries of a call; nil means DefaultRetries
	Idempotent *bool         // nil means as HTTP defines it for the method

	Author string
	Reason string
}

// Share is one of the weighted destinations of a rule.
type Share struct {
	mesh.ServiceVersion
	Weight int
}

// IsMove reports whether the rule moves traffic from one version to another.
func (r *Rule) IsMove() bool { return r.From != "" }

// Route returns the route of the rule, for example "GET,POST /pantry" or
// "GET menus.example/pantry".
func (r *Rule) Route() string {
	methods := "*"
	if len(r.Methods) > 0 {
		methods = strings.Join(r.Methods, ",")
	}
	return methods + " " + r.Host + r.Prefix
}

// MoveID returns the ID of the rule's move. It does not depend on the completion
// time, so that the move continues when its time is edited.
func (r *Rule) MoveID() mesh.MoveID {
	h := xxhash.Sum64String(fmt.Sprintf("%s\x00%s\x00%s\x00%s\x00%d", r.Route(), r.Service, r.From, r.Version, r.Attempt))
	return mesh.MoveID(fmt.Sprintf("%016x", h))
}

// Destination returns the service version that the rule leads to, which is the
// new one of a move and the first of several shares.
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

// ReachableDestinations returns the service versions that calls of the rule can
// be sent to, including the old version of a move.
func (r *Rule) ReachableDestinations() []mesh.ServiceVersion {
	if r.IsMove() {
		return []mesh.ServiceVersion{r.Destination(), r.OldDestination()}
	}
	return r.Destinations()
}

// Pick returns the destination of a call among the weighted shares of the rule.
// Calls with the same hash get the same destination.
func (r *Rule) Pick(hash uint64) mesh.ServiceVersion {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total == 0 {
		return r.Destination()
	}
	position := int(hash % uint64(total))
	for _, s := range r.Shares {
		if position -= s.Weight; position < 0 {
			return s.ServiceVersion
		}
	}
	return r.Destination() // unreachable: the weights add up to the total
}

// MaxRetries returns how often a call may be retried.
func (r *Rule) MaxRetries() int {
	if r.Retries == nil {
		return DefaultRetries
	}
	return *r.Retries
}

// OldDestination returns the service version that the rule moves from.
func (r *Rule) OldDestination() mesh.ServiceVersion {
	return mesh.ServiceVersion{Service: r.Service, Version: r.From}
}

// IsIdempotent reports whether a call with the given method may be executed more
// than once.
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
