package hop

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// handlerFunc runs calls of a test; notes are ignored.
type handlerFunc func(ctx context.Context, r *Request) *Response

func (f handlerFunc) Call(ctx context.Context, r *Request) *Response { return f(ctx, r) }
func (f handlerFunc) HandleNotification([]byte)                      {}

func serve(t *testing.T, h Handler) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(l, h)
	go func() { _ = s.Run() }()
	t.Cleanup(s.Close)
	return l.Addr().String()
}

var loopback = net.IPv4(127, 0, 0, 1)

func soon() time.Time { return time.Now().Add(2 * time.Second) }

// Guards against responses that reach the wrong call of a shared connection.
func TestResponsesFindTheirCalls(t *testing.T) {
	address := serve(t, handlerFunc(func(_ context.Context, r *Request) *Response {
		if r.ID == "0" {
			time.Sleep(50 * time.Millisecond)
		}
		return &Response{Outcome: Answered, Body: []byte(r.ID)}
	}))
	p := NewPool(loopback, address)
	defer p.Close()
	done := make(chan error, 20)
	for i := range 20 {
		go func() {
			id := string(rune('0' + i))
			resp, err := p.Call(t.Context(), Request{ID: id}, soon(), soon())
			if err == nil && string(resp.Body) != id {
				err = errors.New("answer of another call")
			}
			done <- err
		}()
	}
	for range 20 {
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
}

// Guards against a target that goes on working after its caller has left.
func TestCancelReachesTheOwner(t *testing.T) {
	began, ended := make(chan struct{}), make(chan struct{})
	address := serve(t, handlerFunc(func(ctx context.Context, _ *Request) *Response {
		close(began)
		<-ctx.Done()
		close(ended)
		return &Response{Outcome: Unknown}
	}))
	p := NewPool(loopback, address)
	defer p.Close()
	ctx, cancel := context.WithCancel(t.Context())
	go func() { <-began; cancel() }()
	if _, err := p.Call(ctx, Request{}, soon(), soon()); !errors.Is(err, ErrBroken) {
		t.Errorf("got %v, want ErrBroken", err)
	}
	select {
	case <-ended:
	case <-time.After(time.Second):
		t.Error("the owner was not told")
	}
}

// Guards against an unsafe call that counts as not sent although its bytes may
// have reached the owner, and against one that counts as sent although no
// connection could be opened.
func TestErrorsSayWhetherBytesLeft(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	if _, err := NewPool(loopback, address).Call(t.Context(), Request{}, soon(), soon()); !errors.Is(err, ErrNotSent) {
		t.Errorf("nobody listens: got %v, want ErrNotSent", err)
	}
	var server *Server
	ready := make(chan struct{})
	l, err = net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server = NewServer(l, handlerFunc(func(ctx context.Context, _ *Request) *Response {
		close(ready)
		<-ctx.Done()
		return &Response{Outcome: Unknown}
	}))
	go func() { _ = server.Run() }()
	go func() { <-ready; server.Close() }()
	_, err = NewPool(loopback, l.Addr().String()).Call(t.Context(), Request{}, soon(), soon())
	if !errors.Is(err, ErrBroken) || errors.Is(err, ErrNotSent) {
		t.Errorf("owner ends: got %v, want ErrBroken", err)
	}
}

// gate forwards bytes to an address until it is shut; connections then stay
// open but are silent.
func gate(t *testing.T, to string) (address string, shut *atomic.Bool) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	shut = &atomic.Bool{}
	pass := func(dst, src net.Conn) {
		buf := make([]byte, 4096)
		for {
			n, err := src.Read(buf)
			if err != nil {
				return
			}
			if !shut.Load() {
				_, _ = dst.Write(buf[:n])
			}
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
			go pass(a, b)
			go pass(b, a)
		}
	}()
	return l.Addr().String(), shut
}

// Guards against calls that wait until their deadline on a connection that
// something between the nodes has lost track of.
func TestSilentConnectionIsGivenUp(t *testing.T) {
	var shut *atomic.Bool
	owner := serve(t, handlerFunc(func(context.Context, *Request) *Response {
		shut.Store(true)
		return &Response{Outcome: Answered}
	}))
	address, s := gate(t, owner)
	shut = s
	p := NewPool(loopback, address)
	defer p.Close()
	began := time.Now()
	_, err := p.Call(t.Context(), Request{}, time.Now().Add(time.Minute), soon())
	if !errors.Is(err, ErrBroken) {
		t.Errorf("got %v, want ErrBroken", err)
	}
	if took := time.Since(began); took > 3*(quietLimit+probeTimeout) {
		t.Errorf("given up after %s", took)
	}
}

// Guards against a call that is sent on a connection which went silent while
// it was idle: its outcome would be unknown.
func TestIdleConnectionIsProbedFirst(t *testing.T) {
	owner := serve(t, handlerFunc(func(context.Context, *Request) *Response { return &Response{Outcome: Answered} }))
	address, shut := gate(t, owner)
	p := NewPool(loopback, address)
	defer p.Close()
	if _, err := p.Call(t.Context(), Request{}, soon(), soon()); err != nil {
		t.Fatal(err)
	}
	shut.Store(true)
	time.Sleep(idleLimit + 50*time.Millisecond)
	if _, err := p.Call(t.Context(), Request{}, soon(), soon()); !errors.Is(err, ErrNotSent) {
		t.Errorf("got %v, want ErrNotSent", err)
	}
}

// Guards against a call that was held up on the way and is then run as if its
// caller still waited: the deadline travels on the owner's clock.
func TestDeadlineTravelsOnTheOwnersClock(t *testing.T) {
	got := make(chan time.Duration, 1)
	address := serve(t, handlerFunc(func(_ context.Context, r *Request) *Response {
		got <- time.Until(TimeAt(r.DeadlineAt))
		return &Response{Outcome: Answered}
	}))
	p := NewPool(loopback, address)
	defer p.Close()
	if _, err := p.Call(t.Context(), Request{}, time.Now().Add(time.Second), soon()); err != nil {
		t.Fatal(err)
	}
	if left := <-got; left > time.Second || left < 800*time.Millisecond {
		t.Errorf("owner sees %s left of 1s", left)
	}
}

// Guards against a peer whose frames are malformed taking the node down.
func FuzzServeCalls(f *testing.F) {
	f.Add([]byte{preambleCalls, 0, 0, 0, 0, frameHello})
	f.Add([]byte{preambleCalls, 0, 0, 0, 1, frameRequest, 0xa0})
	f.Add([]byte{preambleGossip, 0, 0, 0, 1, frameHello, 0xa0})
	f.Fuzz(func(t *testing.T, data []byte) {
		near, far := net.Pipe()
		s := NewServer(nil, handlerFunc(func(context.Context, *Request) *Response { return &Response{} }))
		done := make(chan struct{})
		go func() { defer close(done); s.serve(far) }()
		go func() { _, _ = io.Copy(io.Discard, near) }()
		_ = near.SetDeadline(time.Now().Add(time.Second))
		_, _ = near.Write(data)
		_ = near.Close()
		<-done
	})
}
