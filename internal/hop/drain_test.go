package hop

import (
	"context"
	"errors"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"nutmeghoist.example/nutmeghoist/internal/bounded"
)

func startHopServer(t *testing.T, h Handler, options ...func(*Server)) (*Server, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(l, h)
	for _, set := range options {
		set(s)
	}
	go func() { _ = s.Run() }()
	t.Cleanup(s.Close)
	return s, l.Addr().String()
}

// Guards against calls of other nodes that are cut off when a node stops under
// load: each call either gets its response or is known not to have run.
func TestDrainCutsNoCall(t *testing.T) {
	var mu sync.Mutex
	ran := make(map[string]bool)
	s, address := startHopServer(t, handlerFunc(func(_ context.Context, r *Request) *Response {
		mu.Lock()
		ran[r.ID] = true
		mu.Unlock()
		if c, err := strconv.Atoi(r.ID); err == nil && c%50 == 0 {
			time.Sleep(time.Second) // longer than the connections have for closing
		}
		time.Sleep(3 * time.Millisecond)
		return &Response{Outcome: Answered, Body: make([]byte, 32<<10)}
	}))
	p := NewPool(loopback, address)
	defer p.Close()
	var calls, lost, refused, untrue atomic.Int64
	stopCalls := make(chan struct{})
	var wg sync.WaitGroup
	for range 40 {
		wg.Go(func() {
			for {
				select {
				case <-stopCalls:
					return
				default:
				}
				id := strconv.FormatInt(calls.Add(1), 10)
				resp, err := p.Call(t.Context(), Request{ID: id, Body: make([]byte, 8<<10)}, inTwoSeconds(), inTwoSeconds())
				switch {
				case errors.Is(err, ErrNotSent), err == nil && resp.Outcome == NotRun:
					refused.Add(1)
					mu.Lock()
					if ran[id] {
						untrue.Add(1)
					}
					mu.Unlock()
				case err != nil:
					lost.Add(1)
				}
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	s.Drain(2*time.Second, 200*time.Millisecond) // as a node with 2 s of its grace time left
	s.Close()
	time.Sleep(20 * time.Millisecond)
	close(stopCalls)
	wg.Wait()
	if lost.Load() > 0 || untrue.Load() > 0 || refused.Load() == 0 {
		t.Errorf("%d calls: %d lost, %d refused, %d of them had run", calls.Load(), lost.Load(), refused.Load(), untrue.Load())
	}
}

// Guards against an unexpected error in one call that ends the process, the calls
// of others, or is reported as not run.
func TestPanicFailsOneHopCall(t *testing.T) {
	_, address := startHopServer(t, handlerFunc(func(_ context.Context, r *Request) *Response {
		if r.ID == "bad" {
			panic("unexpected")
		}
		time.Sleep(30 * time.Millisecond)
		return &Response{Outcome: Answered, Status: 200}
	}))
	p := NewPool(loopback, address)
	defer p.Close()
	good := make(chan error, 1)
	go func() {
		_, err := p.Call(t.Context(), Request{ID: "good"}, inTwoSeconds(), inTwoSeconds())
		good <- err
	}()
	resp, err := p.Call(t.Context(), Request{ID: "bad"}, inTwoSeconds(), inTwoSeconds())
	if err != nil || resp.Outcome != Unknown || !resp.SentToTarget {
		t.Errorf("got %+v, %v", resp, err)
	}
	if err := <-good; err != nil {
		t.Errorf("another call failed: %v", err)
	}
}

// Guards against bodies of many calls that together exceed the memory of the
// process.
func TestHopBodiesShareOneBudget(t *testing.T) {
	s, address := startHopServer(t, handlerFunc(func(context.Context, *Request) *Response {
		return &Response{Outcome: Answered, Body: []byte("menu")}
	}), func(s *Server) { s.Buffers = bounded.NewBudget(1000) })
	p := NewPool(loopback, address)
	defer p.Close()
	for size, want := range map[int]Outcome{900: Answered, 2000: NotRun} {
		resp, err := p.Call(t.Context(), Request{Body: make([]byte, size)}, inTwoSeconds(), inTwoSeconds())
		if err != nil || resp.Outcome != want {
			t.Errorf("%d bytes: %+v, %v", size, resp, err)
		}
	}
	time.Sleep(20 * time.Millisecond)
	if n := s.Buffers.Used(); n != 0 {
		t.Errorf("%d bytes are still counted", n)
	}
}

// Guards against a malformed message of a peer that ends the process or blocks the
// other connections.
func TestMalformedFramesEndOneConnection(t *testing.T) {
	_, address := startHopServer(t, handlerFunc(func(context.Context, *Request) *Response { return &Response{Outcome: Answered} }))
	frame := func(kind byte, payload string) string {
		return string([]byte{0, 0, 0, byte(len(payload)), kind}) + payload
	}
	for name, bytes := range map[string]string{
		"unknown preamble":                "x",
		"unknown kind":                    "c" + frame(200, ""),
		"length over the limit":           "c\xff\xff\xff\xff\x01",
		"request without CBOR":            "c" + frame(frameRequest, "\xff\x00"),
		"request of a wrong type":         "c" + frame(frameRequest, "\xa1\x01\x61x"),
		"request with a bad header block": "c" + frame(frameRequest, "\xa1\x02\x43\xff\xff\xff"),
		"cancel without stream":           "c" + frame(frameCancel, "abc"),
		"gossip before it runs":           "g" + frame(frameGossip, "\xff"),
		"gossip frame of 8 MB":            "g\x00\x80\x00\x00\x01",
		"response to a server":            "c" + frame(frameResponse, ""),
	} {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(name, err)
		}
		_, _ = c.Write([]byte(bytes))
		_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
		if _, err := c.Read(make([]byte, 64)); err == nil || errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("%s: the connection stays open (%v)", name, err)
		}
		_ = c.Close()
		p := NewPool(loopback, address)
		if _, err := p.Call(t.Context(), Request{}, inTwoSeconds(), inTwoSeconds()); err != nil {
			t.Errorf("after %s: %v", name, err)
		}
		p.Close()
	}
}

// startSlowLink forwards connections to an address with a number of bytes a second in
// each direction, and buffers few of them.
func startSlowLink(t *testing.T, to string, bytesPerSecond int) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	forward := func(dst, src net.Conn) {
		buf := make([]byte, 4<<10)
		for {
			n, err := src.Read(buf)
			_, _ = dst.Write(buf[:n]) // a failure shows at the other direction's read
			if err != nil {
				_ = dst.Close()
				return
			}
			time.Sleep(time.Duration(n) * time.Second / time.Duration(bytesPerSecond))
		}
	}
	go func() {
		for {
			a, err := l.Accept()
			if err != nil {
				return
			}
			b, err := net.Dial("tcp", to)
			if err != nil {
				return
			}
			for _, c := range []net.Conn{a, b} {
				_ = c.(*net.TCPConn).SetReadBuffer(64 << 10) // the link is slow in any case
			}
			go forward(a, b)
			go forward(b, a)
		}
	}()
	return l.Addr().String()
}

// Guards against answers that are lost on a slow link when a node stops, because it
// closes connections on which large calls still arrive.
func TestDrainDeliversAnswersOverASlowLink(t *testing.T) {
	var uploads atomic.Int64
	running := make(chan struct{}, maxConns)
	proceed := make(chan struct{})
	s, address := startHopServer(t, handlerFunc(func(_ context.Context, r *Request) *Response {
		if r.ID == "upload" {
			uploads.Add(1)
			return &Response{Outcome: Answered}
		}
		running <- struct{}{}
		<-proceed
		return &Response{Outcome: Answered, Body: make([]byte, 360<<10)}
	}))
	p := NewPool(loopback, startSlowLink(t, address, 800_000))
	defer p.Close()
	deadline := time.Now().Add(4 * time.Second)
	call := func(r Request) (*Response, error) { return p.Call(t.Context(), r, deadline, deadline) }
	var wg sync.WaitGroup
	for range maxConns {
		wg.Go(func() {
			if resp, err := call(Request{ID: "download"}); err != nil || len(resp.Body) != 360<<10 {
				t.Errorf("a call that ran: %v", err)
			}
		})
		<-running
	}
	for range maxConns {
		wg.Go(func() {
			if resp, err := call(Request{ID: "upload", Body: make([]byte, 360<<10)}); !errors.Is(err, ErrNotSent) && (err != nil || resp.Outcome != NotRun) {
				t.Errorf("a call that did not arrive before the stop: %+v, %v", resp, err)
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	close(proceed)
	s.Drain(3*time.Second, 200*time.Millisecond)
	s.Close()
	wg.Wait()
	if n := uploads.Load(); n > 0 {
		t.Errorf("%d calls that were reported as not run have run", n)
	}
}

// Guards against a stop that takes the whole grace time because a peer which has had its
// responses long ago does not close its connection, as behind a cut.
func TestSilentPeerDoesNotHoldUpADrain(t *testing.T) {
	s, address := startHopServer(t, handlerFunc(func(context.Context, *Request) *Response { return &Response{Outcome: Answered} }))
	through, blocked := startProxy(t, address)
	p := NewPool(loopback, through)
	defer p.Close()
	if _, err := p.Call(t.Context(), Request{}, inTwoSeconds(), inTwoSeconds()); err != nil {
		t.Fatal(err)
	}
	blocked.Store(true)
	time.Sleep(deliveryTime)
	started := time.Now()
	s.Drain(time.Minute, 200*time.Millisecond)
	if took := time.Since(started); took > deliveryTime {
		t.Errorf("drained for %s", took)
	}
}

// Guards against a call that a stopping node accepts after it has seen that none runs, and
// cuts when it closes its connections.
func TestNoCallIsAcceptedOnceADrainHasBegun(t *testing.T) {
	release := make(chan struct{})
	s, address := startHopServer(t, handlerFunc(func(context.Context, *Request) *Response {
		<-release
		return &Response{Outcome: Answered}
	}))
	p := NewPool(loopback, address)
	defer p.Close()
	var wg sync.WaitGroup
	for range maxConns {
		wg.Go(func() { _, _ = p.Call(t.Context(), Request{}, inTwoSeconds(), inTwoSeconds()) }) // opens a connection
	}
	for s.PendingCalls() < maxConns {
		time.Sleep(time.Millisecond)
	}
	s.mu.Lock()
	var conns []*serverConn
	for c := range s.callConns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	s.goAway()
	for _, c := range conns {
		if s.accept(c, 1000) {
			t.Error("a call is accepted")
			s.pending.Add(-1)
		}
	}
	close(release)
	wg.Wait()
}

// Guards against calls that are cut, or reported as unknown, when a node forgets the
// connections to another one that has left or seems to have failed.
func TestClosedPoolWaitsForItsCalls(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	s, address := startHopServer(t, handlerFunc(func(ctx context.Context, _ *Request) *Response {
		close(started)
		select {
		case <-release:
			return &Response{Outcome: Answered, Status: 200}
		case <-ctx.Done():
			return &Response{Outcome: Unknown}
		}
	}))
	p := NewPool(loopback, address)
	ended := make(chan reply, 1)
	go func() {
		resp, err := p.Call(t.Context(), Request{}, inTwoSeconds(), inTwoSeconds())
		ended <- reply{resp: resp, err: err}
	}()
	<-started
	p.Close()
	time.Sleep(20 * time.Millisecond)
	close(release)
	if r := <-ended; r.err != nil || r.resp.Status != 200 {
		t.Errorf("call in progress: %+v, %v", r.resp, r.err)
	}
	if _, err := p.Call(t.Context(), Request{}, inTwoSeconds(), inTwoSeconds()); !errors.Is(err, ErrNotSent) {
		t.Errorf("call after the close: %v", err)
	}
	for until := time.Now().Add(time.Second); s.openCallConns(false) > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("the connection stays open after its last call")
		}
	}
}
