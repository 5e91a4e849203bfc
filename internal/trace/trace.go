// Package trace gathers the log lines of one call from the logs of several
// nodes.
package trace

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"
)

// maxLine bounds a log line in bytes.
const maxLine = 1 << 20

// line is a log line with its time, which is as text in the order of time.
type line struct{ at, text string }

var (
	timeField = regexp.MustCompile(`\btime=(\S+)`)
	idField   = regexp.MustCompile(`\bid="([^"]*)"`)
)

// Trace collects the lines of one call. Its zero value has none.
type Trace struct{ lines []line }

// Read adds the lines of the call with the id, and of the calls that were made
// for it, whose ids begin with the same one and a dot.
func (t *Trace) Read(r io.Reader, id string) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		m := idField.FindStringSubmatch(s.Text())
		if m == nil || m[1] != id && !strings.HasPrefix(m[1], id+".") {
			continue
		}
		at := ""
		if f := timeField.FindStringSubmatch(s.Text()); f != nil {
			at = f[1]
		}
		t.lines = append(t.lines, line{at, s.Text()})
	}
	return s.Err()
}

// Write prints the lines in the order of their times; the clocks of hosts may
// differ by some milliseconds.
func (t *Trace) Write(w io.Writer) error {
	slices.SortStableFunc(t.lines, func(a, b line) int { return strings.Compare(a.at, b.at) })
	for _, l := range t.lines {
		if _, err := fmt.Fprintln(w, l.text); err != nil {
			return err
		}
	}
	return nil
}

// Len returns the number of lines.
func (t *Trace) Len() int { return len(t.lines) }
