package proxy

import (
	"sync"

	"github.com/rcrowley/go-metrics"
)

// counters holds the call path's metrics. Counters by reason are registered on
// first use.
type counters struct {
	registry metrics.Registry
	calls    metrics.Counter // calls from callers
	hops     metrics.Counter // calls from other nodes
	byName   *sync.Map
}

func newCounters(r metrics.Registry) counters {
	return counters{
		registry: r,
		calls:    metrics.GetOrRegisterCounter("calls.received", r),
		hops:     metrics.GetOrRegisterCounter("hops.received", r),
		byName:   &sync.Map{},
	}
}

// inc counts an event whose name is a kind and a reason.
func (c *counters) inc(kind string, reason Reason) {
	key := counterKey{kind, reason}
	if m, ok := c.byName.Load(key); ok {
		m.(metrics.Counter).Inc(1)
		return
	}
	m := metrics.GetOrRegisterCounter(kind+"."+string(reason), c.registry)
	c.byName.Store(key, m)
	m.Inc(1)
}

type counterKey struct {
	kind   string
	reason Reason
}

// The kinds of counters with a reason.
const (
	kindRefused  = "refused"  // final, not run
	kindUnknown  = "unknown"  // final, outcome unknown
	kindRetried  = "retried"  // tried again
	kindNotTried = "noretry"  // given up although another target was there
	kindAborted  = "aborted"  // answer ended early
	kindHop      = "hop"      // refused to another node
	kindHopLost  = "hop_lost" // unknown to another node
)
