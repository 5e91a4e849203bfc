package proxy

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/rules"
	"nutmeghoist.example/nutmeghoist/pkg/snapshot"
)

// Guards against traffic that deviates from the shares, against calls with one
// key that reach different versions, and against calls that fail because their
// share has no targets.
func TestShares(t *testing.T) {
	next := mesh.ServiceVersion{Service: "galley", Version: "g-1"}
	m := newMesh(t, rules.Rule{Prefix: "/", Shares: []rules.Share{{ServiceVersion: orders, Weight: 3}, {ServiceVersion: next, Weight: 1}}})
	n := m.node("a", "dc1")
	var old, other atomic.Int64
	m.target(n, "t1", 12, func(http.ResponseWriter, *http.Request) { old.Add(1) })
	for range 40 {
		if resp, err := m.call(n, "GET", "/", ""); err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("without targets of the other share: %v, %v", resp, err)
		}
	}
	m.target(n, "t2", 12, func(http.ResponseWriter, *http.Request) { other.Add(1) })
	targets := m.snap.Targets[orders]
	moved := targets[1]
	moved.Service, moved.Version = next.Service, next.Version
	n.mu.Lock()
	local := n.targets["t2"]
	local.Service, local.Version = next.Service, next.Version
	n.targets["t2"] = local
	n.mu.Unlock()
	m.snap = &snapshot.Snapshot{Rules: m.snap.Rules, Targets: map[mesh.ServiceVersion][]snapshot.Target{orders: targets[:1], next: {moved}}}
	old.Store(0)
	const calls = 2000
	for i := range calls {
		if resp, err := m.call(n, "GET", "/", "", headerCallKey, fmt.Sprint(i)); err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("%v, %v", resp, err)
		}
	}
	// The expected 500 have a standard deviation of 19.
	if got := other.Load(); got < 400 || got > 600 || old.Load()+got != calls {
		t.Errorf("%d and %d calls, want shares of 3 to 1", old.Load(), got)
	}
	other.Store(0)
	for range 20 {
		if _, err := m.call(n, "GET", "/", "", headerCallKey, "one key"); err != nil {
			t.Fatal(err)
		}
	}
	if got := other.Load(); got != 0 && got != 20 {
		t.Errorf("%d of 20 calls with one key went to the other version", got)
	}
}

// Guards against retries beyond the number that a rule allows, which may be 0.
func TestRuleRetries(t *testing.T) {
	for retries, want := range []int{1, 2, 3} {
		m := newMesh(t, rules.Rule{Prefix: "/", Retries: &retries})
		n := m.node("a", "dc1")
		for i := range 4 {
			m.add(n, mesh.TargetID(fmt.Sprint("t", i)), 12, refusingAddress)
		}
		if resp, err := m.call(n, "GET", "/", ""); err != nil || resp.StatusCode == http.StatusOK {
			t.Fatalf("%v, %v", resp, err)
		}
		if got := len(m.outcomes); got != want {
			t.Errorf("%d retries: %d attempts, want %d", retries, got, want)
		}
	}
}

// Guards against a latency target that does not reach the admission on the
// target's host, where a call that cannot meet it must be refused at once while
// others are queued.
func TestLatencyReachesAdmission(t *testing.T) {
	m := newMesh(t, rules.Rule{Prefix: "/", Timeout: 10 * time.Second, Latency: 250 * time.Millisecond})
	near, far := m.node("a", "dc1"), m.node("b", "dc1")
	softDeadlines := make(chan string, 1)
	m.target(far, "t1", 1, func(_ http.ResponseWriter, r *http.Request) { softDeadlines <- r.Header.Get(headerSoftDeadline) })
	if _, err := m.call(near, "GET", "/", ""); err != nil {
		t.Fatal(err)
	}
	var ms int
	if _, err := fmt.Sscan(<-softDeadlines, &ms); err != nil || ms < 1 || ms > 250 {
		t.Errorf("the target's host received a soft deadline of %d ms, %v, want up to 250", ms, err)
	}
}

// Guards against a rule for one host that matches calls to another.
func TestRuleHost(t *testing.T) {
	m := newMesh(t, rules.Rule{Host: "menus.example", Prefix: "/"})
	n := m.node("a", "dc1")
	m.target(n, "t1", 12, func(http.ResponseWriter, *http.Request) {})
	for host, want := range map[string]int{"menus.example": http.StatusOK, "MENUS.example:80": http.StatusOK, "pantry.example": http.StatusNotFound} {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, n.caller.URL+"/", strings.NewReader(""))
		if err != nil {
			t.Fatal(err)
		}
		req.Host = host
		resp, err := n.caller.Client().Do(req)
		if err != nil || resp.StatusCode != want {
			t.Errorf("%s: got %v, %v, want %d", host, resp, err, want)
		}
	}
}
