package proxy

import (
	"sync"

	"github.com/rcrowley/go-metrics"

	"nutmeghoist.example/nutmeghoist/pkg/retry"
)

// counters holds the metrics of the call path. The counters of known reasons are
// registered at the start, so that a scrape includes them at zero.
type counters struct {
	registry  metrics.Registry
	calls     metrics.Counter // calls from callers
	hops      metrics.Counter // calls from other nodes
	fallbacks metrics.Counter // calls to another destination because the chosen one has no targets
	byName    *sync.Map
}

func newCounters(r metrics.Registry) counters {
	c := counters{
		registry:  r,
		calls:     metrics.GetOrRegisterCounter("calls.received", r),
		hops:      metrics.GetOrRegisterCounter("hops.received", r),
		fallbacks: metrics.GetOrRegisterCounter("moves.fell_back", r),
		byName:    &sync.Map{},
	}
	for kind, reasons := range knownReasons {
		for _, reason := range reasons {
			c.counter(kind, reason)
		}
	}
	return c
}

// inc increments the counter that is named after a kind and a reason.
func (c *counters) inc(kind string, reason Reason) { c.counter(kind, reason).Inc(1) }

func (c *counters) counter(kind string, reason Reason) metrics.Counter {
	key := counterKey{kind, reason}
	if m, ok := c.byName.Load(key); ok {
		return m.(metrics.Counter)
	}
	m := metrics.GetOrRegisterCounter(kind+"."+string(reason), c.registry)
	c.byName.Store(key, m)
	return m
}

// registered returns the counter of a name.
func (c *counters) registered(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, c.registry)
}

type counterKey struct {
	kind   string
	reason Reason
}

// The kinds of counters. There is one counter for each reason of a kind.
const (
	kindRefused    = "refused"  // final answer: not run
	kindUnknown    = "unknown"  // final answer: outcome unknown
	kindRetried    = "retried"  // another attempt follows
	kindNotRetried = "noretry"  // no further attempt, the reason says why
	kindAborted    = "aborted"  // answer ended before it was complete
	kindHopRefused = "hop"      // not run, reported to another node
	kindHopUnknown = "hop_lost" // outcome unknown, reported to another node
)

var (
	refusalReasons = []Reason{
		ReasonNotReady, ReasonDraining, ReasonNoRoute, ReasonNoTarget, ReasonBadRequest, ReasonDepth, ReasonTargetGone,
		ReasonUnreachable, ReasonNodeDown, ReasonShed, ReasonQueueFull, ReasonQueueWait, ReasonDeadline, ReasonCancelled, ReasonBody,
		ReasonSuspect, ReasonSuspectBusy,
	}
	unknownReasons = []Reason{ReasonTimeout, ReasonBrokenLink, ReasonCancelled}

	knownReasons = map[string][]Reason{
		kindRefused: refusalReasons, kindHopRefused: refusalReasons, kindUnknown: unknownReasons, kindHopUnknown: unknownReasons,
		kindAborted: {ReasonEarlyEnd, ReasonCancelled},
		kindRetried: {Reason(retry.ReasonNotRun), Reason(retry.ReasonShed), Reason(retry.ReasonNoAnswer)},
		kindNotRetried: {
			ReasonNoTarget, Reason(retry.ReasonNotIdempotent), Reason(retry.ReasonMaxAttempts), Reason(retry.ReasonDeadline), Reason(retry.ReasonPathBudget),
			Reason(retry.ReasonNodeBudget), Reason(retry.ReasonBody), Reason(retry.ReasonCancelled),
		},
	}
)
