package main

import (
	"context"
	"runtime/debug"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/pause"
)

const (
	// gcPercent is the Go runtime's garbage collection target. A node's live heap is a
	// few megabytes, so that the default would collect after each dozen calls, and
	// some 35 times during the start in a mesh of 300 hosts.
	gcPercent = 300
	// gcPercentLargeBodies applies where the configuration has routes with large bodies,
	// whose garbage would be most of the heap.
	gcPercentLargeBodies = 100
	// collectorInterval is the time between looks at the configuration in force.
	collectorInterval = 200 * time.Millisecond
)

// collectorTarget returns the garbage collection target in percent.
func collectorTarget(largeBodies bool) int {
	if largeBodies {
		return gcPercentLargeBodies
	}
	return gcPercent
}

// tuneCollector sets the garbage collection target by the configuration in force until
// the context ends.
func tuneCollector(ctx context.Context, takesLargeBodies func() bool) {
	inForce := gcPercent
	for pause.For(ctx, collectorInterval) {
		if target := collectorTarget(takesLargeBodies()); target != inForce {
			inForce = target
			debug.SetGCPercent(target)
		}
	}
}
