package exchange

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/traffic"
)

var names = traffic.Headers{
	RequestID: "Call-Name", DeadlineMs: "Left-Ms", Stamp: "Proof", ExpectInstance: "Meant-For", NotRun: "Not-Run", CallerService: "From-Service",
	RateLimit: "Takes", Leaving: "Going", APIKey: "Door-Key", Team: "Crew",
}

// script responds to the n-th request of a target, from 0. It reports whether
// the connection stays open.
type script func(n int, r *http.Request, c net.Conn) bool

// startTarget runs a target that follows a script. It returns a client for it
// and the number of its connections.
func startTarget(t *testing.T, s script) (*Client, *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	var conns, requests atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for {
					req, err := http.ReadRequest(r)
					if err != nil || !s(int(requests.Add(1)-1), req, c) {
						return
					}
				}
			}()
		}
	}()
	c := NewClient(l.Addr().String(), names)
	t.Cleanup(c.Close)
	return c, &conns
}

func getCall(id string) *Call {
	return &Call{
		ID: id, Method: "GET", URI: "/menus?x=1", Host: "mesh.example", Header: http.Header{}, Caller: "galley", Expect: "t-1",
		Idempotent: true, Deadline: time.Now().Add(2 * time.Second),
	}
}

func rawResponse(status int, id, extra, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nCall-Name: %s\r\nProof: p\r\n%sContent-Length: %d\r\n\r\n%s", status, id, extra, len(body), body)
}

// Guards against forwarding anything but the target's complete response to this
// call, and against reporting a call as not run without certainty.
func TestResponseClassification(t *testing.T) {
	reset := func(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0) }
	cases := []struct {
		name   string
		raw    string
		reset  bool
		kind   Kind
		reason Reason
		body   string
	}{
		{"complete response", rawResponse(200, "a", "", "menu"), false, Answered, "", "menu"},
		{"server error", rawResponse(500, "a", "", "no"), false, Answered, "", "no"},
		{"chunks", "HTTP/1.1 200 X\r\nCall-Name: a\r\nProof: p\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nmenu\r\n0\r\n\r\n", false, Answered, "", "menu"},
		{"ends with the connection", "HTTP/1.1 200 X\r\nCall-Name: a\r\nProof: p\r\n\r\nmenu", false, Answered, "", "menu"},
		{"reset without a length", "HTTP/1.1 200 X\r\nCall-Name: a\r\nProof: p\r\n\r\nme", true, Unknown, ConnectionBroken, ""},
		{"after an informational response", "HTTP/1.1 103 Early\r\n\r\n" + rawResponse(200, "a", "", "menu"), false, Answered, "", "menu"},
		{"late response to another call first", rawResponse(200, "z", "", "old") + rawResponse(200, "a", "", "menu"), false, Answered, "", "menu"},
		{"only responses to other calls", strings.Repeat(rawResponse(200, "z", "", "old"), 4), false, Unknown, Malformed, ""},
		{"shorter than its length", "HTTP/1.1 200 X\r\nCall-Name: a\r\nProof: p\r\nContent-Length: 9\r\n\r\nmenu", false, Unknown, ConnectionBroken, ""},
		{"no response", "", false, Unknown, ConnectionBroken, ""},
		{"reset", "", true, Unknown, ConnectionBroken, ""},
		{"no HTTP", "\x00\x01 what is this\r\n\r\n", false, Unknown, Malformed, ""},
		{"success without the target's stamp", "HTTP/1.1 200 X\r\nCall-Name: a\r\nContent-Length: 4\r\n\r\nmenu", false, Unknown, Malformed, ""},
		{"encoded body", rawResponse(200, "a", "Content-Encoding: gzip\r\n", "menu"), false, Unknown, Malformed, ""},
		{"shed", "HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", false, NotRun, Shed, ""},
		{"misdirected", "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n", false, NotRun, Misdirected, ""},
		{"misdirected, marked", rawResponse(421, "a", "Not-Run: 1\r\n", ""), false, NotRun, Misdirected, ""},
		{"misdirected, stamped without a mark", rawResponse(421, "a", "", ""), false, Unknown, Misdirected, ""},
		{"shed with a stamp", rawResponse(503, "a", "Not-Run: 1\r\n", ""), false, NotRun, Shed, ""},
		{"failure with the status of a refusal", rawResponse(503, "a", "", "no"), false, Answered, "", "no"},
		{"unmarked refusal", "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", false, Unknown, Malformed, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c, _ := startTarget(t, func(_ int, _ *http.Request, conn net.Conn) bool {
				_, _ = conn.Write([]byte(tc.raw))
				if tc.reset {
					time.Sleep(10 * time.Millisecond)
					reset(conn)
				}
				return false
			})
			res := c.Do(t.Context(), getCall("a"))
			if res.Kind != tc.kind || res.Reason != tc.reason || string(res.Body) != tc.body {
				t.Errorf("got kind %d, reason %q, body %q (%v)", res.Kind, res.Reason, res.Body, res.Err)
			}
		})
	}
}

// Guards against a call to an unreachable target that is reported as possibly
// run.
func TestUnreachableTargetIsNotRun(t *testing.T) {
	// The port of a closed listener could be reused by another test.
	res := NewClient("127.99.99.99:1", names).Do(t.Context(), getCall("a"))
	if res.Kind != NotRun || res.Reason != Unreachable || res.Sent {
		t.Errorf("got %+v", res)
	}
}

// Guards against lost or changed parts of a call, and against a caller that
// forges headers which the node sets.
func TestCallIsForwardedUnchanged(t *testing.T) {
	got := make(chan *http.Request, 1)
	c, _ := startTarget(t, func(_ int, r *http.Request, conn net.Conn) bool {
		got <- r
		_, _ = conn.Write([]byte(rawResponse(200, "a", "", "")))
		return true
	})
	call := getCall("a")
	call.Method, call.Body = "POST", []byte("order")
	call.Header = http.Header{"From-Service": {"forged"}, "Meant-For": {"forged"}, "Left-Ms": {"99999"}, "X-Own": {"1", "2"}}
	if res := c.Do(t.Context(), call); res.Kind != Answered {
		t.Fatalf("got %+v", res)
	}
	r := <-got
	if r.Method != "POST" || r.RequestURI != "/menus?x=1" || r.Host != "mesh.example" || r.ContentLength != 5 {
		t.Errorf("target got %s %s for %s with %d bytes", r.Method, r.RequestURI, r.Host, r.ContentLength)
	}
	for name, want := range map[string]string{"From-Service": "galley", "Meant-For": "t-1", "Call-Name": "a", "X-Own": "1,2"} {
		if v := strings.Join(r.Header[name], ","); v != want {
			t.Errorf("%s is %q, want %q", name, v, want)
		}
	}
	if left := r.Header.Get("Left-Ms"); len(left) != 4 || left >= "2000" {
		t.Errorf("time left is %q", left)
	}
}

// Guards against a team that anyone but the caller's node names, and against keys that
// reach a target.
func TestTeamIsToldByTheNodeOnly(t *testing.T) {
	for _, team := range []mesh.TeamName{"clinic", ""} {
		c, _ := startTarget(t, func(_ int, r *http.Request, conn net.Conn) bool {
			if got := r.Header.Values("Crew"); strings.Join(got, "|") != string(team) || len(r.Header.Values("Door-Key")) != 0 {
				t.Errorf("team %q, headers %v", team, r.Header)
			}
			_, _ = conn.Write([]byte(rawResponse(200, "a", "", "menu")))
			return true
		})
		call := getCall("a")
		call.Team, call.Header = team, http.Header{"Crew": {"ward", "clinic"}, "Door-Key": {"k-1"}}
		if res := c.Do(t.Context(), call); res.Kind != Answered {
			t.Errorf("result %+v", res)
		}
	}
}

// Guards against reading extra bytes after a response as the response to the
// next call.
func TestConnectionWithExtraBytesIsNotReused(t *testing.T) {
	c, conns := startTarget(t, func(n int, r *http.Request, conn net.Conn) bool {
		id := r.Header.Get("Call-Name")
		_, _ = conn.Write([]byte(rawResponse(200, id, "", "menu")))
		if n == 0 {
			time.Sleep(20 * time.Millisecond)
			_, _ = conn.Write([]byte(rawResponse(200, id, "", "menu")))
		}
		return true
	})
	c.Do(t.Context(), getCall("a"))
	time.Sleep(60 * time.Millisecond)
	for _, id := range []string{"b", "c"} {
		if res := c.Do(t.Context(), getCall(id)); res.Kind != Answered || string(res.Body) != "menu" {
			t.Errorf("call %s: %+v", id, res)
		}
	}
	if n := conns.Load(); n != 2 {
		t.Errorf("%d connections, want 2: the second is kept", n)
	}
}

// Guards against running a non-idempotent call twice: when the target closes
// the connection while a call is sent, only an idempotent call is sent again.
func TestOnlyIdempotentCallsAreRetried(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		var runs atomic.Int64
		c, _ := startTarget(t, func(n int, r *http.Request, conn net.Conn) bool {
			if n == 1 {
				return false // the connection closes without a response
			}
			runs.Add(1)
			_, _ = conn.Write([]byte(rawResponse(200, r.Header.Get("Call-Name"), "", "menu")))
			return true
		})
		c.Do(t.Context(), getCall("a"))
		call := getCall("b")
		call.Idempotent = idempotent
		res := c.Do(t.Context(), call)
		if want := map[bool]Kind{true: Answered, false: Unknown}[idempotent]; res.Kind != want {
			t.Errorf("idempotent=%v: got kind %d, want %d", idempotent, res.Kind, want)
		}
	}
}

// Guards against sending a non-idempotent call on a connection that the target
// may have closed since its last use: the outcome would be unknown.
func TestNonIdempotentCallsUseFreshConnections(t *testing.T) {
	c, conns := startTarget(t, func(_ int, r *http.Request, conn net.Conn) bool {
		_, _ = conn.Write([]byte(rawResponse(200, r.Header.Get("Call-Name"), "", "")))
		return true
	})
	c.Do(t.Context(), getCall("a"))
	time.Sleep(maxIdleNonIdempotent + 30*time.Millisecond)
	order := getCall("b")
	order.Idempotent = false
	c.Do(t.Context(), order)
	c.Do(t.Context(), getCall("c"))
	if n := conns.Load(); n != 2 {
		t.Errorf("%d connections, want 2", n)
	}
}

// Guards against a target that continues to work for a caller that has left.
func TestCancelClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	c, _ := startTarget(t, func(_ int, _ *http.Request, conn net.Conn) bool {
		_, _ = conn.Read(make([]byte, 1))
		close(closed)
		return false
	})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(30*time.Millisecond, cancel)
	res := c.Do(ctx, getCall("a"))
	if res.Kind != Unknown || res.Reason != Cancelled {
		t.Errorf("got %+v", res)
	}
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Error("the target's connection was not closed")
	}
}

// Guards against a call that is sent although its permission ran out while the
// process waited for a connection or was paused.
func TestForbiddenCallIsNotSent(t *testing.T) {
	var requests atomic.Int64
	c, _ := startTarget(t, func(_ int, r *http.Request, conn net.Conn) bool {
		requests.Add(1)
		_, _ = conn.Write([]byte(rawResponse(200, r.Header.Get("Call-Name"), "", "menu")))
		return true
	})
	call := getCall("a")
	call.MaySend = func() bool { return false } // withdrawn while the connection opened
	for range 2 {
		time.Sleep(20 * time.Millisecond)
		if res := c.Do(t.Context(), call); res.Kind != NotRun || res.Reason != Withdrawn || res.Sent {
			t.Errorf("got %+v", res)
		}
	}
	time.Sleep(20 * time.Millisecond)
	if n := requests.Load(); n != 0 {
		t.Errorf("the target got %d requests", n)
	}
}

// Guards against a call that is reported as not run because its second send was
// refused, although the first one, whose response was lost, may have run.
func TestRefusedResendIsUnknown(t *testing.T) {
	c, _ := startTarget(t, func(n int, r *http.Request, conn net.Conn) bool {
		id := r.Header.Get("Call-Name")
		switch n {
		case 0:
			_, _ = conn.Write([]byte(rawResponse(200, id, "", "menu")))
			return true
		case 1:
			return false // it ran, and its response is lost
		}
		_, _ = conn.Write([]byte(rawResponse(503, id, "Not-Run: 1\r\n", "")))
		return true
	})
	c.Do(t.Context(), getCall("a"))
	if res := c.Do(t.Context(), getCall("b")); res.Kind != Unknown || !res.Sent {
		t.Errorf("got %+v", res)
	}
}

// TestEarlierRefusalProvesNothing guards against a second copy of a refusal that is taken for the answer to the same call, which comes again.
func TestEarlierRefusalProvesNothing(t *testing.T) {
	var first net.Conn
	refusal := rawResponse(503, "a", "Not-Run: 1\r\n", "")
	c, conns := startTarget(t, func(n int, _ *http.Request, conn net.Conn) bool {
		if n == 0 {
			first = conn
			_, _ = conn.Write([]byte(refusal))
			return true
		}
		_, _ = first.Write([]byte(refusal)) // on the connection that the client has kept
		time.Sleep(20 * time.Millisecond)
		_, _ = conn.Write([]byte(rawResponse(200, "a", "", "menu")))
		return true
	})
	if res := c.Do(t.Context(), getCall("a")); res.Kind != NotRun {
		t.Fatalf("first send: %+v", res)
	}
	if res := c.Do(t.Context(), getCall("a")); res.Kind != Answered || string(res.Body) != "menu" {
		t.Errorf("second send, which ran: kind %d, reason %q", res.Kind, res.Reason)
	}
	if n := conns.Load(); n != 2 {
		t.Errorf("%d connections, want 2", n)
	}
}

// Guards against a connection that is kept although a response on it belonged to
// another call, and against one that other calls do not share.
func TestConnectionWithStaleResponsesIsNotKept(t *testing.T) {
	c, conns := startTarget(t, func(n int, r *http.Request, conn net.Conn) bool {
		if n == 1 {
			_, _ = conn.Write([]byte(rawResponse(200, "a", "", "late")))
		}
		_, _ = conn.Write([]byte(rawResponse(200, r.Header.Get("Call-Name"), "", "menu")))
		return true
	})
	for i, id := range []string{"a", "b", "c", "d"} {
		if res := c.Do(t.Context(), getCall(id)); res.Kind != Answered || string(res.Body) != "menu" {
			t.Fatalf("call %s: %+v", id, res)
		}
		if want := int64(1 + i/2); conns.Load() != want {
			t.Errorf("%d connections after call %s, want %d", conns.Load(), id, want)
		}
	}
}
