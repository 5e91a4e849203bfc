package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"nutmeghoist.example/nutmeghoist/internal/telemetry"
)

// serveRefusals starts a server of a node that refuses each request by its head.
func serveRefusals(t *testing.T, header ...string) *server {
	t.Helper()
	n := &Node{log: telemetry.NewLogger(io.Discard, "error", "host-a")}
	s, err := n.newServer(netip.MustParseAddrPort("127.0.0.1:0"), http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for i := 0; i+1 < len(header); i += 2 {
			w.Header().Set(header[i], header[i+1])
		}
		http.Error(w, "refused", http.StatusServiceUnavailable)
	}), nil)
	check(t, err)
	go func() { _ = s.serve() }()
	t.Cleanup(func() { _ = s.http.Close() })
	return s
}

// pacedCall sends a request in steps, reads the answer once all is sent, and returns
// its status.
func pacedCall(address, head string, size, steps int, pause time.Duration) (int, error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	isChunked := strings.Contains(head, "chunked")
	if !isChunked {
		head += "Content-Length: " + strconv.Itoa(size) + "\r\n"
	}
	if _, err := io.WriteString(c, head+"\r\n"); err != nil {
		return 0, fmt.Errorf("head: %w", err)
	}
	part := strings.Repeat("x", size/steps)
	if isChunked {
		part = fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
	}
	for i := range steps {
		time.Sleep(pause)
		if _, err := io.WriteString(c, part); err != nil {
			return 0, fmt.Errorf("step %d of %d: %w", i+1, steps, err)
		}
	}
	if isChunked {
		if _, err := io.WriteString(c, "0\r\n\r\n"); err != nil {
			return 0, fmt.Errorf("last chunk: %w", err)
		}
	}
	r := bufio.NewReader(c)
	for {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return 0, fmt.Errorf("answer: %w", err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return 0, fmt.Errorf("answer: %w", err)
		}
		if resp.StatusCode >= 200 {
			return resp.StatusCode, nil
		}
	}
}

// Guards against a reset that discards the answer to a request that is refused while
// the caller is still sending it.
func TestAnswerReachesACallerThatIsStillSending(t *testing.T) {
	const post = "POST /orders HTTP/1.1\r\nHost: x\r\n"
	drains := []string{"Connection", "close"}
	for _, tc := range []struct {
		name   string
		header []string // of the answer
		head   string
		size   int
		status int
	}{
		{"small body", nil, post, 60 << 10, 503},
		{"large body", nil, post, 1 << 20, 503},
		{"large body in chunks", nil, post + "Transfer-Encoding: chunked\r\n", 1 << 20, 503},
		{"small body, call on its own connection", nil, post + "Connection: close\r\n", 60 << 10, 503},
		{"large body in chunks, call on its own connection", nil, post + "Connection: close\r\nTransfer-Encoding: chunked\r\n", 1 << 20, 503},
		{"small body, draining", drains, post, 60 << 10, 503},
		{"large body, draining", drains, post, 1 << 20, 503},
		{"large body, waits for no 100", nil, post + "Expect: 100-continue\r\n", 1 << 20, 503},
		{"unknown expectation", nil, post + "Expect: more\r\n", 60 << 10, 417},
		{"unknown coding", nil, post + "Transfer-Encoding: zipped\r\n", 60 << 10, 501},
		{"malformed head", nil, "POST\r\n", 60 << 10, 400},
		{"long head", nil, post + "X: " + strings.Repeat("x", 80<<10) + "\r\n", 60 << 10, 431},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			s := serveRefusals(t, tc.header...)
			status, err := pacedCall(s.listener.Addr().String(), tc.head, tc.size, 16, 75*time.Millisecond)
			if err != nil || status != tc.status {
				t.Errorf("got %d %v, want %d", status, err, tc.status)
			}
		})
	}
}

// Guards against a stop that ends before a caller has sent the rest of a request that
// was refused: the exit of the process resets the connection.
func TestStopWaitsForCallersThatAreStillSending(t *testing.T) {
	for _, header := range [][]string{nil, {"Connection", "close"}} {
		s := serveRefusals(t, header...)
		answered := make(chan error, 1)
		go func() {
			_, err := pacedCall(s.listener.Addr().String(), "POST /orders HTTP/1.1\r\nHost: x\r\nConnection: close\r\n", 60<<10, 16, 75*time.Millisecond)
			answered <- err
		}()
		time.Sleep(200 * time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		begun := time.Now()
		s.stop(ctx)
		stopped := time.Since(begun)
		if err := <-answered; err != nil {
			t.Error(err)
		}
		if total := time.Since(begun); total-stopped > 100*time.Millisecond {
			t.Errorf("stopped after %s, the call ended after %s", stopped, total)
		}
	}
}

// Guards against a call that is read and dropped without an answer because it is the
// first of its connection, which was opened before the stop began.
func TestFirstCallOfAConnectionIsAnsweredDuringAStop(t *testing.T) {
	s := serveRefusals(t)
	c, err := net.Dial("tcp", s.listener.Addr().String())
	check(t, err)
	defer c.Close()
	time.Sleep(50 * time.Millisecond) // until it is accepted
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		s.stop(t.Context())
	}()
	time.Sleep(300 * time.Millisecond)
	_, err = io.WriteString(c, "GET /orders HTTP/1.1\r\nHost: x\r\n\r\n")
	check(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	check(t, err)
	if resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
		t.Errorf("got status %d, end of the connection announced: %t", resp.StatusCode, resp.Close)
	}
	_ = c.Close()
	select {
	case <-stopped:
	case <-time.After(3 * time.Second):
		t.Error("the stop did not end with the last call")
	}
}
