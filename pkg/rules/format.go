package rules

import (
	"fmt"
	"strings"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// Format writes a rule as one line of a rules file, without a line end. Options
// at their defaults are left out. Parsing the line gives the same rule.
func Format(r Rule) string {
	var b strings.Builder
	fmt.Fprintf(&b, "route %s to %s %s", r.Route(), r.Service, r.Version)
	if r.IsMove() {
		fmt.Fprintf(&b, " from %s by %s", r.From, r.By.UTC().Format(time.RFC3339Nano))
		if r.Attempt > DefaultAttempt {
			fmt.Fprintf(&b, " attempt %d", r.Attempt)
		}
	}
	if r.Class != mesh.ClassNormal {
		fmt.Fprintf(&b, " class %s", r.Class)
	}
	if r.Timeout != DefaultTimeout {
		fmt.Fprintf(&b, " timeout %s", r.Timeout)
	}
	if r.Idempotent != nil {
		word := "no"
		if *r.Idempotent {
			word = "yes"
		}
		fmt.Fprintf(&b, " idempotent %s", word)
	}
	fmt.Fprintf(&b, " # %s:", r.Author)
	if r.Reason != "" {
		b.WriteString(" " + r.Reason)
	}
	return b.String()
}
