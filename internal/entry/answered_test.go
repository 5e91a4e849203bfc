package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"nutmeghoist.example/nutmeghoist/internal/bounded"
	"nutmeghoist.example/nutmeghoist/pkg/traffic"
)

// upload is a request whose body a caller sends in pieces.
type upload struct {
	bytes   int
	takes   time.Duration
	chunked bool
	expect  bool // sends Expect: 100-continue and the body all the same
}

const uploadPieces = 20

// send sends the upload and returns the status of its response, which it reads once the
// whole request is sent.
func (u upload) send(c net.Conn) (int, error) {
	framing := fmt.Sprintf("Content-Length: %d\r\n", u.bytes)
	if u.chunked {
		framing = "Transfer-Encoding: chunked\r\n"
	}
	if u.expect {
		framing += "Expect: 100-continue\r\n"
	}
	if _, err := io.WriteString(c, "POST /a HTTP/1.1\r\nHost: m\r\n"+framing+"\r\n"); err != nil {
		return 0, err
	}
	piece := strings.Repeat("x", u.bytes/uploadPieces)
	for range uploadPieces {
		time.Sleep(u.takes / uploadPieces)
		sent := piece
		if u.chunked {
			sent = fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
		}
		if _, err := io.WriteString(c, sent); err != nil {
			return 0, err
		}
	}
	if u.chunked {
		if _, err := io.WriteString(c, "0\r\n\r\n"); err != nil {
			return 0, err
		}
	}
	_ = c.SetReadDeadline(time.Now().Add(2 * shutdownLimit))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err == nil && resp.StatusCode == http.StatusContinue {
		resp, err = http.ReadResponse(bufio.NewReader(c), nil)
	}
	if err != nil {
		return 0, err
	}
	_, err = io.ReadAll(resp.Body)
	return resp.StatusCode, err
}

// Guards against a response that a caller does not get because the connection is closed
// while the caller still sends the request.
func TestRefusedUploadsAreAnswered(t *testing.T) {
	limits := traffic.Limits{HeaderBytes: 1024, BodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: time.Second}
	const bytes, takes = 200_000, 1500 * time.Millisecond
	screened := func(s *Server) {
		s.Screen = func(context.Context, *Request) *Response { return statusResponse(http.StatusTooManyRequests) }
	}
	phases := map[string]struct {
		begin func(*Server)
		after time.Duration // from the start of the call
	}{
		"running":         {func(*Server) {}, 0},
		"drains before":   {(*Server).Drain, -1},
		"drains":          {(*Server).Drain, takes / 4},
		"shuts down":      {func(s *Server) { s.Shutdown(shutdownLimit) }, takes / 4},
		"shuts down soon": {func(s *Server) { s.Shutdown(shutdownLimit) }, takes / uploadPieces / 2},
	}
	for name, tc := range map[string]struct {
		options func(*Server)
		upload  upload
		want    int
	}{
		"screened":         {screened, upload{bytes, takes, false, false}, 429},
		"screened chunks":  {screened, upload{bytes, takes, true, false}, 429},
		"screened expect":  {screened, upload{bytes, takes, false, true}, 429},
		"no memory":        {func(s *Server) { s.Buffers = bounded.NewBudget(50_000) }, upload{bytes, takes, false, false}, 503},
		"no memory chunks": {func(s *Server) { s.Buffers = bounded.NewBudget(50_000) }, upload{bytes, takes, true, false}, 503},
		"too long":         {func(*Server) {}, upload{2 << 20, takes, false, false}, 413},
		"too long chunks":  {func(*Server) {}, upload{2 << 20, takes, true, false}, 413},
		"accepted":         {func(*Server) {}, upload{bytes, takes, false, false}, 200},
		"accepted chunks":  {func(*Server) {}, upload{bytes, takes, true, false}, 200},
	} {
		for phase, p := range phases {
			t.Run(name+" "+phase, func(t *testing.T) {
				t.Parallel()
				s, address := startServer(t, echo, tc.options, func(s *Server) { s.limits = func() (traffic.Limits, bool) { return limits, true } })
				if p.after < 0 {
					p.begin(s)
				}
				c, err := net.Dial("tcp", address)
				if err != nil {
					t.Fatal(err)
				}
				defer c.Close()
				if p.after >= 0 {
					time.AfterFunc(p.after, func() { p.begin(s) })
				}
				if status, err := tc.upload.send(c); err != nil || status != tc.want {
					t.Errorf("status %d, %v; want %d", status, err, tc.want)
				}
			})
		}
	}
}

// Guards against a call that ends without a response because a shutdown takes no longer.
func TestShutdownAnswersCallsThatDoNotEnd(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	s, address := startServer(t, func(ctx context.Context, r *Request) *Response {
		select {
		case <-release:
		case <-ctx.Done():
		}
		return statusResponse(http.StatusBadGateway)
	})
	for name, tc := range map[string]struct {
		request string
		want    int
	}{
		"answer": {"GET /a HTTP/1.1\r\nHost: m\r\n\r\n", http.StatusBadGateway},
		"body":   {"POST /a HTTP/1.1\r\nHost: m\r\nContent-Length: 400\r\n\r\nab", http.StatusServiceUnavailable},
		"chunk":  {"POST /a HTTP/1.1\r\nHost: m\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", http.StatusServiceUnavailable},
	} {
		c, r := dial(t, address)
		_, _ = io.WriteString(c, tc.request)
		defer func() {
			if resp, err := http.ReadResponse(r, nil); err != nil || resp.StatusCode != tc.want {
				t.Errorf("%s: %v, %v; want status %d", name, resp, err, tc.want)
			}
		}()
	}
	time.Sleep(50 * time.Millisecond)
	s.Shutdown(500 * time.Millisecond)
	s.Close()
}
