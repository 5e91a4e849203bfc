package listencheck

import (
	"net"
	"testing"
	"time"
)

// Guards against a process that counts as running since its listener is closed a moment
// after its connections, and against one that counts as ended since it refuses work.
func TestCheck(t *testing.T) {
	cases := []struct {
		name   string
		accept func(l net.Listener, c net.Conn)
		closed bool // the listener is closed before the check
		want   bool
		reuse  bool // the connection can be used
	}{
		{"listens", func(net.Listener, net.Conn) {}, false, true, true},
		{"has ended", nil, true, false, false},
		{"is ending", func(l net.Listener, c net.Conn) { time.Sleep(2 * time.Millisecond); _ = l.Close(); _ = c.Close() }, false, false, false},
		{"closes new connections", func(_ net.Listener, c net.Conn) { _ = c.Close() }, false, true, false},
		{"sends bytes at once", func(_ net.Listener, c net.Conn) { _, _ = c.Write([]byte("x")) }, false, true, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					tc.accept(l, c)
				}
			}()
			if tc.closed {
				_ = l.Close()
			}
			conn, listening := Check(t.Context(), l.Addr().String())
			if listening != tc.want || (conn != nil) != tc.reuse {
				t.Errorf("listening %t, connection %v; want %t, %t", listening, conn, tc.want, tc.reuse)
			}
			if conn != nil {
				_ = conn.Close()
			}
		})
	}
}
