package standin

import (
	"errors"
	"fmt"
	"io/fs"
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
	file  *os.File // one order a line for each run; nil without a runs file
}

// open continues the runs file, so that the runs of a target that was killed
// are still known.
func (c *counters) open(path string) error {
	runs, err := ReadRuns(path)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for order, n := range runs {
		c.runs[order] += n
	}
	c.file, err = os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	return err
}

func (c *counters) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.file != nil {
		_ = c.file.Close()
		c.file = nil
	}
}

// ReadRuns returns how often each order was run, from the runs file of a target
// that may be dead.
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
	if c.file != nil {
		// Written before the call is run, so that a kill loses no run.
		if _, err := c.file.WriteString(order + "\n"); err != nil {
			c.stats.Uncounted++
		}
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
