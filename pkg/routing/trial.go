package routing

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// PickTrial returns the target for a call of a request under which a target has ended:
// the same one on all nodes that see the same targets, by rendezvous hashing, so that
// the request is tried at one target at a time. It returns nil when no target is
// eligible, or when only one of several targets is: the others are down already, and
// the last one is kept for other requests.
func (s *Set) PickTrial(now time.Time, key []byte, tried *PreviousAttempts, exclude func(*Candidate) bool) *Candidate {
	var best *Candidate
	var highest uint64
	eligible := 0
	for _, list := range [...][]*Candidate{s.local, s.remote} {
		for _, c := range list {
			if c.Suspect || c.Stat.isUnreachable(now) || c.Stat.isEjected(now) || exclude != nil && exclude(c) {
				continue
			}
			eligible++
			if tried.contains(c) {
				continue
			}
			h := xxhash.New()
			_, _ = h.Write(key) // a hash accepts all bytes
			_, _ = h.WriteString(string(c.ID))
			if sum := h.Sum64(); best == nil || sum > highest {
				best, highest = c, sum
			}
		}
	}
	if eligible == 1 && s.Len() > 1 {
		return nil
	}
	return best
}
