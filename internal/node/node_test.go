package node

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"nutmeghoist.example/nutmeghoist/internal/settings"
	"nutmeghoist.example/nutmeghoist/internal/standin"
	"nutmeghoist.example/nutmeghoist/internal/telemetry"
	"nutmeghoist.example/nutmeghoist/internal/tlskeys"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/platform"
	"nutmeghoist.example/nutmeghoist/pkg/platform/platformtest"
	"nutmeghoist.example/nutmeghoist/pkg/source"
	adapter "nutmeghoist.example/nutmeghoist/platform"
)

// activationBound is the specified time within which an accepted configuration
// is in force on all nodes.
const activationBound = 9 * time.Second

// testMesh is a mesh whose nodes run in this process.
type testMesh struct {
	t        *testing.T
	store    *platformtest.Store
	platform string
	dir      string
	ca       *tlskeys.CA
	source   *source.Source
	head     source.Head
	seed     string
}

func newTestMesh(t *testing.T) *testMesh {
	t.Helper()
	ca, err := tlskeys.NewCA("test", time.Hour)
	check(t, err)
	m := &testMesh{t: t, store: platformtest.New(), dir: t.TempDir(), ca: ca}
	check(t, ca.Write(filepath.Join(m.dir, "ca.pem"), filepath.Join(m.dir, "ca-key.pem")))
	server := httptest.NewServer(adapter.StoreHandler(m.store))
	t.Cleanup(server.Close)
	m.platform = server.URL
	client := adapter.NewStore(server.URL, metrics.NewRegistry())
	m.source = source.New(client, client.Objects())
	return m
}

func check(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// settings returns the settings of a host, with free ports and a certificate.
func (m *testMesh) settings(host mesh.HostID) *settings.Settings {
	m.t.Helper()
	cert, key := filepath.Join(m.dir, string(host)+".pem"), filepath.Join(m.dir, string(host)+"-key.pem")
	check(m.t, m.ca.IssueHostCertificate(host, []net.IP{processIP.AsSlice()}, time.Hour, cert, key))
	s := &settings.Settings{
		Host: host, DataCentre: "north", Platform: m.platform, CAFile: filepath.Join(m.dir, "ca.pem"), CertFile: cert, KeyFile: key,
		DrainTimeout: 10 * time.Second, LogLevel: "error",
		CallerAddress: freeAddress(m.t), CallAddress: freeAddress(m.t), PeerAddress: freeAddress(m.t),
		AnnounceAddress: freeAddress(m.t), OperatorAddress: freeAddress(m.t),
	}
	s.AdvertiseCall, s.AdvertisePeer = s.CallAddress, s.PeerAddress
	if m.seed == "" {
		m.seed = s.PeerAddress.String()
	}
	s.Seeds = []string{m.seed}
	return s
}

// processIP is a loopback address that only this process uses. It encodes the
// process ID, which has at most 22 bits. Tests of other packages run in parallel
// and use any port of 127.0.0.1, but cannot bind an address of this process
// between the check of a port and the start of a node, or while a node restarts.
var processIP = netip.AddrFrom4([4]byte{127, byte(64 | os.Getpid()>>16&63), byte(os.Getpid() >> 8), byte(os.Getpid())})

// lastPortOffset is the offset from 10000 of the last port that freeAddress
// tried. All ports are below 32768, where the kernel's ephemeral port range
// begins.
var lastPortOffset atomic.Uint32

// freeAddress returns an address that is free for TCP and UDP. It never returns
// an address twice.
func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	for port := 10000 + lastPortOffset.Add(1); port < 32768; port = 10000 + lastPortOffset.Add(1) {
		a := netip.AddrPortFrom(processIP, uint16(port))
		tcp, err := net.Listen("tcp", a.String())
		if err != nil {
			continue
		}
		check(t, tcp.Close())
		udp, err := net.ListenPacket("udp", a.String())
		if err != nil {
			continue
		}
		check(t, udp.Close())
		return a
	}
	t.Fatalf("no free address on %s", processIP)
	return netip.AddrPort{}
}

// Guards against test nodes that cannot listen because their port is free for
// TCP only, was returned twice, or is also used by another process.
func TestFreeAddress(t *testing.T) {
	first := freeAddress(t)
	udp, err := net.ListenPacket("udp", netip.AddrPortFrom(processIP, first.Port()+1).String())
	check(t, err)
	defer udp.Close()
	tcp, err := net.Listen("tcp", netip.AddrPortFrom(processIP, first.Port()+2).String())
	check(t, err)
	defer tcp.Close()
	got := freeAddress(t)
	if want := first.Port() + 3; got.Port() != want {
		t.Errorf("got port %d, want %d: the two before it are in use for UDP and TCP", got.Port(), want)
	}
	if !got.Addr().IsLoopback() || got.Addr() == netip.MustParseAddr("127.0.0.1") {
		t.Errorf("address %s is shared with other processes", got)
	}
}

type runningNode struct {
	*Node
	stop func() error
}

func (m *testMesh) start(s *settings.Settings) *runningNode {
	m.t.Helper()
	n, err := New(s, telemetry.NewLogger(io.Discard, "error", string(s.Host)), metrics.NewRegistry())
	check(m.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	result := make(chan error, 1)
	go func() { result <- n.Run(ctx) }()
	stopped := false
	r := &runningNode{Node: n}
	r.stop = func() error {
		if stopped {
			return nil
		}
		stopped = true
		cancel()
		select {
		case err := <-result:
			return err
		case <-time.After(20 * time.Second):
			return errors.New("node did not stop within 20 s")
		}
	}
	m.t.Cleanup(func() { _ = r.stop() })
	return r
}

func (m *testMesh) acceptConfig(text string) {
	m.t.Helper()
	h, err := m.source.Accept(m.t.Context(), source.Submission{Text: []byte(text), Base: m.head, Author: "test", Token: fmt.Sprint("token-", m.head.Revision)})
	check(m.t, err)
	m.head = h
}

func (m *testMesh) waitFor(limit time.Duration, what string, condition func() bool) {
	m.t.Helper()
	for deadline := time.Now().Add(limit); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			m.t.Fatalf("%s: not true within %s", what, limit)
		}
	}
}

func (m *testMesh) startTarget(n *runningNode) {
	m.t.Helper()
	target := standin.New(standin.Options{
		ID: "t1", Service: "orderdesk", Version: "tray-1", Address: "127.0.0.1:0", Slots: 12, Connections: 130,
		AnnounceURL: "http://" + n.settings.AnnounceAddress.String(),
	})
	check(m.t, target.Listen())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = target.Run(ctx)
	}()
	m.t.Cleanup(func() { cancel(); <-ended })
}

func postOrder(n *runningNode, order string) (int, string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+n.settings.CallerAddress.String()+"/orders", bytes.NewReader([]byte("tray")))
	if err != nil {
		return 0, err.Error()
	}
	req.Header.Set("Order-Number", order)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(body)
}

// Guards against failures in the interaction of the node's components: a call
// through a node without targets must reach the target on the other host, a bad
// revision must not replace the one in force, and a restarted node must obtain
// its floor from a neighbour while the platform is unavailable.
func TestNodes(t *testing.T) {
	m := newTestMesh(t)
	nodeA := m.start(m.settings("host-a"))
	settingsB := m.settings("host-b")
	nodeB := m.start(settingsB)
	m.startTarget(nodeA)
	m.acceptConfig("route POST /orders to orderdesk tray-1 # Oyuna: orders\n")
	nodes := []*runningNode{nodeA, nodeB}
	allActive := func(revision uint64) func() bool {
		return func() bool {
			for _, n := range nodes {
				if n.activeVersion().Revision != revision || !n.Ready() {
					return false
				}
			}
			return true
		}
	}
	m.waitFor(activationBound, "revision 1 in force", allActive(1))
	for i, n := range nodes {
		var status int
		var body string
		m.waitFor(activationBound, "order served", func() bool {
			status, body = postOrder(n, fmt.Sprint("order-", i))
			return status == http.StatusOK
		})
		if !strings.Contains(body, "tray-1") {
			t.Fatalf("order through %s: %d %q", n.settings.Host, status, body)
		}
	}

	m.acceptConfig("route POST /orders to\n")
	m.waitFor(activationBound, "bad revision counted", func() bool {
		return nodeA.metricsCounter("config.rejected").Count() == 1 && nodeB.metricsCounter("config.rejected").Count() == 1
	})
	if !allActive(1)() {
		t.Fatal("a bad revision replaced the one in force")
	}

	check(t, nodeB.stop())
	nodeB = m.start(settingsB)
	nodes[1] = nodeB
	m.waitFor(activationBound, "node restarted with a bad head serves the revision before it", allActive(1))

	m.acceptConfig("route POST /orders to orderdesk tray-1 class urgent # Oyuna: orders first\n")
	m.waitFor(activationBound, "revision 3 in force", allActive(3))
	check(t, nodeB.stop())
	m.store.SetFaults(platformtest.Faults{Down: true})
	nodeB = m.start(settingsB)
	nodes[1] = nodeB
	m.waitFor(activationBound, "restarted node serves revision 3 from its neighbour", allActive(3))
	if nodeB.metricsCounter("floor.from_neighbours").Count() == 0 {
		t.Error("the floor did not come from a neighbour")
	}
	m.waitFor(activationBound, "order served through the restarted node", func() bool {
		status, _ := postOrder(nodeB, "order-restarted")
		return status == http.StatusOK
	})
	check(t, nodeB.stop())
	check(t, nodeA.stop())
}

// Guards against a restarted node that serves the revision read from a stale
// replica of the platform although its neighbours have a newer one.
func TestFloorAgainstOutdatedPlatform(t *testing.T) {
	m := newTestMesh(t)
	nodeA := m.start(m.settings("host-a"))
	settingsB := m.settings("host-b")
	nodeB := m.start(settingsB)
	m.acceptConfig("route GET /menus to orderdesk tray-1 # Oyuna: menus\n")
	m.waitFor(activationBound, "revision 1 in force", func() bool { return nodeA.activeVersion().Revision == 1 && nodeB.activeVersion().Revision == 1 })
	check(t, nodeB.stop())
	m.acceptConfig("route GET /menus to orderdesk tray-2 # Oyuna: menus\n")
	m.waitFor(activationBound, "revision 2 in force", func() bool { return nodeA.activeVersion().Revision == 2 })
	m.store.SetFaults(platformtest.Faults{})
	m.rollBackHead(1)
	nodeB = m.start(settingsB)
	m.waitFor(activationBound, "restarted node ready", nodeB.Ready)
	if got := nodeB.activeVersion().Revision; got != 2 {
		t.Errorf("restarted node serves revision %d, its neighbour has 2", got)
	}
}

// rollBackHead makes the table return an older head, as a stale replica does.
func (m *testMesh) rollBackHead(revision uint64) {
	m.t.Helper()
	ctx := m.t.Context()
	old, err := m.store.Get(ctx, fmt.Sprintf("config/revision/%d", revision))
	check(m.t, err)
	check(m.t, m.store.Commit(ctx, platform.Txn{Writes: []platform.Write{{Key: "config/head", Value: old.Value}}}))
}

// Guards against an accepted revision that a restored platform has lost, so that the next
// one gets its number and never comes into force, and against a veto that is lost.
func TestAcceptedRevisionsOutliveARestoreOfThePlatform(t *testing.T) {
	m := newTestMesh(t)
	n := m.start(m.settings("host-a"))
	for name, copyAfter := range map[string]int{"before the first revision": 0, "after the first revision": 1} {
		var copied *platformtest.Copy
		accepted := m.head.Revision
		for i := range 3 {
			if i == copyAfter {
				copied = m.store.Copy()
			}
			m.acceptConfig(fmt.Sprintf("route GET /menus to orderdesk tray-%d # Oyuna: menus\n", i+1))
		}
		m.waitFor(activationBound, "revisions in force", func() bool { return n.activeVersion().Revision == accepted+3 })
		n.publishVeto(source.Veto{Service: "orderdesk", Version: "tray-9", Attempt: int(accepted) + 1, Route: "GET /menus", Evidence: "errors", Host: "host-a", At: time.Now()})
		vetoes := func() int { list, _ := m.source.Vetoes(t.Context()); return len(list) }
		stored := int(accepted)/4 + 1
		m.waitFor(activationBound, "veto stored", func() bool { return vetoes() == stored })
		m.store.Restore(copied)
		m.waitFor(activationBound, name+": head written again", func() bool {
			head, err := m.source.Head(t.Context())
			return err == nil && head.Hash == m.head.Hash && head.Revision == m.head.Revision
		})
		m.waitFor(activationBound, name+": vetoes stored again", func() bool { return vetoes() == stored })
		m.acceptConfig("route GET /menus to orderdesk tray-9 # Oyuna: menus\n")
		m.waitFor(activationBound, name+": the next revision in force", func() bool { return n.activeVersion().Revision == accepted+4 })
	}
}

// Guards against activating a configuration before the floor is established, or
// one below the floor.
func TestNothingBelowTheFloorComesIntoForce(t *testing.T) {
	m := newTestMesh(t)
	n, err := New(m.settings("host-a"), telemetry.NewLogger(io.Discard, "error", "host-a"), metrics.NewRegistry())
	check(t, err)
	text := []byte("route GET /menus to orderdesk tray-1 # Oyuna: menus\n")
	n.handleHead(source.Head{Revision: 4, Hash: platform.Hash(text)}, text)
	if n.active.Load() != nil {
		t.Fatal("a configuration came into force before the floor was established")
	}
	n.active.SetFloor(mesh.ConfigVersion{Revision: 5})
	n.startServing()
	if n.active.Load() != nil {
		t.Fatal("revision 4 came into force although the floor is 5")
	}
	n.handleHead(source.Head{Revision: 5, Hash: platform.Hash(text)}, text)
	if got := n.activeVersion().Revision; got != 5 {
		t.Fatalf("revision %d is in force, want 5", got)
	}
}
