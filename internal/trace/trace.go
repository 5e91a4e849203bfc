// Package trace collects the log lines of one call from the logs of several
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

// maxLineBytes bounds the size of a log line.
const maxLineBytes = 1 << 20

// line is a log line and its time stamp. The lexical order of time stamps
// is their order in time.
type line struct{ timestamp, text string }

var (
	timeField = regexp.MustCompile(`\btime=(\S+)`)
	idField   = regexp.MustCompile(`\bid="([^"]*)"`)
)

// Trace collects the lines of one call. Its zero value has none.
type Trace struct{ lines []line }

// Read adds the lines of the call with the id, and of the calls made on its
// behalf, whose ids begin with that id and a dot.
func (t *Trace) Read(r io.Reader, id string) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		m := idField.FindStringSubmatch(s.Text())
		if m == nil || m[1] != id && !strings.HasPrefix(m[1], id+".") {
			continue
		}
		timestamp := ""
		if f := timeField.FindStringSubmatch(s.Text()); f != nil {
			timestamp = f[1]
		}
		t.lines = append(t.lines, line{timestamp, s.Text()})
	}
	return s.Err()
}

// Write writes the lines in the order of their time stamps. The clocks of hosts
// may differ by some milliseconds.
func (t *Trace) Write(w io.Writer) error {
	slices.SortStableFunc(t.lines, func(a, b line) int { return strings.Compare(a.timestamp, b.timestamp) })
	for _, l := range t.lines {
		if _, err := fmt.Fprintln(w, l.text); err != nil {
			return err
		}
	}
	return nil
}

// Len returns the number of lines.
func (t *Trace) Len() int { return len(t.lines) }
