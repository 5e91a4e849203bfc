package hop

import (
	"errors"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// slowReader reads a connection at a rate, as a peer behind a slow link.
type slowReader struct {
	net.Conn
	bytesPerSecond int
}

func (s slowReader) Read(b []byte) (int, error) {
	n, err := s.Conn.Read(b[:min(len(b), 4<<10)])
	time.Sleep(time.Duration(n) * time.Second / time.Duration(s.bytesPerSecond))
	return n, err
}

// Guards against a large message that closes its connection, and with it ends all calls
// there, because a slow link takes longer for it than a peer may take to read.
func TestLargeMessagesCrossASlowLink(t *testing.T) {
	body := []byte(strings.Repeat("rope", 90<<10))
	for name, write := range map[string]func(*conn) error{
		"request":  func(c *conn) error { return c.writeRequest(&Request{Stream: 1, Body: body}) },
		"response": func(c *conn) error { return c.writeResponse(&Response{Stream: 1, Body: body}) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a, b := net.Pipe()
				defer a.Close()
				defer b.Close()
				written := make(chan error, 1)
				go func() { written <- write(newConn(a)) }()
				_, payload, err := newConn(slowReader{b, 100_000}).readFrame()
				if err != nil || len(payload) < len(body) {
					t.Errorf("%d bytes were read: %v", len(payload), err)
				}
				if err := <-written; err != nil {
					t.Error(err)
				}
			})
		})
	}
}

// Guards against a connection that waits without end for a peer that does not read.
func TestMessageToAPeerThatDoesNotReadFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := net.Pipe()
		defer b.Close()
		started := time.Now()
		err := newConn(a).writeRequest(&Request{Stream: 1, Body: make([]byte, 360<<10)})
		if took := time.Since(started); err == nil || took > writeTimeout {
			t.Errorf("write ended after %s: %v", took, err)
		}
	})
}

// startPeer accepts connections, answers their hello, and passes each to handle, which may
// return before the connection ends.
func startPeer(t *testing.T, handle func(*conn)) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			raw, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				c := newConn(raw)
				_, _ = c.r.Discard(1) // the preamble
				if _, _, err := c.readFrame(); err == nil {
					_ = c.writeFrame(frameHelloAck, encodeUint(0)) // a failure shows at the peer
				}
				handle(c)
			}()
		}
	}()
	return l.Addr().String()
}

// startSilentNode reads nothing after the hello of a connection, and closes each after the
// given time.
func startSilentNode(t *testing.T, closeAfter time.Duration) (address string) {
	return startPeer(t, func(c *conn) { time.AfterFunc(closeAfter, func() { _ = c.Close() }) })
}

// Guards against a call that is answered with "unknown" because its connection closed,
// although the node had not received the whole of it.
func TestCallThatIsNotSentWholeHasNotRun(t *testing.T) {
	p := NewPool(loopback, startSilentNode(t, 100*time.Millisecond))
	defer p.Close()
	_, err := p.Call(t.Context(), Request{ID: "large", Body: make([]byte, 8<<20)}, inTwoSeconds(), inTwoSeconds())
	if !errors.Is(err, ErrNotSent) || errors.Is(err, ErrBroken) {
		t.Errorf("got %v, want ErrNotSent", err)
	}
}
