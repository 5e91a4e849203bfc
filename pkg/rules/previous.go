package rules

import (
	"cmp"
	"slices"
	"strings"

	"nutmeghoist.example/nutmeghoist/pkg/finding"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// previousRules is an index of the rules in force.
type previousRules struct {
	all   []Rule
	moves map[mesh.MoveID]*Rule
	byKey map[matchKey]*Rule
}

func newPreviousRules(rs []Rule) *previousRules {
	p := &previousRules{all: rs, moves: map[mesh.MoveID]*Rule{}, byKey: map[matchKey]*Rule{}}
	for i := range rs {
		r := &rs[i]
		if r.IsMove() {
			p.moves[r.MoveID()] = r
		}
		for _, m := range methodsOf(r) {
			p.byKey[matchKey{m, r.Host, r.Prefix}] = r
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

// matching returns the rules in force that match the requests of r. For each
// method it is the rule with the longest prefix that equals r's prefix or is a
// parent path of it. Rules of r's host take precedence over rules without a host.
func (p *previousRules) matching(r *Rule) []*Rule {
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
		if r := p.byKey[matchKey{method, host, prefix}]; r != nil {
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

// leadsTo reports whether the rules in force have v as a destination for every
// method of r's route.
func (p *previousRules) leadsTo(r *Rule, v mesh.ServiceVersion) bool {
	for _, m := range methodsOf(r) {
		old := p.byKey[matchKey{m, r.Host, r.Prefix}]
		if old == nil || !slices.Contains(old.Destinations(), v) {
			return false
		}
	}
	return true
}

// isServing reports whether a rule in force sends calls to a service version: a
// rule without a move, a move from that version, or a move to it whose attempt
// was not rolled back. A rule without a move names no attempt, so only the rules
// in force show that a vetoed version serves again by a higher attempt.
func (p *previousRules) isServing(v mesh.ServiceVersion, isVetoed func(mesh.ServiceName, mesh.TargetVersion, int) bool) bool {
	for i := range p.all {
		r := &p.all[i]
		if !slices.Contains(r.Destinations(), v) {
			if r.IsMove() && r.OldDestination() == v {
				return true
			}
			continue
		}
		if !r.IsMove() || !isVetoed(r.Service, r.Version, r.Attempt) {
			return true
		}
	}
	return false
}

// columnsOf returns the column of the word that each finding is about.
func columnsOf(text []byte, findings []checkFinding) []int {
	columns := make([]int, len(findings))
	byLine := map[int][]int{}
	for i, f := range findings {
		byLine[f.Line] = append(byLine[f.Line], i)
	}
	for lineNo, line := range splitLines(text) {
		for _, i := range byLine[lineNo] {
			columns[i] = columnOf(line, findings[i].part, findings[i].shareIndex)
		}
	}
	return columns
}

// Indexes of the words of a rule that Parse returned, counted from 0:
// route METHODS PREFIX to SERVICE VERSION from VERSION by TIME attempt N, or
// route METHODS PREFIX to SERVICE VERSION weight N and SERVICE VERSION weight N.
const (
	wordVersion   = 5
	wordsPerShare = 5 // distance from the version of one share to the next
	wordFrom      = 7
	wordBy        = 9
	wordAttempt   = 11
)

func columnOf(line string, part rulePart, shareIndex int) int {
	body, _, _ := strings.Cut(line, "#")
	words := splitWords(body)
	index := wordVersion + shareIndex*wordsPerShare
	switch part {
	case partFrom:
		index = wordFrom
	case partBy:
		index = wordBy
	case partAttempt:
		if index = wordAttempt; len(words) <= index || words[index-1].text != "attempt" {
			index = wordVersion
		}
	}
	if index >= len(words) {
		return 0
	}
	return words[index].column
}

func sortFindings(findings finding.List) {
	slices.SortStableFunc(findings, func(a, b finding.Finding) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
}
