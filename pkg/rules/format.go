package rules

import (
	"fmt"
	"strings"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// Format returns a rule as one line of a rules file, without a line ending.
// Options with default values are left out. Parsing the line gives the same rule.
func Format(r Rule) string {
	var b strings.Builder
	fmt.Fprintf(&b, "route %s to %s %s", r.Route(), r.Service, r.Version)
	if r.IsMove() {
		fmt.Fprintf(&b, " from %s by %s", r.From, r.By.UTC().Format(time.RFC3339Nano))
		if r.Attempt > DefaultAttempt {
			fmt.Fprintf(&b, " attempt %d", r.Attempt)
		}
	}
	for i, s := range r.Shares {
		if i > 0 {
			fmt.Fprintf(&b, " and %s %s", s.Service, s.Version)
		}
		fmt.Fprintf(&b, " weight %d", s.Weight)
	}
	switch {
	case r.Priority != nil:
		fmt.Fprintf(&b, " priority %d", *r.Priority)
	case r.Class != mesh.ClassNormal:
		fmt.Fprintf(&b, " class %s", r.Class)
	}
	if r.Timeout != DefaultTimeout {
		fmt.Fprintf(&b, " timeout %s", r.Timeout)
	}
	if r.Latency > 0 {
		fmt.Fprintf(&b, " latency %s", r.Latency)
	}
	if r.Retries != nil {
		fmt.Fprintf(&b, " retries %d", *r.Retries)
	}
	if r.Idempotent != nil {
		word := "no"
		if *r.Idempotent {
			word = "yes"
		}
		fmt.Fprintf(&b, " idempotent %s", word)
	}
	b.WriteString(formatComment(r.Author, r.Reason))
	return b.String()
}

// FormatService returns a service as one line of a rules file, without a line
// ending.
func FormatService(s Service) string {
	var b strings.Builder
	fmt.Fprintf(&b, "service %s", s.Name)
	if s.Connections > 0 {
		fmt.Fprintf(&b, " connections %d", s.Connections)
	}
	if s.HealthPath != "" {
		fmt.Fprintf(&b, " health %s", s.HealthPath)
	}
	b.WriteString(formatComment(s.Author, s.Reason))
	return b.String()
}

func formatComment(author, reason string) string {
	if reason == "" {
		return " # " + author + ":"
	}
	return " # " + author + ": " + reason
}
