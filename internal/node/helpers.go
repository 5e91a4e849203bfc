package node

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
)

// count adds one to a counter.
func (n *Node) count(name string) { n.metricsCounter(name).Inc(1) }

func (n *Node) metricsCounter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, n.metrics)
}

func (n *Node) metricsGauge(name string) metrics.Gauge {
	return metrics.GetOrRegisterGauge(name, n.metrics)
}

// counters lets the gossip count into the node's registry.
type counters struct{ n *Node }

func (c counters) Count(name string, delta int64) { c.n.metricsCounter("gossip." + name).Inc(delta) }

// jitter returns a time drawn uniformly below limit.
func (n *Node) jitter(limit time.Duration) time.Duration {
	n.rngMu.Lock()
	defer n.rngMu.Unlock()
	return time.Duration(n.rng.Int64N(int64(limit)))
}

// sleep waits and reports whether the context is still open.
func sleep(ctx context.Context, d time.Duration) bool { return sleepOr(ctx, d, nil) }

// sleepOr is sleep that ends early when wake receives.
func sleepOr(ctx context.Context, d time.Duration, wake <-chan struct{}) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-wake:
	case <-t.C:
	}
	return ctx.Err() == nil
}

// notify wakes a loop that waits on a channel with room for one value.
func notify(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
