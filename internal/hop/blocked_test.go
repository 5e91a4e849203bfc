package hop

import (
	"context"
	"net"
	"testing"
	"time"
)

// startSlowNode reads piece bytes of each connection every interval.
func startSlowNode(t *testing.T, piece int, interval time.Duration) (address string) {
	return startPeer(t, func(c *conn) {
		defer c.Close()
		_ = c.Conn.(*net.TCPConn).SetReadBuffer(16 << 10) // a failure makes the peer faster only
		buf := make([]byte, piece)
		for {
			time.Sleep(interval)
			if _, err := c.r.Read(buf); err != nil {
				return
			}
		}
	})
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
