package guard

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
)

// Guards against a panic that ends the process, or that nobody can see.
func TestRunReportsAPanic(t *testing.T) {
	registry := metrics.NewRegistry()
	var out strings.Builder
	g := New(registry, &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: &out}})
	if !g.Run("frame", func() { panic("index out of range") }) {
		t.Error("the panic was not reported to the caller")
	}
	if g.Run("frame", func() {}) {
		t.Error("reported a panic without one")
	}
	if n := metrics.GetOrRegisterCounter("panics.frame", registry).Count(); n != 1 {
		t.Errorf("counted %d panics", n)
	}
	for _, want := range []string{"index out of range", `"unit":"frame"`, "guard_test.go"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("the log line lacks %q: %s", want, out.String())
		}
	}
	var none *Guard
	if !none.Run("frame", func() { panic("x") }) {
		t.Error("a nil guard did not recover")
	}
}

// Guards against a loop that is gone after one panic, against one that panics all
// the time and uses up the processor, and against one that outlives its context.
func TestLoopIsStartedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		runs := 0
		New(metrics.NewRegistry(), &log.Logger{Level: log.PanicLevel + 1}).Loop(ctx, "loop", func(context.Context) {
			runs++
			panic("again")
		})
		if ctx.Err() == nil || runs < 8 || runs > 20 {
			t.Errorf("%d runs in a minute, context: %v", runs, ctx.Err())
		}
	})
}
