package entry

import (
	"sync"
	"time"
)

const (
	// timeoutWindow is the window over which the longest timeout of a route's
	// callers is tracked. The maximum of the previous window counts too.
	timeoutWindow = 5 * time.Second
	// retryTimeoutShare is the share of the longest timeout below which a call
	// counts as a retry. The timeouts of a route's first calls differ by up to a
	// sixth.
	retryTimeoutShare = 0.75
)

// callerRetries distinguishes calls that callers retry from first calls. A
// caller that retries after a refusal sends only the rest of its timeout, so a
// response that is in time for a first call is late for a retry. Its zero value
// is ready for use, and it is safe for concurrent use.
type callerRetries struct {
	mu     sync.Mutex
	routes map[string]*longestTimeouts
}

// longestTimeouts holds the longest timeout of the current and the previous
// window.
type longestTimeouts struct {
	current, previous time.Duration
	windowStart       time.Time
}

// elapsed estimates from the timeout of a call how long its caller has been
// waiting since its first call; 0 for a first call.
func (r *callerRetries) elapsed(route string, timeout time.Duration, now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.routes[route]
	if l == nil {
		if r.routes == nil || len(r.routes) >= maxRoutes {
			r.routes = make(map[string]*longestTimeouts)
		}
		l = &longestTimeouts{windowStart: now}
		r.routes[route] = l
	}
	if age := now.Sub(l.windowStart); age >= timeoutWindow {
		l.previous, l.current, l.windowStart = l.current, 0, now
		if age >= 2*timeoutWindow {
			l.previous = 0
		}
	}
	l.current = max(l.current, timeout)
	if longest := max(l.current, l.previous); timeout < time.Duration(retryTimeoutShare*float64(longest)) {
		return longest - timeout
	}
	return 0
}
