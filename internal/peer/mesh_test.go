package peer_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"nutmeghoist.example/nutmeghoist/internal/peer"
	"nutmeghoist.example/nutmeghoist/pkg/distribution"
	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/source"
)

// quicNode is a gossip node on a QUIC transport.
type quicNode struct {
	transport *peer.Transport
	addr      string
	table     *membership.Table
	gossip    *distribution.Gossip
	active    atomic.Uint64
}

// newQUICMesh starts count nodes in dcs data centres and waits until each lists
// all of them as alive.
func newQUICMesh(t testing.TB, count, dcs int) []*quicNode {
	t.Helper()
	return newQUICMeshAt(t, count, dcs, func(_ int, addr string) string { return addr })
}

// newQUICMeshAt is like newQUICMesh, but each node advertises the address that
// advertise returns, for example that of a relay.
func newQUICMeshAt(t testing.TB, count, dcs int, advertise func(i int, addr string) string) []*quicNode {
	t.Helper()
	a := newAuthority(t)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, count)
	var nodes []*quicNode
	t.Cleanup(func() {
		cancel()
		for range nodes {
			if err := <-done; err != nil {
				t.Error(err)
			}
		}
	})
	for i := range count {
		id := mesh.HostID(fmt.Sprintf("h%02d", i))
		tr, err := peer.New(peer.Config{Keys: a.keys(t, id), Listen: "127.0.0.1:0"})
		if err != nil {
			t.Fatal(err)
		}
		n := &quicNode{transport: tr, addr: advertise(i, tr.Addr())}
		n.table = membership.NewTable(membership.Host{
			ID: id, DataCentre: mesh.DataCentre(fmt.Sprintf("dc%d", i%dcs)), PeerAddress: n.addr, Incarnation: 1,
		}, membership.Options{})
		var seeds []string
		if i > 0 {
			seeds = []string{nodes[0].addr}
		}
		n.gossip, err = distribution.New(distribution.Config{
			Members: n.table, Transport: tr, Seeds: seeds,
			ActiveVersion: func() mesh.ConfigVersion { return mesh.ConfigVersion{Revision: n.active.Load()} },
			OnHead:        func(h source.Head, _ []byte) { n.active.Store(h.Revision) },
		})
		if err != nil {
			t.Fatal(err)
		}
		nodes = append(nodes, n)
		go func() { done <- n.gossip.Run(ctx) }()
	}
	eventually(t, 30*time.Second, "all hosts alive in all tables", nodes, func(n *quicNode) bool {
		alive := 0
		for _, h := range n.table.Hosts() {
			if h.Status == membership.StatusAlive {
				alive++
			}
		}
		return alive == count
	})
	return nodes
}

// eventually polls until the condition holds on all nodes and returns the time
// this took.
func eventually(t testing.TB, limit time.Duration, what string, nodes []*quicNode, ok func(*quicNode) bool) time.Duration {
	t.Helper()
	start := time.Now()
	for _, n := range nodes {
		for !ok(n) {
			if time.Since(start) > limit {
				t.Fatalf("not within %v: %s", limit, what)
			}
			time.Sleep(time.Millisecond)
		}
	}
	return time.Since(start)
}

func announce(t testing.TB, n *quicNode, revision uint64, text []byte) {
	t.Helper()
	sum := sha256.Sum256(text)
	h := source.Head{Revision: revision, Hash: hex.EncodeToString(sum[:]), AcceptedAt: time.Now()}
	if err := n.gossip.AnnounceHead(h, text); err != nil {
		t.Fatal(err)
	}
}

// Guards against a gossip protocol that works only on the in-memory transport.
func TestMeshOverQUIC(t *testing.T) {
	nodes := newQUICMesh(t, 5, 2)
	announce(t, nodes[1], 3, []byte("rules"))
	eventually(t, 5*time.Second, "head active everywhere", nodes, func(n *quicNode) bool { return n.active.Load() == 3 })
	if err := nodes[4].gossip.AddVeto(source.Veto{Service: "galley", Version: "g-8", Attempt: 1}); err != nil {
		t.Fatal(err)
	}
	eventually(t, 5*time.Second, "veto everywhere", nodes, func(n *quicNode) bool { return len(n.gossip.Vetoes()) == 1 })
	f, err := nodes[0].gossip.QueryFloor(contextWithTimeout(t, 2*time.Second))
	if err != nil || f.Version.Revision != 3 || f.Head.Revision != 3 || f.Answered != f.Asked {
		t.Errorf("floor: %+v, %v", f, err)
	}
}
