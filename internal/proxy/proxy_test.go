package proxy

import (
	"io"
	"net/http"
	"testing"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/rules"
	"nutmeghoist.example/nutmeghoist/pkg/snapshot"
)

// Guards against headers of the call path that are not forwarded, a body that is
// changed in transit, and headers of the call path that a target can forge.
func TestCallReachesTargetDirectlyAndThroughAnotherNode(t *testing.T) {
	m := newMesh(t, rules.Rule{Prefix: "/orders"})
	a, b := m.node("a", "dc1"), m.node("b", "dc1")
	m.target(b, "t1", 4, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("X-Depth", r.Header.Get(headerDepth))
		w.Header().Set(headerOutcome, outcomeNotRun)
		w.Header().Set("Connection", "X-Drop")
		w.Header().Set("X-Drop", "1")
		w.WriteHeader(http.StatusCreated)
		_, _ = io.WriteString(w, r.Method+" "+r.URL.RequestURI()+" "+string(body))
	})
	for _, n := range []*testNode{a, b} {
		resp, err := m.call(n, "POST", "/orders/7%2F8?x=1", "tray", headerDepth, "3")
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil || string(body) != "POST /orders/7%2F8?x=1 tray" || resp.StatusCode != http.StatusCreated {
			t.Errorf("node %s: got %d %q %v", n.id, resp.StatusCode, body, err)
		}
		if resp.Header.Get("X-Depth") != "4" || resp.Header.Get(headerOutcome) != "" || resp.Header.Get("X-Drop") != "" {
			t.Errorf("node %s: got headers %v", n.id, resp.Header)
		}
	}
}

// Guards against calls that are refused during a move because the new version has
// lost its last target, although the old version could serve them.
func TestMoveFallsBackToTheOldVersion(t *testing.T) {
	m := newMesh(t, rules.Rule{Prefix: "/orders"})
	n := m.node("a", "dc1")
	m.target(n, "t1", 4, func(http.ResponseWriter, *http.Request) {})
	m.snap.Rules[0].From, m.snap.Rules[0].Version = orders.Version, "tray-2"
	m.snap.Targets[m.snap.Rules[0].Destination()] = nil
	resp, err := m.call(n, "POST", "/orders", "")
	if err != nil || resp.StatusCode != http.StatusOK || count(n, "moves.fell_back") != 1 {
		t.Fatalf("got %v, %v, %d calls fell back", resp, err, count(n, "moves.fell_back"))
	}
	m.snap = &snapshot.Snapshot{Rules: m.snap.Rules, Targets: map[mesh.ServiceVersion][]snapshot.Target{}}
	resp, err = m.call(n, "POST", "/orders", "")
	if err != nil || resp.Header.Get(headerOutcome) != outcomeNotRun {
		t.Fatalf("without targets of both versions: got %v, %v", resp, err)
	}
}
