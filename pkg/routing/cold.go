package routing

import (
	"math/rand/v2"
	"time"
)

// maxColdTime bounds the time for which this node believes that a target is cold without
// a report of its owner: the clock of the target's host can be ahead.
const maxColdTime = 5 * time.Second

// coldTime is what this node knows of the cold time of a target from its record; guarded
// by Stat.mu.
type coldTime struct {
	named     int64 // Target.ColdUntil
	seenAt    time.Time
	begun     int64     // this node's calls begun until seenAt
	firstTurn time.Time // of this node's calls; zero before it is drawn
}

// recordColdTime returns until when the target is cold, as its record names it.
func (s *Stat) recordColdTime(named int64, now time.Time) time.Time {
	if named == 0 {
		return time.Time{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cold.named != named {
		s.cold = coldTime{named: named, seenAt: now, begun: s.begun.Load()}
	}
	if latest := s.cold.seenAt.Add(maxColdTime); time.UnixMilli(named).After(latest) {
		return latest
	}
	return time.UnixMilli(named)
}

// coldWait returns how long a call of this node waits for its turn at a cold target of
// which no report has arrived since its record names the cold time. Each of the hosts
// takes its turns at a distance of interval, from a random moment on, so that they do not
// all send the first call at once.
func (s *Stat) coldWait(now time.Time, interval time.Duration, rng *rand.Rand) time.Duration {
	r := s.lastLoadReport.Load()
	s.mu.Lock()
	defer s.mu.Unlock()
	if r != nil && !r.at.Before(s.cold.seenAt) || interval == 0 {
		return 0
	}
	if s.cold.firstTurn.IsZero() {
		s.cold.firstTurn = s.cold.seenAt.Add(time.Duration(rng.Int64N(int64(interval))))
	}
	begun := time.Duration(s.begun.Load() - s.cold.begun)
	return max(0, s.cold.firstTurn.Sub(now)+begun*interval)
}
