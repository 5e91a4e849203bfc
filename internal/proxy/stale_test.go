package proxy

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/rules"
)

// TestEarlierRefusalIsNotTheAnswerToTheNextCall guards against a second copy of a refusal on a kept connection, which tells the next caller that its call has not run.
func TestEarlierRefusalIsNotTheAnswerToTheNextCall(t *testing.T) {
	const refusal = "HTTP/1.1 503 Busy\r\nTarget-Not-Run: true\r\nContent-Length: 0\r\n\r\n"
	m := newMesh(t, rules.Rule{Prefix: "/"})
	n := m.node("a", "dc1")
	var first net.Conn
	requests := 0
	raw := newRawTarget(t, func(c net.Conn, _, _ int) bool {
		requests++
		if requests == 1 {
			first = c
			return writeText(c, refusal)
		}
		_, _ = io.WriteString(first, refusal)
		time.Sleep(20 * time.Millisecond)
		return writeText(c, goodAnswer)
	})
	m.add(n, "t", 4, raw.addr)
	for i, want := range []int{http.StatusServiceUnavailable, http.StatusOK} {
		resp, err := m.call(n, "POST", "/orders", "rope")
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close() // the status is enough
		if resp.StatusCode != want {
			t.Errorf("call %d: status %d, want %d", i+1, resp.StatusCode, want)
		}
	}
}

// TestCutHeadIsNoAnswer guards against a target that stops in the head of its answer, and a caller who gets a short or empty body framed as whole.
func TestCutHeadIsNoAnswer(t *testing.T) {
	for name, head := range map[string]string{
		"with length":  "HTTP/1.1 200 OK\r\nX-Menu: tray\r\nContent-Length: 4\r\n\r\n",
		"in chunks":    "HTTP/1.1 200 OK\r\nX-Menu: tray\r\nTransfer-Encoding: chunked\r\n\r\n",
		"until closed": "HTTP/1.1 200 OK\r\nX-Menu: tray\r\n\r\n",
	} {
		for _, hops := range []string{"direct", "through a node"} {
			t.Run(name+", "+hops, func(t *testing.T) {
				t.Parallel()
				m := newMesh(t, rules.Rule{Prefix: "/"})
				entry, owner := m.node("a", "dc1"), m.node("b", "dc1")
				if hops == "direct" {
					owner = entry
				}
				cut := 0
				raw := newRawTarget(t, func(c net.Conn, _, _ int) bool { writeText(c, head[:cut]); return false })
				m.add(owner, "t", 4, raw.addr)
				for cut = 1; cut < len(head); cut++ {
					resp, err := m.call(entry, "POST", "/orders", "rope")
					if err != nil {
						continue // the connection of the caller was cut as well
					}
					_, err = io.ReadAll(resp.Body)
					_ = resp.Body.Close() // read to its end
					if err == nil && resp.StatusCode != http.StatusBadGateway {
						t.Fatalf("cut after %q: status %d with a whole body", head[:cut], resp.StatusCode)
					}
				}
			})
		}
	}
}
