package proxy

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/rules"
)

// Guards against a pool of silent connections on each of which a call times out,
// although new connections work.
func TestTimeoutClearsPoolOfSilentConnections(t *testing.T) {
	m := newMesh(t, rules.Rule{Prefix: "/", Timeout: 200 * time.Millisecond})
	n := m.node("a", "dc1")
	var silent, conns atomic.Int64
	barrier := make(chan bool)
	raw := newRawTarget(t, func(c net.Conn, conn, _ int) bool {
		if int64(conn) < silent.Load() {
			time.Sleep(time.Second)
			return false
		}
		if silent.Load() == 0 {
			conns.Add(1)
			<-barrier
		}
		return writeText(c, goodAnswer)
	})
	m.add(n, "t", 12, raw.addr)
	var wg sync.WaitGroup
	for range 6 {
		wg.Go(func() { checkFault(t, m, n, "POST", nil, 200, "", "") })
	}
	waitFor(t, func() bool { return conns.Load() == 6 })
	close(barrier)
	wg.Wait()
	silent.Store(6)
	checkFault(t, m, n, "POST", nil, 504, outcomeUnknown, ReasonTimeout)
	for range 6 {
		checkFault(t, m, n, "POST", nil, 200, "", "")
	}
}

// Guards against an idempotent call that waits for a silent target until its
// deadline, and against a call that is sent twice although it is not idempotent.
func TestSilentTargetIsAbandonedBeforeDeadline(t *testing.T) {
	m := newMesh(t, rules.Rule{Prefix: "/", Timeout: 400 * time.Millisecond})
	n, spare := m.node("a", "dc1"), m.node("b", "dc2")
	var silent atomic.Bool
	var runs atomic.Int64
	m.target(n, "t", 4, func(w http.ResponseWriter, r *http.Request) {
		if silent.Load() {
			<-r.Context().Done()
		}
		_, _ = w.Write([]byte("good"))
	})
	m.target(spare, "t", 4, func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		_, _ = w.Write([]byte("good"))
	})
	checkFault(t, m, n, "GET", nil, 200, "", "")
	silent.Store(true)
	checkFault(t, m, n, "GET", nil, 200, "", "")
	checkFault(t, m, n, "POST", nil, 504, outcomeUnknown, ReasonTimeout)
	if runs.Load() != 1 || count(n, "retried.no_answer") != 1 {
		t.Errorf("the spare ran %d calls, %d were retried; want 1 and 1", runs.Load(), count(n, "retried.no_answer"))
	}
}
