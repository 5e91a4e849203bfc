package control

import (
	"sync"
	"time"
)

const (
	// stallLimit is the time between two rounds of the monitor from which the process
	// counts as paused: rounds are tallyPeriod apart.
	stallLimit = time.Second
	// catchUpTime is how long after the first frame of a neighbour a host that was
	// paused takes to have the newest progress of a rollout.
	catchUpTime = time.Second
)

// stallGuard withdraws the permission to send calls to a version that is being
// rolled out from a process that was paused: the version may have been vetoed
// meanwhile. The permission returns when a neighbour has been heard again.
type stallGuard struct {
	mu        sync.Mutex
	lastRound time.Time
	resumed   time.Time // end of the last pause; zero when the host has caught up
}

// round records that the process runs.
func (g *stallGuard) round(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.detect(now)
	g.lastRound = now
}

// idle records that no rounds follow for now, since no rollout is running.
func (g *stallGuard) idle() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastRound = time.Time{}
}

func (g *stallGuard) detect(now time.Time) {
	if !g.lastRound.IsZero() && now.Sub(g.lastRound) > stallLimit {
		g.resumed, g.lastRound = now, now
	}
}

// mayExpose reports whether the process may act on the progress of a rollout that
// it knows. lastFrame is when a neighbour was heard last.
func (g *stallGuard) mayExpose(now, lastFrame time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.detect(now)
	if g.resumed.IsZero() {
		return true
	}
	if lastFrame.After(g.resumed) && now.Sub(g.resumed) > catchUpTime {
		g.resumed = time.Time{}
		return true
	}
	return false
}
