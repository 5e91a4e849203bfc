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

	"nutmeghoist.example/nutmeghoist/internal/memnet"
	"nutmeghoist.example/nutmeghoist/pkg/distribution"
	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/source"
)

// node is one engine on the fake transport. It stands in for the process: a
// restart makes a new one.
type node struct {
	id      mesh.HostID
	table   *membership.Table
	gossip  *distribution.Gossip
	cancel  context.CancelFunc
	done    chan struct{}
	active  atomic.Uint64
	epoch   atomic.Uint64
	fell    atomic.Bool // OnHead was called with a revision that is not higher
	mu      sync.Mutex
	faults  map[distribution.Fault]int
	fetches atomic.Int64
	opened  atomic.Int64 // links
}

// Count implements distribution.Counters.
func (n *node) Count(name string, c int64) {
	if name == "distribution_links_opened" {
		n.opened.Add(c)
	}
}

// meshOf is a set of nodes on one fake network.
type meshOf struct {
	t     *testing.T
	net   *memnet.Network
	nodes map[mesh.HostID]*node
	ids   []mesh.HostID
	start uint64 // incarnation of the last node
	first uint64 // incarnation of the first node
	fetch func(context.Context, string) ([]byte, error)
	// onHead runs when a node activates a head.
	onHead func(mesh.HostID)

	mu       sync.Mutex
	down     map[mesh.HostID]bool
	split    func(a, b mesh.HostID) bool
	loss     float64
	maxDelay time.Duration
	rng      *rand.Rand
}

// TestMain fixes the seed of the property tests unless one is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		_ = f.Value.Set("1")
	}
	os.Exit(m.Run())
}

func newMesh(t *testing.T, seed uint64) *meshOf {
	m := &meshOf{
		t: t, net: memnet.New(), nodes: make(map[mesh.HostID]*node), start: 1,
		down: make(map[mesh.HostID]bool), rng: rand.New(rand.NewPCG(seed, 1)), maxDelay: time.Millisecond,
	}
	m.net.SetFate(m.fate)
	return m
}

func (m *meshOf) fate(from, to mesh.HostID) memnet.Fate {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down[from] || m.down[to] || m.split != nil && m.split(from, to) || m.rng.Float64() < m.loss {
		return memnet.Fate{Lost: true}
	}
	return memnet.Fate{Delay: time.Duration(m.rng.Int64N(int64(m.maxDelay))) + 1}
}

func (m *meshOf) set(change func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change()
}

func (m *meshOf) isDown(id mesh.HostID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.down[id]
}

func address(id mesh.HostID) string { return string(id) + ":1" }

// boot starts a node that joins through the first one.
func (m *meshOf) boot(id mesh.HostID, dc mesh.DataCentre, addr string) *node {
	m.start += 1000
	if m.first == 0 {
		m.first = m.start
	}
	self := membership.Host{ID: id, DataCentre: dc, PeerAddress: addr, Incarnation: m.start}
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
				n.fell.Store(true)
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
		Rand:     rand.New(rand.NewPCG(m.start, 2)),
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

// build starts count nodes in dcs data centres and waits until they know each other.
func (m *meshOf) build(count, dcs int) {
	for i := range count {
		id := mesh.HostID(fmt.Sprintf("h%03d", i))
		m.boot(id, mesh.DataCentre(fmt.Sprintf("dc%d", i%dcs)), address(id))
	}
	m.within(20*time.Second, "all hosts know each other", m.allAlive)
}

// kill stops a node as a crash does: its peers are told nothing.
func (m *meshOf) kill(id mesh.HostID) {
	m.set(func() { m.down[id] = true })
	m.nodes[id].cancel()
	<-m.nodes[id].done
}

// restart starts a killed node again with an empty state.
func (m *meshOf) restart(id mesh.HostID) *node {
	dc := m.nodes[id].table.Self().DataCentre
	m.set(func() { m.down[id] = false })
	return m.boot(id, dc, address(id))
}

func (m *meshOf) stop() {
	for _, n := range m.nodes {
		n.cancel()
		<-n.done
	}
	time.Sleep(time.Minute) // delayed messages of the fake network run out
	synctest.Wait()
}

// within waits in virtual time until the condition holds.
func (m *meshOf) within(limit time.Duration, what string, ok func() bool) time.Duration {
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

func (m *meshOf) all(ok func(*node) bool) bool {
	for _, n := range m.nodes {
		if !m.isDown(n.id) && !ok(n) {
			return false
		}
	}
	return true
}

// allAlive reports whether every live node sees exactly the live nodes alive.
func (m *meshOf) allAlive() bool {
	return m.all(func(n *node) bool {
		for _, id := range m.ids {
			h, ok := n.table.Get(id)
			if alive := ok && h.Status == membership.StatusAlive; alive == m.isDown(id) {
				return false
			}
		}
		return true
	})
}

func (m *meshOf) allActive(revision uint64) func() bool {
	return func() bool { return m.all(func(n *node) bool { return n.active.Load() == revision }) }
}

func (m *meshOf) checkNoFall() {
	m.t.Helper()
	for _, n := range m.nodes {
		if n.fell.Load() {
			m.t.Errorf("node %s was given a head that is not newer", n.id)
		}
	}
}

func headOf(revision uint64, text string) (source.Head, []byte) {
	sum := sha256.Sum256([]byte(text))
	return source.Head{Revision: revision, Hash: hex.EncodeToString(sum[:]), Author: "test", AcceptedAt: time.Now()}, []byte(text)
}

func (m *meshOf) announce(id mesh.HostID, revision uint64) {
	m.t.Helper()
	h, text := headOf(revision, fmt.Sprintf("rules of revision %d", revision))
	if err := m.nodes[id].gossip.AnnounceHead(h, text); err != nil {
		m.t.Fatal(err)
	}
}

// Guards against hosts that miss a head, a record or a veto without faults.
func TestSpread(t *testing.T) {
	for _, c := range []struct{ hosts, dcs int }{{2, 1}, {3, 3}, {9, 3}, {40, 4}} {
		t.Run(fmt.Sprintf("%dx%d", c.hosts, c.dcs), func(t *testing.T) {
			if ownProcess(t) {
				return
			}
			synctest.Test(t, func(t *testing.T) {
				m := newMesh(t, 1)
				m.build(c.hosts, c.dcs)
				m.announce("h001", 7)
				m.within(2*time.Second, "head active everywhere", m.allActive(7))
				v := source.Veto{Service: "galley", Version: "g-8", Attempt: 1}
				if err := m.nodes["h000"].gossip.AddVeto(v); err != nil {
					t.Fatal(err)
				}
				m.within(time.Second, "veto everywhere", func() bool {
					return m.all(func(n *node) bool { return len(n.gossip.Vetoes()) == 1 })
				})
				m.nodes["h001"].table.UpdateSelf(func(h *membership.Host) {
					h.Targets = []membership.Target{{ID: "t1", Service: "galley", Version: "g-8"}}
				})
				m.within(time.Second, "target everywhere", func() bool {
					return m.all(func(n *node) bool { h, _ := n.table.Get("h001"); return len(h.Targets) == 1 })
				})
				for _, n := range m.nodes {
					if n.fetches.Load() > 0 {
						t.Errorf("node %s read the object store although neighbours have the object", n.id)
					}
				}
				m.checkNoFall()
				m.stop()
			})
		})
	}
}
