// Package admission decides which calls a target runs now, which wait and
// which are refused. A Limiter belongs to one target and lives on the node of
// the target's host, so that the target's slots are counted exactly.
package admission

import (
	"context"
	"errors"
	"sync"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// Config describes the target.
type Config struct {
	Slots       int // calls that the target runs at once
	Connections int // connections that the target accepts
}

func (c Config) limit() int { return max(1, min(c.Slots, c.Connections)) }

// Limiter admits calls to one target. It is safe for concurrent use.
type Limiter struct {
	mu       sync.Mutex
	inFlight int
	draining bool
	queue    queue
	limit    adaptive
	service  estimate
}

// Load is the work at the target as its owner sees it.
type Load struct {
	InFlight int `json:"in_flight"` // calls at the target
	Queued   int `json:"queued"`    // calls that wait
	Limit    int `json:"limit"`     // calls that may be at the target at once
	// Mean is the mean time of a call at the target; 0 before the first.
	Mean time.Duration `json:"mean"`
}

// Done tells the limiter how an admitted call ended.
type Done struct {
	Shed    bool          // the target refused for load without running the call
	Answer  bool          // the target ran the call and its answer was complete
	Service time.Duration // from dispatch to the end of the answer
}

// New returns a limiter for a target.
func New(c Config) *Limiter {
	return &Limiter{limit: adaptive{nominal: c.limit(), now: c.limit()}}
}

// Resize changes the target's slots and connections. Calls that are at the
// target stay there.
func (l *Limiter) Resize(c Config) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n := c.limit(); n != l.limit.nominal {
		l.limit = adaptive{nominal: n, now: n}
		l.admitWaiting(time.Now())
	}
}

// Acquire admits a call or returns a *Refusal. It refuses at once when the
// deadline cannot be met, and otherwise waits for a slot. An admitted call
// must be ended with Release.
func (l *Limiter) Acquire(ctx context.Context, class mesh.Class, deadline time.Time) error {
	now := time.Now()
	l.mu.Lock()
	l.limit.probe(now)
	if reason := l.refuse(class, deadline, now); reason != "" {
		err := &Refusal{Reason: reason, RetryAfter: l.retryAfter()}
		l.mu.Unlock()
		return err
	}
	if l.inFlight < l.limit.now && l.queue.len() == 0 {
		l.inFlight++
		l.mu.Unlock()
		return nil
	}
	w := newWaiter(class, deadline)
	patience := l.patience(w, now)
	l.queue.push(w)
	l.admitWaiting(now)
	l.mu.Unlock()
	return l.wait(ctx, w, patience)
}

// refuse returns the reason to refuse a call that arrives, or "".
func (l *Limiter) refuse(class mesh.Class, deadline, now time.Time) Reason {
	left := deadline.Sub(now)
	switch {
	case l.draining:
		return ReasonDraining
	case left <= 0 || l.service.tooLong(left, now):
		return ReasonDeadline
	case l.inFlight < l.limit.now && l.queue.len() == 0:
		return ""
	case l.queue.full(class, l.limit.now):
		return ReasonQueueFull
	case l.expectedWait(class, deadline)+l.service.fast > left:
		return ReasonDeadline
	}
	return ""
}

// expectedWait estimates how long a call of the class would wait.
func (l *Limiter) expectedWait(class mesh.Class, deadline time.Time) time.Duration {
	turns := l.queue.ahead(class, deadline) + 1
	return time.Duration(turns) * l.service.mean / time.Duration(l.limit.now)
}

// patience bounds the wait of a queued call. A call that waits several times
// longer than expected is refused while there is time for another target. Two
// service times are always allowed: when calls started together, the first slot
// is free only after a whole one.
func (l *Limiter) patience(w *waiter, now time.Time) time.Duration {
	half := w.deadline.Sub(now) / 2
	if l.service.mean == 0 {
		return min(blindPatience, half)
	}
	return min(max(2*l.service.mean+patienceFactor*l.expectedWait(w.class, w.deadline), minPatience), half)
}

const (
	patienceFactor = 4
	minPatience    = 20 * time.Millisecond
	// blindPatience applies before the first measurement of the service time.
	blindPatience = 250 * time.Millisecond
)

// wait returns when the call is admitted, refused or cancelled.
func (l *Limiter) wait(ctx context.Context, w *waiter, patience time.Duration) error {
	timer := time.NewTimer(patience)
	defer timer.Stop()
	reason := ReasonQueueWait
	select {
	case reason = <-w.decided:
		return l.refusal(reason)
	case <-timer.C:
	case <-ctx.Done():
		if reason = ReasonCancelled; errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
			reason = ReasonDeadline
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.queue.remove(w) {
		return &Refusal{Reason: reason, RetryAfter: l.retryAfter()}
	}
	// The decision came at the same time.
	decided := <-w.decided
	if decided == "" && reason == ReasonCancelled {
		l.inFlight--
		l.admitWaiting(time.Now())
		return &Refusal{Reason: reason}
	}
	return refusalOf(decided, l.retryAfter())
}

func (l *Limiter) refusal(reason Reason) error {
	if reason == "" {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return refusalOf(reason, l.retryAfter())
}

// Release ends an admitted call.
func (l *Limiter) Release(d Done) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
	if d.Answer {
		l.service.add(d.Service, now)
	}
	if d.Shed {
		l.limit.shed(l.inFlight, now)
	}
	l.limit.probe(now)
	l.admitWaiting(now)
}

// admitWaiting gives free slots to the calls that wait. A call whose deadline
// can no longer be met is refused instead.
func (l *Limiter) admitWaiting(now time.Time) {
	for l.inFlight < l.limit.now {
		w := l.queue.pop()
		if w == nil {
			return
		}
		if left := w.deadline.Sub(now); left <= 0 || l.service.tooLong(left, now) {
			w.decided <- ReasonDeadline
			continue
		}
		l.inFlight++
		w.decided <- ""
	}
}

// Drain refuses new calls and those that wait. Calls at the target go on.
func (l *Limiter) Drain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining = true
	for w := l.queue.pop(); w != nil; w = l.queue.pop() {
		w.decided <- ReasonDraining
	}
}

// Load returns the present load.
func (l *Limiter) Load() Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Load{InFlight: l.inFlight, Queued: l.queue.len(), Limit: l.limit.now, Mean: l.service.mean}
}

// retryAfter is the time in which the present queue is worked off.
func (l *Limiter) retryAfter() time.Duration {
	return max(minRetryAfter, time.Duration(l.queue.len()+1)*l.service.mean/time.Duration(l.limit.now))
}
