package standin

import (
	"fmt"
	"maps"
	"os"
	"strings"
	"sync"
	"time"
)

// maxTrackedOrders limits the memory for per-order run counts to about 50 MB.
// Runs of further orders are counted only in Stats.Runs and Stats.Uncounted.
const maxTrackedOrders = 500_000

// Stats are the counters of a target, as returned by GET /stats.
type Stats struct {
	Calls          int64 `json:"calls"`
	Runs           int64 `json:"runs"`
	Shed           int64 `json:"shed"`
	Refused        int64 `json:"refused"` // while draining
	Failed         int64 `json:"failed"`
	Cancelled      int64 `json:"cancelled"` // by the caller or at the deadline
	EarlyEnds      int64 `json:"early_ends"`
	Uncounted      int64 `json:"uncounted"` // runs missing from the per-order counts
	Running        int   `json:"running"`   // calls in the target, including those that wait for a slot
	MaxRunning     int   `json:"max_running"`
	MaxConnections int   `json:"max_connections"`
}

type counters struct {
	mu    sync.Mutex
	stats Stats
	runs  map[string]int
	onRun func(order string) // may be nil
}

// enter counts an incoming call and returns the number of calls in the target.
func (c *counters) enter() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Calls++
	c.stats.Running++
	c.stats.MaxRunning = max(c.stats.MaxRunning, c.stats.Running)
	return c.stats.Running
}

func (c *counters) exit() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Running--
}

func (c *counters) recordConnections(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.MaxConnections = max(c.stats.MaxConnections, n)
}

// recordRun counts one run of an order and calls onRun.
func (c *counters) recordRun(order string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Runs++
	if c.onRun != nil {
		c.onRun(order)
	}
	if _, known := c.runs[order]; !known && len(c.runs) >= maxTrackedOrders {
		c.stats.Uncounted++
		return
	}
	c.runs[order]++
}

func (c *counters) increment(counter *int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*counter++
}

func (c *counters) snapshot() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stats
}

func (c *counters) copyRuns(atLeast int) map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	runs := maps.Clone(c.runs)
	maps.DeleteFunc(runs, func(_ string, n int) bool { return n < atLeast })
	return runs
}

// ReadRuns returns the number of runs of each order, read from a file with the
// standard output of a target that prints its runs. The target may have ended.
func ReadRuns(path string) (map[string]int, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("runs file: %w", err)
	}
	runs := map[string]int{}
	for line := range strings.Lines(string(data)) {
		runs[strings.TrimSuffix(line, "\n")]++
	}
	return runs, nil
}

// Runs returns the number of runs of each order.
func (t *Target) Runs() map[string]int { return t.counters.copyRuns(0) }

// Stats returns a copy of the counters.
func (t *Target) Stats() Stats { return t.counters.snapshot() }

// cached holds a value that is recomputed only after it reaches a maximum age.
type cached[T any] struct {
	mu        sync.Mutex
	value     T
	updatedAt time.Time
}

func (c *cached[T]) get(maxAge time.Duration, compute func() T) T {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); c.updatedAt.IsZero() || now.Sub(c.updatedAt) >= maxAge {
		c.value, c.updatedAt = compute(), now
	}
	return c.value
}
