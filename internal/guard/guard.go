// Package guard keeps an unexpected error in one unit of work, such as a call or a
// message of a peer, from ending the whole process.
package guard

import (
	"context"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"nutmeghoist.example/nutmeghoist/pkg/pause"
)

// A loop that panics is started again after minRestartDelay. The delay doubles with
// each panic, up to maxRestartDelay, until the loop has run for maxRestartDelay.
const (
	minRestartDelay = 50 * time.Millisecond
	maxRestartDelay = 10 * time.Second
)

// maxStackBytes bounds the stack in a log line.
const maxStackBytes = 4 << 10

// Guard counts and logs the panics of units of work. A nil Guard recovers them
// silently.
type Guard struct {
	metrics metrics.Registry
	log     *log.Logger
}

// New returns a guard.
func New(m metrics.Registry, l *log.Logger) *Guard { return &Guard{metrics: m, log: l} }

// Run runs a unit of work and reports whether it panicked.
func (g *Guard) Run(unit string, work func()) (panicked bool) {
	defer func() {
		if value := recover(); value != nil {
			panicked = true
			g.report(unit, value, debug.Stack())
		}
	}()
	work()
	return false
}

func (g *Guard) report(unit string, value any, stack []byte) {
	if g == nil {
		return
	}
	metrics.GetOrRegisterCounter("panics."+unit, g.metrics).Inc(1)
	g.log.Error().Str("unit", unit).Str("panic", fmt.Sprint(value)).
		Str("stack", string(stack[:min(len(stack), maxStackBytes)])).Msg("unexpected error; the unit of work failed")
}

// Loop runs a loop until the context ends, and starts it again after a panic. A
// loop that returns by itself is not started again.
func (g *Guard) Loop(ctx context.Context, name string, loop func(context.Context)) {
	delay := minRestartDelay
	for {
		started := time.Now()
		if !g.Run(name, func() { loop(ctx) }) {
			return
		}
		if time.Since(started) > maxRestartDelay {
			delay = minRestartDelay
		}
		if !pause.For(ctx, delay) {
			return
		}
		delay = min(maxRestartDelay, 2*delay)
	}
}
