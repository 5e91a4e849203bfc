package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/rules"
)

// uploadSizes lie on both sides of each size from which a body is sent in another way: kept
// for a retry, in one write, and beyond the buffers of the kernel.
var uploadSizes = []int{0, 16<<10 - 1, 16 << 10, 64 << 10, 64<<10 + 1, 300 << 10, 1 << 20, 8 << 20}

// newEarlyTarget responds to the call with the path /b before it has read the body, and to
// others afterwards. end ends the connection.
func newEarlyTarget(t testing.TB, response string, end func(*net.TCPConn)) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					if req.URL.Path != "/b" {
						_, _ = io.Copy(io.Discard, req.Body)
						writeText(c, goodAnswer)
						continue
					}
					writeText(c, response)
					end(c.(*net.TCPConn))
					return
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// forEachUpload runs a test for each size of an upload, at a target of the same host and
// behind another node. open starts a mesh whose target ends its connection with end, and
// returns a function that makes a call in it.
func forEachUpload(t *testing.T, response string, end func(*net.TCPConn), f func(t *testing.T, open func() func() (int, string, error))) {
	for _, size := range uploadSizes {
		for _, hops := range []string{"direct", "through a node"} {
			for _, reused := range []bool{false, true} {
				for _, method := range []string{"POST", "PUT"} {
					t.Run(fmt.Sprintf("%d bytes,%s,reused=%v,%s", size, hops, reused, method), func(t *testing.T) {
						t.Parallel()
						f(t, func() func() (int, string, error) {
							m := newMesh(t, rules.Rule{Prefix: "/", Timeout: 10 * time.Second})
							entry, owner := m.node("a", "dc1"), m.node("b", "dc1")
							if hops == "direct" {
								owner = entry
							}
							m.add(owner, "t", 4, newEarlyTarget(t, response, end))
							return func() (int, string, error) {
								if reused {
									if _, _, err := readCall(m, entry, "POST", "/a", 0); err != nil {
										t.Fatal(err)
									}
								}
								return readCall(m, entry, method, "/b", size)
							}
						})
					})
				}
			}
		}
	}
}

// readCall makes a call and returns the status and body of the response.
func readCall(m *testMesh, n *testNode, method, path string, size int) (int, string, error) {
	resp, err := m.call(n, method, path, strings.Repeat("x", size))
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

const headWithoutLength = "HTTP/1.1 200 OK\r\n\r\n"

// Guards against a part of a response without a length that is passed on as the whole,
// after the target has reset the connection while the upload was being written.
func TestResetDuringAnUploadIsNoEnd(t *testing.T) {
	for _, delay := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			reset := func(c *net.TCPConn) {
				time.Sleep(delay)
				_ = c.SetLinger(0)
			}
			forEachUpload(t, headWithoutLength+"a part of the me", reset, func(t *testing.T, open func() func() (int, string, error)) {
				const repeats = 12
				wrong, call := 0, open()
				for range repeats {
					if status, body, err := call(); err == nil && status != http.StatusBadGateway {
						wrong++
						t.Logf("status %d with a whole body %q", status, body)
					}
				}
				if wrong > 0 {
					t.Errorf("%d of %d parts were passed on as the whole", wrong, repeats)
				}
			})
		})
	}
}

// Guards against a whole response that is lost because it came before the upload was in,
// whatever happens to the connection after its end.
func TestWholeResponseDuringAnUpload(t *testing.T) {
	for name, tc := range map[string]struct {
		response string
		end      func(*net.TCPConn)
	}{
		"then closed": {headWithoutLength + "menu", func(c *net.TCPConn) { _ = c.CloseWrite() }},
		"then closed later": {headWithoutLength + "menu", func(c *net.TCPConn) {
			_ = c.CloseWrite()
			time.Sleep(3 * time.Millisecond)
		}},
		"then silent": {headWithoutLength + "menu", func(c *net.TCPConn) {
			_ = c.CloseWrite()
			time.Sleep(100 * time.Millisecond)
		}},
		"with a length, then reset": {strings.Replace(goodAnswer, "good", "menu", 1), func(c *net.TCPConn) { _ = c.SetLinger(0) }},
	} {
		t.Run(name, func(t *testing.T) {
			forEachUpload(t, tc.response, tc.end, func(t *testing.T, open func() func() (int, string, error)) {
				for range 3 {
					// A call on a kept connection that the target has reset since would be refused.
					if status, body, err := open()(); err != nil || status != 200 || body != "menu" {
						t.Errorf("got status %d, body %q, %v", status, body, err)
					}
				}
			})
		})
	}
}
