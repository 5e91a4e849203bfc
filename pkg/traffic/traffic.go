// Package traffic defines the dynamic configuration of hosts: routes that match
// the Host header and path prefix, the services of the routes, and the limits on
// what callers may send. Providers translate their own formats into these types.
package traffic

import (
	"cmp"
	"crypto/sha256"
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
	// Teams are the teams whose callers identify themselves by a key. Without any,
	// calls need no key.
	Teams []Team
}

// KeyDigest is the SHA-256 digest of an API key. The keys themselves are not kept.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of an API key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Team is a team of callers.
type Team struct {
	Name mesh.TeamName
	Keys []KeyDigest
	// Priority replaces the priority of the route of the team's calls; nil means that
	// the route's applies.
	Priority *int
	// Rate, in calls a second, and Burst, in calls, limit the team's calls at all hosts
	// together. A Rate of 0 means no limit.
	Rate  float64
	Burst float64
}

// Route matches calls by Host header and path prefix.
type Route struct {
	Name          string
	Host          string // value of the Host header, without a port
	Prefix        string // begins and ends with a slash
	Idempotent    bool   // a call may run more than once
	Timeout       time.Duration
	LatencyTarget time.Duration
	Priority      int // 0 is the highest
	Split         []WeightedService
	MaxAttempts   int // number of targets to which one call may be sent
	// Public means that calls need no key, also when there are teams.
	Public bool
	// LargeBodies means that the calls carry documents rather than small messages.
	LargeBodies bool
}

// WeightedService is a service of a route and its relative share of the calls.
type WeightedService struct {
	Service mesh.ServiceName
	Weight  int
}

// Service describes the targets of a service.
type Service struct {
	HealthPath     string
	MaxConnections int // per target
	// ColdTime is how long a target is cold after its start, and ColdRate the number of
	// calls a second that a cold target takes from all hosts together. A target that gets
	// many more crashes. A ColdRate of 0 means that targets need no protection.
	ColdTime time.Duration
	ColdRate float64
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// TakesLargeBodies reports whether a route carries large bodies.
func (c *Config) TakesLargeBodies() bool {
	return slices.ContainsFunc(c.Routes, func(r Route) bool { return r.LargeBodies })
}

// Check returns all errors that make the configuration unusable.
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
			add(place, "has no service", "name a service or a split")
		}
		if r.Timeout <= 0 {
			add(place, "has no timeout", "a duration above 0")
		}
		for _, s := range r.Split {
			if _, ok := c.Services[s.Service]; !ok {
				add(place, "refers to the unknown service "+string(s.Service), "add it to the services")
			}
			if s.Weight < 0 {
				add(place, "has a negative weight", "0 or more")
			}
		}
	}
	c.checkTeams(add)
	return list.Err()
}

// Matcher finds the route and the team of a call. It is immutable.
type Matcher struct {
	byHost   map[string][]*Route // longest prefix first
	teams    teamTable
	hasTeams bool
}

// NewMatcher compiles the routes and the teams of a configuration.
func NewMatcher(c *Config) *Matcher {
	m := &Matcher{byHost: make(map[string][]*Route), teams: newTeamTable(c.Teams), hasTeams: len(c.Teams) > 0}
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

// Headers holds the names of the headers that nodes exchange with callers and
// targets. The names depend on the deployment.
type Headers struct {
	RequestID      string // identifies one attempt of a caller
	DeadlineMs     string // milliseconds for which the caller or the node waits
	Stamp          string // proves that the target produced the answer
	ExpectInstance string // the target for which a call is meant
	NotRun         string // on an answer: the target did not run the call
	CallerService  string // service of the host where the call began
	RateLimit      string // on an answer: calls a second that the target takes from all nodes
	Leaving        string // on an answer: the target is about to leave
	APIKey         string // key of the caller's team; never forwarded
	Team           string // name of the caller's team, set by the node for the target
}
