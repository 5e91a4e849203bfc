package entry

import (
	"sync"
	"time"
)

const (
	// namedWindow is how long the longest time that callers of a route name is
	// kept; that of the window before counts too.
	namedWindow = 5 * time.Second
	// repeatShare is the part of that time below which a call counts as a repeat.
	// Callers of one route name times that differ by up to a sixth.
	repeatShare = 0.75
)

// repeats tells calls that callers repeat from first ones. A caller that comes
// back after a refusal names only what is left of its time; an answer that
// would be in time for a first call is late for it. Its zero value is ready for
// use, and it is safe for concurrent use.
type repeats struct {
	mu     sync.Mutex
	routes map[string]*longest
}

// longest holds the longest time of the present window and of the one before.
type longest struct {
	now, before time.Duration
	since       time.Time
}

// spent returns how long the caller of a call has been waiting already, by the
// time that it names; 0 for a first call.
func (r *repeats) spent(route string, named time.Duration, at time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.routes[route]
	if l == nil {
		if r.routes == nil || len(r.routes) >= maxRoutes {
			r.routes = make(map[string]*longest)
		}
		l = &longest{since: at}
		r.routes[route] = l
	}
	if age := at.Sub(l.since); age >= namedWindow {
		l.before, l.now, l.since = l.now, 0, at
		if age >= 2*namedWindow {
			l.before = 0
		}
	}
	l.now = max(l.now, named)
	if usual := max(l.now, l.before); named < time.Duration(repeatShare*float64(usual)) {
		return usual - named
	}
	return 0
}
