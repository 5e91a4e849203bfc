// Package routing matches requests to rules and picks the target of a call.
// It has no clock and no random source of its own: callers pass both as
// arguments.
package routing

import (
	"slices"
	"strings"

	"nutmeghoist.example/nutmeghoist/pkg/rules"
	"nutmeghoist.example/nutmeghoist/pkg/traffic"
)

// Matcher finds the rule of a request. It is immutable and safe for concurrent
// use.
type Matcher struct {
	byPattern   map[pattern][]*rules.Rule
	hosts       map[string]bool // hosts with rules of their own
	maxSegments int             // largest number of segments in a prefix
}

type pattern struct{ host, prefix string }

// NewMatcher compiles rules. The matcher points into the slice, which must not
// change afterwards.
func NewMatcher(list []rules.Rule) *Matcher {
	m := &Matcher{byPattern: make(map[pattern][]*rules.Rule, len(list)), hosts: make(map[string]bool)}
	for i := range list {
		r := &list[i]
		p := pattern{r.Host, strings.TrimRight(r.Prefix, "/")}
		m.byPattern[p] = append(m.byPattern[p], r)
		m.maxSegments = max(m.maxSegments, strings.Count(p.prefix, "/"))
		if r.Host != "" {
			m.hosts[r.Host] = true
		}
	}
	return m
}

// Match returns the rule with the longest prefix of path, on segment
// boundaries, that allows the method; nil when there is none. Rules for the host
// take precedence over rules without a host. A port in host is ignored.
func (m *Matcher) Match(method, host, path string) *rules.Rule {
	if len(m.hosts) > 0 {
		if host = traffic.HostName(host); m.hosts[host] {
			if r := m.match(method, host, path); r != nil {
				return r
			}
		}
	}
	return m.match(method, "", path)
}

func (m *Matcher) match(method, host, path string) *rules.Rule {
	prefix := firstSegments(path, m.maxSegments)
	for {
		for _, r := range m.byPattern[pattern{host, prefix}] {
			if allowsMethod(r, method) {
				return r
			}
		}
		if prefix == "" {
			return nil
		}
		prefix = prefix[:max(0, strings.LastIndexByte(prefix, '/'))]
	}
}

func allowsMethod(r *rules.Rule, method string) bool {
	return len(r.Methods) == 0 || slices.Contains(r.Methods, method)
}

// firstSegments returns the first n segments of path, so that a long path costs
// no more lookups than the longest rule has segments.
func firstSegments(path string, n int) string {
	for i := 0; i < len(path); i++ {
		if path[i] != '/' {
			continue
		}
		if n == 0 {
			return path[:i]
		}
		n--
	}
	return path
}
