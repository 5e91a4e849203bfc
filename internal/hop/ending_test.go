package hop

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
)

// lines is a log in memory.
type lines struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *lines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(b)
}

// await waits for a line with all of the given parts.
func (l *lines) await(t *testing.T, parts ...string) {
	t.Helper()
	for until := time.Now().Add(2 * time.Second); ; time.Sleep(time.Millisecond) {
		l.mu.Lock()
		text := l.buf.String()
		l.mu.Unlock()
		for line := range strings.Lines(text) {
			found := 0
			for _, part := range parts {
				if strings.Contains(line, part) {
					found++
				}
			}
			if found == len(parts) {
				return
			}
		}
		if time.Now().After(until) {
			t.Fatalf("no line with %q in:\n%s", parts, text)
		}
	}
}

// Guards against a stop whose log does not tell what became of the calls of other nodes.
func TestStoppingServerLogsEachCall(t *testing.T) {
	out := &lines{}
	started, release := make(chan struct{}, 3), make(chan struct{})
	s, address := startHopServer(t, handlerFunc(func(ctx context.Context, r *Request) *Response {
		started <- struct{}{}
		select {
		case <-release:
			if r.ID == "answered" {
				return &Response{Outcome: Answered, Status: 201, SentToTarget: true}
			}
			<-ctx.Done()
		case <-ctx.Done():
		}
		return &Response{Outcome: Unknown, SentToTarget: true, Reason: "cancelled"}
	}), func(s *Server) {
		s.Log = &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: out}}
	})
	p := NewPool(loopback, address)
	var wg sync.WaitGroup
	ctx, cancel := context.WithCancel(t.Context())
	for _, id := range []string{"answered", "cancelled", "cut"} {
		callCtx := t.Context()
		if id == "cancelled" {
			callCtx = ctx
		}
		wg.Go(func() {
			_, _ = p.Call(callCtx, Request{ID: id, Body: []byte("rope")}, inTwoSeconds(), inTwoSeconds()) // the log tells
		})
		<-started
	}
	drained := make(chan struct{})
	go func() { s.Drain(300*time.Millisecond, time.Millisecond); close(drained) }()
	time.Sleep(20 * time.Millisecond)
	cancel()
	close(release)
	<-drained
	s.Close()
	wg.Wait()
	out.await(t, `"answered"`, `"read":4`, `"outcome":"answered"`, `"passed_on":true`, `"status":201`, `"written":true`, `"closed_by":"node"`, `"cause":"answered"`)
	out.await(t, `"id":"cancelled"`, `"outcome":"unknown"`, `"passed_on":true`, `"closed_by":"peer"`, `"cause":"cancelled"`)
	out.await(t, `"id":"cut"`, `"outcome":"unknown"`, `"written":false`, `"closed_by":"node"`, `"cause":"stop_time_up"`)
}
