package rules

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// knownMethods are the methods a rule may name. CONNECT has no path to match.
var knownMethods = []string{
	http.MethodDelete, http.MethodGet, http.MethodHead, http.MethodOptions,
	http.MethodPatch, http.MethodPost, http.MethodPut, http.MethodTrace,
}

// maxNameLength is the limit in bytes for names, which become parts of row keys.
const maxNameLength = 63

// maxHostLength is the limit of DNS in bytes.
const maxHostLength = 253

// parseMethods returns the methods of a list in sorted order, or nil for "*".
func (l *lineParser) parseMethods(w word) []string {
	if w.text == "*" {
		return nil
	}
	var methods []string
	column := w.column
	for m := range strings.SplitSeq(w.text, ",") {
		switch {
		case slices.Contains(methods, m):
			l.add(column, fmt.Sprintf("method %s is repeated", m), "name each method once")
		case !slices.Contains(knownMethods, m):
			l.add(column, fmt.Sprintf("%q is not a method", m), methodHint(m))
		default:
			methods = append(methods, m)
		}
		column += len(m) + 1
	}
	slices.Sort(methods)
	return methods
}

func methodHint(m string) string {
	if upper := strings.ToUpper(m); slices.Contains(knownMethods, upper) {
		return "write " + upper
	}
	return "expected * alone or a comma-separated list of " + strings.Join(knownMethods, ", ")
}

// parseHost sets the rule's host from a pattern such as menus.example/pantry and
// returns the remaining prefix. A pattern without a host is returned unchanged.
func (l *lineParser) parseHost(w word) word {
	i := strings.IndexByte(w.text, '/')
	if i <= 0 {
		return w
	}
	host := w.text[:i]
	switch {
	case host != strings.ToLower(host):
		l.add(w.column, fmt.Sprintf("host %q is not in lower case", host), "write "+strings.ToLower(host))
	case !isHost(host):
		l.add(w.column, fmt.Sprintf("%q is not a host", host), "write letters, digits, dots and hyphens without a port")
	}
	l.rule.Host = host
	return word{w.text[i:], w.column + i}
}

func isHost(s string) bool {
	if len(s) > maxHostLength {
		return false
	}
	for label := range strings.SplitSeq(s, ".") {
		if !isName(label) || strings.Contains(label, "_") {
			return false
		}
	}
	return true
}

// checkPrefix allows only one spelling of each path, so that prefixes can be
// compared as strings.
func (l *lineParser) checkPrefix(w word) {
	message, suggestion := "", ""
	switch {
	case !strings.HasPrefix(w.text, "/"):
		message, suggestion = "does not start with a slash", "write /"+w.text
	case w.text != "/" && strings.HasSuffix(w.text, "/"):
		message, suggestion = "ends with a slash", "leave it out; a prefix matches whole segments"
	case strings.Contains(w.text, "//"):
		message, suggestion = "has an empty segment", "write one slash between segments"
	case strings.ContainsAny(w.text, "?%*\\"):
		message, suggestion = "has a character that is not part of a decoded path", "write the path without query, escapes and wildcards"
	case hasDotSegment(w.text):
		message, suggestion = "has a dot segment", "write the path that it leads to"
	default:
		return
	}
	l.add(w.column, fmt.Sprintf("prefix %q %s", w.text, message), suggestion)
}

func hasDotSegment(path string) bool {
	for s := range strings.SplitSeq(path, "/") {
		if s == "." || s == ".." {
			return true
		}
	}
	return false
}

// nextName consumes the next word, which must be the name of a service or
// version.
func (l *lineParser) nextName(what string) (word, bool) {
	w, ok := l.nextValue(what, "a name of letters, digits, dots, underscores and hyphens")
	if ok && !isName(w.text) {
		l.add(w.column, fmt.Sprintf("%q is not a name", w.text),
			fmt.Sprintf("write 1 to %d letters, digits, dots, underscores or hyphens, with a letter or digit first", maxNameLength))
	}
	return w, ok
}

func isName(s string) bool {
	if s == "" || len(s) > maxNameLength {
		return false
	}
	for i := range len(s) {
		c := s[i]
		isAlnum := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !isAlnum && (i == 0 || !strings.ContainsRune("._-", rune(c))) {
			return false
		}
	}
	return true
}

// Years outside this range have no RFC 3339 form in some time zones.
const minYear, maxYear = 1970, 9998

func (l *lineParser) parseTime(w word) {
	var t time.Time
	if err := t.UnmarshalText([]byte(w.text)); err != nil {
		message, suggestion := fmt.Sprintf("%q is not an RFC 3339 time", w.text), "write a time such as 2026-12-05T06:00:00Z"
		if _, err := time.Parse("2006-01-02T15:04:05", w.text); err == nil {
			message, suggestion = fmt.Sprintf("time %q has no zone", w.text), "append Z for UTC or an offset such as +08:00"
		}
		l.add(w.column, message, suggestion)
		return
	}
	if t = t.UTC(); t.Year() < minYear || t.Year() > maxYear {
		l.add(w.column, fmt.Sprintf("year of time %q is out of range", w.text), fmt.Sprintf("write a year from %d to %d", minYear, maxYear))
	}
	l.rule.By = t
}

func (l *lineParser) parseAttempt(w word) {
	n, err := strconv.Atoi(w.text)
	if err != nil || n < DefaultAttempt || n > MaxAttempt || strconv.Itoa(n) != w.text {
		l.add(w.column, fmt.Sprintf("attempt %q is not a whole number from %d to %d", w.text, DefaultAttempt, MaxAttempt), "write a number such as 2")
		return
	}
	l.rule.Attempt = n
}

func (l *lineParser) parseClass(w word) {
	class, err := mesh.ParseClass(w.text)
	if err != nil {
		l.add(w.column, fmt.Sprintf("%q is not a class", w.text), "write urgent, normal or background")
		return
	}
	l.rule.Class = class
}

func (l *lineParser) parseTimeout(w word) {
	d, err := time.ParseDuration(w.text)
	switch {
	case err != nil:
		l.add(w.column, fmt.Sprintf("timeout %q is not a duration", w.text), "write a duration such as 800ms or 3s")
	case d < MinTimeout || d > MaxTimeout:
		l.add(w.column, fmt.Sprintf("timeout %s is out of range", w.text), fmt.Sprintf("write a duration from %s to %s", MinTimeout, MaxTimeout))
	default:
		l.rule.Timeout = d
	}
}

// parseNumber parses the next word as a whole number in a range and passes it to
// set.
func (l *lineParser) parseNumber(name string, low, high int, set func(w word, n int)) bool {
	w, ok := l.nextValue("N", fmt.Sprintf("a number from %d to %d", low, high))
	if !ok {
		return false
	}
	n, err := strconv.Atoi(w.text)
	if err != nil || n < low || n > high || strconv.Itoa(n) != w.text {
		l.add(w.column, fmt.Sprintf("%s %q is not a whole number in range", name, w.text), fmt.Sprintf("write a number from %d to %d", low, high))
		return true
	}
	set(w, n)
	return true
}

// parsePriority sets the priority and the class that it maps to.
func (l *lineParser) parsePriority(w word, n int) {
	if slices.ContainsFunc(l.words, func(w word) bool { return w.text == "class" }) {
		l.add(w.column, "a rule has a class or a priority, not both", "leave one of them out")
	}
	l.rule.Priority, l.rule.Class = &n, mesh.ClassOfPriority(n)
}

func (l *lineParser) parseLatency(w word) {
	d, err := time.ParseDuration(w.text)
	if err != nil || d < MinTimeout || d > MaxTimeout {
		l.add(w.column, fmt.Sprintf("latency %q is not a duration in range", w.text), fmt.Sprintf("write a duration from %s to %s", MinTimeout, MaxTimeout))
		return
	}
	l.rule.Latency = d
}

// checkLatency reports a latency target that no answer within the timeout misses.
func (l *lineParser) checkLatency() {
	if r := l.rule; r.Latency >= r.Timeout && r.Latency > 0 {
		l.add(l.end, fmt.Sprintf("latency %s is not below the timeout %s", r.Latency, r.Timeout), "write a shorter latency, or leave it out")
	}
}

func (l *lineParser) parseHealth(w word) {
	if !strings.HasPrefix(w.text, "/") || strings.ContainsAny(w.text, "?#%\\") {
		l.add(w.column, fmt.Sprintf("health path %q is not a plain path", w.text), "write a path such as /health")
		return
	}
	l.service.HealthPath = w.text
}

func (l *lineParser) parseIdempotent(w word) {
	yes := w.text == "yes"
	if !yes && w.text != "no" {
		l.add(w.column, fmt.Sprintf("idempotent %q is neither yes nor no", w.text), "write yes or no")
		return
	}
	l.rule.Idempotent = &yes
}
