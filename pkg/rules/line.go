package rules

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// Defaults and ranges of the options of rules and services.
const (
	DefaultTimeout = 2 * time.Second
	MinTimeout     = 10 * time.Millisecond
	MaxTimeout     = 60 * time.Second
	DefaultAttempt = 1
	MaxAttempt     = 1_000_000
	DefaultRetries = 2
	MaxRetries     = DefaultRetries
	MaxWeight      = 1000
	MaxPriority    = 9
	MaxConnections = 100_000
)

// keywords are the reserved words of the grammar. No service or version may use
// one as its name, so that a missing name is reported where it is missing.
var keywords = []string{
	"route", "to", "from", "by", "attempt", "weight", "and", "class", "priority",
	"timeout", "latency", "retries", "idempotent",
}

// options are the options of a rule in the order of the grammar.
var options = []string{"from", "weight", "class", "priority", "timeout", "latency", "retries", "idempotent"}

// serviceOptions are the options of a service in the order of the grammar.
var serviceOptions = []string{"connections", "health"}

// lineParser parses the words of one line. After an invalid value it reports a
// finding and continues. After an unexpected keyword it stops, because the
// meaning of the following words is unknown.
type lineParser struct {
	*parser
	lineNo  int
	rule    *Rule    // nil on the line of a service
	service *Service // nil on the line of a rule
	words   []word
	pos     int // index of the next word
	end     int // column after the last word
}

// add reports a finding at a column of the line.
func (l *lineParser) add(column int, message, suggestion string) {
	l.parser.add(l.lineNo, column, message, suggestion)
}

// parseRule parses a line that defines a rule.
func (l *lineParser) parseRule() {
	r := l.rule
	r.Class, r.Timeout, r.Attempt = mesh.ClassNormal, DefaultTimeout, DefaultAttempt
	if !l.expectKeyword("route") {
		return
	}
	methods, ok := l.nextValue("METHODS", "GET, a list such as GET,POST, or *")
	if !ok {
		return
	}
	r.Methods = l.parseMethods(methods)
	prefix, ok := l.nextValue("PREFIX", "a path such as /menus")
	if !ok {
		return
	}
	prefix = l.parseHost(prefix)
	l.checkPrefix(prefix)
	r.Prefix = prefix.text
	if !l.expectKeyword("to") {
		return
	}
	service, ok := l.nextName("SERVICE")
	if !ok {
		return
	}
	version, ok := l.nextName("VERSION")
	if !ok {
		return
	}
	r.Service, r.Version = mesh.ServiceName(service.text), mesh.TargetVersion(version.text)
	l.parseOptions(options)
	l.checkLatency()
}

// parseOptions parses the options of a line, which must be in the given order.
func (l *lineParser) parseOptions(options []string) {
	next := 0 // index of the first option that is still allowed
	for l.pos < len(l.words) {
		w := l.words[l.pos]
		i := slices.Index(options, w.text)
		switch {
		case i < 0:
			l.unexpectedOption(w, options[next:])
			return
		case i < next:
			l.add(w.column, fmt.Sprintf("%q is repeated or out of order", w.text),
				"the order is "+strings.Join(options, ", ")+", each at most once")
			return
		}
		next = i + 1
		l.pos++
		if !l.parseOption(w.text) {
			return
		}
	}
}

func (l *lineParser) unexpectedOption(w word, allowed []string) {
	want := "expected the comment # NAME: reason"
	if len(allowed) > 0 {
		want = "expected one of " + strings.Join(allowed, ", ") + ", or the comment # NAME: reason"
	}
	message := fmt.Sprintf("unexpected word %q", w.text)
	if w.text == "by" || w.text == "attempt" {
		message, want = fmt.Sprintf("%q without a move", w.text), "a move is from VERSION by TIME [attempt N]"
	}
	l.add(w.column, message, want)
}

// parseService parses a line that begins with "service".
func (l *lineParser) parseService() {
	l.pos++
	name, ok := l.nextName("SERVICE")
	if !ok {
		return
	}
	l.service.Name = mesh.ServiceName(name.text)
	before := l.total
	if l.parseOptions(serviceOptions); l.total == before && l.service.Connections == 0 && l.service.HealthPath == "" {
		l.add(l.end, "service has neither connections nor a health path", "write connections N or health PATH")
	}
}

// parseOption parses the value of one option and reports whether the rest of the
// line can be parsed.
func (l *lineParser) parseOption(name string) bool {
	switch name {
	case "from":
		return l.parseMove()
	case "weight":
		return l.parseShares()
	case "priority":
		return l.parseNumber("priority", 0, MaxPriority, l.parsePriority)
	case "latency":
		w, ok := l.nextValue("DURATION", "a duration such as 250ms")
		if ok {
			l.parseLatency(w)
		}
		return ok
	case "retries":
		return l.parseNumber("retries", 0, MaxRetries, func(_ word, n int) { l.rule.Retries = &n })
	case "connections":
		return l.parseNumber("connections", 1, MaxConnections, func(_ word, n int) { l.service.Connections = n })
	case "health":
		w, ok := l.nextValue("PATH", "a path such as /health")
		if ok {
			l.parseHealth(w)
		}
		return ok
	case "class":
		w, ok := l.nextValue("CLASS", "urgent, normal or background")
		if ok {
			l.parseClass(w)
		}
		return ok
	case "timeout":
		w, ok := l.nextValue("DURATION", "a duration such as 800ms or 3s")
		if ok {
			l.parseTimeout(w)
		}
		return ok
	default:
		w, ok := l.nextValue("yes or no", "yes or no")
		if ok {
			l.parseIdempotent(w)
		}
		return ok
	}
}

// parseMove parses the words after "from".
func (l *lineParser) parseMove() bool {
	r := l.rule
	from, ok := l.nextName("VERSION")
	if !ok {
		return false
	}
	r.From = mesh.TargetVersion(from.text)
	if r.From == r.Version {
		l.add(from.column, fmt.Sprintf("move from %s to itself", r.From), "name the version that serves the route now")
	}
	if !l.expectKeyword("by") {
		return false
	}
	by, ok := l.nextValue("TIME", "a time such as 2026-12-05T06:00:00Z")
	if !ok {
		return false
	}
	l.parseTime(by)
	if l.pos < len(l.words) && l.words[l.pos].text == "attempt" {
		l.pos++
		attempt, ok := l.nextValue("N", "a number from 1")
		if !ok {
			return false
		}
		l.parseAttempt(attempt)
	}
	return true
}

// parseShares parses the words after the first "weight".
func (l *lineParser) parseShares() bool {
	r := l.rule
	if r.IsMove() {
		l.add(l.words[l.pos-1].column, "a move has no weights", "leave out from VERSION by TIME, or the weights")
	}
	if !l.parseWeight(r.Destination()) {
		return false
	}
	for l.pos < len(l.words) && l.words[l.pos].text == "and" {
		l.pos++
		service, ok := l.nextName("SERVICE")
		if !ok {
			return false
		}
		version, ok := l.nextName("VERSION")
		if !ok || !l.expectKeyword("weight") {
			return false
		}
		destination := mesh.ServiceVersion{Service: mesh.ServiceName(service.text), Version: mesh.TargetVersion(version.text)}
		if slices.ContainsFunc(r.Shares, func(s Share) bool { return s.ServiceVersion == destination }) {
			l.add(service.column, fmt.Sprintf("%s is repeated", destination), "give each version one weight")
		}
		if !l.parseWeight(destination) {
			return false
		}
	}
	if len(r.Shares) == 1 {
		l.add(l.words[l.pos-1].column, "a single version needs no weight", "add and SERVICE VERSION weight N")
	}
	return true
}

// parseWeight parses the weight of one share.
func (l *lineParser) parseWeight(destination mesh.ServiceVersion) bool {
	return l.parseNumber("weight", 1, MaxWeight, func(_ word, n int) {
		l.rule.Shares = append(l.rule.Shares, Share{destination, n})
	})
}

// expectKeyword consumes the next word, which must be the given keyword.
func (l *lineParser) expectKeyword(want string) bool {
	if l.pos >= len(l.words) {
		l.add(l.end, fmt.Sprintf("line ends where %q is expected", want), grammarHint)
		return false
	}
	w := l.words[l.pos]
	if w.text != want {
		l.add(w.column, fmt.Sprintf("expected %q, found %q", want, w.text), grammarHint)
		return false
	}
	l.pos++
	return true
}

const grammarHint = "a rule is route METHODS [HOST]PREFIX to SERVICE VERSION [options] # NAME: reason"

// nextValue consumes the next word, which must not be a keyword.
func (l *lineParser) nextValue(what, example string) (word, bool) {
	if l.pos >= len(l.words) {
		l.add(l.end, fmt.Sprintf("line ends where %s is expected", what), "write "+example)
		return word{}, false
	}
	w := l.words[l.pos]
	if slices.Contains(keywords, w.text) {
		l.add(w.column, fmt.Sprintf("expected %s, found the keyword %q", what, w.text), "write "+example)
		return word{}, false
	}
	l.pos++
	return w, true
}
