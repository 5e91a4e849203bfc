package proxy

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/rules"
)

const goodAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood"

// rawTarget is a target whose answers are written directly to the connection. It
// counts the requests that it reads.
type rawTarget struct {
	addr string
	runs atomic.Int64
}

// newRawTarget calls answer for each request, with the connection, its number,
// and the number of the request on it. It closes the connection when answer
// returns false.
func newRawTarget(t testing.TB, answer func(c net.Conn, conn, request int) bool) *rawTarget {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	rt := &rawTarget{addr: ln.Addr().String()}
	var wg sync.WaitGroup
	var conns sync.Map
	t.Cleanup(func() {
		ln.Close()
		conns.Range(func(c, _ any) bool { c.(net.Conn).Close(); return true })
		wg.Wait()
	})
	wg.Go(func() {
		for n := 0; ; n++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			conns.Store(c, true)
			wg.Go(func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for i := 0; ; i++ {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					rt.runs.Add(1)
					if !answer(c, n, i) {
						return
					}
				}
			})
		}
	})
	return rt
}

func writeText(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

// Guards against a false "not run", a second run of an order, a truncated answer
// that looks complete, and an answer that reaches another call. Each fault occurs
// at a target of the same host and at a target behind another node.
func TestTargetFaults(t *testing.T) {
	hang := func(c net.Conn, _, _ int) bool {
		_, _ = c.Read(make([]byte, 1)) // until the node closes the connection
		return false
	}
	shed := func(c net.Conn, _, _ int) bool {
		return writeText(c, "HTTP/1.1 503 Busy\r\nTarget-Not-Run: true\r\nContent-Length: 0\r\n\r\n")
	}
	cases := []struct {
		name    string
		answer  func(c net.Conn, conn, request int) bool
		method  string
		header  []string
		spare   bool // there is a second target, which answers
		status  int  // 0: the caller's connection is aborted
		outcome string
		reason  Reason
		runs    int64 // at the faulty target
		counter string
	}{
		{"dead before the call", nil, "POST", nil, false, 503, outcomeNotRun, ReasonUnreachable, 0, "refused.unreachable"},
		{"dead before the call, spare", nil, "POST", nil, true, 200, "", "", 0, "retried.not_run"},
		{"dies before the answer", func(net.Conn, int, int) bool { return false }, "POST", nil, true, 502, outcomeUnknown, ReasonBrokenLink, 1, "noretry.not_idempotent"},
		{"dies before the answer, idempotency key", func(net.Conn, int, int) bool { return false }, "POST", []string{"Idempotency-Key", "7"}, true, 502, outcomeUnknown, ReasonBrokenLink, 1, "unknown.broken_link"},
		{"dies before the answer, idempotent", func(net.Conn, int, int) bool { return false }, "GET", nil, true, 200, "", "", 1, "retried.no_answer"},
		{"dies before the answer, idempotent, path budget used up", func(net.Conn, int, int) bool { return false }, "GET", []string{headerRetryBudget, "0"}, true, 502, outcomeUnknown, ReasonBrokenLink, 1, "noretry.path_budget"},
		{"dies in the answer", func(c net.Conn, _, _ int) bool {
			writeText(c, "HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\npart")
			return false
		}, "GET", nil, true, 0, "", "", 1, "aborted.early_end"},
		{"dies in a chunked answer", func(c net.Conn, _, _ int) bool {
			writeText(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n")
			return false
		}, "POST", nil, true, 0, "", "", 1, "aborted.early_end"},
		{"dies after the answer", func(c net.Conn, _, _ int) bool { writeText(c, goodAnswer); return false }, "POST", nil, false, 200, "", "", 1, ""},
		{"silent", hang, "POST", nil, true, 504, outcomeUnknown, ReasonTimeout, 1, "unknown.timeout"},
		{"garbage", func(c net.Conn, _, _ int) bool { writeText(c, "nonsense\r\n\r\n"); return false }, "POST", nil, true, 502, outcomeUnknown, ReasonBrokenLink, 1, "unknown.broken_link"},
		{"invalid status", func(c net.Conn, _, _ int) bool { return writeText(c, "HTTP/1.1 099 No\r\n\r\n") }, "POST", nil, true, 502, outcomeUnknown, ReasonBrokenLink, 1, "unknown.broken_link"},
		{"sheds", shed, "POST", nil, false, 503, outcomeNotRun, ReasonShed, 1, "refused.shed"},
		{"sheds, spare", shed, "POST", nil, true, 200, "", "", 1, "retried.load"},
	}
	for _, tc := range cases {
		for _, hops := range []string{"direct", "through a node"} {
			t.Run(tc.name+", "+hops, func(t *testing.T) {
				t.Parallel()
				// Only the silent target uses up the timeout. The others must be told apart
				// from it even when this process is not scheduled for some 100 ms.
				timeout := 10 * time.Second
				if tc.reason == ReasonTimeout {
					timeout = time.Second
				}
				m := newMesh(t, rules.Rule{Prefix: "/", Timeout: timeout})
				entry, owner := m.node("a", "dc1"), m.node("b", "dc1")
				faulty := entry
				if hops != "direct" {
					faulty = owner
				}
				raw := newRawTarget(t, tc.answer)
				if tc.answer == nil {
					raw.addr = refusingAddress
				}
				m.add(faulty, "bad", 4, raw.addr)
				if tc.spare {
					// A target in the other data centre is selected only after the faulty
					// one.
					spare := m.node("c", "dc2")
					m.target(spare, "good", 4, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "good") })
					if tc.counter == "retried.load" {
						m.snap.Targets[orders][1].DataCentre = "dc1"
						m.nodes[0].tracker.Stat(keyOf(m, 1)).Begin() // makes the faulty target the less loaded one
					}
				}
				checkFault(t, m, entry, tc.method, tc.header, tc.status, tc.outcome, tc.reason)
				if got := raw.runs.Load(); got != tc.runs {
					t.Errorf("the faulty target ran the call %d times, want %d", got, tc.runs)
				}
				if tc.counter != "" && count(entry, tc.counter) != 1 {
					t.Errorf("counter %s is %d, want 1", tc.counter, count(entry, tc.counter))
				}
			})
		}
	}
}

func checkFault(t *testing.T, m *testMesh, n *testNode, method string, header []string, status int, outcome string, reason Reason) {
	t.Helper()
	resp, err := m.call(n, method, "/orders", "", header...)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(resp.Body)
	}
	if status == 0 {
		if err == nil {
			t.Fatalf("got a complete answer %q, want an aborted one", body)
		}
		return
	}
	if err != nil || resp.StatusCode != status {
		t.Fatalf("got %v %v, want status %d", resp, err, status)
	}
	if resp.Header.Get(headerOutcome) != outcome || Reason(resp.Header.Get(headerReason)) != reason {
		t.Errorf("got %s %s, want %s %s", resp.Header.Get(headerOutcome), resp.Header.Get(headerReason), outcome, reason)
	}
	if outcome == "" && string(body) != "good" {
		t.Errorf("got body %q", body)
	}
	if outcome != "" && resp.Header.Get("Retry-After") == "" {
		t.Error("no Retry-After")
	}
}

// refusingAddress refuses connections. The port of a closed listener could be
// reused by another test.
const refusingAddress = "127.99.99.99:1"

// Guards against the reuse of a connection after a call on it timed out: the late
// answer would reach the next call.
func TestLateAnswerIsDroppedWithItsConnection(t *testing.T) {
	m := newMesh(t, rules.Rule{Prefix: "/", Timeout: 60 * time.Millisecond})
	n := m.node("a", "dc1")
	raw := newRawTarget(t, func(c net.Conn, conn, request int) bool {
		if conn == 0 && request == 1 {
			time.Sleep(90 * time.Millisecond)
			return writeText(c, strings.Replace(goodAnswer, "good", "late", 1))
		}
		return writeText(c, goodAnswer)
	})
	m.add(n, "t", 4, raw.addr)
	for i, want := range []int{200, 504, 200, 200} {
		resp, err := m.call(n, "POST", "/orders", "")
		if err != nil || resp.StatusCode != want {
			t.Fatalf("call %d: got %v %v, want %d", i, resp, err, want)
		}
		if body, _ := io.ReadAll(resp.Body); want == 200 && string(body) != "good" {
			t.Fatalf("call %d: got %q", i, body)
		}
		if i == 1 {
			time.Sleep(60 * time.Millisecond)
		}
	}
}

// Guards against a replay by http.Transport, and a false "not run", when the
// target closes a connection that appears idle to the sender.
func TestStaleConnectionNeverRunsAnOrderTwice(t *testing.T) {
	m := newMesh(t, rules.Rule{Prefix: "/", Timeout: time.Second})
	n := m.node("a", "dc1")
	raw := newRawTarget(t, func(c net.Conn, _, request int) bool {
		// The target reads the second request and closes the connection, which looks
		// like a stale idle connection to the sender.
		return request == 0 && writeText(c, goodAnswer)
	})
	m.add(n, "t", 4, raw.addr)
	var notRun, unknown, answered int64
	for range 60 {
		resp, err := m.call(n, "POST", "/orders", "", "Idempotency-Key", "1")
		if err != nil {
			t.Fatal(err)
		}
		switch resp.Header.Get(headerOutcome) {
		case outcomeNotRun:
			notRun++
		case outcomeUnknown:
			unknown++
		default:
			answered++
		}
		_, _ = io.Copy(io.Discard, resp.Body)
	}
	if runs := raw.runs.Load(); runs != answered+unknown || unknown == 0 {
		t.Errorf("%d runs, %d answered, %d unknown, %d not run", runs, answered, unknown, notRun)
	}
}

// Guards against calls that are lost in a planned stop.
func TestDrainFinishesCallsAndRefusesNewOnes(t *testing.T) {
	m := newMesh(t, rules.Rule{Prefix: "/"})
	entry, owner := m.node("a", "dc1"), m.node("b", "dc1")
	started, release := make(chan bool), make(chan bool)
	m.target(owner, "t", 4, func(w http.ResponseWriter, _ *http.Request) {
		started <- true
		<-release
		_, _ = io.WriteString(w, "good")
	})
	status := make(chan int)
	go func() {
		resp, err := m.call(entry, "POST", "/orders", "x")
		if err != nil {
			status <- 0
			return
		}
		status <- resp.StatusCode
	}()
	<-started
	drained := make(chan error)
	go func() { drained <- owner.Drain(context.Background()) }()
	for !owner.inFlight.draining.Load() {
		time.Sleep(time.Millisecond)
	}
	checkFault(t, m, entry, "POST", nil, 503, outcomeNotRun, ReasonDraining)
	select {
	case err := <-drained:
		t.Fatalf("Drain returned %v with a call in flight", err)
	default:
	}
	close(release)
	if got := <-status; got != 200 {
		t.Errorf("call in flight got %d", got)
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
}

func keyOf(m *testMesh, i int) (k struct {
	Host mesh.HostID
	ID   mesh.TargetID
},
) {
	k.Host, k.ID = m.snap.Targets[orders][i].Host, m.snap.Targets[orders][i].ID
	return k
}
