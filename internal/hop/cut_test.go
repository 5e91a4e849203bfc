package hop

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// cut ends a connection after a number of bytes in one direction.
type cut struct {
	after    int
	response bool // counts the bytes of the server instead of the client's
	reset    bool
}

// startCutter forwards one connection to an address until the cut. It reports the
// bytes that it forwarded in the direction of the cut.
func startCutter(t *testing.T, to string, c cut) (address string, forwarded *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	forwarded = &atomic.Int64{}
	go func() {
		client, err := l.Accept()
		_ = l.Close() // a second connection is refused
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", to)
		if err != nil {
			return
		}
		end := func() {
			if c.reset {
				_ = client.(*net.TCPConn).SetLinger(0)
				_ = server.(*net.TCPConn).SetLinger(0)
			}
			_ = client.Close()
			_ = server.Close()
		}
		forward := func(dst, src net.Conn, counted bool) {
			defer end()
			buf := make([]byte, 4096)
			for {
				n, err := src.Read(buf)
				if left := c.after - int(forwarded.Load()); counted && n >= left {
					n, err = left, errors.New("cut")
				}
				if counted {
					forwarded.Add(int64(n))
				}
				_, _ = dst.Write(buf[:n]) // a failure shows at the next read
				if err != nil {
					return
				}
			}
		}
		go forward(client, server, c.response)
		forward(server, client, !c.response)
	}()
	return l.Addr().String(), forwarded
}

// Guards, at each byte of a call and of its response between two nodes, against a
// call that ran and is said not to have run, one that runs twice, and a response
// that is cut and passed on.
func TestCutsBetweenNodes(t *testing.T) {
	var ran sync.Map // call ID to *atomic.Int64
	runs := func(id string) *atomic.Int64 {
		n, _ := ran.LoadOrStore(id, &atomic.Int64{})
		return n.(*atomic.Int64)
	}
	address := serve(t, handlerFunc(func(_ context.Context, r *Request) *Response {
		runs(r.ID).Add(1)
		return &Response{Outcome: Answered, Status: 200, Body: []byte(strings.Repeat(r.ID, 20))}
	}))
	const maxBytes = 2000
	for _, response := range []bool{false, true} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("response=%v,reset=%v", response, reset), func(t *testing.T) {
				answered := 0
				for after := 0; after < maxBytes && answered < 3; after++ {
					through, forwarded := startCutter(t, address, cut{after, response, reset})
					id := fmt.Sprint(response, reset, after)
					p := NewPool(loopback, through)
					resp, err := p.Call(t.Context(), Request{ID: id, Method: "POST", Body: []byte("menu")}, inTwoSeconds(), inTwoSeconds())
					p.Close()
					if err == nil {
						answered++
						if string(resp.Body) != strings.Repeat(id, 20) {
							t.Fatalf("cut after %d bytes: response %q", after, resp.Body)
						}
					}
					if errors.Is(err, ErrNotSent) {
						time.Sleep(time.Millisecond) // a call that arrived nevertheless would run by now
					}
					if n := runs(id).Load(); n > 1 || n == 1 && errors.Is(err, ErrNotSent) || n == 0 && err == nil {
						t.Fatalf("cut after %d bytes (%d forwarded): ran %d times, error %v", after, forwarded.Load(), n, err)
					}
				}
				if answered == 0 {
					t.Errorf("no call was answered with %d bytes", maxBytes)
				}
			})
		}
	}
}
