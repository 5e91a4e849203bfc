package telemetry

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// asyncLines is the number of lines that wait for a slow output.
	asyncLines = 2048
	// LinesPerSecond bounds the lines of a node; asyncBurst of them may come at once.
	LinesPerSecond = 400
	asyncBurst     = 800
	// asyncBatch bounds the bytes of one write.
	asyncBatch = 16 << 10
	// asyncPause lets lines that come together share one write.
	asyncPause = 20 * time.Millisecond
)

// AsyncWriter writes lines in the background. It never blocks the caller: lines
// beyond its rate, or that find its buffer full, are dropped and counted, and a
// line says how many.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	limiter *rate.Limiter
	dropped atomic.Int64
	flush   chan chan struct{}
}

// NewAsyncWriter returns a writer to out. It runs until the process ends.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{
		out: out, lines: make(chan []byte, asyncLines), flush: make(chan chan struct{}),
		limiter: rate.NewLimiter(LinesPerSecond, asyncBurst),
	}
	go w.run()
	return w
}

// Write queues one line.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	if !w.limiter.Allow() {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped since the last report.
func (w *AsyncWriter) Dropped() int64 { return w.dropped.Load() }

// Flush waits until the queued lines are written, at most for the given time.
func (w *AsyncWriter) Flush(limit time.Duration) {
	done := make(chan struct{})
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case w.flush <- done:
	case <-timer.C:
		return
	}
	select {
	case <-done:
	case <-timer.C:
	}
}

func (w *AsyncWriter) run() {
	for {
		select {
		case line := <-w.lines:
			time.Sleep(asyncPause)
			w.writeBatch(line)
		case done := <-w.flush:
			w.writeBatch(nil)
			close(done)
		}
	}
}

// writeBatch writes the lines that wait. A failed write loses them: there is
// no other place to tell it.
func (w *AsyncWriter) writeBatch(batch []byte) {
	for {
		select {
		case line := <-w.lines:
			batch = append(batch, line...)
			if len(batch) < asyncBatch {
				continue
			}
		default:
		}
		if n := w.dropped.Swap(0); n > 0 {
			batch = fmt.Appendf(batch, "level=warn message=\"log lines dropped\" lines=%d\n", n)
		}
		if len(batch) == 0 {
			return
		}
		_, _ = w.out.Write(batch)
		batch = batch[:0]
	}
}
