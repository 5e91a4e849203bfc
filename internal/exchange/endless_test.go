package exchange

import (
	"context"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"nutmeghoist.example/nutmeghoist/internal/bounded"
)

const (
	// The bounds for a call to a target that sends bytes without end: a host of the
	// smallest deployments has 112 MB for the whole process.
	maxEndlessAlloc = 48 << 20
	maxEndlessTime  = time.Second
)

// sendEndless writes a head and then a chunk again and again, until the peer
// closes the connection.
func sendEndless(c net.Conn, head, chunk string) {
	_, err := c.Write([]byte(head))
	block := []byte(strings.Repeat(chunk, 1+(32<<10)/len(chunk)))
	for err == nil {
		_, err = c.Write(block)
	}
}

// Guards against a target in trouble that sends bytes without end, in any part of
// a response, and uses up the memory of the process or the time of the call.
func TestEndlessBytesAreCutOff(t *testing.T) {
	const ok = "HTTP/1.1 200 X\r\nCall-Name: a\r\nProof: p\r\n"
	cases := []struct{ name, head, chunk string }{
		{"status line", "HTTP/1.1 200 ", "X"},
		{"no line at all", "", "\x00"},
		{"header line", ok + "Long: ", "x"},
		{"header fields", ok, "A: b\r\n"},
		{"header of a response to another call", "HTTP/1.1 200 X\r\nCall-Name: z\r\n", "A: b\r\n"},
		{"interim responses", "", "HTTP/1.1 103 Early\r\n\r\n"},
		{"responses to other calls", "", rawResponse(200, "z", "", "menu")},
		{"body without length", ok + "\r\n", "menu"},
		{"body with length", ok + "Content-Length: 99999999999\r\n\r\n", "menu"},
		{"chunks", ok + "Transfer-Encoding: chunked\r\n\r\n", "100\r\n" + strings.Repeat("menu", 64) + "\r\n"},
		{"chunk extension", ok + "Transfer-Encoding: chunked\r\n\r\n4;", "x"},
		{"trailer line", ok + "Transfer-Encoding: chunked\r\n\r\n0\r\nLong: ", "x"},
		{"trailer fields", ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c, _ := startTarget(t, func(_ int, _ *http.Request, conn net.Conn) bool {
				sendEndless(conn, tc.head, tc.chunk)
				return false
			})
			call := getCall("a")
			call.Idempotent = false
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			began := time.Now()
			res := c.Do(t.Context(), call)
			took := time.Since(began)
			runtime.ReadMemStats(&after)
			if res.Kind != Unknown || res.Reason != Oversized && res.Reason != Malformed {
				t.Errorf("got kind %d, reason %q (%v)", res.Kind, res.Reason, res.Err)
			}
			if took > maxEndlessTime {
				t.Errorf("took %s", took)
			}
			if n := after.TotalAlloc - before.TotalAlloc; n > maxEndlessAlloc {
				t.Errorf("%d MB allocated", n>>20)
			}
		})
	}
}

// Guards against bytes after a complete response that are read as the response to
// the next call, or fill the memory.
func TestEndlessBytesAfterAResponse(t *testing.T) {
	c, conns := startTarget(t, func(n int, r *http.Request, conn net.Conn) bool {
		_, _ = conn.Write([]byte(rawResponse(200, r.Header.Get("Call-Name"), "", "menu")))
		if n == 0 {
			go sendEndless(conn, "", "HTTP/1.1 200 X\r\nProof: p\r\nContent-Length: 4\r\n\r\nrope")
		}
		return true
	})
	c.Do(t.Context(), getCall("a"))
	for _, id := range []string{"b", "c", "d"} {
		time.Sleep(20 * time.Millisecond)
		if res := c.Do(t.Context(), getCall(id)); res.Kind != Answered || string(res.Body) != "menu" {
			t.Errorf("got %+v", res)
		}
	}
	if n := conns.Load(); n != 2 {
		t.Errorf("%d connections, want 2", n)
	}
}

// Guards against several large responses that are each within their bound but
// together exceed the memory of the process.
func TestBodiesShareOneBudget(t *testing.T) {
	c, _ := startTarget(t, func(_ int, _ *http.Request, conn net.Conn) bool {
		sendEndless(conn, "HTTP/1.1 200 X\r\nCall-Name: a\r\nProof: p\r\nContent-Length: 8000000\r\n\r\n", "menu")
		return false
	})
	c.Buffers = bounded.NewBudget(1 << 20)
	res := c.Do(t.Context(), getCall("a"))
	if res.Kind != Unknown || res.Reason != NoMemory {
		t.Errorf("got kind %d, reason %q (%v)", res.Kind, res.Reason, res.Err)
	}
	if n := c.Buffers.Used(); n != 0 {
		t.Errorf("%d bytes are still counted after the call", n)
	}
}

// Guards against a response without a request ID that is taken for the outcome of
// a call it does not belong to: on a connection that was used before, it can be a
// late second copy of the response to an earlier call.
func TestLateCopiesOnAReusedConnection(t *testing.T) {
	const proof, notRun = "Proof: p\r\n", "Not-Run: 1\r\n"
	withoutID := func(status, header string) string {
		return "HTTP/1.1 " + status + " X\r\n" + header + "Content-Length: 4\r\n\r\nrope"
	}
	cases := []struct {
		name, copy string
		kind       Kind // of the second call
	}{
		{"misdirected without ID", withoutID("421", ""), Unknown},
		{"misdirected without ID, marked", withoutID("421", notRun), Unknown},
		{"shed without ID", withoutID("503", notRun), Unknown},
		{"rate limit without ID", withoutID("429", notRun), Unknown},
		{"success without ID", withoutID("200", proof), Unknown},
		{"failure without ID", withoutID("500", proof), Unknown},
		{"timeout without ID", withoutID("504", ""), Unknown},
		{"two IDs", "HTTP/1.1 421 X\r\nCall-Name: b\r\nCall-Name: a\r\nContent-Length: 0\r\n\r\n", Unknown},
		{"misdirected with the first ID", rawResponse(421, "a", "", ""), Answered},
		{"shed with the first ID", rawResponse(503, "a", notRun, ""), Answered},
		{"success with the first ID", rawResponse(200, "a", "", "rope"), Answered},
		{"misdirected with the second ID", "HTTP/1.1 421 X\r\nCall-Name: b\r\nContent-Length: 0\r\n\r\n", NotRun},
		{"misdirected with the second ID, marked", rawResponse(421, "b", notRun, ""), NotRun},
		{"misdirected with the second ID, stamped", rawResponse(421, "b", "", ""), Unknown},
		{"shed with the second ID", rawResponse(503, "b", notRun, ""), NotRun},
	}
	for _, tc := range cases {
		for _, idempotent := range []bool{true, false} {
			for _, split := range []bool{true, false} {
				name := tc.name
				if idempotent {
					name += ", idempotent"
				}
				if split {
					name += ", in two parts"
				}
				t.Run(name, func(t *testing.T) { playLateCopy(t, tc.copy, tc.kind, idempotent, split) })
			}
		}
	}
}

// playLateCopy makes two calls on one connection. The target answers the second
// with a copy of an earlier response before its own one.
func playLateCopy(t *testing.T, copied string, want Kind, idempotent, split bool) {
	c, conns := startTarget(t, func(n int, r *http.Request, conn net.Conn) bool {
		if n == 1 {
			half := 0
			if split {
				half = len(copied) / 2
				_, _ = conn.Write([]byte(copied[:half]))
				time.Sleep(5 * time.Millisecond)
			}
			_, _ = conn.Write([]byte(copied[half:]))
		}
		_, _ = conn.Write([]byte(rawResponse(200, r.Header.Get("Call-Name"), "", "menu")))
		return true
	})
	c.Do(t.Context(), getCall("a"))
	call := getCall("b")
	call.Idempotent = idempotent
	res := c.Do(t.Context(), call)
	if res.Kind != want {
		t.Errorf("second call: kind %d, want %d (%+v)", res.Kind, want, res)
	}
	if res.Kind == Answered && string(res.Body) != "menu" {
		t.Errorf("the second call got %q", res.Body)
	}
	if res := c.Do(context.Background(), getCall("c")); res.Kind != Answered || string(res.Body) != "menu" {
		t.Errorf("third call: %+v", res)
	}
	if n := conns.Load(); n > 2 {
		t.Errorf("%d connections", n)
	}
}
