package snapshot

import (
	"fmt"

	"nutmeghoist.example/nutmeghoist/pkg/finding"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/rules"
)

// Check reports every inconsistency of the snapshot as a finding.List: a head
// without a revision or hash, a version of another revision than the head's, a
// rule that names no service version or moves from a version to itself, a
// service version without a target entry, a veto of a move that no rule defines,
// and an epoch that differs from the number of moves that were rolled back.
func (s *Snapshot) Check() error {
	var l finding.List
	add := func(line int, format string, args ...any) {
		l.Add(finding.Finding{File: fmt.Sprintf("revision %d", s.Head.Revision), Line: line, Message: fmt.Sprintf(format, args...)})
	}
	if s.Head.Revision == 0 || s.Head.Hash == "" {
		add(0, "the head has no revision or no hash")
	}
	if s.Version.Revision != s.Head.Revision {
		add(0, "version %s does not have the head's revision", s.Version)
	}
	if s.Version.Epoch != uint64(len(s.Vetoed)) {
		add(0, "epoch is %d, but %d moves are rolled back", s.Version.Epoch, len(s.Vetoed))
	}
	moves := make(map[mesh.MoveID]bool)
	for i := range s.Rules {
		r := &s.Rules[i]
		if r.IsMove() {
			moves[r.MoveID()] = true
		}
		s.checkRule(r, add)
	}
	for id := range s.Vetoed {
		if !moves[id] {
			add(0, "move %s is rolled back, but no rule defines it", id)
		}
	}
	return l.Err()
}

func (s *Snapshot) checkRule(r *rules.Rule, add func(int, string, ...any)) {
	if r.IsMove() && r.From == r.Version {
		add(r.Line, "route %s moves from %s to itself", r.Route(), r.Destination())
	}
	for _, sv := range r.ReachableDestinations() {
		if sv.Service == "" || sv.Version == "" {
			add(r.Line, "route %s names no service or no version", r.Route())
			continue
		}
		if _, ok := s.Targets[sv]; !ok {
			add(r.Line, "route %s needs %s, which has no target entry", r.Route(), sv)
		}
	}
}
