package entry

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"
)

// callRefusedWithBrokenBody places a call that is refused by its head, reads the response,
// and breaks the encoding of the body.
func callRefusedWithBrokenBody(t *testing.T) (s *Server, c net.Conn, r *bufio.Reader) {
	t.Helper()
	s, address := startServer(t, echo, func(s *Server) {
		s.Screen = func(context.Context, *Request) *Response { return statusResponse(http.StatusTooManyRequests) }
	})
	c, r = dial(t, address)
	_, _ = io.WriteString(c, "POST /a HTTP/1.1\r\nHost: m\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n")
	if resp, err := http.ReadResponse(r, nil); err != nil || resp.StatusCode != http.StatusTooManyRequests || resp.Close {
		t.Fatal(resp, err)
	}
	_, _ = io.WriteString(c, "no chunk\r\n")
	return s, c, r
}

// Guards against a connection without a time limit on which further calls are read and
// not answered, after a refused call whose body could not be read.
func TestConnectionClosesWhenARefusedBodyCannotBeRead(t *testing.T) {
	_, c, r := callRefusedWithBrokenBody(t)
	_, _ = io.WriteString(c, "GET /b HTTP/1.1\r\nHost: m\r\n\r\n")
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := r.ReadByte(); errors.Is(err, os.ErrDeadlineExceeded) {
		t.Error("the connection is open, and its next call is not answered")
	}
}

// Guards against a shutdown that waits for the caller of such a connection.
func TestShutdownDoesNotWaitForABrokenRefusedBody(t *testing.T) {
	s, _, _ := callRefusedWithBrokenBody(t)
	began := time.Now()
	s.Shutdown(shutdownLimit)
	if took := time.Since(began); took > shutdownLimit/2 {
		t.Errorf("took %s of %s", took, shutdownLimit)
	}
}

// Guards against a refusal that is dropped because the caller has closed its sending side
// after the request.
func TestRefusalReachesACallerThatHasSentAll(t *testing.T) {
	_, address := startServer(t, echo)
	dropped := 0
	for range 50 {
		c, r := dial(t, address)
		_, _ = fmt.Fprintf(c, "POST /a HTTP/1.1\r\nHost: m\r\nContent-Length: 20000\r\n\r\n%s", strings.Repeat("x", 20000))
		_ = c.(*net.TCPConn).CloseWrite()
		if resp, err := http.ReadResponse(r, nil); err != nil || resp.StatusCode != http.StatusRequestEntityTooLarge {
			dropped++
		}
	}
	if dropped > 0 {
		t.Errorf("%d of 50 callers got no response", dropped)
	}
}

// Guards against a response that is cut because a call arrives while it is written to a
// slow caller and the server shuts down.
func TestShutdownCutsNoResponseThatIsBeingWritten(t *testing.T) {
	body := make([]byte, 16<<20)
	s, address := startServer(t, func(context.Context, *Request) *Response {
		return &Response{Status: http.StatusOK, Header: http.Header{}, Body: body}
	})
	c, r := dial(t, address)
	_ = c.(*net.TCPConn).SetReadBuffer(16 << 10) // a failure makes the caller faster only
	_, _ = io.WriteString(c, "GET /a HTTP/1.1\r\nHost: m\r\n\r\n")
	time.Sleep(50 * time.Millisecond)
	go s.Shutdown(shutdownLimit)
	time.Sleep(10 * lastArrivalTime)
	_, _ = io.WriteString(c, "GET /b HTTP/1.1\r\nHost: m\r\n\r\n")
	_ = c.SetReadDeadline(time.Now().Add(2 * shutdownLimit))
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	if n, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Errorf("%d of %d bytes were read: %v", n, len(body), err)
	}
}

// Guards against a caller that loses the response to a call with Expect: 100-continue
// because it pauses while it sends the body all the same.
func TestRefusalReachesACallerThatPausesInItsBody(t *testing.T) {
	_, address := startServer(t, echo)
	c, r := dial(t, address)
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	_, _ = fmt.Fprintf(c, "POST /a HTTP/1.1\r\nHost: m\r\nExpect: 100-continue\r\nContent-Length: 20000\r\n\r\n%s", strings.Repeat("x", 10000))
	time.Sleep(3 * unknownLingerTimeout / 2)
	for range 10 {
		if _, err := io.WriteString(c, strings.Repeat("x", 1000)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Millisecond)
	}
	if resp, err := http.ReadResponse(r, nil); err != nil || resp.StatusCode != http.StatusRequestEntityTooLarge {
		t.Error(resp, err)
	}
}
