package sidecar_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"nutmeghoist.example/nutmeghoist/internal/control"
	"nutmeghoist.example/nutmeghoist/internal/owner"
	"nutmeghoist.example/nutmeghoist/internal/sidecar"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	store "nutmeghoist.example/nutmeghoist/pkg/platform"
	"nutmeghoist.example/nutmeghoist/pkg/platform/platformtest"
	"nutmeghoist.example/nutmeghoist/pkg/traffic"
	"nutmeghoist.example/nutmeghoist/platform"
)

const (
	heartbeatInterval = 200 * time.Millisecond
	testTimeout       = 1500 * time.Millisecond // of a call
	grace             = 4 * time.Second
	testService       = mesh.ServiceName("galley")
)

// testMesh is a mesh of nodes in this process, each with a target of testService.
type testMesh struct {
	t       *testing.T
	network byte // third byte of the hosts' loopback addresses
	store   string
	table   *platformtest.Store
	nodes   []*testNode
	crashes crashes
}

type testNode struct {
	mesh   *testMesh
	index  int
	target *testTarget
	cancel context.CancelFunc
	done   chan struct{}
}

// Ports of a host.
const (
	portReady = 18240 + iota
	portAnnounce
	portCall
	portCaller
	portMetrics
	portTarget
)

func newTestMesh(t *testing.T, network byte, hosts int) *testMesh {
	t.Helper()
	table := platformtest.NewWithRates(-1, -1)
	server := httptest.NewServer(platform.StoreHandler(table))
	m := &testMesh{t: t, network: network, store: server.URL, table: table}
	config := &traffic.Config{
		Version: 1, Services: map[mesh.ServiceName]traffic.Service{testService: {HealthPath: "/health", MaxConnections: 60}},
		Limits: traffic.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
	for prefix, idempotent := range map[string]bool{"/lookups/": true, "/orders/": false} {
		config.Routes = append(config.Routes, traffic.Route{
			Name: prefix, Host: "mesh.example", Prefix: prefix, Idempotent: idempotent, Timeout: testTimeout,
			LatencyTarget: 400 * time.Millisecond, Priority: 1, MaxAttempts: 2, Split: []traffic.WeightedService{{Service: testService, Weight: 1}},
		})
	}
	client := platform.NewStore(server.URL, metrics.NewRegistry())
	if err := client.Commit(t.Context(), store.Txn{Writes: []store.Write{{Key: platform.ConfigKey, Value: platform.EncodeConfig(config)}}}); err != nil {
		t.Fatal(err)
	}
	for i := range hosts {
		n := &testNode{mesh: m, index: i}
		m.nodes = append(m.nodes, n)
		n.start()
		n.startTarget()
	}
	t.Cleanup(func() {
		var wg sync.WaitGroup
		for _, n := range m.nodes {
			wg.Go(n.stop)
		}
		wg.Wait()
		for _, n := range m.nodes {
			n.target.end()
		}
		server.Close()
	})
	m.awaitTargets()
	return m
}

func (m *testMesh) address(i int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 40, m.network, byte(i + 1)}), port)
}

// awaitTargets waits until a call succeeds at each node.
func (m *testMesh) awaitTargets() {
	m.t.Helper()
	for _, n := range m.nodes {
		for until := time.Now().Add(10 * time.Second); n.call("GET", "/lookups/start", "", false).status != http.StatusOK; time.Sleep(20 * time.Millisecond) {
			if time.Now().After(until) {
				m.t.Fatalf("node %d serves no calls", n.index)
			}
		}
	}
}

// start starts the node's process, which keeps nothing of an earlier one.
func (n *testNode) start() {
	m, a := n.mesh, func(port uint16) netip.AddrPort { return n.mesh.address(n.index, port) }
	registry := metrics.NewRegistry()
	s, err := sidecar.New(sidecar.Config{
		Host: mesh.HostID(fmt.Sprint("host-", n.index)), DataCentre: mesh.DataCentre(fmt.Sprint("dc-", n.index%2)), IP: a(0).Addr(), Service: testService,
		CallerAddress: a(portCaller), CallAddress: a(portCall), ReadyAddress: a(portReady), AnnounceAddress: a(portAnnounce), MetricsAddress: a(portMetrics),
		HeaderNames: platform.Headers, ParentID: platform.ParentID, Store: platform.NewStore(m.store, registry),
		Bounds: sidecar.Bounds{Bounds: owner.Bounds{Drain: time.Second, HeartbeatInterval: heartbeatInterval}, Grace: grace, RetrySlack: 60},
		Codec: control.RowCodec{
			Table: platform.OperatorTable, ConfigKey: platform.ConfigKey, DecodeConfig: platform.DecodeConfig, DecodeOrder: platform.DecodeOrder,
			DecodeEvacuation: platform.DecodeEvacuation, StatusKey: platform.StatusKey, EncodeStatus: platform.EncodeStatus,
		},
		AnnounceHandler: func(a sidecar.Announcements) http.Handler { return platform.AnnounceHandler(a) },
		ReadyHandler:    platform.ReadyHandler,
		Metrics:         registry, Log: &log.Logger{Level: log.PanicLevel + 1},
	})
	if err != nil {
		m.t.Fatal(err)
	}
	var ctx context.Context
	ctx, n.cancel = context.WithCancel(context.Background())
	n.done = make(chan struct{})
	go func() {
		defer close(n.done)
		if err := s.Run(ctx); err != nil {
			m.t.Error(err)
		}
	}()
}

func (n *testNode) stop() {
	n.cancel()
	<-n.done
}

// callResult is what a caller observes.
type callResult struct {
	status     int // 0 without an answer
	stamp      string
	retryAfter string
	took       time.Duration
}

var nextCallID atomic.Uint64

// call places a call at the node on a new connection.
func (n *testNode) call(method, path, body string, chunked bool) callResult {
	began := time.Now()
	names := platform.Headers
	var r io.Reader = strings.NewReader(body)
	if chunked {
		r = io.MultiReader(r) // hides the length
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout+500*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.mesh.address(n.index, portCaller).String()+path, r)
	if err != nil {
		n.mesh.t.Error(err)
		return callResult{}
	}
	req.Host = "mesh.example"
	req.Header.Set(names.RequestID, fmt.Sprintf("call-%d", nextCallID.Add(1)))
	req.Header.Set(names.DeadlineMs, fmt.Sprint(testTimeout.Milliseconds()))
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return callResult{took: time.Since(began)}
	}
	defer resp.Body.Close()
	status := resp.StatusCode
	if _, err := io.ReadAll(resp.Body); err != nil {
		status = 0
	}
	return callResult{status, resp.Header.Get(names.Stamp), resp.Header.Get("Retry-After"), time.Since(began)}
}

// crashes records the ends of targets under a request whose path contains "crash".
type crashes struct {
	mu   sync.Mutex
	sent []time.Time // when such a request reached a target
	ends []time.Time // when a target ended under one
}

// sentLaterThan returns the number of sends later than the given time after the third
// end, and the number of all ends.
func (c *crashes) sentLaterThan(after time.Duration) (late, ends int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.ends) < 3 {
		return 0, len(c.ends)
	}
	for _, at := range c.sent {
		if at.Sub(c.ends[2]) > after {
			late++
		}
	}
	return late, len(c.ends)
}

func (c *crashes) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.ends)
}

// testTarget is a target that a request with "crash" in its path ends. It is back under
// a new ID after targetDowntime.
type testTarget struct {
	node     *testNode
	id       mesh.TargetID
	started  time.Time
	cancel   context.CancelFunc
	listener net.Listener
	served   atomic.Int64  // calls
	sequence atomic.Uint64 // of the last heartbeat

	mu    sync.Mutex
	conns map[net.Conn]bool
	ended bool
}

const (
	targetDowntime  = 3 * time.Second
	lateServiceTime = 400 * time.Millisecond
	slowServiceTime = 1300 * time.Millisecond
	crashDelay      = 30 * time.Millisecond // from the start of a run to the end of the target
)

func (n *testNode) startTarget() {
	l, err := net.Listen("tcp", n.mesh.address(n.index, portTarget).String())
	if err != nil {
		n.mesh.t.Error(err)
		return
	}
	t := &testTarget{node: n, id: mesh.TargetID(fmt.Sprintf("t-%d-%d", n.index, time.Now().UnixNano())), started: time.Now(), listener: l, conns: make(map[net.Conn]bool)}
	var ctx context.Context
	ctx, t.cancel = context.WithCancel(context.Background())
	n.target = t
	go t.accept()
	go t.sendHeartbeats(ctx)
}

func (t *testTarget) accept() {
	for {
		c, err := t.listener.Accept()
		if err != nil {
			return
		}
		t.mu.Lock()
		t.conns[c] = true
		if t.ended {
			_ = c.Close()
		}
		t.mu.Unlock()
		go t.serve(c)
	}
}

func (t *testTarget) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if strings.Contains(req.URL.Path, "crash") {
			t.crash()
			return
		}
		t.served.Add(1)
		time.Sleep(10 * time.Millisecond)
		switch {
		case strings.Contains(req.URL.Path, "slow"):
			time.Sleep(slowServiceTime)
		case strings.Contains(req.URL.Path, "late"):
			time.Sleep(lateServiceTime)
		}
		names := platform.Headers
		if status, mark := refusalOf(req.URL.Path); status != 0 {
			if _, err := fmt.Fprintf(c, "HTTP/1.1 %d No\r\n%s: %s\r\n%s: s\r\n%sRetry-After: 1\r\nContent-Length: 2\r\n\r\nno", status, names.RequestID, req.Header.Get(names.RequestID), names.Stamp, mark); err != nil {
				return
			}
			continue
		}
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Length: 2\r\n\r\nok", names.RequestID, req.Header.Get(names.RequestID), names.Stamp); err != nil {
			return
		}
	}
}

// crash ends the target a moment later and starts another one.
func (t *testTarget) crash() {
	c := &t.node.mesh.crashes
	c.mu.Lock()
	c.sent = append(c.sent, time.Now())
	c.mu.Unlock()
	time.Sleep(crashDelay)
	if !t.end() {
		return
	}
	c.mu.Lock()
	c.ends = append(c.ends, time.Now())
	c.mu.Unlock()
	time.AfterFunc(targetDowntime, func() {
		select {
		case <-t.node.mesh.t.Context().Done():
		default:
			t.node.startTarget()
		}
	})
}

// end closes the listener and all connections, and reports whether they were open.
func (t *testTarget) end() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended {
		return false
	}
	t.ended = true
	t.cancel()
	_ = t.listener.Close() // the target has ended
	for c := range t.conns {
		_ = c.Close() // as above
	}
	return true
}

func (t *testTarget) sendHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		_, _ = t.post(t.heartbeat(false)) // repeated
		time.Sleep(heartbeatInterval)
	}
}

// heartbeat returns the path and the body of the next heartbeat.
func (t *testTarget) heartbeat(draining bool) (path string, body []byte) {
	return platform.EncodeHeartbeat(owner.Heartbeat{
		ID: t.id, Address: t.listener.Addr().String(), Service: testService, Version: "v1", Slots: 8,
		Sequence: t.sequence.Add(1), Started: t.started.UnixMilli(), Draining: draining,
	})
}

// post sends an announcement to the target's node and returns the status of the answer.
func (t *testTarget) post(path string, body []byte) (int, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+t.node.mesh.address(t.node.index, portAnnounce).String()+path, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return 0, err
	}
	_ = resp.Body.Close() // without content
	return resp.StatusCode, nil
}
