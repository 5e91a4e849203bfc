package rules

import (
	"fmt"
	"slices"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/finding"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// MinMoveDuration is the shortest time between the acceptance of a move and the
// time it must be complete. A shorter window leaves its steps too few calls to
// show a fault.
const MinMoveDuration = 30 * time.Second

// WatchPeriod is how long after its time a move can still be rolled back, so
// that its old version must still have targets.
const WatchPeriod = 10 * time.Minute

// CheckOptions say what the rules are checked against. A nil func or an empty
// list skips its check.
type CheckOptions struct {
	// Now is the time of acceptance. A node that checks an accepted file again
	// passes the accepted time of its head, or it would refuse older moves.
	Now time.Time
	// HasTargets reports whether a target of the service version has announced itself.
	HasTargets func(mesh.ServiceVersion) bool
	// IsVetoed reports whether the version was rolled back at the attempt or a higher one.
	IsVetoed func(mesh.ServiceName, mesh.TargetVersion, int) bool
	// Previous are the rules in force. What they already say is not reported
	// again, so that a move that is over, or a service without targets for a
	// while, does not block an edit of another line.
	Previous []Rule
}

// Check reports the rules that cannot be brought into force. Its findings name
// the line only; Validate adds the columns.
func Check(name string, rs []Rule, o CheckOptions) finding.List {
	var findings finding.List
	for _, f := range check(rs, o) {
		f.File = name
		findings.Add(f.Finding)
	}
	return findings
}

// Validate parses a text and checks its rules. All findings of both are
// returned together, with line and column.
func Validate(name string, text []byte, o CheckOptions) (File, finding.List) {
	file, findings := Parse(name, text)
	checked := check(file.Rules, o)
	if len(checked) == 0 {
		return file, findings
	}
	columns := columnsOf(text, checked)
	for i, f := range checked {
		f.File, f.Column = name, columns[i]
		findings.Add(f.Finding)
	}
	sortFindings(findings)
	return file, findings
}

// part names the word of a rule that a finding is about.
type part int

const (
	partVersion part = iota
	partFrom
	partBy
	partAttempt
)

type checkFinding struct {
	finding.Finding
	part  part
	share int // index of the share that a finding about a version means
}

// checker collects the findings of one file.
type checker struct {
	CheckOptions
	previous *previousRules
	findings []checkFinding
}

func check(rs []Rule, o CheckOptions) []checkFinding {
	c := checker{CheckOptions: o, previous: newPreviousRules(o.Previous)}
	for i := range rs {
		c.rule(&rs[i])
	}
	return c.findings
}

func (c *checker) add(r *Rule, at part, message, suggestion string) {
	c.addShare(r, at, 0, message, suggestion)
}

func (c *checker) addShare(r *Rule, at part, share int, message, suggestion string) {
	f := finding.Finding{Line: r.Line, Message: fmt.Sprintf("route %s: %s", r.Route(), message), Suggestion: suggestion}
	c.findings = append(c.findings, checkFinding{f, at, share})
}

func (c *checker) rule(r *Rule) {
	var old *Rule // the same move in the rules in force
	if r.IsMove() {
		old = c.previous.moves[r.MoveID()]
	}
	unchanged := old != nil && old.By.Equal(r.By)
	if r.IsMove() && !unchanged {
		c.time(r, old)
	}
	c.known(r, unchanged)
	if !unchanged {
		c.vetoed(r)
	}
	if old == nil {
		c.switched(r)
	}
}

// time checks the time of a move that is new or was given another time. A move
// that is over must not be given another time: its schedule would start again
// and send all requests back to the old version.
func (c *checker) time(r, old *Rule) {
	if old != nil && !c.Now.Before(old.By) {
		c.add(r, partBy, fmt.Sprintf("move was complete at %s and cannot be given another time", old.By.Format(time.RFC3339)),
			fmt.Sprintf("write to %s %s without from", r.Service, r.Version))
		return
	}
	earliest := c.Now.Add(MinMoveDuration)
	if !r.By.Before(earliest) {
		return
	}
	shown := earliest.UTC().Truncate(time.Second)
	if shown.Before(earliest) {
		shown = shown.Add(time.Second)
	}
	c.add(r, partBy, fmt.Sprintf("move cannot be complete by %s", r.By.Format(time.RFC3339)),
		fmt.Sprintf("the earliest possible time is %s, %s after acceptance", shown.Format(time.RFC3339), MinMoveDuration))
}

// known checks that both versions have targets. The old version of a move is
// needed until the move can no longer be rolled back.
func (c *checker) known(r *Rule, unchanged bool) {
	if c.HasTargets == nil {
		return
	}
	for i, v := range r.Destinations() {
		if !c.previous.names(r, v) && !c.HasTargets(v) {
			c.addShare(r, partVersion, i, fmt.Sprintf("no target of %s version %s has announced itself", v.Service, v.Version),
				"start its targets first, or correct the version")
		}
	}
	isOver := unchanged && c.Now.After(r.By.Add(WatchPeriod))
	if r.IsMove() && !isOver && !c.HasTargets(r.OldDestination()) {
		c.add(r, partFrom, fmt.Sprintf("old version %s of %s has no targets to go back to", r.From, r.Service),
			"name the version that serves the route now, and keep its targets until the move is over")
	}
}

func (c *checker) vetoed(r *Rule) {
	if c.IsVetoed == nil {
		return
	}
	if !r.IsMove() {
		for i, v := range r.Destinations() {
			if c.IsVetoed(v.Service, v.Version, r.Attempt) && !c.previous.established(v, c.IsVetoed) {
				c.addShare(r, partVersion, i, fmt.Sprintf("version %s of %s was rolled back", v.Version, v.Service),
					"bring it back by a move with a higher attempt")
			}
		}
		return
	}
	if !c.IsVetoed(r.Service, r.Version, r.Attempt) {
		return
	}
	c.add(r, partAttempt, fmt.Sprintf("version %s of %s was rolled back at attempt %d or a later one", r.Version, r.Service, r.Attempt),
		"name another version, or raise the attempt once the fault is removed")
}

// switched reports a rule that would send all requests of a route to another
// version at once. One finding for a rule is enough.
func (c *checker) switched(r *Rule) {
	for _, old := range c.previous.covering(r) {
		if len(r.Shares) > 0 || len(old.Shares) > 0 {
			if c.sharedAnew(r, old) {
				return
			}
			continue
		}
		if old.Service == r.Service && c.switchedFrom(r, old) {
			return
		}
	}
}

// sharedAnew reports a version that would get a share of a route at once,
// although other versions of its service served the route alone.
func (c *checker) sharedAnew(r, old *Rule) bool {
	serving := old.Destinations()
	if old.IsMove() {
		serving = []mesh.ServiceVersion{{Service: old.Service, Version: servingVersion(old, c.Now, c.IsVetoed)}, old.OldDestination()}
	}
	next, at := r.Destinations(), partVersion
	if r.IsMove() {
		next, at = []mesh.ServiceVersion{r.OldDestination()}, partFrom
	}
	for i, v := range next {
		sameService := func(s mesh.ServiceVersion) bool { return s.Service == v.Service }
		if slices.Contains(serving, v) || !slices.ContainsFunc(serving, sameService) {
			continue
		}
		c.addShare(r, at, i, fmt.Sprintf("sends calls to %s at once, which did not serve the route", v),
			"move the route to the version by a rule without weights")
		return true
	}
	return false
}

// switchedFrom compares a rule with one that matched its requests before.
func (c *checker) switchedFrom(r, old *Rule) bool {
	serving := servingVersion(old, c.Now, c.IsVetoed)
	if r.IsMove() {
		if r.From == serving {
			return false
		}
		c.add(r, partFrom, fmt.Sprintf("move starts from %s, but %s serves the route", r.From, serving),
			fmt.Sprintf("write from %s", serving))
		return true
	}
	// Going back to the old version of a move is how a move is withdrawn.
	if r.Version == serving || old.IsMove() && r.Version == old.From {
		return false
	}
	suggestion := fmt.Sprintf("write to %s %s from %s by TIME", r.Service, r.Version, serving)
	if old.IsMove() && r.Version == old.Version {
		suggestion = fmt.Sprintf("keep from %s by %s until the move is over", old.From, old.By.Format(time.RFC3339))
	}
	c.add(r, partVersion, fmt.Sprintf("switches all requests from %s to %s at once", serving, r.Version), suggestion)
	return true
}

// servingVersion returns the version that serves most of a route's requests:
// the old one until the time of a move, and for good when it was rolled back.
func servingVersion(r *Rule, now time.Time, vetoed func(mesh.ServiceName, mesh.TargetVersion, int) bool) mesh.TargetVersion {
	if !r.IsMove() {
		return r.Version
	}
	if now.Before(r.By) || vetoed != nil && vetoed(r.Service, r.Version, r.Attempt) {
		return r.From
	}
	return r.Version
}
