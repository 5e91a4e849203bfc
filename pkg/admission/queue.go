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
	class    mesh.Class
	deadline time.Time
	decided  chan Reason
	index    int // in its heap; -1 when it is in none
}

func newWaiter(class mesh.Class, deadline time.Time) *waiter {
	return &waiter{class: class, deadline: deadline, decided: make(chan Reason, 1), index: -1}
}

// queue holds the waiting calls: per class by deadline, between the classes by
// weight (stride scheduling).
type queue struct {
	heaps [classes]byDeadline
	pass  [classes]float64 // virtual time at which the class is next
	clock float64          // virtual time of the last call taken
	n     int
}

func (q *queue) len() int { return q.n }

// full reports whether a call of the class finds no room.
func (q *queue) full(class mesh.Class, limit int) bool {
	return float64(q.n) >= max(1, queueFactor*float64(limit)*room[class])
}

func (q *queue) push(w *waiter) {
	h := &q.heaps[w.class]
	if h.Len() == 0 {
		// A class that was empty gets no credit for the time it did not wait.
		q.pass[w.class] = max(q.pass[w.class], q.clock)
	}
	heap.Push(h, w)
	q.n++
}

// pop takes the next call, or nil.
func (q *queue) pop() *waiter {
	next := -1
	for c := range q.heaps {
		if q.heaps[c].Len() > 0 && (next < 0 || q.pass[c] < q.pass[next]) {
			next = c
		}
	}
	if next < 0 {
		return nil
	}
	q.clock = q.pass[next]
	q.pass[next] += 1 / weights[next]
	q.n--
	return heap.Pop(&q.heaps[next]).(*waiter)
}

// remove takes a call out; it reports false when the call was taken already.
func (q *queue) remove(w *waiter) bool {
	if w.index < 0 {
		return false
	}
	heap.Remove(&q.heaps[w.class], w.index)
	q.n--
	return true
}

// ahead estimates how many calls are served before a call that arrives now:
// those of its class with an earlier deadline, and the other classes' share.
func (q *queue) ahead(class mesh.Class, deadline time.Time) int {
	same := 0
	for _, w := range q.heaps[class] {
		if w.deadline.Before(deadline) {
			same++
		}
	}
	active := weights[class]
	for c := range q.heaps {
		if c != int(class) && q.heaps[c].Len() > 0 {
			active += weights[c]
		}
	}
	return min(q.n, int(float64(same+1)*active/weights[class])-1)
}

// byDeadline is a heap of waiters, earliest deadline first.
type byDeadline []*waiter

func (h byDeadline) Len() int           { return len(h) }
func (h byDeadline) Less(i, j int) bool { return h[i].deadline.Before(h[j].deadline) }

func (h byDeadline) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *byDeadline) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *byDeadline) Pop() any {
	last := len(*h) - 1
	w := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	w.index = -1
	return w
}
