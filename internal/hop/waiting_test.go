package hop

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// startNode passes the connections that it accepts to the test.
func startNode(t *testing.T) (address string, accepted <-chan *conn) {
	t.Helper()
	conns := make(chan *conn, 1)
	return startPeer(t, func(c *conn) { conns <- c }), conns
}

// cloggedConn is a connection with a small call that the node has read and a large one of
// which it has read nothing.
type cloggedConn struct {
	client       *clientConn
	node         *conn
	first, large chan reply
}

func newCloggedConn(t *testing.T) *cloggedConn {
	t.Helper()
	address, accepted := startNode(t)
	client, err := NewPool(loopback, address).open(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.fail)
	c := &cloggedConn{client: client, node: <-accepted}
	t.Cleanup(func() { _ = c.node.Close() })
	c.first = c.call(t.Context(), Request{ID: "first"})
	if kind, _, err := c.node.readFrame(); err != nil || kind != frameRequest {
		t.Fatal(kind, err)
	}
	c.large = c.call(t.Context(), Request{ID: "large", Body: make([]byte, 8<<20)})
	time.Sleep(50 * time.Millisecond) // the sockets hold less
	return c
}

func (c *cloggedConn) call(ctx context.Context, r Request) chan reply {
	ended := make(chan reply, 1)
	go func() {
		resp, err := c.client.call(ctx, r, inTwoSeconds(), inTwoSeconds())
		ended <- reply{resp: resp, err: err}
	}()
	return ended
}

// soon returns the end of a call, which must not wait for the large one to be sent.
func soon(t *testing.T, name string, ended <-chan reply) reply {
	t.Helper()
	select {
	case r := <-ended:
		return r
	case <-time.After(500 * time.Millisecond):
		t.Fatalf("%s: the call has not ended", name)
	}
	return reply{}
}

// Guards against calls that stay with a node which has said that it does not handle them
// until a large one is sent, and against sending them all the same.
func TestCallsLeaveAStoppingNodeBeforeTheyAreSent(t *testing.T) {
	c := newCloggedConn(t)
	small := c.call(t.Context(), Request{ID: "small"})
	time.Sleep(20 * time.Millisecond)
	if err := c.node.writeFrame(frameGoAway, encodeUint(1)); err != nil {
		t.Fatal(err)
	}
	for name, ended := range map[string]<-chan reply{"large": c.large, "small": small} {
		if r := soon(t, name, ended); !errors.Is(r.err, ErrNotSent) {
			t.Errorf("%s: %+v", name, r)
		}
	}
	if kind, payload, err := c.node.readFrame(); err != nil || kind != frameRequest || len(payload) < 8<<20 {
		t.Errorf("kind %d, %d bytes, %v; want the large call", kind, len(payload), err)
	}
	if err := c.node.writeResponse(&Response{Stream: 1, Outcome: Answered, Status: 200}); err != nil {
		t.Error(err)
	}
	if r := soon(t, "first", c.first); r.err != nil || r.resp.Status != 200 {
		t.Errorf("first: %+v", r)
	}
	if kind, _, err := c.node.readFrame(); err == nil {
		t.Errorf("a frame of kind %d arrives after the last response", kind)
	}
}

// Guards against calls that outlast their deadline while a large one of the same
// connection is sent, and against reporting them as sent.
func TestCallEndsInTimeWhileALargeOneIsSent(t *testing.T) {
	c := newCloggedConn(t)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if r := soon(t, "small", c.call(ctx, Request{ID: "small"})); !errors.Is(r.err, ErrNotSent) {
		t.Errorf("a call that waits: %+v", r)
	}
	pinged := make(chan reply, 1)
	go func() {
		c.client.ping(t.Context(), reusePingTimeout)
		pinged <- reply{}
	}()
	soon(t, "ping", pinged)
	c.node.Close()
	for name, want := range map[string]error{"first": ErrBroken, "large": ErrNotSent} {
		ended := map[string]<-chan reply{"first": c.first, "large": c.large}[name]
		if r := soon(t, name, ended); !errors.Is(r.err, want) {
			t.Errorf("%s: %+v, want %v", name, r, want)
		}
	}
}

// Guards against a target that works on a large call which was given up while it was sent.
func TestLargeCallIsCancelledOnceItIsSent(t *testing.T) {
	address, accepted := startNode(t)
	client, err := NewPool(loopback, address).open(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.fail)
	c := &cloggedConn{client: client, node: <-accepted}
	ctx, cancel := context.WithCancel(t.Context())
	large := c.call(ctx, Request{ID: "large", Body: make([]byte, 8<<20)})
	time.Sleep(50 * time.Millisecond)
	cancel()
	if r := soon(t, "large", large); !errors.Is(r.err, ErrBroken) {
		t.Errorf("large: %+v", r)
	}
	for _, want := range []byte{frameRequest, frameCancel} {
		if kind, _, err := c.node.readFrame(); err != nil || kind != want {
			t.Errorf("frame of kind %d, want %d: %v", kind, want, err)
		}
	}
}

// Guards against a call that could be sent to another node and counts as sent, because the
// connection on which it waits has gone silent.
func TestCallThatWaitsOnASilentConnectionIsNotSent(t *testing.T) {
	c := newCloggedConn(t)
	select {
	case r := <-c.call(t.Context(), Request{ID: "small", Idempotent: true}):
		if !errors.Is(r.err, ErrNotSent) {
			t.Errorf("got %+v, want ErrNotSent", r)
		}
	case <-time.After(3 * (maxSilence + pingTimeout)):
		t.Error("the call has not ended")
	}
}

// Guards against a call that does not end with its context because the other node accepts
// the connection and does not answer its hello.
func TestCallEndsWithItsContextDuringTheHandshake(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	p := NewPool(loopback, l.Addr().String())
	defer p.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	began := time.Now()
	if _, err := p.Call(ctx, Request{}, inTwoSeconds(), inTwoSeconds()); !errors.Is(err, ErrNotSent) {
		t.Errorf("got %v", err)
	}
	if took := time.Since(began); took > 150*time.Millisecond {
		t.Errorf("ended after %s", took)
	}
}

// fullConn is a connection to a peer that does not read, whose buffer has room for a
// number of bytes.
type fullConn struct {
	net.Conn
	room   atomic.Int64
	closed chan struct{}
	once   sync.Once
}

func (c *fullConn) Write(b []byte) (int, error) {
	if c.room.Add(-int64(len(b))) < 0 {
		<-c.closed
		return 0, net.ErrClosed
	}
	return len(b), nil
}

func (c *fullConn) SetWriteDeadline(time.Time) error { return nil }

func (c *fullConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// Guards against a small call that does not end with its context because a large one
// before it has filled the buffer of the connection.
func TestCallEndsWithItsContextBehindALargeOne(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	full := &fullConn{Conn: near, closed: make(chan struct{})}
	full.room.Store(100 << 10)
	c := &clientConn{conn: newConn(full), pending: make(map[uint64]*pendingCall), lastReceived: time.Now(), failedCh: make(chan struct{})}
	c.livenessTimer = time.AfterFunc(time.Hour, func() {})
	defer c.fail()
	for _, size := range []int{100<<10 - 1000, 2000} {
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		ended := make(chan reply, 1)
		go func() {
			_, err := c.call(ctx, Request{Body: make([]byte, size)}, inTwoSeconds(), inTwoSeconds())
			ended <- reply{err: err}
		}()
		if r := soon(t, "call", ended); !errors.Is(r.err, ErrBroken) {
			t.Errorf("call of %d bytes: %v", size, r.err)
		}
	}
}
