// Package admission decides which calls a target runs now, which wait and
// which are refused. A Limiter belongs to one target and lives on the node of
// the target's host, so that the target's slots are counted exactly.
package admission

import (
	"context"
	"sync"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// Config describes the target.
type Config struct {
	Slots       int // calls that the target runs at once
	Connections int // connections that the target accepts
}

// Limiter admits calls to one target. It is safe for concurrent use.
type Limiter struct {
	mu       sync.Mutex
	slots    int
	inFlight int
}

// Load is the work at the target as its owner sees it.
type Load struct {
	InFlight int
	Queued   int
	Limit    int
}

// Done tells the limiter how an admitted call ended.
type Done struct {
	Shed    bool          // the target refused for load without running the call
	Answer  bool          // the target ran the call and answered
	Service time.Duration // from dispatch to the end of the answer
}

// New returns a limiter for a target.
func New(c Config) *Limiter { return &Limiter{slots: min(c.Slots, c.Connections)} }

// Acquire admits a call or returns a *Refusal. An admitted call must be ended
// with Release.
func (l *Limiter) Acquire(ctx context.Context, class mesh.Class, deadline time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inFlight >= l.slots {
		return &Refusal{Reason: ReasonQueueFull, RetryAfter: minRetryAfter}
	}
	l.inFlight++
	return nil
}

// Release ends an admitted call.
func (l *Limiter) Release(d Done) {
	l.mu.Lock()
	l.inFlight--
	l.mu.Unlock()
}

// Load returns the present load.
func (l *Limiter) Load() Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Load{InFlight: l.inFlight, Limit: l.slots}
}
