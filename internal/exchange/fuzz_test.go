package exchange

import (
	"bufio"
	"net"
	"testing"
	"time"

	"nutmeghoist.example/nutmeghoist/internal/bounded"
)

// Guards against bytes of a target that crash the node, hold up a call, or are
// passed on as the response to a call that they do not name.
func FuzzTargetResponse(f *testing.F) {
	f.Add([]byte(rawResponse(200, "a", "", "menu")), true)
	f.Add([]byte(rawResponse(421, "z", "", "")+rawResponse(503, "a", "Not-Run: 1\r\n", "")), false)
	f.Add([]byte("HTTP/1.1 200 X\r\nCall-Name: a\r\nProof: p\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nmenu\r\n0\r\n\r\n"), true)
	f.Add([]byte("HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 X\r\nContent-Length: -1\r\n\r\n"), true)
	f.Fuzz(func(t *testing.T, data []byte, reused bool) {
		near, far := net.Pipe()
		go func() {
			defer far.Close()
			_ = far.SetDeadline(time.Now().Add(time.Second))
			_, _ = bufio.NewReader(far).ReadString('\n') // the call; its rest stays unread
			go func() { _, _ = bufio.NewReader(far).WriteTo(discard{}) }()
			_, _ = far.Write(data)
		}()
		c := NewClient("", names)
		c.Buffers = bounded.NewBudget(1 << 20)
		conn := newTargetConn(near)
		conn.reused = reused
		call := getCall("a")
		res := c.exchange(t.Context(), conn, call)
		if res.Kind == Answered && (res.Header.Get("Call-Name") != "a" || res.Header.Get("Proof") == "") {
			t.Errorf("passed on: %+v", res)
		}
		if res.Kind == NotRun && reused && res.Reason != Misdirected && res.Reason != Shed {
			t.Errorf("not run: %+v", res)
		}
		if n := c.Buffers.Used(); n != 0 {
			t.Errorf("%d bytes are still counted", n)
		}
		c.Close()
	})
}

type discard struct{}

func (discard) Write(b []byte) (int, error) { return len(b), nil }
