package suspect

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// maxProven bounds the requests of each of two generations that a Running remembers as
// completed.
const maxProven = 1024

// Call is a call that a target may be running.
type Call struct {
	sentAt  time.Time
	request func() (Key, bool) // while the call is in progress
	// key and until are set when the call was given up: the target can end under it
	// until then.
	key   Key
	until time.Time
}

// Running holds the calls that a target may be running, and whether it has ended. Its
// zero value is ready for use, and it is safe for concurrent use.
type Running struct {
	mu      sync.Mutex
	calls   map[*Call]bool
	ended   EndID // 0 while the target runs
	endedAt time.Time
	// proven are the requests that have completed, those of the earlier generation too.
	proven, provenBefore map[Key]bool

	check        sync.Mutex // held while the target's address is tried
	checkStarted time.Time  // guarded by check
}

// Begin adds a call that is about to be sent. key returns the key of its request, if
// that is known. It must not call the Running.
func (r *Running) Begin(key func() (Key, bool)) *Call {
	c := &Call{request: key, sentAt: time.Now()}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.calls == nil {
		r.calls = make(map[*Call]bool)
	}
	r.calls[c] = true
	return c
}

// Remove removes a call that has completed or has not run.
func (r *Running) Remove(c *Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.calls, c)
}

// GiveUp keeps the request of a call for some time in which the target can still end
// under it.
func (r *Running) GiveUp(c *Call, keep time.Duration) {
	key, known := c.request()
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	c.key, c.request, c.until = key, nil, now.Add(keep)
	for other := range r.calls {
		if other.request == nil && now.After(other.until) {
			delete(r.calls, other)
		}
	}
	if !known {
		delete(r.calls, c)
	}
}

// AddProven remembers that a request has completed.
func (r *Running) AddProven(key Key) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.proven == nil || len(r.proven) >= maxProven {
		r.provenBefore, r.proven = r.proven, make(map[Key]bool)
	}
	r.proven[key] = true
}

// CheckEnded reports whether the target has ended. The calls that break together share
// the checks of its address by listening: one that has begun after a call broke holds
// for that call. onEnd is called once, before the first true.
func (r *Running) CheckEnded(listening func() bool, onEnd func()) bool {
	broke := time.Now()
	r.check.Lock()
	defer r.check.Unlock()
	r.mu.Lock()
	ended := r.ended != 0
	r.mu.Unlock()
	if ended || r.checkStarted.After(broke) {
		return ended
	}
	r.checkStarted = time.Now()
	if listening() {
		return false
	}
	onEnd()
	return true
}

// Close marks the target as ended and returns the requests that it ran. It reports
// false when the target was marked before.
func (r *Running) Close() ([]Observation, EndID, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended != 0 {
		return nil, r.ended, false
	}
	now := time.Now()
	r.ended, r.endedAt = EndID(rand.Uint64()|1), now
	seen := make(map[Key]bool, len(r.calls))
	var running []Observation
	for c := range r.calls {
		key, known := c.key, now.Before(c.until)
		if c.request != nil {
			key, known = c.request()
		}
		if !known || seen[key] {
			continue
		}
		seen[key] = true
		running = append(running, Observation{Key: key, Proven: r.proven[key] || r.provenBefore[key]})
	}
	return running, r.ended, true
}

// EndOf returns the end of the target if the call was sent before it, or 0.
func (r *Running) EndOf(c *Call) EndID {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.endedAt.Before(c.sentAt) {
		return 0
	}
	return r.ended
}

// TrialSlot admits one trial at a time to a target. Its zero value is ready for use.
type TrialSlot struct {
	mu      sync.Mutex
	slot    chan struct{}
	waiting int
}

// maxWaitingTrials bounds the trials that wait at a target.
const maxWaitingTrials = 4

// Begin waits until no other trial runs, at most until the given time.
func (s *TrialSlot) Begin(ctx context.Context, until time.Time) bool {
	s.mu.Lock()
	if s.slot == nil {
		s.slot = make(chan struct{}, 1)
	}
	if s.waiting >= maxWaitingTrials {
		s.mu.Unlock()
		return false
	}
	s.waiting++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.waiting--
	}()
	select {
	case s.slot <- struct{}{}:
		return true
	default:
	}
	timer := time.NewTimer(max(0, time.Until(until)))
	defer timer.Stop()
	select {
	case s.slot <- struct{}{}:
		return true
	case <-ctx.Done():
	case <-timer.C:
	}
	return false
}

// End lets the next trial begin.
func (s *TrialSlot) End() { <-s.slot }
