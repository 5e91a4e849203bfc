// Package traffic holds the dynamic configuration that hosts serve by: routes
// selected by Host header and path prefix, the services they lead to, and the
// limits on what callers may send. Providers translate their own formats into
// these types.
package traffic

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/finding"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// Config is one version of the dynamic configuration. It is immutable.
type Config struct {
	Version  uint64
	Routes   []Route
	Services map[mesh.ServiceName]Service
	Limits   Limits
}

// Route says where the calls of a Host header and path prefix go.
type Route struct {
	Name          string
	Host          string // of the Host header, without a port
	Prefix        string // begins and ends with a slash
	Idempotent    bool   // a call may run more than once
	Timeout       time.Duration
	LatencyTarget time.Duration
	Priority      int // 0 is the highest
	Split         []WeightedService
	MaxAttempts   int // targets that one call may be sent to
}

// WeightedService is the part of a route's calls that goes to a service.
type WeightedService struct {
	Service mesh.ServiceName
	Weight  int
}

// Service describes the targets of a service.
type Service struct {
	HealthPath     string
	MaxConnections int // connections that each target accepts
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Check returns everything that makes the configuration unusable.
func (c *Config) Check() error {
	var list finding.List
	add := func(place, message, suggestion string) {
		list.Add(finding.Finding{File: place, Message: message, Suggestion: suggestion})
	}
	if c.Version == 0 {
		add("config", "has no version", "versions count from 1")
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		place := "route " + r.Name
		if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
			add(place, "prefix "+r.Prefix+" does not begin and end with a slash", "write it as /orders/")
		}
		if len(r.Split) == 0 {
			add(place, "leads to no service", "name a service or a split")
		}
		if r.Timeout <= 0 {
			add(place, "has no timeout", "a duration above 0")
		}
		for _, s := range r.Split {
			if _, ok := c.Services[s.Service]; !ok {
				add(place, "leads to the unknown service "+string(s.Service), "add it to the services")
			}
			if s.Weight < 0 {
				add(place, "has a negative weight", "0 or more")
			}
		}
	}
	return list.Err()
}

// Matcher finds the route of a call. It is immutable.
type Matcher struct {
	byHost map[string][]*Route // longest prefix first
}

// NewMatcher compiles the routes of a configuration.
func NewMatcher(c *Config) *Matcher {
	m := &Matcher{byHost: make(map[string][]*Route)}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		m.byHost[host] = append(m.byHost[host], r)
	}
	for _, routes := range m.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return m
}

// Match returns the route with the longest prefix of path among those of the
// host, or nil. A port in host is ignored.
func (m *Matcher) Match(host, path string) *Route {
	for _, r := range m.byHost[HostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// HostName returns the name in a Host header, in lower case and without a port.
func HostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Headers names the headers that nodes exchange with callers and targets. The
// names are those of the deployment that a node runs in.
type Headers struct {
	RequestID      string // names one attempt of a caller
	DeadlineMs     string // milliseconds that the caller or the node waits
	Stamp          string // a target's proof that it made the answer
	ExpectInstance string // the target for which a call is meant
	NotRun         string // on an answer: the target did not run the call
	CallerService  string // service of the host where the call began
}
