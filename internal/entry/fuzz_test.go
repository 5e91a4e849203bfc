package entry

import (
	"io"
	"net"
	"testing"
	"time"

	"nutmeghoist.example/nutmeghoist/internal/bounded"
	"nutmeghoist.example/nutmeghoist/pkg/traffic"
)

// Guards against bytes of a caller that crash the node, hold up a connection, or
// leave a call or memory counted.
func FuzzCallerConnection(f *testing.F) {
	f.Add([]byte("GET /a HTTP/1.1\r\nHost: m\r\n\r\n"))
	f.Add([]byte("POST /a HTTP/1.1\r\nHost: m\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nmenu\r\n0\r\n\r\nGET /b HTTP/1.1\r\nHost: m\r\n\r\n"))
	f.Add([]byte("POST /a HTTP/1.1\r\nHost: m\r\nContent-Length: 99\r\n\r\nshort"))
	f.Add([]byte("GET /a HTTP/1.1\r\nHost: m\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		near, far := net.Pipe()
		limits := traffic.Limits{HeaderBytes: 1024, BodyBytes: 4096, HeaderTimeout: 100 * time.Millisecond, IdleTimeout: 50 * time.Millisecond}
		s := NewServer(nil, echo, func() (traffic.Limits, bool) { return limits, true })
		s.Buffers = bounded.NewBudget(1 << 20)
		done := make(chan struct{})
		go func() { defer close(done); newCallerConn(s, far).serve() }()
		go func() { _, _ = io.Copy(io.Discard, near) }()
		_ = near.SetDeadline(time.Now().Add(time.Second))
		_, _ = near.Write(data)
		_ = near.Close()
		<-done
		if calls, used := s.PendingCalls(), s.Buffers.Used(); calls != 0 || used != 0 {
			t.Errorf("%d calls and %d bytes are still counted", calls, used)
		}
	})
}
