package admission

import (
	"container/heap"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

const classes = int(mesh.ClassBackground) + 1

// weights are the shares of the classes while all of them wait. The lowest is
// above zero, so that no class starves.
var weights = [classes]float64{mesh.ClassUrgent: 16, mesh.ClassNormal: 4, mesh.ClassBackground: 1}

// queueFactor is the length of the queue in units of the limit: at 4 a call
// waits at most about four service times.
const queueFactor = 4

// room is the part of the queue that may be taken when a call of the class
// arrives; the rest is kept for the classes above.
var room = [classes]float64{mesh.ClassUrgent: 1, mesh.ClassNormal: 0.5, mesh.ClassBackground: 0.25}

// waiter is a call that waits. decided gets "" when it is admitted, and
// otherwise the reason for its refusal.
type waiter struct {
	Request
	takes   time.Duration // expected service time
	short   bool          // runs in its turn also when late
	decided chan Reason
	heap    *byDue // the heap it is in; nil when it is in none
	index   int    // in its heap
}

func newWaiter(work *Request) *waiter {
	return &waiter{Request: *work, decided: make(chan Reason, 1)}
}

// due is when the call should have its answer.
func (w *Request) due() time.Time {
	if w.SoftDeadline.IsZero() || w.SoftDeadline.After(w.Deadline) {
		return w.Deadline
	}
	return w.SoftDeadline
}

// queue holds the waiting calls: per class by the time when they are due,
// between the classes by weight (stride scheduling). Calls that cannot meet
// their aim any more wait behind all others.
type queue struct {
	heaps [classes]byDue
	late  byDue
	turns [classes]pace
	pass  [classes]float64 // virtual time at which the class is next
	clock float64          // virtual time of the last call taken
	n     int
}

// pace is how fast a class gets its turns while it waits.
type pace struct {
	last time.Time // when a call of the class was taken, or began to wait
	gap  time.Duration
}

// turnGain is the weight of one turn in the mean gap of a class; gaps older than
// paceAge say nothing of the present.
const (
	turnGain = 0.2
	paceAge  = time.Second
)

func (p *pace) took(now time.Time) {
	p.gap += time.Duration(turnGain * float64(now.Sub(p.last)-p.gap))
	p.last = now
}

// expect returns the mean time between turns, or 0 when none is known.
func (p *pace) expect(now time.Time) time.Duration {
	if now.Sub(p.last) > paceAge {
		return 0
	}
	return p.gap
}

func (q *queue) len() int { return q.n }

// full reports whether a call of the class finds no room.
func (q *queue) full(class mesh.Class, limit int) bool {
	return float64(q.n) >= max(1, queueFactor*float64(limit)*room[class])
}

func (q *queue) push(w *waiter, now time.Time) {
	h := &q.heaps[w.Class]
	if h.Len() == 0 {
		// A class that was empty gets no credit for the time it did not wait.
		q.pass[w.Class] = max(q.pass[w.Class], q.clock)
		q.turns[w.Class].last = now
	}
	w.heap = h
	heap.Push(h, w)
	q.n++
}

func (q *queue) pushLate(w *waiter) {
	// Among late calls only the deadline counts.
	w.SoftDeadline = time.Time{}
	w.heap = &q.late
	heap.Push(&q.late, w)
	q.n++
}

// pop takes the next call, or nil. Calls that have become late wait behind all
// others, or are refused while more than room calls wait.
func (q *queue) pop(now time.Time, room int) *waiter {
	for {
		next := -1
		for c := range q.heaps {
			if q.heaps[c].Len() > 0 && (next < 0 || q.pass[c] < q.pass[next]) {
				next = c
			}
		}
		if next < 0 {
			break
		}
		w := heap.Pop(&q.heaps[next]).(*waiter)
		q.n--
		q.turns[next].took(now)
		if !w.short && !w.SoftDeadline.IsZero() && now.Add(w.takes).After(w.SoftDeadline) {
			if q.n > room {
				w.decided <- ReasonLate
			} else {
				q.pushLate(w)
			}
			continue
		}
		q.clock = q.pass[next]
		q.pass[next] += 1 / weights[next]
		return w
	}
	if q.late.Len() == 0 {
		return nil
	}
	q.n--
	return heap.Pop(&q.late).(*waiter)
}

// remove takes a call out; it reports false when the call was taken already.
func (q *queue) remove(w *waiter) bool {
	if w.heap == nil {
		return false
	}
	heap.Remove(w.heap, w.index)
	q.n--
	return true
}

// wait estimates how long a call that arrives now waits, when a turn takes the
// given time: for the calls of its class that are due earlier, and the other
// classes' share of the turns. Calls of other classes that are still to come
// show in the pace of its class.
func (q *queue) wait(work *Request, turn time.Duration, now time.Time) time.Duration {
	same := 0
	due := work.due()
	for _, w := range q.heaps[work.Class] {
		if w.due().Before(due) {
			same++
		}
	}
	active := weights[work.Class]
	for c := range q.heaps {
		if c != int(work.Class) && q.heaps[c].Len() > 0 {
			active += weights[c]
		}
	}
	turns := min(q.n, int(float64(same+1)*active/weights[work.Class])-1) + 1
	return max(time.Duration(turns)*turn, time.Duration(same+1)*q.turns[work.Class].expect(now))
}

// byDue is a heap of waiters, the one that is due first at the top.
type byDue []*waiter

func (h byDue) Len() int           { return len(h) }
func (h byDue) Less(i, j int) bool { return h[i].due().Before(h[j].due()) }

func (h byDue) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *byDue) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *byDue) Pop() any {
	last := len(*h) - 1
	w := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	w.heap = nil
	return w
}
