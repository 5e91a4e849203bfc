package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"nutmeghoist.example/nutmeghoist/internal/hop"
	"nutmeghoist.example/nutmeghoist/pkg/routing"
)

// maxSignals bounds the targets whose signals are remembered.
const maxSignals = 4096

// targetSignals remembers what targets have said of themselves in the answers that
// this node has passed on. Each call carries it to the target's owner, which may have
// been restarted since. Its zero value is ready for use, and it is safe for concurrent
// use.
type targetSignals struct {
	mu      sync.Mutex
	targets map[routing.Key]hop.TargetSignals
	// closed holds the targets that have said that they leave, with the time from which
	// they get no calls from this node.
	closed    map[routing.Key]closing
	anyClosed atomic.Bool
}

// closing is the end of a target's calls, for one of its starts.
type closing struct {
	started int64
	at      time.Time
}

// closeShare is the share of the drain time in which a target that has said that it
// leaves still gets calls from this node. They take the same time in other queues.
const closeShare = 0.4

// closedTTL is how long a target that leaves is remembered. It is gone long before.
const closedTTL = 5 * time.Minute

// get returns what the target has said since its start, or nil.
func (s *targetSignals) get(t *routing.Candidate) *hop.TargetSignals {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.targets[routing.Key{Host: t.Host, ID: t.ID}]
	if !ok || known.Started != t.ReadySince.UnixMilli() {
		return nil
	}
	return &known
}

// record remembers the signals in a response of the target's owner. An answer without
// signals revokes those before it; a refusal proves nothing. That a target leaves is
// never revoked.
func (s *targetSignals) record(t *routing.Candidate, resp *hop.Response, drain time.Duration) {
	if resp.Signals == nil && resp.Outcome != hop.Answered {
		return
	}
	key := routing.Key{Host: t.Host, ID: t.ID}
	s.mu.Lock()
	defer s.mu.Unlock()
	if resp.Signals == nil {
		delete(s.targets, key)
		return
	}
	if s.targets == nil || len(s.targets) >= maxSignals {
		s.targets = make(map[routing.Key]hop.TargetSignals)
	}
	s.targets[key] = *resp.Signals
	if resp.Signals.Leaving {
		s.close(key, resp.Signals.Started, time.Now().Add(time.Duration(closeShare*float64(drain))))
	}
}

// close keeps calls from a start of a target from a time on; s.mu must be held.
func (s *targetSignals) close(key routing.Key, started int64, at time.Time) {
	if c, ok := s.closed[key]; ok && c.started == started {
		return
	}
	if s.closed == nil {
		s.closed = make(map[routing.Key]closing)
	}
	for k, c := range s.closed {
		if time.Since(c.at) > closedTTL {
			delete(s.closed, k)
		}
	}
	s.closed[key] = closing{started, at}
	s.anyClosed.Store(true)
}

// exclude returns a function that reports whether a target gets no more calls from this
// node, or nil when there is no such target.
func (s *targetSignals) exclude(now time.Time) func(*routing.Candidate) bool {
	if !s.anyClosed.Load() {
		return nil
	}
	return func(t *routing.Candidate) bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		c, ok := s.closed[routing.Key{Host: t.Host, ID: t.ID}]
		return ok && c.started == t.ReadySince.UnixMilli() && !now.Before(c.at)
	}
}
