package rules

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Errors that Withdraw wraps.
var (
	ErrNoRoute = errors.New("no rule has this route")
	ErrNoMove  = errors.New("rule is not a move")
)

// Withdraw rewrites the move rule of a route so that all its calls go to the old
// version. The route has the form of Rule.Route, but its methods may be in any
// order and case. The comment, the other options and all other lines do not
// change.
func Withdraw(text []byte, route string) ([]byte, error) {
	file, findings := Parse("", text)
	if err := findings.Err(); err != nil {
		return nil, fmt.Errorf("withdraw %q: text has findings: %w", route, err)
	}
	want := normalRoute(route)
	i := slices.IndexFunc(file.Rules, func(r Rule) bool { return r.Route() == want })
	if i < 0 {
		return nil, fmt.Errorf("withdraw %q: %w", route, ErrNoRoute)
	}
	r := file.Rules[i]
	if !r.IsMove() {
		return nil, fmt.Errorf("withdraw %q in line %d: %w", route, r.Line, ErrNoMove)
	}
	parts := slices.Collect(bytes.Lines(text))
	parts[r.Line-1] = []byte(withoutMove(string(parts[r.Line-1]), string(r.From)))
	return bytes.Join(parts, nil), nil
}

// normalRoute converts a route to the form of Rule.Route.
func normalRoute(route string) string {
	fields := strings.Fields(route)
	if len(fields) == 0 {
		return ""
	}
	methods := strings.Split(strings.ToUpper(fields[0]), ",")
	slices.Sort(methods)
	return strings.Join(append([]string{strings.Join(methods, ",")}, fields[1:]...), " ")
}

// withoutMove replaces the new version in the line of a move by the old one and
// removes the words from "from" to the time or the attempt.
func withoutMove(line, oldVersion string) string {
	body, _, _ := strings.Cut(line, "#")
	words := splitWords(body)
	last := wordBy
	if len(words) > wordAttempt && words[wordAttempt-1].text == "attempt" {
		last = wordAttempt
	}
	newVersion := words[wordVersion]
	end := words[last].column - 1 + len(words[last].text)
	return line[:newVersion.column-1] + oldVersion + line[end:]
}
