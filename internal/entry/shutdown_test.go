package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"nutmeghoist.example/nutmeghoist/internal/bounded"
	"nutmeghoist.example/nutmeghoist/pkg/traffic"
)

const shutdownLimit = 3 * time.Second

// Guards against calls that are cut without a response when the server shuts down
// right after they have arrived: in the listen queue, half read, pipelined, or
// being handled.
func TestShutdownCutsNoCall(t *testing.T) {
	const conns = 60
	cases := map[string]struct{ before, after string }{
		"in the listen queue":   {"GET /a HTTP/1.1\r\nHost: m\r\nTakes: 20ms\r\n\r\n", ""},
		"half of the head":      {"GET /a HTTP/1.1\r\nHo", "st: m\r\n\r\n"},
		"half of the body":      {"POST /a HTTP/1.1\r\nHost: m\r\nContent-Length: 4\r\n\r\nme", "nu"},
		"pipelined":             {"GET /a HTTP/1.1\r\nHost: m\r\nTakes: 30ms\r\n\r\nGET /a HTTP/1.1\r\nHost: m\r\n\r\n", ""},
		"slow":                  {"GET /a HTTP/1.1\r\nHost: m\r\nTakes: 400ms\r\n\r\n", ""},
		"closes after the call": {"GET /a HTTP/1.1\r\nHost: m\r\nConnection: close\r\nTakes: 80ms\r\n\r\n", ""},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s, address := startServer(t, echo)
			var wg, dialled sync.WaitGroup
			var cut atomic.Int64
			dialled.Add(conns)
			for range conns {
				wg.Go(func() {
					c, err := net.Dial("tcp", address)
					if err == nil {
						_, err = io.WriteString(c, tc.before)
					}
					dialled.Done()
					if err != nil {
						cut.Add(1)
						return
					}
					defer c.Close()
					time.Sleep(60 * time.Millisecond)
					_, _ = io.WriteString(c, tc.after) // a cut shows at the read
					_ = c.SetReadDeadline(time.Now().Add(2 * shutdownLimit))
					if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != 200 {
						cut.Add(1)
					}
				})
			}
			dialled.Wait()
			s.Shutdown(shutdownLimit)
			s.Close()
			wg.Wait()
			if n := cut.Load(); n > 0 {
				t.Errorf("%d of %d calls got no response", n, conns)
			}
		})
	}
}

// Guards against a shutdown that waits for callers that keep idle connections.
func TestShutdownClosesIdleConnections(t *testing.T) {
	s, address := startServer(t, echo)
	c, r := dial(t, address)
	_, _ = io.WriteString(c, "GET /a HTTP/1.1\r\nHost: m\r\n\r\n")
	readResponse(t, r)
	began := time.Now()
	s.Shutdown(shutdownLimit)
	if took := time.Since(began); took > time.Second {
		t.Errorf("took %s", took)
	}
	if _, err := r.ReadByte(); err != io.EOF {
		t.Errorf("the idle connection ended with %v", err)
	}
}

// Guards against a panic in the handling of one call that ends the process or the
// calls of others, or that is reported as not run.
func TestPanicFailsOneCall(t *testing.T) {
	_, address := startServer(t, func(ctx context.Context, r *Request) *Response {
		if r.Path == "/bad" {
			panic("unexpected")
		}
		return echo(ctx, r)
	})
	other, otherReader := dial(t, address)
	c, r := dial(t, address)
	_, _ = io.WriteString(c, "GET /bad HTTP/1.1\r\nHost: m\r\n\r\nGET /good HTTP/1.1\r\nHost: m\r\n\r\n")
	if resp, _ := readResponse(t, r); resp.StatusCode != http.StatusBadGateway {
		t.Errorf("status %d after a panic, which promises that the call has not run", resp.StatusCode)
	}
	if resp, _ := readResponse(t, r); resp.StatusCode != 200 {
		t.Errorf("the next call on the connection got %d", resp.StatusCode)
	}
	_, _ = io.WriteString(other, "GET /good HTTP/1.1\r\nHost: m\r\n\r\n")
	if resp, _ := readResponse(t, otherReader); resp.StatusCode != 200 {
		t.Errorf("a call on another connection got %d", resp.StatusCode)
	}
}

// Guards against callers whose bodies are each within the limit but together
// exceed the memory of the process, and against memory that stays counted.
func TestBodiesShareOneBudget(t *testing.T) {
	release := make(chan struct{})
	s, address := startServer(t, func(ctx context.Context, r *Request) *Response {
		<-release
		return echo(ctx, r)
	}, func(s *Server) { s.Buffers = bounded.NewBudget(20 << 10) })
	var wg sync.WaitGroup
	var served, refused atomic.Int64
	body := make([]byte, 4000)
	for range 12 {
		wg.Go(func() {
			c, err := net.Dial("tcp", address)
			if err != nil {
				t.Error(err)
				return
			}
			defer c.Close()
			_ = c.SetDeadline(time.Now().Add(3 * time.Second))
			_, _ = fmt.Fprintf(c, "POST /a HTTP/1.1\r\nHost: m\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			switch {
			case err != nil:
				t.Error(err)
			case resp.StatusCode == 200:
				served.Add(1)
			case resp.StatusCode == 503 && resp.Header.Get("Retry-After") != "":
				refused.Add(1)
			default:
				t.Errorf("status %d, header %v", resp.StatusCode, resp.Header)
			}
		})
	}
	time.AfterFunc(200*time.Millisecond, func() { close(release) })
	wg.Wait()
	if served.Load() == 0 || refused.Load() == 0 {
		t.Errorf("%d served, %d refused", served.Load(), refused.Load())
	}
	for end := time.Now().Add(time.Second); s.Buffers.Used() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes are still counted", s.Buffers.Used())
		}
	}
}

// Guards against a shutdown that goes on accepting connections while new ones arrive.
func TestShutdownEndsWhileCallersConnect(t *testing.T) {
	s, address := startServer(t, echo)
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(15 * time.Millisecond):
			}
			c, err := net.Dial("tcp", address)
			if err != nil {
				continue
			}
			_, _ = io.WriteString(c, "GET /a HTTP/1.1\r\nHost: m\r\nConnection: close\r\nTakes: 30ms\r\n\r\n")
			wg.Go(func() { _, _ = io.Copy(io.Discard, c); _ = c.Close() })
		}
	})
	time.Sleep(100 * time.Millisecond)
	began := time.Now()
	s.Shutdown(shutdownLimit)
	took := time.Since(began)
	close(done)
	s.Close()
	wg.Wait()
	if took > shutdownLimit/2 {
		t.Errorf("took %s of %s", took, shutdownLimit)
	}
}

// slowListener returns its first connection late, like one of a process without
// processor time.
type slowListener struct {
	*net.TCPListener
	once sync.Once
}

func (l *slowListener) Accept() (net.Conn, error) {
	l.once.Do(func() { time.Sleep(30 * time.Millisecond) })
	return l.TCPListener.Accept()
}

// Guards against a shutdown that ends before the connections that wait are accepted,
// because none is open yet.
func TestShutdownWaitsForTheListenQueue(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(&slowListener{TCPListener: l.(*net.TCPListener)}, echo, func() (traffic.Limits, bool) {
		return traffic.Limits{HeaderBytes: 1024, BodyBytes: 4096, HeaderTimeout: 300 * time.Millisecond, IdleTimeout: 200 * time.Millisecond}, true
	})
	ended := make(chan error, 1)
	go func() { ended <- s.Run() }()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, _ = io.WriteString(c, "GET /a HTTP/1.1\r\nHost: m\r\n\r\n")
	time.Sleep(10 * time.Millisecond)
	s.Shutdown(shutdownLimit)
	s.Close()
	_ = c.SetReadDeadline(time.Now().Add(shutdownLimit))
	if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != 200 {
		t.Errorf("the call in the listen queue got no response: %v", err)
	}
	<-ended
}

// stalledListener lets its deadline pass before each of a number of accepts, like one of
// a process that gets no processor time.
type stalledListener struct {
	*net.TCPListener
	stalls atomic.Int32
}

func (l *stalledListener) Accept() (net.Conn, error) {
	if l.stalls.Add(-1) >= 0 {
		time.Sleep(3 * lastArrivalTime)
	}
	return l.TCPListener.Accept()
}

// Guards against connections in the listen queue that are reset because the process got
// no processor time whenever it was about to look for them.
func TestShutdownTakesTheListenQueueAfterAStall(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	stalled := &stalledListener{TCPListener: l.(*net.TCPListener)}
	stalled.stalls.Store(1 + maxLastLooks)
	s := NewServer(stalled, echo, func() (traffic.Limits, bool) { return traffic.Limits{}, false })
	ended := make(chan error, 1)
	go func() { ended <- s.Run() }()
	c, r := dial(t, l.Addr().String())
	_, _ = io.WriteString(c, "GET /a HTTP/1.1\r\nHost: m\r\n\r\n")
	for !s.accepting.Load() {
		time.Sleep(time.Millisecond)
	}
	s.Shutdown(shutdownLimit)
	if resp, err := http.ReadResponse(r, nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("the call in the listen queue got no response: %v", err)
	}
	<-ended
}

// Guards against connections in the listen queue that are reset because the server has
// not begun to accept when it shuts down.
func TestShutdownBeforeTheFirstAcceptCutsNoCall(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(l, echo, func() (traffic.Limits, bool) { return traffic.Limits{}, false })
	c, r := dial(t, l.Addr().String())
	_, _ = io.WriteString(c, "GET /a HTTP/1.1\r\nHost: m\r\n\r\n")
	ended := make(chan error, 1)
	time.AfterFunc(20*time.Millisecond, func() { ended <- s.Run() })
	s.Shutdown(shutdownLimit)
	s.Close()
	if resp, err := http.ReadResponse(r, nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("the call in the listen queue got no response: %v", err)
	}
	<-ended
}
