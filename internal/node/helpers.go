package node

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
)

func (n *Node) count(name string) { n.metricsCounter(name).Inc(1) }

func (n *Node) metricsCounter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, n.metrics)
}

func (n *Node) metricsGauge(name string) metrics.Gauge {
	return metrics.GetOrRegisterGauge(name, n.metrics)
}

// gossipCounters records the counters of the gossip in the node's registry.
type gossipCounters struct{ n *Node }

func (c gossipCounters) Count(name string, delta int64) {
	c.n.metricsCounter("gossip." + name).Inc(delta)
}

// jitter returns a uniformly random duration in [0, limit).
func (n *Node) jitter(limit time.Duration) time.Duration {
	n.rngMu.Lock()
	defer n.rngMu.Unlock()
	return time.Duration(n.rng.Int64N(int64(limit)))
}

// sleep waits for d and returns false if the context ends.
func sleep(ctx context.Context, d time.Duration) bool { return sleepOrWake(ctx, d, nil) }

// sleepOrWake is like sleep but returns early when wake receives a value.
func sleepOrWake(ctx context.Context, d time.Duration, wake <-chan struct{}) bool {
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

// notify wakes the loop that waits on c, a channel with a buffer of one.
func notify(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
