package telemetry

import (
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockingWriter blocks until it is released.
type blockingWriter struct {
	release chan struct{}
	mu      sync.Mutex
	text    strings.Builder
}

func (w *blockingWriter) Write(b []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(b)
}

// Guards against calls that block because nothing reads the standard output,
// against an unbounded volume of lines, and against dropped lines that are not
// reported.
func TestAsyncWriterNeverBlocks(t *testing.T) {
	out := &blockingWriter{release: make(chan struct{})}
	w := NewAsyncWriter(out)
	began := time.Now()
	const lines = 10_000
	for range lines {
		if _, err := w.Write([]byte("a line\n")); err != nil {
			t.Fatal(err)
		}
	}
	took := time.Since(began)
	if took > time.Second {
		t.Errorf("%d lines took %s", lines, took)
	}
	close(out.release)
	w.Flush(5 * time.Second)
	out.mu.Lock()
	defer out.mu.Unlock()
	written := strings.Count(out.text.String(), "a line\n")
	if written == 0 || written > burstLines+int(took.Seconds()*LinesPerSecond)+1 {
		t.Errorf("%d lines written", written)
	}
	reported := w.Dropped()
	for _, m := range regexp.MustCompile(`lines=(\d+)`).FindAllStringSubmatch(out.text.String(), -1) {
		n, err := strconv.ParseInt(m[1], 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		reported += n
	}
	if int64(written)+reported != lines {
		t.Errorf("%d lines written and %d reported as dropped of %d", written, reported, lines)
	}
}

// Guards against last lines of a process that are lost because they wait for more
// lines to join their write.
func TestFlushWritesLinesThatWaitForMore(t *testing.T) {
	out := &blockingWriter{release: make(chan struct{})}
	close(out.release)
	w := NewAsyncWriter(out)
	if _, err := w.Write([]byte("node stops\n")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(batchDelay / 5) // the first line waits
	if _, err := w.Write([]byte("node stopped\n")); err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	w.Flush(200 * time.Millisecond) // as at the end of a process
	if took := time.Since(began); took > 150*time.Millisecond {
		t.Errorf("Flush took %s", took)
	}
	out.mu.Lock()
	defer out.mu.Unlock()
	if got := out.text.String(); got != "node stops\nnode stopped\n" {
		t.Errorf("wrote %q", got)
	}
}
