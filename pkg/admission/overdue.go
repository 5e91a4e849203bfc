package admission

import "time"

const (
	// overdueFactor times the mean service time of its kind must have passed before a
	// call can be overdue: nearly no answer takes that long.
	overdueFactor = 6
	// minOverdueTime keeps short pauses of a target from making its short calls overdue.
	minOverdueTime = 200 * time.Millisecond
)

// Watch begins to watch an admitted call that was sent to the target. The call is
// overdue when it has run for several times as long as others of its kind and a call
// that was sent after it has been answered: the target has room, and does not answer
// this call. Some targets never answer what they could not queue, or what they hang on.
// An overdue call holds a slot until it ends, so that the others have as much less room;
// Load and the expected waits count with that. The returned function ends the watch and
// reports whether the call was overdue. It is called before Release.
func (l *Limiter) Watch(kind string) (end func() bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	started := time.Now()
	after := max(overdueFactor*l.meanServiceTime(kind, started), minOverdueTime)
	overdue, ended := false, false
	var timer *time.Timer
	timer = time.AfterFunc(after, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		switch {
		case ended:
		case l.lastAnswered.After(started):
			overdue = true
			l.overdue++
		default:
			timer.Reset(after)
		}
	})
	return func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		timer.Stop()
		ended = true
		if overdue {
			l.overdue--
		}
		return overdue
	}
}

// room returns the concurrency that the overdue calls leave, at least 1.
func (l *Limiter) room() int { return max(1, l.limit.current-l.overdue) }

// progressing returns the calls in flight that take a turn of the others' room.
func (l *Limiter) progressing() int {
	n := l.inFlight - l.overdue
	if l.overdue >= l.limit.current {
		n = max(n, 1) // no slot is left
	}
	return max(0, n)
}
