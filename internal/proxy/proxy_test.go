package proxy

import (
	"io"
	"net/http"
	"testing"

	"nutmeghoist.example/nutmeghoist/pkg/rules"
)

// Guards against headers of the call path that do not arrive, a body that is
// changed on its way, and headers of the system that a target can forge.
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
