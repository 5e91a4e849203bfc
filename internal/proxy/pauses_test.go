package proxy

import (
	"os"
	"strings"
	"testing"
	"time"
)

// reportPauses says, when the test fails, for how long this process got no processor
// time at most and how long its threads have waited for one. A call with a deadline
// of 2 s that times out has then either been starved or has a fault of its own.
func reportPauses(t testing.TB) {
	const tick = 5 * time.Millisecond
	waitedBefore := schedulerWait()
	stop, longest := make(chan struct{}), make(chan time.Duration, 1)
	go func() {
		worst := time.Duration(0)
		ticker := time.NewTicker(tick)
		defer ticker.Stop()
		for last := time.Now(); ; {
			select {
			case <-ticker.C:
				worst, last = max(worst, time.Since(last)), time.Now()
			case <-stop:
				longest <- max(worst, time.Since(last))
				return
			}
		}
	}()
	t.Cleanup(func() {
		close(stop)
		worst := <-longest
		if t.Failed() {
			t.Logf("longest time between two ticks of %s: %s; time that the main thread waited for a processor: %s before the test, %s now",
				tick, worst, waitedBefore, schedulerWait())
		}
	})
}

// schedulerWait returns the time, in nanoseconds, that the main thread was ready to
// run and did not, as the kernel counts it; "unknown" where it does not.
func schedulerWait() string {
	stat, err := os.ReadFile("/proc/self/schedstat")
	if fields := strings.Fields(string(stat)); err == nil && len(fields) > 1 {
		return fields[1] + " ns"
	}
	return "unknown"
}
