// Package routing matches requests to rules and picks the target of a call.
// It holds no clock and no random source: callers pass both as arguments.
package routing

import (
	"slices"
	"strings"

	"nutmeghoist.example/nutmeghoist/pkg/rules"
)

// Matcher finds the rule of a request. It is immutable and safe for concurrent
// use.
type Matcher struct {
	byPrefix map[string][]*rules.Rule
	segments int // the most segments of any prefix
}

// NewMatcher compiles rules. The matcher points into the slice, which must not
// change afterwards.
func NewMatcher(list []rules.Rule) *Matcher {
	m := &Matcher{byPrefix: make(map[string][]*rules.Rule, len(list))}
	for i := range list {
		prefix := strings.TrimRight(list[i].Prefix, "/")
		m.byPrefix[prefix] = append(m.byPrefix[prefix], &list[i])
		m.segments = max(m.segments, strings.Count(prefix, "/"))
	}
	return m
}

// Match returns the rule with the longest prefix of path, on segment
// boundaries, that takes the method; nil when there is none.
func (m *Matcher) Match(method, path string) *rules.Rule {
	prefix := cut(path, m.segments)
	for {
		for _, r := range m.byPrefix[prefix] {
			if takes(r, method) {
				return r
			}
		}
		if prefix == "" {
			return nil
		}
		prefix = prefix[:max(0, strings.LastIndexByte(prefix, '/'))]
	}
}

func takes(r *rules.Rule, method string) bool {
	return len(r.Methods) == 0 || slices.Contains(r.Methods, method)
}

// cut returns the first n segments of path, so that a long path costs no more
// lookups than the longest rule has segments.
func cut(path string, n int) string {
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
