package telemetry

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// maxQueuedLines bounds the lines that wait for a slow output.
	maxQueuedLines = 2048
	// LinesPerSecond bounds the rate of a node's lines. Up to burstLines of them
	// may come at once.
	LinesPerSecond = 400
	burstLines     = 800
	// maxBatchBytes bounds the bytes of one write.
	maxBatchBytes = 16 << 10
	// batchDelay is the time after the first line in which further lines join its
	// write.
	batchDelay = 250 * time.Millisecond
)

// AsyncWriter writes lines in the background. It never blocks the caller. Lines
// above its rate limit, or for which its queue has no room, are dropped and
// counted, and a line reports their number.
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
		out: out, lines: make(chan []byte, maxQueuedLines), flush: make(chan chan struct{}),
		limiter: rate.NewLimiter(LinesPerSecond, burstLines),
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
			flushed := w.awaitBatch()
			w.writeBatch(line)
			if flushed != nil {
				close(flushed)
			}
		case done := <-w.flush:
			w.writeBatch(nil)
			close(done)
		}
	}
}

// awaitBatch waits for batchDelay, or until a flush is requested. It returns the
// channel that the flush waits for.
func (w *AsyncWriter) awaitBatch() chan struct{} {
	timer := time.NewTimer(batchDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case done := <-w.flush:
		return done
	}
}

// writeBatch appends the queued lines to a batch and writes it. The lines of a
// failed write are lost, as there is no other output for the error.
func (w *AsyncWriter) writeBatch(batch []byte) {
	for {
		select {
		case line := <-w.lines:
			batch = append(batch, line...)
			if len(batch) < maxBatchBytes {
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
