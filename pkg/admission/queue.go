package admission

import (
	"container/heap"
	"math"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// queueClass is a class of calls in the queue: that of the call, or nestedClass.
type queueClass int

// Nested calls have a class of their own. They come in numbers and with short soft
// deadlines, and would leave no turn to the urgent calls of callers.
const (
	nestedClass = queueClass(mesh.ClassBackground) + 1
	classCount  = int(nestedClass) + 1
)

func (r *Request) queueClass() queueClass {
	if r.Nested {
		return nestedClass
	}
	return queueClass(r.Class)
}

// classWeights are the relative shares of the classes in the time of the slots while
// calls of all of them are queued. The lowest is above zero, so that no class
// starves.
var classWeights = [classCount]float64{mesh.ClassUrgent: 16, mesh.ClassNormal: 4, mesh.ClassBackground: 1, nestedClass: 16}

// idleCredit is how far, in weighted seconds of service, a class may run ahead of its
// share after a time without queued calls. Urgent calls that do not use up their share
// on average run before all others also in a burst.
var idleCredit = [classCount]float64{mesh.ClassUrgent: 0.1}

// queueFactor is the capacity of the queue as a multiple of the concurrency limit:
// at 4 a call waits at most about four service times.
const queueFactor = 4

// classQueueShare is the share of the queue's capacity that may be in use when a
// call of the class arrives. The rest is reserved for higher classes. Nested calls
// have a capacity of their own.
var classQueueShare = [classCount]float64{mesh.ClassUrgent: 1, mesh.ClassNormal: 0.5, mesh.ClassBackground: 0.25, nestedClass: 0.75}

// waiter is a queued call. decision receives "" when the call is admitted, and
// otherwise the reason for its refusal.
type waiter struct {
	Request
	serviceTime time.Duration // expected service time
	runsLate    bool          // runs in its turn even when late
	decision    chan Reason
	heap        *dueHeap   // the heap that contains the call, or nil
	class       *teamQueue // the queue of the call's class; nil for a late call
	index       int        // in the heap
}

func newWaiter(req *Request) *waiter {
	return &waiter{Request: *req, decision: make(chan Reason, 1)}
}

// dueAt returns the earlier of the soft deadline, if any, and the deadline.
func (r *Request) dueAt() time.Time {
	if r.SoftDeadline.IsZero() || r.SoftDeadline.After(r.Deadline) {
		return r.Deadline
	}
	return r.SoftDeadline
}

// queue holds the queued calls. The classes take turns by weight (stride scheduling),
// and within a class the teams take turns; see teamQueue. Calls that can no longer meet
// their soft deadline wait behind all others.
type queue struct {
	classes    [classCount]teamQueue
	late       dueHeap
	turns      [classCount]turnInterval
	pass       [classCount]float64 // virtual time of the next turn of each class
	globalPass float64             // virtual time of the last turn
	length     int
}

// minTurnTime is the least time that a turn counts with, also before any service
// time is known.
const minTurnTime = time.Millisecond

// turnCost returns what a turn counts with: the time of the slot or, when a rate limit
// is scarcer than the slots, the same for each call.
func turnCost(serviceTime, rateInterval time.Duration) time.Duration {
	if rateInterval > 0 {
		return rateInterval
	}
	return max(minTurnTime, serviceTime)
}

// turnInterval measures the time between the turns of a class that has queued
// calls.
type turnInterval struct {
	lastTurn time.Time // last turn, or the start of the wait for the first one
	mean     time.Duration
}

// turnIntervalGain is the weight of one turn in the moving average. An average
// that is older than turnIntervalTTL is not used.
const (
	turnIntervalGain = 0.2
	turnIntervalTTL  = time.Second
)

func (t *turnInterval) record(now time.Time) {
	t.mean += time.Duration(turnIntervalGain * float64(now.Sub(t.lastTurn)-t.mean))
	t.lastTurn = now
}

// expected returns the mean time between turns, or 0 when none is known.
func (t *turnInterval) expected(now time.Time) time.Duration {
	if now.Sub(t.lastTurn) > turnIntervalTTL {
		return 0
	}
	return t.mean
}

func (q *queue) len() int { return q.length }

// isFull reports whether the queue has no room for a call.
func (q *queue) isFull(req *Request, limit int) bool {
	class := req.queueClass()
	inUse := q.classes[nestedClass].len()
	if class != nestedClass {
		inUse = q.length - inUse
	}
	return float64(inUse) >= max(1, queueFactor*float64(limit)*classQueueShare[class])
}

func (q *queue) push(w *waiter, now time.Time) {
	class := w.queueClass()
	c := &q.classes[class]
	if c.len() == 0 {
		q.pass[class] = max(q.pass[class], q.globalPass-idleCredit[class])
		q.turns[class].lastTurn = now
	}
	c.push(w)
	q.length++
}

// displace refuses a queued call of the class for a call of a team with fewer queued
// calls, so that a team that sends much leaves room to the others.
func (q *queue) displace(req *Request, reason Reason) {
	if w := q.classes[req.queueClass()].displaceable(req.Team); w != nil && q.remove(w) {
		w.decision <- reason
	}
}

func (q *queue) pushLate(w *waiter) {
	// Among late calls only the deadline counts.
	w.SoftDeadline = time.Time{}
	w.heap, w.class = &q.late, nil
	heap.Push(&q.late, w)
	q.length++
}

// pop removes and returns the next call, or nil. Calls that have become late are
// requeued behind all others, or refused when more than lateLimit calls wait.
// rateInterval is the time between two calls when a rate limit sets it, or 0.
func (q *queue) pop(now time.Time, lateLimit int, rateInterval time.Duration) *waiter {
	for {
		next := -1
		for c := range q.classes {
			if q.classes[c].len() > 0 && (next < 0 || q.pass[c] < q.pass[next]) {
				next = c
			}
		}
		if next < 0 {
			break
		}
		w := q.classes[next].first()
		q.length--
		q.turns[next].record(now)
		if !w.runsLate && !w.SoftDeadline.IsZero() && now.Add(w.serviceTime).After(w.SoftDeadline) {
			q.classes[next].remove(w)
			if q.length > lateLimit {
				w.decision <- ReasonLate
			} else {
				q.pushLate(w)
			}
			continue
		}
		q.globalPass = max(q.globalPass, q.pass[next])
		cost := turnCost(w.serviceTime, rateInterval)
		q.pass[next] += cost.Seconds() / classWeights[next]
		q.classes[next].take(w, cost)
		return w
	}
	if q.late.Len() == 0 {
		return nil
	}
	q.length--
	return heap.Pop(&q.late).(*waiter)
}

// remove removes a call. It reports false when the call was already popped.
func (q *queue) remove(w *waiter) bool {
	if w.heap == nil {
		return false
	}
	q.length--
	if w.class != nil {
		w.class.remove(w)
	} else {
		heap.Remove(w.heap, w.index)
	}
	return true
}

// turnEstimate is what the limiter knows of the turns of the queue.
type turnEstimate struct {
	cost time.Duration // of a turn of the call that waits, see turnCost
	// timeFor returns the time until a number of queued calls has had their turns.
	timeFor func(turns int) time.Duration
	// sinceLastTurn is the part of the time between two turns that has passed, when a
	// rate limit sets their times.
	sinceLastTurn time.Duration
}

// estimateWait estimates how long a call that arrives now waits. It counts the calls of
// the same class that have their turns before, and the turns of other classes meanwhile. The
// measured turn interval of the class accounts for calls of other classes that arrive
// later.
func (q *queue) estimateWait(req *Request, e turnEstimate, now time.Time) time.Duration {
	class := req.queueClass()
	ahead := q.classes[class].ahead(req, e.cost)
	activeWeight, othersPass := classWeights[class], math.Inf(1)
	for c := range q.classes {
		if c != int(class) && q.classes[c].len() > 0 {
			activeWeight += classWeights[c]
			othersPass = min(othersPass, q.pass[c])
		}
	}
	pass := q.pass[class]
	if q.classes[class].len() == 0 {
		pass = max(pass, q.globalPass-idleCredit[class])
	}
	// The class takes this many turns before any other.
	first := min(float64(ahead+1), max(0, (othersPass-pass)*classWeights[class]/e.cost.Seconds()))
	turns := min(q.length, int(first+(float64(ahead+1)-first)*activeWeight/classWeights[class])-1) + 1
	return max(e.timeFor(turns), time.Duration(ahead+1)*q.turns[class].expected(now)-e.sinceLastTurn)
}

// dueHeap is a min-heap of waiters by dueAt.
type dueHeap []*waiter

func (h dueHeap) Len() int           { return len(h) }
func (h dueHeap) Less(i, j int) bool { return h[i].dueAt().Before(h[j].dueAt()) }

func (h dueHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *dueHeap) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *dueHeap) Pop() any {
	last := len(*h) - 1
	w := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	w.heap = nil
	return w
}
