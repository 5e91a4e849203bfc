package proxy

import (
	"context"
	"log"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"nutmeghoist.example/nutmeghoist/internal/linger"
	"nutmeghoist.example/nutmeghoist/pkg/admission"
	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/move"
	"nutmeghoist.example/nutmeghoist/pkg/rules"
	"nutmeghoist.example/nutmeghoist/pkg/snapshot"
)

var orders = mesh.ServiceVersion{Service: "orderdesk", Version: "tray-1"}

// testNode is a node in this process with its local targets.
type testNode struct {
	*Proxy
	id      mesh.HostID
	dc      mesh.DataCentre
	caller  *httptest.Server
	peer    *httptest.Server
	mu      sync.Mutex
	targets map[mesh.TargetID]localTarget
}

type localTarget struct {
	membership.Target
	limiter *admission.Limiter
}

func (n *testNode) Lookup(id mesh.TargetID) (membership.Target, *admission.Limiter, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	t, ok := n.targets[id]
	return t.Target, t.limiter, ok
}

// testMesh is a set of nodes that share one snapshot.
type testMesh struct {
	t     testing.TB
	snap  *snapshot.Snapshot
	nodes []*testNode

	mu       sync.Mutex
	outcomes []move.Outcome
}

func (m *testMesh) Observe(o move.Outcome) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.outcomes = append(m.outcomes, o)
}

func newMesh(t testing.TB, list ...rules.Rule) *testMesh {
	for i := range list {
		list[i].Service, list[i].Version = orders.Service, orders.Version
		if list[i].Timeout == 0 {
			list[i].Timeout = 2 * time.Second
		}
	}
	reportPauses(t)
	return &testMesh{t: t, snap: &snapshot.Snapshot{
		Rules:   list,
		Targets: map[mesh.ServiceVersion][]snapshot.Target{orders: nil},
	}}
}

func (m *testMesh) node(id mesh.HostID, dc mesh.DataCentre) *testNode {
	n := &testNode{id: id, dc: dc, targets: make(map[mesh.TargetID]localTarget)}
	n.Proxy = New(Config{
		Self: id, DataCentre: dc, Targets: n, Observer: m,
		Snapshot: func() *snapshot.Snapshot { return m.snap },
	})
	n.caller, n.peer = m.serve(n.CallerHandler()), m.serve(n.PeerHandler())
	m.t.Cleanup(n.caller.Close)
	m.t.Cleanup(n.peer.Close)
	m.nodes = append(m.nodes, n)
	return n
}

// serve starts a server that fails the test when a handler panics. net/http
// itself panics when a request body is read after the handler has returned.
func (m *testMesh) serve(h http.Handler) *httptest.Server {
	s := httptest.NewUnstartedServer(h)
	s.Config.ErrorLog = log.New(m, "", 0)
	s.Listener = linger.NewListener(s.Listener)
	s.Start()
	return s
}

// Write fails the test when a line of a server's error log reports a panic.
func (m *testMesh) Write(line []byte) (int, error) {
	if strings.Contains(string(line), "panic") {
		m.t.Errorf("%s", line)
	}
	return len(line), nil
}

// target starts a server with handler h and adds it as a target of a node.
func (m *testMesh) target(n *testNode, id mesh.TargetID, slots int, h http.HandlerFunc) *httptest.Server {
	s := httptest.NewServer(h)
	m.t.Cleanup(s.Close)
	m.add(n, id, slots, strings.TrimPrefix(s.URL, "http://"))
	return s
}

func (m *testMesh) add(n *testNode, id mesh.TargetID, slots int, addr string) {
	t := membership.Target{
		ID: id, Service: orders.Service, Version: orders.Version, Address: addr,
		Slots: slots, Connections: 130, State: membership.TargetReady,
	}
	n.mu.Lock()
	n.targets[id] = localTarget{t, admission.New(admission.Config{Slots: slots, Connections: 130})}
	n.mu.Unlock()
	m.snap.Targets[orders] = append(m.snap.Targets[orders], snapshot.Target{
		Target: t, Host: n.id, DataCentre: n.dc, CallAddress: strings.TrimPrefix(n.peer.URL, "http://"),
	})
}

func (m *testMesh) call(n *testNode, method, path, body string, header ...string) (*http.Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	m.t.Cleanup(cancel)
	req, err := http.NewRequestWithContext(ctx, method, n.caller.URL+path, strings.NewReader(body))
	if err != nil {
		m.t.Fatal(err)
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	return n.caller.Client().Do(req)
}

func count(n *testNode, name string) int64 {
	c, ok := n.cfg.Metrics.Get(name).(interface{ Count() int64 })
	if !ok {
		return 0
	}
	return c.Count()
}
