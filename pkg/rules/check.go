package rules

import (
	"fmt"
	"slices"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/finding"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// MinMoveDuration is the shortest time between the acceptance of a move and its
// completion time. In a shorter window, its steps get too few calls for a fault
// to be detected.
const MinMoveDuration = 30 * time.Second

// WatchPeriod is how long a move can still be rolled back after its completion
// time. Its old version must have targets until then.
const WatchPeriod = 10 * time.Minute

// CheckOptions holds what the rules are checked against. A check is skipped when
// its func is nil or its list is empty.
type CheckOptions struct {
	// Now is the time of acceptance. A node that checks an accepted file again
	// must pass the acceptance time in its head, because older moves would be
	// rejected at the current time.
	Now time.Time
	// HasTargets reports whether a target of the service version has announced itself.
	HasTargets func(mesh.ServiceVersion) bool
	// IsVetoed reports whether the version was rolled back at the given attempt or
	// a higher one.
	IsVetoed func(mesh.ServiceName, mesh.TargetVersion, int) bool
	// Previous holds the rules in force. What they already contain is not
	// reported again: a move that is over, or a service that has no targets for a
	// while, must not block an edit of another line.
	Previous []Rule
}

// Check reports the rules that cannot be put in force. Its findings give only
// the line; those of Validate give the column too.
func Check(name string, rs []Rule, o CheckOptions) finding.List {
	var findings finding.List
	for _, f := range check(rs, o) {
		f.File = name
		findings.Add(f.Finding)
	}
	return findings
}

// Validate parses a text and checks its rules. It returns the findings of both
// together, with line and column.
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

// rulePart identifies the word of a rule that a finding is about.
type rulePart int

const (
	partVersion rulePart = iota
	partFrom
	partBy
	partAttempt
)

type checkFinding struct {
	finding.Finding
	part       rulePart
	shareIndex int // of the share whose version the finding is about
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
		c.checkRule(&rs[i])
	}
	return c.findings
}

func (c *checker) add(r *Rule, part rulePart, message, suggestion string) {
	c.addShare(r, part, 0, message, suggestion)
}

func (c *checker) addShare(r *Rule, part rulePart, shareIndex int, message, suggestion string) {
	f := finding.Finding{Line: r.Line, Message: fmt.Sprintf("route %s: %s", r.Route(), message), Suggestion: suggestion}
	c.findings = append(c.findings, checkFinding{f, part, shareIndex})
}

func (c *checker) checkRule(r *Rule) {
	var old *Rule // the rule in force for the same move
	if r.IsMove() {
		old = c.previous.moves[r.MoveID()]
	}
	isUnchanged := old != nil && old.By.Equal(r.By)
	if r.IsMove() && !isUnchanged {
		c.checkTime(r, old)
	}
	c.checkTargets(r, isUnchanged)
	if !isUnchanged {
		c.checkVetoes(r)
	}
	if old == nil {
		c.checkSwitch(r)
	}
}

// checkTime checks the completion time of a move that is new or was given
// another time. A completed move must keep its time: otherwise its schedule
// would restart and send all requests back to the old version.
func (c *checker) checkTime(r, old *Rule) {
	if old != nil && !c.Now.Before(old.By) {
		c.add(r, partBy, fmt.Sprintf("move was complete at %s and cannot be given another time", old.By.Format(time.RFC3339)),
			fmt.Sprintf("write to %s %s without from", r.Service, r.Version))
		return
	}
	earliest := c.Now.Add(MinMoveDuration)
	if !r.By.Before(earliest) {
		return
	}
	rounded := earliest.UTC().Truncate(time.Second)
	if rounded.Before(earliest) {
		rounded = rounded.Add(time.Second)
	}
	c.add(r, partBy, fmt.Sprintf("move cannot be complete by %s", r.By.Format(time.RFC3339)),
		fmt.Sprintf("the earliest possible time is %s, %s after acceptance", rounded.Format(time.RFC3339), MinMoveDuration))
}

// checkTargets checks that the versions of a rule have targets. The old version
// of a move is needed until the move can no longer be rolled back.
func (c *checker) checkTargets(r *Rule, isUnchanged bool) {
	if c.HasTargets == nil {
		return
	}
	for i, v := range r.Destinations() {
		if !c.previous.leadsTo(r, v) && !c.HasTargets(v) {
			c.addShare(r, partVersion, i, fmt.Sprintf("no target of %s version %s has announced itself", v.Service, v.Version),
				"start its targets first, or correct the version")
		}
	}
	isOver := isUnchanged && c.Now.After(r.By.Add(WatchPeriod))
	if r.IsMove() && !isOver && !c.HasTargets(r.OldDestination()) {
		c.add(r, partFrom, fmt.Sprintf("old version %s of %s has no targets to go back to", r.From, r.Service),
			"name the version that serves the route now, and keep its targets until the move is over")
	}
}

func (c *checker) checkVetoes(r *Rule) {
	if c.IsVetoed == nil {
		return
	}
	if !r.IsMove() {
		for i, v := range r.Destinations() {
			if c.IsVetoed(v.Service, v.Version, r.Attempt) && !c.previous.isServing(v, c.IsVetoed) {
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

// checkSwitch reports a rule that would send all requests of a route, or a share
// of them, to another version at once. It adds at most one finding per rule.
func (c *checker) checkSwitch(r *Rule) {
	for _, old := range c.previous.matching(r) {
		if len(r.Shares) > 0 || len(old.Shares) > 0 {
			if c.checkNewShares(r, old) {
				return
			}
			continue
		}
		if old.Service == r.Service && c.checkSwitchFrom(r, old) {
			return
		}
	}
}

// checkNewShares reports a version that would get a share of a route at once
// although only other versions of its service serve the route. It returns
// whether it added a finding.
func (c *checker) checkNewShares(r, old *Rule) bool {
	serving := old.Destinations()
	if old.IsMove() {
		serving = []mesh.ServiceVersion{{Service: old.Service, Version: servingVersion(old, c.Now, c.IsVetoed)}, old.OldDestination()}
	}
	destinations, part := r.Destinations(), partVersion
	if r.IsMove() {
		destinations, part = []mesh.ServiceVersion{r.OldDestination()}, partFrom
	}
	for i, v := range destinations {
		sameService := func(s mesh.ServiceVersion) bool { return s.Service == v.Service }
		if slices.Contains(serving, v) || !slices.ContainsFunc(serving, sameService) {
			continue
		}
		c.addShare(r, part, i, fmt.Sprintf("sends calls to %s at once, which did not serve the route", v),
			"move the route to the version by a rule without weights")
		return true
	}
	return false
}

// checkSwitchFrom reports a rule that would send all requests of old, the rule in
// force, to another version at once, or a move that does not start from the
// version that serves them. It returns whether it added a finding.
func (c *checker) checkSwitchFrom(r, old *Rule) bool {
	serving := servingVersion(old, c.Now, c.IsVetoed)
	if r.IsMove() {
		if r.From == serving {
			return false
		}
		c.add(r, partFrom, fmt.Sprintf("move starts from %s, but %s serves the route", r.From, serving),
			fmt.Sprintf("write from %s", serving))
		return true
	}
	// A move is withdrawn by a rule that leads to its old version.
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

// servingVersion returns the version that serves most requests of a route. For a
// move, that is the old version until the completion time, and permanently when
// the move was rolled back.
func servingVersion(r *Rule, now time.Time, isVetoed func(mesh.ServiceName, mesh.TargetVersion, int) bool) mesh.TargetVersion {
	if !r.IsMove() {
		return r.Version
	}
	if now.Before(r.By) || isVetoed != nil && isVetoed(r.Service, r.Version, r.Attempt) {
		return r.From
	}
	return r.Version
}
