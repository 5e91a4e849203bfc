package proxy

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/rules"
)

// Guards against a part of an answer that looks whole to an HTTP/1.0 caller, for which an
// answer without a length ends with the connection.
func TestCutAnswerDoesNotLookWholeToOldCallers(t *testing.T) {
	for name, tc := range map[string]struct {
		response string
		whole    bool
	}{
		"cut in chunks":     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n4\r\nme", false},
		"cut after a chunk": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n", false},
		"chunks":            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n", true},
		"until closed":      {"HTTP/1.1 200 OK\r\n\r\ngood", true},
	} {
		for _, hops := range []string{"direct", "through a node"} {
			t.Run(name+", "+hops, func(t *testing.T) {
				t.Parallel()
				m := newMesh(t, rules.Rule{Prefix: "/"})
				entry, owner := m.node("a", "dc1"), m.node("b", "dc1")
				if hops == "direct" {
					owner = entry
				}
				m.add(owner, "t", 4, newRawTarget(t, func(c net.Conn, _, _ int) bool {
					writeText(c, tc.response)
					time.Sleep(20 * time.Millisecond)
					return false
				}).addr)
				c, err := net.Dial("tcp", strings.TrimPrefix(entry.caller.URL, "http://"))
				if err != nil {
					t.Fatal(err)
				}
				defer c.Close()
				_ = c.SetDeadline(time.Now().Add(5 * time.Second))
				fmt.Fprint(c, "GET /orders HTTP/1.0\r\n\r\n")
				raw, err := io.ReadAll(c)
				if tc.whole && (err != nil || !strings.HasSuffix(string(raw), "\r\n\r\ngood")) || !tc.whole && !errors.Is(err, syscall.ECONNRESET) {
					t.Errorf("got %q, %v", raw, err)
				}
			})
		}
	}
}

// Guards against the same while the caller is still sending an upload.
func TestResetUploadDoesNotLookWholeToOldCallers(t *testing.T) {
	m := newMesh(t, rules.Rule{Prefix: "/"})
	n := m.node("a", "dc1")
	m.add(n, "t", 4, newEarlyTarget(t, headWithoutLength+"a part of the me", func(c *net.TCPConn) {
		time.Sleep(5 * time.Millisecond)
		_ = c.SetLinger(0)
	}))
	const size = 8 << 20
	for range 12 {
		c, err := net.Dial("tcp", strings.TrimPrefix(n.caller.URL, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		_ = c.SetDeadline(time.Now().Add(5 * time.Second))
		var writeErr error
		written := make(chan struct{})
		go func() {
			defer close(written)
			_, writeErr = fmt.Fprintf(c, "POST /b HTTP/1.0\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size))
		}()
		raw, err := io.ReadAll(c)
		<-written
		// The reset is reported once, to the write or to the read.
		if !errors.Is(err, syscall.ECONNRESET) && !errors.Is(writeErr, syscall.ECONNRESET) && !strings.HasPrefix(string(raw), "HTTP/1.0 502") {
			t.Errorf("got %q, %v, and %v for the upload", raw, err, writeErr)
		}
		_ = c.Close() // both directions have ended
	}
}
