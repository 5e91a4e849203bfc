package entry

import (
	"sync"
	"time"
)

const (
	// patienceWindow is how long the longest time that callers of a route name is
	// kept; that of the window before counts too.
	patienceWindow = 5 * time.Second
	// repeatShare is the part of that time below which a call counts as a repeat.
	// Callers of one route name times that differ by up to a sixth.
	repeatShare = 0.75
)

// patience tells calls that callers repeat from first ones. A caller that comes
// back after a refusal names only what is left of its time; an answer that
// would be in time for a first call is late for it. Its zero value is ready for
// use, and it is safe for concurrent use.
type patience struct {
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
func (p *patience) spent(route string, named time.Duration, at time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.routes[route]
	if l == nil {
		if p.routes == nil || len(p.routes) >= maxRoutes {
			p.routes = make(map[string]*longest)
		}
		l = &longest{since: at}
		p.routes[route] = l
	}
	if age := at.Sub(l.since); age >= patienceWindow {
		l.before, l.now, l.since = l.now, 0, at
		if age >= 2*patienceWindow {
			l.before = 0
		}
	}
	l.now = max(l.now, named)
	if usual := max(l.now, l.before); named < time.Duration(repeatShare*float64(usual)) {
		return usual - named
	}
	return 0
}
