package rules

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// Defaults and ranges of the options of a rule.
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

// keywords are the words of the grammar. They are no names of services or
// versions, so that a forgotten name is found where it is missing.
var keywords = []string{
	"route", "to", "from", "by", "attempt", "weight", "and", "class", "priority",
	"timeout", "latency", "retries", "idempotent",
}

// options are the optional parts of a rule in the order of the grammar.
var options = []string{"from", "weight", "class", "priority", "timeout", "latency", "retries", "idempotent"}

// serviceOptions are the optional parts of a service in the order of the grammar.
var serviceOptions = []string{"connections", "health"}

// lineParser reads the words of one line. A wrong value is reported and reading
// goes on; a wrong keyword ends the line, since the meaning of the words after it
// is not known.
type lineParser struct {
	*parser
	no      int      // of the line
	rule    *Rule    // set on the line of a route
	service *Service // set on the line of a service
	words   []word
	pos     int
	end     int // column after the last word
}

// add reports a finding at a column of the line.
func (l *lineParser) add(column int, message, suggestion string) {
	l.parser.add(l.no, column, message, suggestion)
}

// parseRule reads the line of a route.
func (l *lineParser) parseRule() {
	r := l.rule
	r.Class, r.Timeout, r.Attempt = mesh.ClassNormal, DefaultTimeout, DefaultAttempt
	if !l.keyword("route") {
		return
	}
	methods, ok := l.value("METHODS", "GET, a list as GET,POST, or *")
	if !ok {
		return
	}
	r.Methods = l.methods(methods)
	prefix, ok := l.value("PREFIX", "a path as /menus")
	if !ok {
		return
	}
	prefix = l.host(prefix)
	l.checkPrefix(prefix)
	r.Prefix = prefix.text
	if !l.keyword("to") {
		return
	}
	service, ok := l.name("SERVICE")
	if !ok {
		return
	}
	version, ok := l.name("VERSION")
	if !ok {
		return
	}
	r.Service, r.Version = mesh.ServiceName(service.text), mesh.TargetVersion(version.text)
	l.options(options)
	l.checkLatency()
}

// options reads the optional parts of a line.
func (l *lineParser) options(options []string) {
	next := 0 // index of the first option that may still come
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
		if !l.option(w.text) {
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

// parseService reads a line that begins with "service".
func (l *lineParser) parseService() {
	l.pos++
	name, ok := l.name("SERVICE")
	if !ok {
		return
	}
	l.service.Name = mesh.ServiceName(name.text)
	before := l.total
	if l.options(serviceOptions); l.total == before && l.service.Connections == 0 && l.service.HealthPath == "" {
		l.add(l.end, "service has neither connections nor a health path", "write connections N or health PATH")
	}
}

// option reads the value of one option and reports whether reading can go on.
func (l *lineParser) option(name string) bool {
	switch name {
	case "from":
		return l.move()
	case "weight":
		return l.shares()
	case "priority":
		return l.number("priority", 0, MaxPriority, l.priority)
	case "latency":
		w, ok := l.value("DURATION", "a duration as 250ms")
		if ok {
			l.latency(w)
		}
		return ok
	case "retries":
		return l.number("retries", 0, MaxRetries, func(_ word, n int) { l.rule.Retries = &n })
	case "connections":
		return l.number("connections", 1, MaxConnections, func(_ word, n int) { l.service.Connections = n })
	case "health":
		w, ok := l.value("PATH", "a path as /health")
		if ok {
			l.health(w)
		}
		return ok
	case "class":
		w, ok := l.value("CLASS", "urgent, normal or background")
		if ok {
			l.class(w)
		}
		return ok
	case "timeout":
		w, ok := l.value("DURATION", "a duration as 800ms or 3s")
		if ok {
			l.timeout(w)
		}
		return ok
	default:
		w, ok := l.value("yes or no", "yes or no")
		if ok {
			l.idempotent(w)
		}
		return ok
	}
}

// move reads the words after "from".
func (l *lineParser) move() bool {
	r := l.rule
	from, ok := l.name("VERSION")
	if !ok {
		return false
	}
	r.From = mesh.TargetVersion(from.text)
	if r.From == r.Version {
		l.add(from.column, fmt.Sprintf("move from %s to itself", r.From), "name the version that serves the route now")
	}
	if !l.keyword("by") {
		return false
	}
	by, ok := l.value("TIME", "a time as 2026-12-05T06:00:00Z")
	if !ok {
		return false
	}
	l.by(by)
	if l.pos < len(l.words) && l.words[l.pos].text == "attempt" {
		l.pos++
		attempt, ok := l.value("N", "a number from 1")
		if !ok {
			return false
		}
		l.attempt(attempt)
	}
	return true
}

// shares reads the words after the first "weight".
func (l *lineParser) shares() bool {
	r := l.rule
	if r.IsMove() {
		l.add(l.words[l.pos-1].column, "a move has no weights", "leave out from VERSION by TIME, or the weights")
	}
	if !l.weight(r.Destination()) {
		return false
	}
	for l.pos < len(l.words) && l.words[l.pos].text == "and" {
		l.pos++
		service, ok := l.name("SERVICE")
		if !ok {
			return false
		}
		version, ok := l.name("VERSION")
		if !ok || !l.keyword("weight") {
			return false
		}
		part := mesh.ServiceVersion{Service: mesh.ServiceName(service.text), Version: mesh.TargetVersion(version.text)}
		if slices.ContainsFunc(r.Shares, func(s Share) bool { return s.ServiceVersion == part }) {
			l.add(service.column, fmt.Sprintf("%s is repeated", part), "give each version one weight")
		}
		if !l.weight(part) {
			return false
		}
	}
	if len(r.Shares) == 1 {
		l.add(l.words[l.pos-1].column, "a single version needs no weight", "add and SERVICE VERSION weight N")
	}
	return true
}

// weight reads the weight of one share.
func (l *lineParser) weight(part mesh.ServiceVersion) bool {
	return l.number("weight", 1, MaxWeight, func(_ word, n int) {
		l.rule.Shares = append(l.rule.Shares, Share{part, n})
	})
}

// keyword takes the next word, which has to be the given keyword.
func (l *lineParser) keyword(want string) bool {
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

// value takes the next word, which must not be a keyword.
func (l *lineParser) value(what, example string) (word, bool) {
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
