package hop

import (
	"context"
	"net"
	"testing"
	"time"
)

// startSlowNode accepts connections, answers their hello and reads piece bytes every
// interval.
func startSlowNode(t *testing.T, piece int, interval time.Duration) (address string) {
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
			_ = raw.(*net.TCPConn).SetReadBuffer(16 << 10) // a failure makes the peer faster only
			go func() {
				defer raw.Close()
				c := newConn(raw)
				_, _ = c.r.Discard(1) // the preamble
				if _, _, err := c.readFrame(); err != nil {
					return
				}
				_ = c.writeFrame(frameHelloAck, encodeUint(0)) // a failure shows at the peer
				buf := make([]byte, piece)
				for {
					time.Sleep(interval)
					if _, err := c.r.Read(buf); err != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against a call that ends long after its context because a message to a slow node
// is being written: the call itself, one before it, or one before its cancellation.
func TestCallEndsWithItsContextBehindASlowWrite(t *testing.T) {
	const allowed = 500 * time.Millisecond // after a route's timeout (CONFIG), or after the caller has left (GONE)
	large, small := Request{ID: "large", Body: make([]byte, 8<<20)}, Request{ID: "small"}
	for name, tc := range map[string]struct {
		before int // large calls that begin before
		r      Request
		after  int // large calls that begin while it waits for its response
	}{
		"its own request":       {0, large, 0},
		"requests before it":    {maxConns, small, 0},
		"before its cancelling": {0, small, maxConns},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := NewPool(loopback, startSlowNode(t, 64<<10, 50*time.Millisecond))
			t.Cleanup(p.Close)
			send := func(n int) {
				for range n {
					go func() { _, _ = p.Call(context.Background(), large, inTwoSeconds(), inTwoSeconds()) }()
					time.Sleep(50 * time.Millisecond) // each on a connection of its own
				}
			}
			send(tc.before)
			ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
			defer cancel()
			deadline, _ := ctx.Deadline()
			ended := make(chan error, 1)
			go func() {
				_, err := p.Call(ctx, tc.r, deadline, deadline)
				ended <- err
			}()
			time.Sleep(50 * time.Millisecond)
			send(tc.after)
			err := <-ended
			if late := time.Since(deadline); late > allowed {
				t.Errorf("ended %s after its context: %v", late, err)
			}
		})
	}
}
