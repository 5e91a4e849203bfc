package linger

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// pair returns both ends of a connection that was accepted by l.
func pair(t *testing.T) (l *Listener, accepted, peer net.Conn) {
	t.Helper()
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l = NewListener(tcp)
	t.Cleanup(func() { _ = l.Close() })
	if peer, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = peer.Close() })
	if accepted, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	return l, accepted, peer
}

// Guards against a reset that discards what was written before the close, and against
// a Wait that returns while the peer is still sending.
func TestPeerReadsWhatWasWrittenBeforeTheClose(t *testing.T) {
	l, c, peer := pair(t)
	if _, err := io.WriteString(c, "answer"); err != nil {
		t.Fatal(err)
	}
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
	for range 10 {
		if _, err := peer.Write(make([]byte, 64<<10)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if err := l.Wait(ctx); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("Wait returned %v before the peer closed the connection", err)
	}
	if got, err := io.ReadAll(peer); err != nil || string(got) != "answer" {
		t.Errorf("got %q %v", got, err)
	}
	_ = peer.Close()
	if err := l.Wait(t.Context()); err != nil {
		t.Error(err)
	}
}

// Guards against bytes that a server reads from a connection that it has closed, and
// against a read in progress that does not end.
func TestClosedConnectionReturnsNoBytes(t *testing.T) {
	_, c, peer := pair(t)
	read := make(chan error, 1)
	go func() {
		_, err := c.Read(make([]byte, 1))
		read <- err
	}()
	time.Sleep(20 * time.Millisecond)
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
	if err := <-read; !errors.Is(err, net.ErrClosed) {
		t.Errorf("read in progress returned %v", err)
	}
	if _, err := io.WriteString(peer, "GET / HTTP/1.1\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if n, err := c.Read(make([]byte, 1)); n != 0 || !errors.Is(err, net.ErrClosed) {
		t.Errorf("got %d bytes %v", n, err)
	}
	if err := c.Close(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("second Close returned %v", err)
	}
}

// halfConn is an end of a pipe whose other end is told nothing by CloseWrite.
type halfConn struct{ net.Conn }

func (halfConn) CloseWrite() error { return nil }

// Guards against a peer that holds a closed connection for ever: silently, or by
// sending without an end.
func TestClosedConnectionIsBounded(t *testing.T) {
	for _, tc := range []struct {
		name  string
		pause time.Duration // between two bytes of the peer
		want  time.Duration
	}{
		{"silent", time.Hour, maxSilence},
		{"slow", maxSilence - time.Second, maxTime},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				inner, peer := net.Pipe()
				c := &conn{Conn: halfConn{inner}, listener: NewListener(nil)}
				begun := time.Now()
				if err := c.Close(); err != nil {
					t.Fatal(err)
				}
				go func() {
					for {
						time.Sleep(tc.pause)
						if _, err := peer.Write([]byte{0}); err != nil {
							return
						}
					}
				}()
				defer time.Sleep(tc.pause) // the peer notices the close
				if err := c.listener.Wait(t.Context()); err != nil {
					t.Fatal(err)
				}
				if got := time.Since(begun); got < tc.want || got > tc.want+2*pollInterval {
					t.Errorf("the connection was read for %s, want %s", got, tc.want)
				}
			})
		})
	}
}

// Guards against an acknowledgement that is decided and does not reach its target: a
// request in flight is answered, and one that does not end does not hold up the stop.
func TestStopAnswersRequestsInFlight(t *testing.T) {
	for _, tc := range []struct {
		path     string
		answered bool
	}{{"/heartbeat", true}, {"/stuck", false}} {
		tcp, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		l, arrived, release := NewListener(tcp), make(chan bool, 1), make(chan bool)
		server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			arrived <- true
			if r.URL.Path == "/stuck" {
				<-release
			}
			time.Sleep(50 * time.Millisecond)
		})}
		go func() { _ = server.Serve(l) }()
		got := make(chan error, 1)
		go func() {
			resp, err := http.Post("http://"+l.Addr().String()+tc.path, "", strings.NewReader("{}"))
			if err == nil {
				_ = resp.Body.Close()
			}
			got <- err
		}()
		<-arrived
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		l.Stop(ctx, server)
		timedOut := ctx.Err() != nil
		cancel()
		if err := <-got; (err == nil) != tc.answered || timedOut == tc.answered {
			t.Errorf("%s: got %v, the stop reached its bound: %t", tc.path, err, timedOut)
		}
		close(release)
	}
}
