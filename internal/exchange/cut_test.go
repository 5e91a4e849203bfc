package exchange

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards, at each byte of a target's response, against a call that ran and is said
// not to have run, one that runs again without being idempotent, and a response
// that is cut and passed on. The first call shares the connection, so that a second
// send is possible.
func TestCutsBeforeTheResponseEnds(t *testing.T) {
	responses := map[string]string{
		"with length": rawResponse(200, "b", "", "menu"),
		"in chunks":   "HTTP/1.1 200 X\r\nCall-Name: b\r\nProof: p\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nmenu\r\n0\r\n\r\n",
		"failure":     rawResponse(500, "b", "", "no"),
	}
	// The body ends with the connection, so that only a cut in the head shows.
	responses["head of one without length"] = "HTTP/1.1 200 X\r\nCall-Name: b\r\nProof: p\r\n\r\n"
	for name, whole := range responses {
		for _, reset := range []bool{false, true} {
			for _, idempotent := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s,reset=%v,idempotent=%v", name, reset, idempotent), func(t *testing.T) {
					for cut := range len(whole) {
						playCut(t, whole[:cut], reset, idempotent)
					}
				})
			}
		}
	}
}

// playCut makes a call whose response ends after the given bytes.
func playCut(t *testing.T, part string, reset, idempotent bool) {
	c, _ := startTarget(t, func(n int, r *http.Request, conn net.Conn) bool {
		if n == 0 {
			_, _ = conn.Write([]byte(rawResponse(200, r.Header.Get("Call-Name"), "", "")))
			return true
		}
		_, _ = conn.Write([]byte(part))
		if reset {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		return false
	})
	defer c.Close()
	c.Do(t.Context(), getCall("a"))
	call := getCall("b")
	call.Idempotent = idempotent
	call.Deadline = time.Now().Add(time.Second)
	res := c.Do(t.Context(), call)
	if res.Kind != Unknown || !res.Sent {
		t.Fatalf("cut after %q: %+v", part[strings.LastIndex(part, "\n")+1:], res)
	}
}
