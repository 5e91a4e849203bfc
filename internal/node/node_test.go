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

// reach is the stated bound for a configuration to be in force everywhere.
const reach = 9 * time.Second

// meshOfNodes is a mesh of nodes in this process.
type meshOfNodes struct {
	t        *testing.T
	store    *platformtest.Store
	platform string
	dir      string
	ca       *tlskeys.CA
	source   *source.Source
	head     source.Head
	seed     string
}

func newMesh(t *testing.T) *meshOfNodes {
	t.Helper()
	ca, err := tlskeys.NewCA("test", time.Hour)
	check(t, err)
	m := &meshOfNodes{t: t, store: platformtest.New(), dir: t.TempDir(), ca: ca}
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

// settings returns the settings of a host with free ports.
func (m *meshOfNodes) settings(host mesh.HostID) *settings.Settings {
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

// processIP is a loopback address that only this process uses: the process ID
// has at most 22 bits. The parallel tests of other packages, which take any
// port of 127.0.0.1, cannot take an address of this process between the check
// and the start of a node, nor while a node restarts.
var processIP = netip.AddrFrom4([4]byte{127, byte(64 | os.Getpid()>>16&63), byte(os.Getpid() >> 8), byte(os.Getpid())})

// lastPort is the last port that freeAddress gave out. All ports given out are
// below 32768, where the kernel's range for outgoing connections begins.
var lastPort atomic.Uint32

// freeAddress returns an address that is free for TCP and UDP. No address is
// returned twice.
func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	for port := 10000 + lastPort.Add(1); port < 32768; port = 10000 + lastPort.Add(1) {
		a := netip.AddrPortFrom(processIP, uint16(port))
		stream, err := net.Listen("tcp", a.String())
		if err != nil {
			continue
		}
		check(t, stream.Close())
		packets, err := net.ListenPacket("udp", a.String())
		if err != nil {
			continue
		}
		check(t, packets.Close())
		return a
	}
	t.Fatalf("no free address on %s", processIP)
	return netip.AddrPort{}
}

// Guards against nodes of a test that cannot listen because a port is free for
// TCP only, is given out twice, or is also given out by another process.
func TestFreeAddress(t *testing.T) {
	first := freeAddress(t)
	packets, err := net.ListenPacket("udp", netip.AddrPortFrom(processIP, first.Port()+1).String())
	check(t, err)
	defer packets.Close()
	stream, err := net.Listen("tcp", netip.AddrPortFrom(processIP, first.Port()+2).String())
	check(t, err)
	defer stream.Close()
	got := freeAddress(t)
	if want := first.Port() + 3; got.Port() != want {
		t.Errorf("got port %d, want %d: the two before it are taken for UDP and TCP", got.Port(), want)
	}
	if !got.Addr().IsLoopback() || got.Addr() == netip.MustParseAddr("127.0.0.1") {
		t.Errorf("address %s is shared with other processes", got)
	}
}

type running struct {
	*Node
	stop func() error
}

func (m *meshOfNodes) start(s *settings.Settings) *running {
	m.t.Helper()
	n, err := New(s, telemetry.NewLogger(io.Discard, "error", string(s.Host)), metrics.NewRegistry())
	check(m.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- n.Run(ctx) }()
	stopped := false
	r := &running{Node: n}
	r.stop = func() error {
		if stopped {
			return nil
		}
		stopped = true
		cancel()
		select {
		case err := <-ended:
			return err
		case <-time.After(20 * time.Second):
			return errors.New("node has not stopped within 20 s")
		}
	}
	m.t.Cleanup(func() { _ = r.stop() })
	return r
}

func (m *meshOfNodes) accept(text string) {
	m.t.Helper()
	h, err := m.source.Accept(m.t.Context(), source.Submission{Text: []byte(text), Base: m.head, Author: "test", Token: fmt.Sprint("token-", m.head.Revision)})
	check(m.t, err)
	m.head = h
}

func (m *meshOfNodes) within(limit time.Duration, what string, holds func() bool) {
	m.t.Helper()
	for deadline := time.Now().Add(limit); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			m.t.Fatalf("%s: not within %s", what, limit)
		}
	}
}

func (m *meshOfNodes) target(n *running) {
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

func post(n *running, order string) (int, string) {
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

// Guards against parts that work alone and not together: a call through a node
// without targets must reach the target on the other host, a bad revision must
// change nothing, and a restarted node must learn its floor from a neighbour
// while the platform is out.
func TestNodes(t *testing.T) {
	m := newMesh(t)
	a := m.start(m.settings("host-a"))
	settingsB := m.settings("host-b")
	b := m.start(settingsB)
	m.target(a)
	m.accept("route POST /orders to orderdesk tray-1 # Oyuna: orders\n")
	nodes := []*running{a, b}
	inForce := func(revision uint64) func() bool {
		return func() bool {
			for _, n := range nodes {
				if n.inForce().Revision != revision || !n.Ready() {
					return false
				}
			}
			return true
		}
	}
	m.within(reach, "revision 1 in force", inForce(1))
	for i, n := range nodes {
		var status int
		var body string
		m.within(reach, "order is served", func() bool {
			status, body = post(n, fmt.Sprint("order-", i))
			return status == http.StatusOK
		})
		if !strings.Contains(body, "tray-1") {
			t.Fatalf("order through %s: %d %q", n.settings.Host, status, body)
		}
	}

	m.accept("route POST /orders to\n")
	m.within(reach, "bad revision is counted", func() bool {
		return a.metricsCounter("config.rejected").Count() == 1 && b.metricsCounter("config.rejected").Count() == 1
	})
	if !inForce(1)() {
		t.Fatal("a bad revision replaced the one in force")
	}

	check(t, b.stop())
	b = m.start(settingsB)
	nodes[1] = b
	m.within(reach, "a node that restarts on a bad head serves the revision before it", inForce(1))

	m.accept("route POST /orders to orderdesk tray-1 class urgent # Oyuna: orders first\n")
	m.within(reach, "revision 3 in force", inForce(3))
	check(t, b.stop())
	m.store.SetFaults(platformtest.Faults{Down: true})
	b = m.start(settingsB)
	nodes[1] = b
	m.within(reach, "restarted node has revision 3 from its neighbour", inForce(3))
	if b.metricsCounter("floor.from_neighbours").Count() == 0 {
		t.Error("the floor did not come from a neighbour")
	}
	m.within(reach, "order through the restarted node", func() bool {
		status, _ := post(b, "order-restarted")
		return status == http.StatusOK
	})
	check(t, b.stop())
	check(t, a.stop())
}

// Guards against a restarted node that serves what an outdated replica of the
// platform gives it, although its neighbours have seen a newer revision.
func TestFloorAgainstOutdatedPlatform(t *testing.T) {
	m := newMesh(t)
	a := m.start(m.settings("host-a"))
	settingsB := m.settings("host-b")
	b := m.start(settingsB)
	m.accept("route GET /menus to orderdesk tray-1 # Oyuna: menus\n")
	m.within(reach, "revision 1 in force", func() bool { return a.inForce().Revision == 1 && b.inForce().Revision == 1 })
	check(t, b.stop())
	m.accept("route GET /menus to orderdesk tray-2 # Oyuna: menus\n")
	m.within(reach, "revision 2 in force", func() bool { return a.inForce().Revision == 2 })
	m.store.SetFaults(platformtest.Faults{})
	m.rewindHead(1)
	b = m.start(settingsB)
	m.within(reach, "restarted node is ready", b.Ready)
	if got := b.inForce().Revision; got != 2 {
		t.Errorf("restarted node serves revision %d, its neighbour has 2", got)
	}
}

// rewindHead makes the table answer with an older head, as an outdated replica does.
func (m *meshOfNodes) rewindHead(revision uint64) {
	m.t.Helper()
	ctx := m.t.Context()
	old, err := m.store.Get(ctx, fmt.Sprintf("config/revision/%d", revision))
	check(m.t, err)
	check(m.t, m.store.Commit(ctx, platform.Txn{Writes: []platform.Write{{Key: "config/head", Value: old.Value}}}))
}

// Guards against a configuration that comes into force before the floor is
// known, and against one below the floor.
func TestNothingBelowTheFloorComesIntoForce(t *testing.T) {
	m := newMesh(t)
	n, err := New(m.settings("host-a"), telemetry.NewLogger(io.Discard, "error", "host-a"), metrics.NewRegistry())
	check(t, err)
	text := []byte("route GET /menus to orderdesk tray-1 # Oyuna: menus\n")
	n.takeHead(source.Head{Revision: 4, Hash: platform.Hash(text)}, text)
	if n.holder.Load() != nil {
		t.Fatal("a configuration came into force before the floor was known")
	}
	n.holder.SetFloor(mesh.ConfigVersion{Revision: 5})
	n.startServing()
	if n.holder.Load() != nil {
		t.Fatal("revision 4 came into force, the floor is 5")
	}
	n.takeHead(source.Head{Revision: 5, Hash: platform.Hash(text)}, text)
	if got := n.inForce().Revision; got != 5 {
		t.Fatalf("revision %d is in force, want 5", got)
	}
}
