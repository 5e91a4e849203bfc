package exchange

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"nutmeghoist.example/nutmeghoist/internal/bounded"
)

// headGrammar matches a head (RFC 9110, 5 and 15, RFC 9112, 4 and 5) at the start of a text
// in which each octet is a character.
var headGrammar = regexp.MustCompile("^HTTP/1\\.[0-9] ([1-5][0-9][0-9]) [\t -~\u0080-\u00ff]*\r\n" +
	"(?:[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\t -~\u0080-\u00ff]*\r\n)*\r\n")

// finalHead returns the head of the first final response, or "" if that or an interim one
// before it breaks the grammar.
func finalHead(data []byte) string {
	text := make([]rune, len(data))
	for i, c := range data {
		text[i] = rune(c)
	}
	for rest := string(text); ; {
		head := headGrammar.FindStringSubmatch(rest)
		switch {
		case head == nil, head[1] == "101":
			return ""
		case head[1] >= "200":
			return head[0]
		}
		rest = rest[len(head[0]):]
	}
}

// resetConn is a connection that the peer resets: a write in progress gets the error, and
// reads see the end of the stream.
type resetConn struct{ net.Conn }

func (c resetConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if err != nil {
		err = &net.OpError{Op: "write", Err: syscall.ECONNRESET}
	}
	return n, err
}

// Guards against bytes of a target that crash the node, hold up a call, or are
// passed on as the response to a call that they do not name, though they are none, or
// though they are a part of one.
func FuzzTargetResponse(f *testing.F) {
	const own = "Call-Name: a\r\nProof: p\r\n"
	for _, data := range []string{
		rawResponse(200, "a", "", "menu"),
		rawResponse(421, "z", "", "") + rawResponse(503, "a", "Not-Run: 1\r\n", ""),
		"HTTP/1.1 200 X\r\n" + own + "Transfer-Encoding: chunked\r\n\r\n4\r\nmenu\r\n0\r\nX-Sum: 1\r\n\r\n",
		"HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 X\r\nContent-Length: -1\r\n\r\n",
		"HTTP/1.1 200 X\r\n" + own + "\r\na part of the me",
		"HTTP/1.1 200 X\r\n" + own + "X Menu: a\r\nContent-Length: 4\r\n\r\nmenu",
		"HTTP/1.1 200 X\r\n" + own + "Content-Length : 4\r\n\r\nmenu",
		"HTTP/1.1 200 X\r\n" + own + "\nX-Menu: a\r\nContent-Length: 4\r\n\r\nmenu",
		"HTTP/1.1 200 X\r\n" + own + "X-Menu: a\r\n b\r\nContent-Length: 4\r\n\r\nmenu",
		"HTTP/1.0 200 X\r\n" + own + "Transfer-Encoding: chunked\r\n\r\n4\r\nmenu\r\n0\r\n\r\n",
		"HTTP/1.1 503 X\r\nNot-Run: 1\r\nX\x01: a\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 103 Early\r\nX : a\r\n\r\n" + rawResponse(200, "a", "", "menu"),
		"HTTP/1.1 000 X\r\n" + own + "Content-Length: 0\r\n\r\n" + rawResponse(200, "a", "", "menu"),
		"HTTP/1.1 600 X\r\n" + own + "Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
	} {
		for _, reused := range []bool{true, false} {
			f.Add([]byte(data), reused, false, false)
			f.Add([]byte(data), reused, true, true)
		}
	}
	f.Fuzz(func(t *testing.T, data []byte, reused, isUpload, reset bool) {
		near, far := net.Pipe()
		go func() {
			defer far.Close()
			_ = far.SetDeadline(time.Now().Add(time.Second))
			_, _ = bufio.NewReader(far).ReadString('\n') // the call; its rest stays unread
			if !isUpload {
				go func() { _, _ = io.Copy(io.Discard, far) }()
			}
			_, _ = far.Write(data)
		}()
		c := NewClient("", names)
		c.Buffers = bounded.NewBudget(1 << 20)
		if reset {
			near = resetConn{near}
		}
		conn := newTargetConn(near)
		conn.reused = reused
		call := getCall("a")
		if isUpload {
			call.Method, call.Body = http.MethodPost, bytes.Repeat([]byte("x"), 2*earlyResponseBytes)
		}
		res := c.exchange(t.Context(), conn, call)
		if res.Kind == Answered && (res.Header.Get("Call-Name") != "a" || res.Header.Get("Proof") == "") {
			t.Errorf("passed on: %+v", res)
		}
		if res.Kind == NotRun && reused && res.Reason != Misdirected && res.Reason != Shed {
			t.Errorf("not run: %+v", res)
		}
		head := finalHead(data)
		if res.Kind != Unknown && head == "" {
			t.Errorf("a head that breaks the grammar counts: %+v", res)
		}
		// With one response only, its head tells whether the end of its body is known.
		isFramed := strings.Contains(strings.ToLower(head), "\r\ncontent-length:") || strings.Contains(strings.ToLower(head), "\r\ntransfer-encoding:")
		if res.Kind == Answered && isUpload && reset && !isFramed && len(res.Body) > 0 && bytes.Count(data, []byte("HTTP/1.")) == 1 {
			t.Errorf("a part passed on as the whole: %+v", res)
		}
		if n := c.Buffers.Used(); n != 0 {
			t.Errorf("%d bytes are still counted", n)
		}
		c.Close()
	})
}
