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
	// FixedLimit keeps the limit when the target sheds. Set it where no one else calls
	// the target: it then sheds for another reason than load.
	FixedLimit bool
}

func (c Config) limit() int { return max(1, min(c.Slots, c.Connections)) }

// Limiter admits calls to one target. It is safe for concurrent use.
type Limiter struct {
	mu       sync.Mutex
	inFlight int
	draining bool
	queue    queue
	limit    adaptive
	fixed    bool
	service  estimate
	kinds    map[string]*estimate // service times by Work.Kind
}

// Request describes a call that asks to be admitted.
type Request struct {
	Class mesh.Class
	// Kind names calls that take about the same time, for example a route.
	Kind string
	// SoftDeadline is when the answer stops being worth its full benefit; zero means that
	// only the deadline counts. A call that cannot meet its aim any more runs only
	// when no other waits.
	SoftDeadline time.Time
	Deadline     time.Time
}

// maxKinds bounds the kinds of which a limiter keeps estimates.
const maxKinds = 4096

// Load is the work at the target as its owner sees it.
type Load struct {
	InFlight int `json:"in_flight"` // calls at the target
	Queued   int `json:"queued"`    // calls that wait
	Limit    int `json:"limit"`     // calls that may be at the target at once
	// Mean is the mean time of a call at the target; 0 before the first.
	Mean time.Duration `json:"-"`
}

// Result tells the limiter how an admitted call ended.
type Result struct {
	Kind        string        // of the call's Work
	Shed        bool          // the target refused for load without running the call
	Answered    bool          // the target ran the call and its answer was complete
	ServiceTime time.Duration // from dispatch to the end of the answer
}

// New returns a limiter for a target.
func New(c Config) *Limiter {
	return &Limiter{limit: adaptive{nominal: c.limit(), now: c.limit()}, fixed: c.FixedLimit}
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

// Acquire admits a call for which only the deadline counts, see Admit.
func (l *Limiter) Acquire(ctx context.Context, class mesh.Class, deadline time.Time) error {
	return l.Admit(ctx, Request{Class: class, Deadline: deadline})
}

// Admit admits a call or returns a *Refusal. It refuses at once when the
// deadline cannot be met, or when the aim cannot be met and there is too much
// to do for a late call, and otherwise waits for a slot. An admitted call must
// be ended with Release.
func (l *Limiter) Admit(ctx context.Context, work Request) error {
	now := time.Now()
	l.mu.Lock()
	l.limit.probe(now)
	late, reason := l.refuse(&work, now)
	if reason != "" {
		err := &Refusal{Reason: reason, RetryAfter: l.retryAfter()}
		l.mu.Unlock()
		return err
	}
	if l.inFlight < l.limit.now && l.queue.len() == 0 {
		l.inFlight++
		l.mu.Unlock()
		return nil
	}
	w := newWaiter(&work)
	w.takes, w.short = l.takes(work.Kind), l.short(work.Kind)
	patience := l.patience(w, now)
	if late {
		l.queue.pushLate(w)
	} else {
		l.queue.push(w, now)
	}
	l.admitWaiting(now)
	l.mu.Unlock()
	return l.wait(ctx, w, patience)
}

// refuse returns the reason to refuse a call that arrives, or "", and whether
// the call is late: it can meet its deadline but not its aim.
func (l *Limiter) refuse(work *Request, now time.Time) (late bool, reason Reason) {
	left := work.Deadline.Sub(now)
	switch {
	case l.draining:
		return false, ReasonDraining
	case left <= 0 || l.service.tooLong(left, now):
		return false, ReasonDeadline
	case l.inFlight < l.limit.now && l.queue.len() == 0:
		return false, ""
	case l.queue.full(work.Class, l.limit.now):
		return false, ReasonQueueFull
	}
	wait := l.expectedWait(work, now)
	if wait+l.service.fast > left {
		return false, ReasonDeadline
	}
	if work.SoftDeadline.IsZero() || l.short(work.Kind) || !now.Add(time.Duration(waitMargin*float64(wait))+l.takes(work.Kind)).After(work.SoftDeadline) {
		return false, ""
	}
	if l.queue.len() >= l.roomForLate() {
		return true, ReasonLate
	}
	return true, ""
}

// waitMargin is the factor by which a wait may exceed its estimate for a call
// that is to meet its aim: a call that is refused after a wait has lost the time
// in which another target could have taken it.
const waitMargin = 1.4

// lateRoom is the part of the limit, as a divisor, up to which calls may wait
// when one that is late joins them.
const lateRoom = 2

func (l *Limiter) roomForLate() int { return max(1, l.limit.now/lateRoom) }

// shortShare is the part of the mean service time below which a call counts as
// short.
const shortShare = 0.5

// short reports whether calls of a kind take so little that they are served also
// when late: another service often waits for them with a longer call of its own.
func (l *Limiter) short(kind string) bool {
	return float64(l.takes(kind)) < shortShare*float64(l.service.mean)
}

// takes is the mean service time of a kind of call.
func (l *Limiter) takes(kind string) time.Duration {
	if e := l.kinds[kind]; e != nil {
		return e.mean
	}
	return l.service.mean
}

// expectedWait estimates how long a call would wait.
func (l *Limiter) expectedWait(work *Request, now time.Time) time.Duration {
	return l.queue.wait(work, l.service.mean/time.Duration(l.limit.now), now)
}

// patience bounds the wait of a queued call. A call that waits several times
// longer than expected is refused while there is time for another target. Two
// service times are always allowed: when calls started together, the first slot
// is free only after a whole one.
func (l *Limiter) patience(w *waiter, now time.Time) time.Duration {
	half := w.Deadline.Sub(now) / 2
	if l.service.mean == 0 {
		return min(blindPatience, half)
	}
	return min(max(2*l.service.mean+patienceFactor*l.expectedWait(&w.Request, now), minPatience), half)
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
func (l *Limiter) Release(d Result) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
	if d.Answered {
		l.service.add(d.ServiceTime, now)
		l.learnKind(d, now)
	}
	if d.Shed && !l.fixed {
		l.limit.shed(l.inFlight, now)
	}
	l.limit.probe(now)
	l.admitWaiting(now)
}

func (l *Limiter) learnKind(d Result, now time.Time) {
	if d.Kind == "" {
		return
	}
	e := l.kinds[d.Kind]
	if e == nil {
		if l.kinds == nil || len(l.kinds) >= maxKinds {
			l.kinds = make(map[string]*estimate)
		}
		e = &estimate{}
		l.kinds[d.Kind] = e
	}
	e.add(d.ServiceTime, now)
}

// admitWaiting gives free slots to the calls that wait. A call whose deadline
// can no longer be met is refused instead.
func (l *Limiter) admitWaiting(now time.Time) {
	for l.inFlight < l.limit.now {
		w := l.queue.pop(now, l.roomForLate())
		if w == nil {
			return
		}
		if left := w.Deadline.Sub(now); left <= 0 || l.service.tooLong(left, now) {
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
	now := time.Now()
	for w := l.queue.pop(now, 0); w != nil; w = l.queue.pop(now, 0) {
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
	return max(MinRetryAfter, time.Duration(l.queue.len()+1)*l.service.mean/time.Duration(l.limit.now))
}
