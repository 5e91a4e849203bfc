// Package finding collects the errors in an input with their positions, so that
// all of them can be reported together.
package finding

import (
	"fmt"
	"strings"
)

// Finding is one error in an input.
type Finding struct {
	File       string `json:"file,omitempty"`
	Line       int    `json:"line,omitempty"`   // from 1; 0 if the finding is about the whole input
	Column     int    `json:"column,omitempty"` // in bytes, from 1; 0 if it is about the whole line
	Message    string `json:"message"`
	Suggestion string `json:"suggestion,omitempty"` // how to correct the input
}

func (f Finding) String() string {
	var b strings.Builder
	if f.File != "" {
		b.WriteString(f.File)
		if f.Line > 0 {
			fmt.Fprintf(&b, ":%d", f.Line)
		}
		if f.Column > 0 {
			fmt.Fprintf(&b, ":%d", f.Column)
		}
		b.WriteString(": ")
	}
	b.WriteString(f.Message)
	if f.Suggestion != "" {
		fmt.Fprintf(&b, " (%s)", f.Suggestion)
	}
	return b.String()
}

// List is a list of findings. A non-empty list is an error.
type List []Finding

// Error returns all findings, one per line.
func (l List) Error() string {
	lines := make([]string, len(l))
	for i, f := range l {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Add appends a finding.
func (l *List) Add(f Finding) { *l = append(*l, f) }

// Err returns the list as an error, or nil when it is empty.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return l
}
