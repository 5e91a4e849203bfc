package announce

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"nutmeghoist.example/nutmeghoist/pkg/membership"
)

// Guards against a target in trouble that counts as healthy by an answer that is none.
func TestBrokenAnswerIsNotHealthy(t *testing.T) {
	for answer, want := range map[string]bool{
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n":                                        true,
		"HTTP/1.1 200 OK\r\nX Menu: a\r\nContent-Length: 0\r\n\r\n":                           false,
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n X-Menu: a\r\n\r\n":                          false,
		"HTTP/1.1 200 OK\r\nX-Menu : a\r\n\r\n":                                               false,
		"HTTP/1.1 200 OK\r\nX-Menu: a\n\r\n":                                                  false,
		"HTTP/1.1 200 O\x00K\r\n\r\n":                                                         false,
		"HTTP/1.1 103 X\r\nX Menu: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n":     false,
		"HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n": false,
	} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.WriteString(conn, answer)
				}
				_ = conn.Close() // everything was written
			}
		}()
		h := newHTTPProbe()(t.Context(), membership.Target{Address: listener.Addr().String()}, "/ok")
		if h.Healthy != want {
			t.Errorf("%q: healthy is %v", answer, h.Healthy)
		}
		_ = listener.Close() // the accepting goroutine ends
	}
}
