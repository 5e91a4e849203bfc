package rules

import (
	"cmp"
	"slices"
	"strings"

	"nutmeghoist.example/nutmeghoist/pkg/finding"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// previousRules looks up the rules in force.
type previousRules struct {
	all      []Rule
	moves    map[mesh.MoveID]*Rule
	byMethod map[methodPrefix]*Rule
}

func newPreviousRules(rs []Rule) *previousRules {
	p := &previousRules{all: rs, moves: map[mesh.MoveID]*Rule{}, byMethod: map[methodPrefix]*Rule{}}
	for i := range rs {
		r := &rs[i]
		if r.IsMove() {
			p.moves[r.MoveID()] = r
		}
		for _, m := range methodsOf(r) {
			p.byMethod[methodPrefix{m, r.Host, r.Prefix}] = r
		}
	}
	return p
}

func methodsOf(r *Rule) []string {
	if len(r.Methods) == 0 {
		return knownMethods
	}
	return r.Methods
}

// covering returns the rules that matched the requests of r: for each method
// the one with the longest prefix that is r's prefix or lies above it, among
// those of r's host before those of any host.
func (p *previousRules) covering(r *Rule) []*Rule {
	var found []*Rule
	for _, m := range methodsOf(r) {
		old := p.match(m, r.Host, r.Prefix)
		if old == nil && r.Host != "" {
			old = p.match(m, "", r.Prefix)
		}
		if old != nil && !slices.Contains(found, old) {
			found = append(found, old)
		}
	}
	return found
}

func (p *previousRules) match(method, host, prefix string) *Rule {
	for {
		if r := p.byMethod[methodPrefix{method, host, prefix}]; r != nil {
			return r
		}
		if prefix == "/" {
			return nil
		}
		prefix = prefix[:strings.LastIndexByte(prefix, '/')]
		if prefix == "" {
			prefix = "/"
		}
	}
}

// names reports whether every method of the route of r leads, or led by its
// own move, to a version already.
func (p *previousRules) names(r *Rule, v mesh.ServiceVersion) bool {
	for _, m := range methodsOf(r) {
		old := p.byMethod[methodPrefix{m, r.Host, r.Prefix}]
		if old == nil || !slices.Contains(old.Destinations(), v) {
			return false
		}
	}
	return true
}

// established reports whether a service version serves a route without a move,
// or by a move whose attempt was not rolled back. A plain rule names no
// attempt, so a version that came back by a higher attempt is known from here.
func (p *previousRules) established(v mesh.ServiceVersion, vetoed func(mesh.ServiceName, mesh.TargetVersion, int) bool) bool {
	for i := range p.all {
		r := &p.all[i]
		if !slices.Contains(r.Destinations(), v) {
			if r.IsMove() && r.OldDestination() == v {
				return true
			}
			continue
		}
		if !r.IsMove() || !vetoed(r.Service, r.Version, r.Attempt) {
			return true
		}
	}
	return false
}

// columnsOf returns the column of the part that each finding is about.
func columnsOf(text []byte, findings []checkFinding) []int {
	columns := make([]int, len(findings))
	byLine := map[int][]int{}
	for i, f := range findings {
		byLine[f.Line] = append(byLine[f.Line], i)
	}
	for no, line := range splitLines(text) {
		for _, i := range byLine[no] {
			columns[i] = columnOf(line, findings[i].part, findings[i].share)
		}
	}
	return columns
}

// Positions of the words of an accepted rule, counted from 0:
// route METHODS PREFIX to SERVICE VERSION from VERSION by TIME attempt N, or
// route METHODS PREFIX to SERVICE VERSION weight N and SERVICE VERSION weight N.
const (
	wordVersion = 5
	shareWords  = 5 // from one version with a weight to the next
	wordFrom    = 7
	wordBy      = 9
	wordAttempt = 11
)

func columnOf(line string, p part, share int) int {
	body, _, _ := strings.Cut(line, "#")
	words := splitWords(body)
	at := wordVersion + share*shareWords
	switch p {
	case partFrom:
		at = wordFrom
	case partBy:
		at = wordBy
	case partAttempt:
		if at = wordAttempt; len(words) <= at || words[at-1].text != "attempt" {
			at = wordVersion
		}
	}
	if at >= len(words) {
		return 0
	}
	return words[at].column
}

func sortFindings(findings finding.List) {
	slices.SortStableFunc(findings, func(a, b finding.Finding) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
}
