package standin

import (
	"fmt"
	"maps"
	"os"
	"strings"
	"sync"
	"time"
)

// maxOrders bounds the memory for runs to about 50 MB; beyond it, runs are only
// counted.
const maxOrders = 500_000

// Stats are the counters of a target, as GET /stats reports them.
type Stats struct {
	Calls          int64 `json:"calls"`
	Runs           int64 `json:"runs"`
	Shed           int64 `json:"shed"`
	Refused        int64 `json:"refused"` // while draining
	Failed         int64 `json:"failed"`
	Cancelled      int64 `json:"cancelled"` // by the caller or its deadline
	EarlyEnds      int64 `json:"early_ends"`
	Uncounted      int64 `json:"uncounted"` // runs that are missing from the count of an order
	Running        int   `json:"running"`   // calls in the target, with those that wait for a slot
	MaxRunning     int   `json:"max_running"`
	MaxConnections int   `json:"max_connections"`
}

type counters struct {
	mu    sync.Mutex
	stats Stats
	runs  map[string]int
	onRun func(order string) // may be nil
}

// enter counts a call that arrives and returns how many there are now.
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

func (c *counters) connected(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.MaxConnections = max(c.stats.MaxConnections, n)
}

// run counts a run of an order.
func (c *counters) run(order string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Runs++
	if c.onRun != nil {
		c.onRun(order)
	}
	if _, known := c.runs[order]; !known && len(c.runs) >= maxOrders {
		c.stats.Uncounted++
		return
	}
	c.runs[order]++
}

func (c *counters) add(counter *int64) {
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

// ReadRuns returns how often each order was run, from a file with the standard
// output of a target that prints its runs. The target may be dead.
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

// Runs returns how often each order was run.
func (t *Target) Runs() map[string]int { return t.counters.copyRuns(0) }

// Stats returns the counters.
func (t *Target) Stats() Stats { return t.counters.snapshot() }

// lagging holds a value that is renewed only when it is older than the lag.
type lagging[T any] struct {
	mu    sync.Mutex
	value T
	at    time.Time
}

func (l *lagging[T]) get(lag time.Duration, current func() T) T {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); l.at.IsZero() || now.Sub(l.at) >= lag {
		l.value, l.at = current(), now
	}
	return l.value
}
