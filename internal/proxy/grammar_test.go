package proxy

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"nutmeghoist.example/nutmeghoist/pkg/rules"
)

// brokenResponses returns responses whose heads break the grammar. A field name holds each
// octet that it may not hold, at its start, in its middle and at its end.
func brokenResponses() []string {
	const sized, busy = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n%s\r\n\r\ngood", "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n%s\r\n\r\n"
	var responses []string
	for octet := range 256 {
		if strings.IndexByte("!#$%&'*+-.^_`|~", byte(octet)) >= 0 && octet > 0 || '0' <= octet && octet <= '9' || 'a' <= octet|0x20 && octet|0x20 <= 'z' {
			continue
		}
		broken := func(line string, at int) string { return line[:at] + string([]byte{byte(octet)}) + line[at:] }
		for _, at := range []int{0, 7, len("Target-Not-Run")} {
			if octet != ':' || at == 0 {
				responses = append(responses, fmt.Sprintf(busy+goodAnswer, broken("Target-Not-Run: true", at)))
			}
		}
		for _, at := range []int{0, 3, len("Content-Length")} {
			if octet != ':' || at == 0 {
				responses = append(
					responses,
					"HTTP/1.1 200 OK\r\n"+broken("Content-Length: 4", at)+"\r\n\r\ngoodness",
					"HTTP/1.1 200 OK\r\n"+broken("Transfer-Encoding: chunked", at)+"\r\n\r\n4\r\ngood\r\n0\r\n\r\n",
					fmt.Sprintf(sized, broken("X-Menuuuuuuuuu: rope", at)),
					"HTTP/1.1 103 Early\r\n"+broken("X-Menuuuuuuuuu: rope", at)+"\r\n\r\n"+goodAnswer,
					"HTTP/1.1 100 Continue\r\nTarget-Not-Run: true\r\n"+broken("X-Menuuuuuuuuu: rope", at)+"\r\n\r\n"+goodAnswer,
				)
			}
		}
	}
	for _, line := range []string{"X-Menu", "X-Menu: a\r\n b", "X-Menu: a\r\n\tb: c", "X-Menu: a\nb: c", "X-Menu: a\x00", "X-Menu: a\x7fb", "Transfer-Encoding: chunked"} {
		responses = append(responses, fmt.Sprintf(sized, line), fmt.Sprintf(busy, "Target-Not-Run: true\r\n"+line))
	}
	return append(
		responses,
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n",
		"HTTP/2.0 200 OK\r\nContent-Length: 4\r\n\r\ngood",
		"HTTP/1.1  200 OK\r\nContent-Length: 4\r\n\r\ngood",
		"HTTP/1.1 200 O\x01K\r\nContent-Length: 4\r\n\r\ngood",
		"HTTP/1.1 200 OK\nContent-Length: 4\r\n\r\ngood",
		"\r\n"+goodAnswer,
	)
}

// statusesThatAreNone are responses whose status is none.
func statusesThatAreNone() []string {
	var responses []string
	for code := range 1000 {
		if code < 100 || code == 101 || code > 599 {
			responses = append(responses, fmt.Sprintf("HTTP/1.1 %03d X\r\nTarget-Not-Run: true\r\nContent-Length: 4\r\n\r\ngood", code))
		}
	}
	return append(responses, "HTTP/1.1 +20 X\r\nContent-Length: 4\r\n\r\ngood", "HTTP/1.1 -20 X\r\nContent-Length: 4\r\n\r\ngood")
}

// checkProvesNothing sends responses to calls, on connections that have carried a call and
// on others, and reports those that were passed on, or taken for "not run". The parts run
// beside each other, since after each call the node finds out whether the target has ended.
func checkProvesNothing(t *testing.T, responses []string) {
	const parts = 8
	for i := range 2 * parts {
		hops := []string{"direct", "through a node"}[i%2]
		part := responses[i/2*len(responses)/parts : (i/2+1)*len(responses)/parts]
		t.Run(fmt.Sprintf("%s,part %d", hops, i/2), func(t *testing.T) {
			t.Parallel()
			m := newMesh(t, rules.Rule{Prefix: "/"})
			entry, owner := m.node("a", "dc1"), m.node("b", "dc1")
			if hops == "direct" {
				owner = entry
			}
			var response atomic.Pointer[string]
			target := newRawTarget(t, func(c net.Conn, _, _ int) bool {
				next := *response.Load()
				writeText(c, next)
				return next == goodAnswer
			})
			m.add(owner, "t", 4, target.addr)
			good := goodAnswer
			for i, broken := range part {
				if i%4 == 0 {
					response.Store(&good)
					if status, body, err := readCall(m, entry, "POST", "/orders", 0); status != 200 || body != "good" || err != nil {
						t.Fatalf("good answer: status %d, body %q, %v", status, body, err)
					}
				}
				response.Store(&broken)
				before := target.runs.Load()
				if status, body, err := readCall(m, entry, "POST", "/orders", 0); err == nil && status != http.StatusBadGateway {
					t.Errorf("%q: status %d, body %q", broken, status, body)
				}
				if runs := target.runs.Load() - before; runs != 1 {
					t.Errorf("%q: %d runs", broken, runs)
				}
			}
		})
	}
}

// Guards against a response whose head breaks the grammar: it is passed on, framed by other
// fields than the target's, or taken for "not run".
func TestBrokenHeadsProveNothing(t *testing.T) { checkProvesNothing(t, brokenResponses()) }

// Guards against a status that is none, which is passed on or taken for "not run".
func TestStatusesThatAreNone(t *testing.T) { checkProvesNothing(t, statusesThatAreNone()) }

// Guards against valid heads that are refused, and trailer fields that are none.
func TestValidHeadsAndTrailers(t *testing.T) {
	const chunks = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n"
	for raw, valid := range map[string]bool{
		"HTTP/1.1 200 \r\nContent-Length: 4\r\n\r\ngood":                                                       true,
		"HTTP/1.0 200 caf\xe9\r\ncontent-length:4\r\nX-Menu: a \tb\xff\r\n\r\ngood":                            true,
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nTarget-Not-Run: true\r\nX-A:\r\n\r\n" + goodAnswer: true,
		"HTTP/1.1 200 OK\r\n\r\ngood":                                                                          true,
		chunks + "\r\n":                                                                                        true,
		chunks + "X-Sum: 1\r\n\r\n":                                                                            true,
		chunks + "X Sum: 1\r\n\r\n":                                                                            false,
		chunks + "X-Sum : 1\r\n\r\n":                                                                           false,
	} {
		// A call on a kept connection that the target has closed since would be refused.
		m := newMesh(t, rules.Rule{Prefix: "/"})
		n := m.node("a", "dc1")
		m.add(n, "t", 4, newRawTarget(t, func(c net.Conn, _, _ int) bool {
			writeText(c, raw)
			return false
		}).addr)
		status, body, err := readCall(m, n, "POST", "/orders", 0)
		if good := err == nil && status == 200 && body == "good"; good != valid {
			t.Errorf("%q: status %d, body %q, %v", raw, status, body, err)
		}
	}
}
