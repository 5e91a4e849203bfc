// Package admission implements admission control: it decides which calls a target
// runs now, which are queued and which are refused. Each target has one Limiter,
// on the node of the target's host, so that the target's slots are counted
// exactly.
package admission

import (
	"cmp"
	"context"
	"errors"
	"sync"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// Config describes the target.
type Config struct {
	Slots       int // calls that the target runs concurrently
	Connections int // connections that the target accepts
	// FixedLimit keeps the concurrency limit when the target sheds load. Set it when
	// nothing else calls the target: its refusals then have another cause than load.
	FixedLimit bool
	// NamesRate means that the answers of the target can name a rate limit, see
	// Result.Rate. Until the first answer, few calls are in flight.
	NamesRate bool
	// ColdRate is what the target takes while it is cold. The target counts as cold until
	// HearCold says otherwise.
	ColdRate ColdRate
}

func (c Config) limit() int { return max(1, min(c.Slots, c.Connections)) }

// Limiter admits calls to one target. It is safe for concurrent use.
type Limiter struct {
	mu           sync.Mutex
	inFlight     int
	overdue      int       // of the calls in flight, see Watch
	lastAnswered time.Time // when the last sent of the answered calls was sent
	draining     bool
	queue        queue
	limit        adaptiveLimit
	fixedLimit   bool
	rate         rateLimit
	cold         coldLimit
	rateTimer    *time.Timer // admits waiting calls when the rate allows the next; nil while none is set
	nextReturn   time.Time   // see retryAfter
	serviceTime  estimate
	kinds        map[string]*estimate // service times by Request.Kind
}

// Request describes a call to be admitted.
type Request struct {
	Class mesh.Class
	// Team is the team of the caller, or "". Within a class the teams share the turns
	// equally.
	Team mesh.TeamName
	// Nested means that a call which already runs at another target waits for this
	// one. A refusal would waste the work done for it, so that a nested call has room
	// of its own in the queue and runs in its turn also when it is late.
	Nested bool
	// Kind groups calls of similar service time, for example those of a route.
	Kind string
	// SoftDeadline is when the call misses its latency target; zero means that only
	// Deadline counts. A call that can no longer meet its soft deadline is late: it
	// runs after all other queued calls or is refused, unless runsLate
	// says otherwise.
	SoftDeadline time.Time
	Deadline     time.Time
}

// maxKinds bounds the number of kinds for which a limiter keeps estimates.
const maxKinds = 4096

// Load is the load of the target, as counted by its Limiter. Calls that are overdue
// count neither as in flight nor in the limit.
type Load struct {
	InFlight int `json:"in_flight"`
	Queued   int `json:"queued"`
	Limit    int `json:"limit"` // concurrency limit
	// Mean is the mean service time; 0 before the first call.
	Mean time.Duration `json:"-"`
	// RateLimit is the number of calls a second that the target takes from all nodes
	// together, because it names a limit or is cold; 0 without a limit, and while a target
	// that is only doubted to be warm gets few calls. RateWait is how long a new call would wait
	// for it behind those that are queued.
	RateLimit float64       `json:"rate_limit,omitempty"`
	RateWait  time.Duration `json:"-"`
}

// Result describes how an admitted call ended.
type Result struct {
	Kind        string        // Request.Kind of the call
	Shed        bool          // the target refused for load without running the call
	Answered    bool          // the target ran the call and its answer was complete
	ServiceTime time.Duration // from dispatch to the end of the answer
	NotSent     bool          // no byte of the call reached the target
	Rate        RateNotice    // what the answer says; its zero value without an answer
}

// New returns a limiter for a target.
func New(c Config) *Limiter {
	l := &Limiter{limit: adaptiveLimit{nominal: c.limit(), current: c.limit()}, fixedLimit: c.FixedLimit, rate: rateLimit{state: rateUnlimitedState}}
	if c.NamesRate {
		l.rate.state = rateChart.Initial()
	}
	l.cold.takes = c.ColdRate
	return l
}

// Resize changes the target's slots and connections. Calls in flight continue.
func (l *Limiter) Resize(c Config) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setColdRate(c.ColdRate, time.Now())
	if n := c.limit(); n != l.limit.nominal {
		l.limit = adaptiveLimit{nominal: n, current: n}
		l.admitWaiting(time.Now())
	}
}

// Acquire admits a call without a soft deadline, see Admit.
func (l *Limiter) Acquire(ctx context.Context, class mesh.Class, deadline time.Time) error {
	return l.Admit(ctx, Request{Class: class, Deadline: deadline})
}

// Admit admits a call or returns a *Refusal. It refuses at once when the deadline
// cannot be met, or when the soft deadline cannot be met and the queue has no
// room for late calls. Otherwise it waits for a slot. Every admitted call must be
// ended with Release.
func (l *Limiter) Admit(ctx context.Context, req Request) error {
	now := time.Now()
	l.mu.Lock()
	l.limit.probe(now)
	late, reason := l.refusalReason(&req, now)
	if reason != "" {
		err := &Refusal{Reason: reason, RetryAfter: l.retryAfter(now)}
		l.mu.Unlock()
		return err
	}
	if l.hasRoom(now) && l.queue.len() == 0 {
		l.start(now)
		l.mu.Unlock()
		return nil
	}
	w := newWaiter(&req)
	w.serviceTime, w.runsLate = l.meanServiceTime(req.Kind, now), l.runsLate(&req, now)
	maxWait := l.waitLimit(w, now)
	if late {
		l.queue.pushLate(w)
	} else {
		if l.queue.isFull(&req, l.limit.current) {
			l.queue.displace(&req, l.orRateLimit(now, ReasonQueueFull))
		}
		l.queue.push(w, now)
	}
	l.admitWaiting(now)
	l.mu.Unlock()
	return l.wait(ctx, w, maxWait)
}

// hasRoom reports whether a call may be sent now.
func (l *Limiter) hasRoom(now time.Time) bool {
	return l.inFlight < min(l.limit.current, l.rate.maxInFlight()) && l.rateWait(1, now) == 0
}

// rateWait returns the time until the limits of the rate allow n calls.
func (l *Limiter) rateWait(n int, now time.Time) time.Duration {
	return max(l.rate.wait(n, now), l.cold.wait(n, now))
}

// rateInterval returns the time between two calls at the rate that the target takes, or 0
// when nothing limits it.
func (l *Limiter) rateInterval(now time.Time) time.Duration {
	return max(l.rate.interval(), l.cold.interval(now))
}

func (l *Limiter) start(now time.Time) {
	l.inFlight++
	l.rate.take(now)
	l.cold.take(now)
}

// turnTime returns the mean time between two calls that the target can take.
func (l *Limiter) turnTime(now time.Time) time.Duration {
	return max(l.slotInterval(), l.rateInterval(now))
}

// slotInterval returns the mean time between two calls that the slots set.
func (l *Limiter) slotInterval() time.Duration {
	return l.serviceTime.mean / time.Duration(l.room())
}

// timeForTurns returns the time until the target has taken a number of calls.
func (l *Limiter) timeForTurns(n int, now time.Time) time.Duration {
	return max(time.Duration(n)*l.serviceTime.mean/time.Duration(l.room()), l.rateWait(n, now))
}

// refusalReason returns the reason to refuse a new call, or "", and whether the
// call is late: it can meet its deadline but not its soft deadline.
func (l *Limiter) refusalReason(req *Request, now time.Time) (late bool, reason Reason) {
	remaining := req.Deadline.Sub(now)
	switch {
	case l.draining:
		return false, ReasonDraining
	case remaining <= 0 || l.serviceTime.exceeds(remaining, now):
		return false, ReasonDeadline
	case l.hasRoom(now) && l.queue.len() == 0:
		return false, ""
	case l.queue.isFull(req, l.limit.current) && l.queue.classes[req.queueClass()].displaceable(req.Team) == nil:
		return false, l.orRateLimit(now, ReasonQueueFull)
	}
	wait := l.expectedWait(req, now)
	if wait+l.serviceTime.low > remaining {
		return false, l.orRateLimit(now, ReasonDeadline)
	}
	if req.SoftDeadline.IsZero() || l.runsLate(req, now) || !now.Add(time.Duration(softWaitMargin*float64(wait))+l.meanServiceTime(req.Kind, now)).After(req.SoftDeadline) {
		return false, ""
	}
	if l.queue.len() >= l.lateQueueLimit(now) {
		return true, l.orRateLimit(now, ReasonLate)
	}
	return true, ""
}

// bindingInterval returns the time between two calls that the rate limit sets, or 0
// when the slots make calls wait longer.
func (l *Limiter) bindingInterval(now time.Time) time.Duration {
	if interval := l.rateInterval(now); interval > l.slotInterval() {
		return interval
	}
	return 0
}

// orRateLimit returns ReasonCold or ReasonRateLimit when a limit of the rate makes calls
// wait, and otherwise the reason.
func (l *Limiter) orRateLimit(now time.Time, reason Reason) Reason {
	switch {
	case l.bindingInterval(now) == 0:
		return reason
	case l.cold.interval(now) >= l.rate.interval():
		return ReasonCold
	}
	return ReasonRateLimit
}

// softWaitMargin multiplies the expected wait for the comparison with the soft
// deadline: a call that is refused only after a wait has lost the time in which
// another target could have run it.
const softWaitMargin = 1.4

// lateQueueDivisor divides the concurrency limit: late calls are queued only while
// fewer calls than the quotient wait.
const lateQueueDivisor = 2

func (l *Limiter) lateQueueLimit(now time.Time) int {
	concurrency := l.limit.current
	if l.rateInterval(now) > 0 {
		concurrency = min(concurrency, int(l.serviceTime.mean/l.turnTime(now)))
	}
	return max(1, concurrency/lateQueueDivisor)
}

// shortCallFraction is the fraction of the mean service time below which a call
// counts as short.
const shortCallFraction = 0.5

// runsLate reports whether a call runs in its turn even when it is late: a nested
// call, and a call of a short kind, since a longer call of another service often
// waits for one.
func (l *Limiter) runsLate(req *Request, now time.Time) bool {
	return req.Nested || float64(l.meanServiceTime(req.Kind, now)) < shortCallFraction*float64(l.serviceTime.mean)
}

// meanServiceTime returns the mean service time of a kind, or of all calls when
// the kind has no estimate. An estimate that no call has updated for estimateTTL
// counts only as far as it is below the mean of all calls: a kind that was slow once
// would otherwise be refused as late for good, with no call that measures it again.
func (l *Limiter) meanServiceTime(kind string, now time.Time) time.Duration {
	e := l.kinds[kind]
	switch {
	case e == nil:
		return l.serviceTime.mean
	case now.Sub(e.updatedAt) > estimateTTL:
		return min(e.mean, l.serviceTime.mean)
	}
	return e.mean
}

// expectedWait estimates how long a call would wait.
func (l *Limiter) expectedWait(req *Request, now time.Time) time.Duration {
	return l.queue.estimateWait(req, turnEstimate{
		cost:          turnCost(l.meanServiceTime(req.Kind, now), l.bindingInterval(now)),
		timeFor:       func(turns int) time.Duration { return l.timeForTurns(turns, now) },
		sinceLastTurn: max(0, l.rateInterval(now)-l.rateWait(1, now)),
	}, now)
}

// waitLimit returns the maximum wait of a queued call. A call that waits several
// times longer than expected is refused while there is time to try another target.
// Two service times are always allowed, up to half of the time left: when the
// calls in flight started together, the first slot becomes free only after a whole
// service time.
func (l *Limiter) waitLimit(w *waiter, now time.Time) time.Duration {
	half := w.Deadline.Sub(now) / 2
	if l.serviceTime.mean == 0 {
		if l.cold.interval(now) > 0 { // the wait is known also without a service time
			return min(max(initialWaitLimit, waitLimitFactor*l.expectedWait(&w.Request, now)), half)
		}
		return min(initialWaitLimit, half)
	}
	return min(max(2*l.serviceTime.mean+waitLimitFactor*l.expectedWait(&w.Request, now), minWaitLimit), half)
}

const (
	waitLimitFactor = 4
	minWaitLimit    = 20 * time.Millisecond
	// initialWaitLimit applies before the first measurement of the service time.
	initialWaitLimit = 250 * time.Millisecond
)

// wait returns when the call is admitted, refused or cancelled.
func (l *Limiter) wait(ctx context.Context, w *waiter, maxWait time.Duration) error {
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	reason := ReasonQueueWait
	select {
	case reason = <-w.decision:
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
		return &Refusal{Reason: reason, RetryAfter: l.retryAfter(time.Now())}
	}
	// The call was admitted or refused at the same moment.
	decided := <-w.decision
	if decided == "" && reason == ReasonCancelled {
		l.inFlight--
		l.giveBack(time.Now())
		l.admitWaiting(time.Now())
		return &Refusal{Reason: reason}
	}
	return refusalError(decided, l.retryAfter(time.Now()))
}

func (l *Limiter) refusal(reason Reason) error {
	if reason == "" {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return refusalError(reason, l.retryAfter(time.Now()))
}

// giveBack undoes what start has taken from the rate.
func (l *Limiter) giveBack(now time.Time) {
	l.rate.giveBack()
	l.cold.giveBack(now)
}

// Release ends an admitted call.
func (l *Limiter) Release(r Result) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
	if r.NotSent {
		l.giveBack(now)
	}
	l.rate.observe(r.Rate, now.Add(-r.ServiceTime), now)
	if r.Answered {
		if sent := now.Add(-r.ServiceTime); sent.After(l.lastAnswered) {
			l.lastAnswered = sent
		}
		l.serviceTime.add(r.ServiceTime, now)
		l.recordKind(r, now)
	}
	if r.Shed && !l.fixedLimit {
		l.limit.onShed(l.inFlight, now)
	}
	l.limit.probe(now)
	l.admitWaiting(now)
}

func (l *Limiter) recordKind(r Result, now time.Time) {
	if r.Kind == "" {
		return
	}
	e := l.kinds[r.Kind]
	if e == nil {
		if l.kinds == nil || len(l.kinds) >= maxKinds {
			l.kinds = make(map[string]*estimate)
		}
		e = &estimate{}
		l.kinds[r.Kind] = e
	}
	e.add(r.ServiceTime, now)
}

// admitWaiting admits queued calls to free slots. A call that can no longer meet
// its deadline is refused instead.
func (l *Limiter) admitWaiting(now time.Time) {
	for l.queue.len() > 0 && l.inFlight < min(l.limit.current, l.rate.maxInFlight()) {
		if wait := l.rateWait(1, now); wait > 0 {
			l.scheduleAdmission(wait)
			return
		}
		w := l.queue.pop(now, l.lateQueueLimit(now), l.bindingInterval(now))
		if w == nil {
			return
		}
		if remaining := w.Deadline.Sub(now); remaining <= 0 || l.serviceTime.exceeds(remaining, now) {
			w.decision <- ReasonDeadline
			continue
		}
		l.start(now)
		w.decision <- ""
	}
}

// scheduleAdmission admits waiting calls when the rate limit allows the next one.
func (l *Limiter) scheduleAdmission(wait time.Duration) {
	if l.rateTimer != nil {
		return
	}
	l.rateTimer = time.AfterFunc(wait, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.rateTimer = nil
		l.admitWaiting(time.Now())
	})
}

// TellRate applies a rate limit that another node has learned from the target's
// answers. It counts only until an answer of the target itself arrives here.
func (l *Limiter) TellRate(perSecond float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rate.tell(perSecond, time.Now())
}

// CountResend counts a call that is sent to the target a second time. It reports false
// when the target is cold and takes no call now.
func (l *Limiter) CountResend() bool {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cold.wait(1, now) > 0 {
		return false
	}
	l.rate.take(now)
	l.cold.take(now)
	return true
}

// Drain refuses new and queued calls. Calls in flight continue.
func (l *Limiter) Drain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining = true
	l.refuseQueued(ReasonDraining)
}

// RefuseQueued refuses the queued calls with a reason. New calls are admitted as before.
func (l *Limiter) RefuseQueued(reason Reason) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refuseQueued(reason)
}

func (l *Limiter) refuseQueued(reason Reason) {
	now := time.Now()
	for w := l.queue.pop(now, 0, 0); w != nil; w = l.queue.pop(now, 0, 0) {
		w.decision <- reason
	}
}

// Load returns the current load.
func (l *Limiter) Load() Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	load := Load{InFlight: l.progressing(), Queued: l.queue.len(), Limit: l.room(), Mean: l.serviceTime.mean}
	if interval := l.rateInterval(now); interval > 0 && (l.rate.bounded() || !l.cold.isSpare(now)) {
		load.RateLimit, load.RateWait = float64(time.Second)/float64(interval), l.rateWait(l.queue.len()+1, now)
	}
	return load
}

// NamedRate returns the rate limit that the target names in its answers, or 0.
func (l *Limiter) NamedRate() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.rate.bounded() {
		return 0
	}
	return l.rate.rate()
}

// maxReturnDelay bounds RetryAfter under a rate limit: the limit can have been lifted
// by then.
const maxReturnDelay = 5 * time.Second

// retryAfter returns the expected time until the current queue is empty. Under a rate
// limit, refused calls are told times that are as far apart as the limit allows, in the
// order of their refusals. After the end of the cold time that the target has named, the
// slots allow the next return.
func (l *Limiter) retryAfter(now time.Time) time.Duration {
	delay := max(MinRetryAfter, l.timeForTurns(l.queue.len()+1, now))
	interval := l.rateInterval(now)
	if interval == 0 {
		return delay
	}
	at := now.Add(delay)
	if at.Before(l.nextReturn) {
		at = l.nextReturn
	}
	if latest := now.Add(maxReturnDelay); at.After(latest) {
		at = latest
	}
	if l.cold.cause(now) == ColdNamed && !at.Before(l.cold.until) {
		interval = max(l.rate.interval(), cmp.Or(l.slotInterval(), initialWaitLimit/time.Duration(l.limit.current)))
	}
	l.nextReturn = at.Add(interval)
	return at.Sub(now)
}
