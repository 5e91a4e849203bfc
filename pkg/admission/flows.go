package admission

import (
	"container/heap"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// teamQueue holds the queued calls of one class. The teams share the turns of the class
// equally by start-time fair queueing: each turn of a team advances its virtual time by
// the cost of the turn, and the team with the lowest virtual time is next. Within a team
// the call that is due first goes first. Since all calls to a target pass its queue, a
// team has one share however many hosts its callers are on. Its zero value is ready for
// use.
type teamQueue struct {
	flows   map[mesh.TeamName]*flow
	length  int
	virtual float64 // virtual time, in seconds of turns: that of the last turn
	// advanced and turns are sums of the advances of virtual time and of the turns, of
	// which those of each turn count a little less than those of the next.
	advanced, turns float64
}

// flow holds the queued calls of one team.
type flow struct {
	waiters dueHeap
	next    float64 // virtual time of the team's next turn
}

// maxIdleFlows bounds the teams without queued calls whose virtual time is remembered
// while calls of other teams are queued.
const maxIdleFlows = 64

// turnMemory is how much the advance of virtual time counts one turn later.
const turnMemory = 0.98

func (q *teamQueue) len() int { return q.length }

func (q *teamQueue) push(w *waiter) {
	f := q.flows[w.Team]
	if f == nil {
		f = &flow{}
		if q.flows == nil {
			q.flows = make(map[mesh.TeamName]*flow)
		}
		q.flows[w.Team] = f
	}
	if f.waiters.Len() == 0 {
		f.next = max(f.next, q.virtual)
	}
	w.heap, w.class = &f.waiters, q
	heap.Push(&f.waiters, w)
	q.length++
}

// first returns the next call; the queue must not be empty.
func (q *teamQueue) first() *waiter {
	var next *flow
	for _, f := range q.flows {
		if f.waiters.Len() == 0 {
			continue
		}
		if next == nil || f.next < next.next || f.next == next.next && f.waiters[0].dueAt().Before(next.waiters[0].dueAt()) {
			next = f
		}
	}
	return next.waiters[0]
}

// remove removes a call that leaves without a turn.
func (q *teamQueue) remove(w *waiter) { q.take(w, 0) }

// take removes a call and counts its turn. An empty queue forgets the teams.
func (q *teamQueue) take(w *waiter, cost time.Duration) {
	f := q.flows[w.Team]
	heap.Remove(&f.waiters, w.index)
	if cost > 0 {
		q.advanced, q.turns = turnMemory*q.advanced, turnMemory*q.turns+1
		q.advanceTo(f.next)
		f.next += cost.Seconds()
	}
	if q.length--; q.length == 0 {
		*q = teamQueue{}
		return
	}
	if len(q.flows) > q.length+maxIdleFlows {
		q.forgetIdle()
	}
}

func (q *teamQueue) advanceTo(virtual float64) {
	if virtual > q.virtual {
		q.advanced += virtual - q.virtual
		q.virtual = virtual
	}
}

// forgetIdle forgets the team without queued calls that has the lowest virtual time.
// Virtual time advances to it: a team that came back with an earlier one would have a
// second turn in the same round, and with enough of them the others would have none.
func (q *teamQueue) forgetIdle() {
	var team mesh.TeamName
	var lowest *flow
	for name, f := range q.flows {
		if f.waiters.Len() == 0 && (lowest == nil || f.next < lowest.next) {
			team, lowest = name, f
		}
	}
	q.advanceTo(lowest.next)
	delete(q.flows, team)
}

// ahead returns the number of queued calls that have their turns before a new call. cost
// is that of a turn.
func (q *teamQueue) ahead(r *Request, cost time.Duration) int {
	own, due := 0, r.dueAt()
	next := q.virtual
	if f := q.flows[r.Team]; f != nil {
		next = max(next, f.next)
		if f.waiters.Len() > 0 {
			next = f.next
		}
		for _, w := range f.waiters {
			if w.dueAt().Before(due) {
				own++
			}
		}
	}
	next += float64(own) * cost.Seconds()
	n := own
	for team, f := range q.flows {
		if team != r.Team && f.waiters.Len() > 0 && f.next <= next {
			n += min(f.waiters.Len(), 1+int((next-f.next)/cost.Seconds()))
		}
	}
	// Calls of other teams that arrive later have turns before it too: as many as virtual
	// time has taken lately to advance as far.
	if wait := next - q.virtual; len(q.flows) > 1 && q.turns >= minTurns && wait > 0 {
		n = max(n, int(wait/max(q.advanced/q.turns, wait/maxTurnsAhead))-1)
	}
	return n
}

const (
	// minTurns is the number of turns from which the advance of virtual time for each
	// says how fast it goes.
	minTurns = 5
	// maxTurnsAhead bounds the turns that are expected when virtual time has hardly
	// advanced.
	maxTurnsAhead = 1000
)

// displaceable returns the call that gives way to a call of a team when the queue is
// full: the last one of the team with the most queued calls, if that has at least two
// more than the team of the new call.
func (q *teamQueue) displaceable(team mesh.TeamName) *waiter {
	var largest *flow
	own := 1
	for name, f := range q.flows {
		if name == team {
			own += f.waiters.Len()
		} else if largest == nil || f.waiters.Len() > largest.waiters.Len() {
			largest = f
		}
	}
	if largest == nil || largest.waiters.Len() <= own {
		return nil
	}
	last := largest.waiters[0]
	for _, w := range largest.waiters {
		if w.dueAt().After(last.dueAt()) {
			last = w
		}
	}
	return last
}
