package telemetry

import (
	"strings"
	"sync"
	"testing"
	"time"
)

// stuckWriter blocks until it is released.
type stuckWriter struct {
	release chan struct{}
	mu      sync.Mutex
	text    strings.Builder
}

func (w *stuckWriter) Write(b []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(b)
}

// Guards against calls that wait for a reader of the standard output that does
// not read, against an unbounded volume, and against lines that vanish without
// a word.
func TestAsyncWriterNeverBlocks(t *testing.T) {
	out := &stuckWriter{release: make(chan struct{})}
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
	if dropped := w.Dropped(); dropped < lines-asyncBurst-int64(took.Seconds()*LinesPerSecond)-1 {
		t.Errorf("%d lines dropped of %d", dropped, lines)
	}
	close(out.release)
	w.Flush(5 * time.Second)
	out.mu.Lock()
	defer out.mu.Unlock()
	written := strings.Count(out.text.String(), "a line\n")
	if written == 0 || written > asyncBurst+int(took.Seconds()*LinesPerSecond)+1 {
		t.Errorf("%d lines written", written)
	}
	if !strings.Contains(out.text.String(), "log lines dropped") {
		t.Error("nothing says that lines were dropped")
	}
}
