package response

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// drawResponse draws a response, and breaks it by one octet in most cases.
func drawResponse(t *rapid.T) []byte {
	data := []byte(rapid.SampledFrom([]string{
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Menu: rope\r\n\r\nmenu",
		"HTTP/1.1 103 Early\r\nLink: a\r\n\r\nHTTP/1.0 503 \r\nx:\r\nRetry-After:\t1 \r\n\r\nmenu",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nmenu\r\n0\r\n\r\n",
	}).Draw(t, "response"))
	end := bytes.LastIndex(data, []byte("\r\n\r\n")) // the last blank line may end a trailer section
	if i := bytes.Index(data, []byte("\r\n\r\n4\r\n")); i >= 0 {
		end = i
	}
	at := rapid.IntRange(0, end+1).Draw(t, "at")
	octet := rapid.Byte().Draw(t, "octet")
	switch rapid.IntRange(0, 3).Draw(t, "change") {
	case 0:
		return data
	case 1:
		data[at] = octet
	case 2:
		data = bytes.Join([][]byte{data[:at], data[at:]}, []byte{octet})
	case 3:
		data = append(data[:at:at], data[at+1:]...)
	}
	return data
}

// Guards against a head that one way of reading takes and the other does not, and against
// a verdict that depends on how the bytes arrive.
func TestReadAndConnAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data := drawResponse(t)
		piece := rapid.IntRange(1, len(data)).Draw(t, "piece")
		near, far := net.Pipe()
		go func() {
			defer far.Close()
			for rest := data; len(rest) > 0; {
				n, err := far.Write(rest[:min(piece, len(rest))])
				if err != nil {
					return
				}
				rest = rest[n:]
			}
		}()
		conn := NewConn(near)
		conn.ExpectResponse()
		passed, err := io.ReadAll(conn)
		_ = conn.Close() // ends the writer
		whole := err == nil && conn.head.Load().ended.Load()
		if err == nil && !bytes.Equal(passed, data) {
			t.Errorf("%q was passed on as %q", data, passed)
		}
		if err != nil && !errors.Is(err, ErrMalformed) {
			t.Errorf("%q: %v", data, err)
		}

		r := bufio.NewReader(bytes.NewReader(data))
		resp, err := Read(r, http.MethodGet)
		for err == nil && resp.StatusCode < 200 {
			resp, err = Read(r, http.MethodGet)
		}
		// net/http checks the values of the fields that frame the body.
		if err == nil && !whole || err != nil && whole && !errors.Is(err, ErrMalformed) {
			t.Errorf("%q: read gives %v, the connection is at the body: %v", data, err, whole)
		}
	})
}

// Guards against a head that is not checked since it comes before the request.
func TestHeadBeforeTheRequest(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX Menu: rope\r\nContent-Length: 0\r\n\r\n")
			defer c.Close()
		}
	}()
	transport := NewTransport(&http.Transport{})
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		time.Sleep(time.Millisecond) // the head is there when the first read begins
		return c, err
	}
	for range 200 {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+listener.Addr().String(), nil)
		if err != nil {
			t.Fatal(err)
		}
		if resp, err := transport.RoundTrip(req); err == nil {
			_ = resp.Body.Close() // it is empty
			t.Errorf("got %v", resp.Header)
		}
	}
}
