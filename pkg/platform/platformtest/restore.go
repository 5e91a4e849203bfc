package platformtest

import (
	"slices"

	"nutmeghoist.example/nutmeghoist/pkg/platform"
)

// Copy is a copy of the table for Restore. Objects are not part of it.
type Copy struct {
	rows     *rows
	sequence uint64
	history  []platform.Change
	dropped  uint64
}

// Copy returns a copy of the table as it is now.
func (s *Store) Copy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Copy{s.rows.clone(), s.sequence, slices.Clone(s.history), s.droppedVersion}
}

// Restore brings the table back from a copy, in a new era. Versions that were given out
// since the copy are given out again.
func (s *Store) Restore(c *Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.rows, s.sequence, s.history, s.droppedVersion = c.rows.clone(), c.sequence, slices.Clone(c.history), c.dropped
	close(s.changed)
	s.changed = make(chan struct{})
}
