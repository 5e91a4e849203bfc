package exchange

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
)

// uploadSizes lie on both sides of each size from which a request is sent in another way:
// with a body, beside its head, in the background, and beyond the buffers of the kernel.
var uploadSizes = []int{0, 100, 4<<10 - 1, 4 << 10, 16<<10 - 1, 16 << 10, 16<<10 + 1, 64 << 10, 300 << 10, 1 << 20, 8 << 20}

const (
	headWithoutLength = "HTTP/1.1 200 X\r\nCall-Name: b\r\nProof: p\r\n\r\n"
	// repeatsOfResets is how often each case with a reset is repeated, since the outcome
	// depends on which system call gets its error.
	repeatsOfResets = 24
)

// uploadCall returns a call with a body of a size.
func uploadCall(id string, size int, idempotent bool) *Call {
	call := getCall(id)
	call.Method, call.Idempotent, call.Body = http.MethodPost, idempotent, bytes.Repeat([]byte("x"), size)
	return call
}

// startEarlyTarget runs a target that responds to call "b" before it has read the body.
// end ends the connection. It returns a client that has made call "a", if its connection is
// to be reused.
func startEarlyTarget(t *testing.T, reused bool, response string, end func(*net.TCPConn)) *Client {
	c, _ := startTarget(t, func(_ int, r *http.Request, conn net.Conn) bool {
		if id := r.Header.Get("Call-Name"); id != "b" {
			_, _ = conn.Write([]byte(rawResponse(200, id, "", "menu")))
			return true
		}
		_, _ = conn.Write([]byte(response))
		end(conn.(*net.TCPConn))
		return false
	})
	if reused {
		if res := c.Do(t.Context(), getCall("a")); res.Kind != Answered {
			t.Fatalf("first call: %+v", res)
		}
	}
	return c
}

// forEachUpload runs a test for each size of an upload, on fresh and on reused connections,
// idempotent or not.
func forEachUpload(t *testing.T, f func(t *testing.T, size int, reused, idempotent bool)) {
	for _, size := range uploadSizes {
		for _, reused := range []bool{false, true} {
			for _, idempotent := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d bytes,reused=%v,idempotent=%v", size, reused, idempotent), func(t *testing.T) {
					t.Parallel()
					f(t, size, reused, idempotent)
				})
			}
		}
	}
}

// Guards against a part of a response without a length that is taken for the whole, after
// the target has reset the connection while the upload was being written.
func TestResetDuringAnUploadIsNoEnd(t *testing.T) {
	forEachUpload(t, func(t *testing.T, size int, reused, idempotent bool) {
		for _, delay := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond} {
			wrong := 0
			for range repeatsOfResets {
				c := startEarlyTarget(t, reused, headWithoutLength+"a part of the me", func(conn *net.TCPConn) {
					time.Sleep(delay)
					_ = conn.SetLinger(0)
				})
				if res := c.Do(t.Context(), uploadCall("b", size, idempotent)); res.Kind != Unknown || res.Reason != ConnectionBroken || !res.Sent {
					wrong++
					t.Logf("got kind %d, status %d, reason %q, body %q (%v)", res.Kind, res.Status, res.Reason, res.Body, res.Err)
				}
			}
			if wrong > 0 {
				t.Errorf("reset after %s: %d of %d calls were not told as broken", delay, wrong, repeatsOfResets)
			}
		}
	})
}

// Guards against a whole response that is lost because it came before the upload was in,
// whatever happens to the connection after its end.
func TestWholeResponseDuringAnUpload(t *testing.T) {
	for name, tc := range map[string]struct {
		response string
		end      func(*net.TCPConn)
	}{
		"then closed": {headWithoutLength + "menu", func(conn *net.TCPConn) { _ = conn.CloseWrite() }}, // the close resets it
		"then closed later": {headWithoutLength + "menu", func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			time.Sleep(3 * time.Millisecond)
		}},
		"then reset": {headWithoutLength + "menu", func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			_ = conn.SetLinger(0)
		}},
		"then silent": {headWithoutLength + "menu", func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			time.Sleep(100 * time.Millisecond) // the upload fills the buffers and waits
		}},
		"with a length, then reset": {rawResponse(200, "b", "", "menu"), func(conn *net.TCPConn) { _ = conn.SetLinger(0) }},
	} {
		t.Run(name, func(t *testing.T) {
			forEachUpload(t, func(t *testing.T, size int, reused, idempotent bool) {
				for range 4 {
					c := startEarlyTarget(t, reused, tc.response, tc.end)
					res := c.Do(t.Context(), uploadCall("b", size, idempotent))
					if res.Kind != Answered || res.Status != 200 || string(res.Body) != "menu" {
						t.Errorf("got kind %d, status %d, reason %q, body %q (%v)", res.Kind, res.Status, res.Reason, res.Body, res.Err)
					}
				}
			})
		})
	}
}
