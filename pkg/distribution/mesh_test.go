package distribution_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"nutmeghoist.example/nutmeghoist/internal/racetest"

	"nutmeghoist.example/nutmeghoist/internal/memnet"
	"nutmeghoist.example/nutmeghoist/pkg/distribution"
	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/source"
)

// node is one engine on the fake transport. It represents one process, so a
// restart creates a new node.
type node struct {
	id            mesh.HostID
	table         *membership.Table
	gossip        *distribution.Gossip
	cancel        context.CancelFunc
	done          chan struct{}
	active        atomic.Uint64 // revision of the newest head that OnHead received
	epoch         atomic.Uint64
	headRegressed atomic.Bool // OnHead was called with a revision that is not higher
	mu            sync.Mutex
	faults        map[distribution.Fault]int
	fetches       atomic.Int64
	linksOpened   atomic.Int64
}

// Count implements distribution.Counters.
func (n *node) Count(name string, c int64) {
	if name == "distribution_links_opened" {
		n.linksOpened.Add(c)
	}
}

// testMesh is a set of nodes on one fake network. Its fields below mu control
// the faults of the network.
type testMesh struct {
	t                *testing.T
	net              *memnet.Network
	nodes            map[mesh.HostID]*node
	ids              []mesh.HostID
	lastIncarnation  uint64 // of the node started last
	firstIncarnation uint64 // of the node started first
	fetch            func(context.Context, string) ([]byte, error)
	// onHead runs when a node activates a head.
	onHead func(mesh.HostID)

	mu          sync.Mutex
	down        map[mesh.HostID]bool
	partitioned func(a, b mesh.HostID) bool
	lossRate    float64
	maxDelay    time.Duration
	slow        map[mesh.HostID]time.Duration // further delay of each message of a node
	rng         *rand.Rand
}

// TestMain fixes the seed of the property tests unless one is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		_ = f.Value.Set("1")
	}
	os.Exit(m.Run())
}

func newMesh(t *testing.T, seed uint64) *testMesh {
	m := &testMesh{
		t: t, net: memnet.New(), nodes: make(map[mesh.HostID]*node), lastIncarnation: 1,
		down: make(map[mesh.HostID]bool), rng: rand.New(rand.NewPCG(seed, 1)), maxDelay: time.Millisecond,
	}
	m.net.SetImpairment(m.impairment)
	return m
}

func (m *testMesh) impairment(from, to mesh.HostID) memnet.Impairment {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down[from] || m.down[to] || m.partitioned != nil && m.partitioned(from, to) || m.rng.Float64() < m.lossRate {
		return memnet.Impairment{Lost: true}
	}
	return memnet.Impairment{Delay: time.Duration(m.rng.Int64N(int64(m.maxDelay))) + 1 + m.slow[from] + m.slow[to]}
}

func (m *testMesh) update(change func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change()
}

func (m *testMesh) isDown(id mesh.HostID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.down[id]
}

func address(id mesh.HostID) string { return string(id) + ":1" }

// startNode starts a node whose seeds are two of the nodes started before it.
func (m *testMesh) startNode(id mesh.HostID, dc mesh.DataCentre, addr string) *node {
	m.lastIncarnation += 1000
	if m.firstIncarnation == 0 {
		m.firstIncarnation = m.lastIncarnation
	}
	self := membership.Host{ID: id, DataCentre: dc, PeerAddress: addr, Incarnation: m.lastIncarnation}
	n := &node{
		id: id, done: make(chan struct{}), faults: make(map[distribution.Fault]int),
		table: membership.NewTable(self, membership.Options{}),
	}
	var seeds []string
	if len(m.ids) > 0 {
		seeds = []string{address(m.ids[0]), address(m.ids[len(m.ids)/2])}
	}
	g, err := distribution.New(distribution.Config{
		Members: n.table, Transport: m.net.Transport(id, addr), Seeds: seeds,
		ActiveVersion: func() mesh.ConfigVersion { return mesh.ConfigVersion{Revision: n.active.Load(), Epoch: n.epoch.Load()} },
		OnHead: func(h source.Head, _ []byte) {
			if h.Revision <= n.active.Swap(h.Revision) {
				n.headRegressed.Store(true)
			}
			if m.onHead != nil {
				m.onHead(id)
			}
		},
		Fetch: func(ctx context.Context, hash string) ([]byte, error) {
			n.fetches.Add(1)
			if m.fetch == nil {
				return nil, fmt.Errorf("object store is down")
			}
			return m.fetch(ctx, hash)
		},
		OnFault: func(f distribution.Fault, _ mesh.HostID, _ error) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.faults[f]++
		},
		Counters: n,
		Rand:     rand.New(rand.NewPCG(m.lastIncarnation, 2)),
	})
	if err != nil {
		m.t.Fatal(err)
	}
	n.gossip = g
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go func() {
		defer close(n.done)
		if err := g.Run(ctx); err != nil {
			m.t.Errorf("node %s: %v", id, err)
		}
	}()
	if m.nodes[id] == nil {
		m.ids = append(m.ids, id)
	}
	m.nodes[id] = n
	return n
}

// startNodes starts count nodes in dcs data centres and waits until each of them
// sees all others alive.
func (m *testMesh) startNodes(count, dcs int) {
	for i := range count {
		id := mesh.HostID(fmt.Sprintf("h%03d", i))
		m.startNode(id, mesh.DataCentre(fmt.Sprintf("dc%d", i%dcs)), address(id))
	}
	m.waitFor(20*time.Second, "all hosts see each other alive", m.allSeenAlive)
}

// crash stops a node without any message to its peers.
func (m *testMesh) crash(id mesh.HostID) {
	m.update(func() { m.down[id] = true })
	m.nodes[id].cancel()
	<-m.nodes[id].done
}

// restart starts a crashed node again with an empty state.
func (m *testMesh) restart(id mesh.HostID) *node {
	dc := m.nodes[id].table.Self().DataCentre
	m.update(func() { m.down[id] = false })
	return m.startNode(id, dc, address(id))
}

func (m *testMesh) stop() {
	for _, n := range m.nodes {
		n.cancel()
		<-n.done
	}
	time.Sleep(time.Minute) // until the fake network has delivered its delayed messages
	synctest.Wait()
}

// waitFor waits in virtual time until the condition holds, and fails the test
// after the limit. It returns the time waited.
func (m *testMesh) waitFor(limit time.Duration, what string, ok func() bool) time.Duration {
	m.t.Helper()
	start := time.Now()
	for !ok() {
		if time.Since(start) > limit {
			m.t.Fatalf("not within %v: %s", limit, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(start)
}

// allUp reports whether the condition holds on all nodes that are not down.
func (m *testMesh) allUp(ok func(*node) bool) bool {
	for _, n := range m.nodes {
		if !m.isDown(n.id) && !ok(n) {
			return false
		}
	}
	return true
}

// allSeenAlive reports whether each live node sees exactly the live nodes as
// alive.
func (m *testMesh) allSeenAlive() bool {
	return m.allUp(func(n *node) bool {
		for _, id := range m.ids {
			h, ok := n.table.Get(id)
			if alive := ok && h.Status == membership.StatusAlive; alive == m.isDown(id) {
				return false
			}
		}
		return true
	})
}

func (m *testMesh) allActive(revision uint64) func() bool {
	return func() bool { return m.allUp(func(n *node) bool { return n.active.Load() == revision }) }
}

func (m *testMesh) checkNoHeadRegression() {
	m.t.Helper()
	for _, n := range m.nodes {
		if n.headRegressed.Load() {
			m.t.Errorf("node %s was given a head that is not newer", n.id)
		}
	}
}

func headOf(revision uint64, text string) (source.Head, []byte) {
	sum := sha256.Sum256([]byte(text))
	return source.Head{Revision: revision, Hash: hex.EncodeToString(sum[:]), Author: "test", AcceptedAt: time.Now()}, []byte(text)
}

func (m *testMesh) announce(id mesh.HostID, revision uint64) {
	m.t.Helper()
	h, text := headOf(revision, fmt.Sprintf("rules of revision %d", revision))
	if err := m.nodes[id].gossip.AnnounceHead(h, text); err != nil {
		m.t.Fatal(err)
	}
}

// Guards against hosts that miss a head, a record or a veto in the absence of
// faults.
func TestPropagation(t *testing.T) {
	for _, c := range []struct{ hosts, dcs int }{{2, 1}, {3, 3}, {9, 3}, {40, 4}} {
		t.Run(fmt.Sprintf("%dx%d", c.hosts, c.dcs), func(t *testing.T) {
			if racetest.RunInChild(t) {
				return
			}
			synctest.Test(t, func(t *testing.T) {
				m := newMesh(t, 1)
				m.startNodes(c.hosts, c.dcs)
				m.announce("h001", 7)
				m.waitFor(2*time.Second, "head active everywhere", m.allActive(7))
				v := source.Veto{Service: "galley", Version: "g-8", Attempt: 1}
				if err := m.nodes["h000"].gossip.AddVeto(v); err != nil {
					t.Fatal(err)
				}
				m.waitFor(time.Second, "veto everywhere", func() bool {
					return m.allUp(func(n *node) bool { return len(n.gossip.Vetoes()) == 1 })
				})
				m.nodes["h001"].table.UpdateSelf(func(h *membership.Host) {
					h.Targets = []membership.Target{{ID: "t1", Service: "galley", Version: "g-8"}}
				})
				m.waitFor(time.Second, "target everywhere", func() bool {
					return m.allUp(func(n *node) bool { h, _ := n.table.Get("h001"); return len(h.Targets) == 1 })
				})
				for _, n := range m.nodes {
					if n.fetches.Load() > 0 {
						t.Errorf("node %s read the object store although neighbours have the object", n.id)
					}
				}
				m.checkNoHeadRegression()
				m.stop()
			})
		})
	}
}
