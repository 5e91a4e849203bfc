package distribution_test

import (
	"context"
	"errors"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/distribution"
	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// The cases of TestFaults that concern heads and their texts.

func restartWithLowerIncarnation(m *testMesh) {
	m.startNodes(6, 2)
	m.announce("h003", 9)
	m.waitFor(activeBound, "head", m.allActive(9))
	m.nodes["h003"].epoch.Store(2) // sent only in the heartbeats of this host
	time.Sleep(2 * distribution.HeartbeatPeriod)
	old := m.nodes["h003"].table.Self()
	m.crash("h003")
	m.lastIncarnation = 0 // incarnation from a clock that runs behind
	n := m.restart("h003")
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	f, err := n.gossip.QueryFloor(ctx)
	if err != nil || f.Version != (mesh.ConfigVersion{Revision: 9, Epoch: 2}) || f.Head.Revision != 9 {
		m.t.Errorf("floor %+v, %v", f, err)
	}
	m.waitFor(activeBound, "head after restart", m.allActive(9))
	m.waitFor(failBound, "alive after restart", func() bool {
		return m.allUp(func(n *node) bool {
			h, _ := n.table.Get("h003")
			return h.Status == membership.StatusAlive && h.Incarnation > old.Incarnation
		})
	})
}

func corruptObject(m *testMesh) {
	m.startNodes(6, 1)
	m.net.SetTamper(func(from mesh.HostID, b []byte) []byte {
		if from == "h000" && len(b) > 0 {
			b[len(b)/2] ^= 0xff
		}
		return b
	})
	m.announce("h000", 1)
	time.Sleep(time.Second)
	for _, n := range m.nodes {
		if n.id != "h000" && n.active.Load() != 0 {
			m.t.Errorf("%s activated a corrupt object", n.id)
		}
	}
	m.announce("h003", 1) // as if it had polled the platform
	m.waitFor(activeBound, "head from a neighbour with the correct object", m.allActive(1))
	bad := 0
	for _, n := range m.nodes {
		bad += n.count(distribution.FaultBadObject)
	}
	if bad == 0 {
		m.t.Error("the corrupt object was not counted")
	}
}

func conflictingHead(m *testMesh) {
	m.startNodes(4, 1)
	m.announce("h000", 5)
	m.waitFor(activeBound, "head", m.allActive(5))
	h, text := headOf(5, "another text")
	if err := m.nodes["h001"].gossip.AnnounceHead(h, text); !errors.Is(err, distribution.ErrHeadConflict) {
		m.t.Errorf("conflicting head: %v", err)
	}
	h.Hash = headHash("yet another")
	if err := m.nodes["h001"].gossip.AnnounceHead(h, text); !errors.Is(err, distribution.ErrBadObject) {
		m.t.Errorf("head with a wrong hash: %v", err)
	}
	// While partitioned, a host accepts another text of the same revision.
	m.update(func() { m.partitioned = func(a, b mesh.HostID) bool { return (a == "h003") != (b == "h003") } })
	time.Sleep(time.Minute)
	m.announce("h000", 6)
	h, text = headOf(6, "another text")
	if err := m.nodes["h003"].gossip.AnnounceHead(h, text); err != nil {
		m.t.Fatal(err)
	}
	m.update(func() { m.partitioned = nil })
	m.waitFor(time.Minute, "the conflict is reported", func() bool {
		return m.nodes["h003"].count(distribution.FaultHeadConflict) > 0
	})
	if got, _, _ := m.nodes["h003"].gossip.Head(); got.Hash != h.Hash {
		m.t.Error("the head was replaced by another of the same revision")
	}
	m.announce("h001", 7)
	m.waitFor(activeBound, "the next revision ends the conflict", m.allActive(7))
}

func headHash(text string) string { h, _ := headOf(1, text); return h.Hash }

func fetchFromObjectStore(m *testMesh) {
	m.startNodes(4, 1)
	h, text := headOf(2, "rules")
	m.net.SetTamper(func(mesh.HostID, []byte) []byte { return nil }) // neighbours send nothing
	m.fetch = func(_ context.Context, hash string) ([]byte, error) {
		if hash != h.Hash {
			return nil, errors.New("no such object")
		}
		return text, nil
	}
	if err := m.nodes["h000"].gossip.AnnounceHead(h, text); err != nil {
		m.t.Fatal(err)
	}
	m.waitFor(activeBound, "head from the object store", m.allActive(2))
}

func stuckNeighbour(m *testMesh) {
	m.startNodes(6, 1)
	m.update(func() { m.down["h005"] = true })
	m.announce("h000", 1)
	m.waitFor(2*time.Second, "the others activate", func() bool {
		return m.allUp(func(n *node) bool { return n.active.Load() == 1 })
	})
}

func staleHead(m *testMesh) {
	m.startNodes(6, 2)
	m.announce("h000", 8)
	m.waitFor(activeBound, "head", m.allActive(8))
	m.announce("h003", 4)
	if h, _, _ := m.nodes["h003"].gossip.Head(); h.Revision != 8 {
		m.t.Errorf("the head regressed to revision %d", h.Revision)
	}
	time.Sleep(time.Minute)
	if !m.allActive(8)() {
		m.t.Error("an older head changed the active version")
	}
}

func crashAfterActivation(m *testMesh) {
	m.startNodes(8, 2)
	m.update(func() { m.maxDelay = 20 * time.Millisecond })
	h, text := headOf(4, "rules")
	m.fetch = func(context.Context, string) ([]byte, error) { return text, nil }
	m.onHead = func(id mesh.HostID) { m.update(func() { m.down["h000"] = m.down["h000"] || id == "h000" }) }
	if err := m.nodes["h000"].gossip.AnnounceHead(h, text); err != nil {
		m.t.Fatal(err)
	}
	m.waitFor(activeBound, "the survivors activate the head", m.allActive(4))
	if !m.isDown("h000") {
		m.t.Error("the host did not activate its own head")
	}
}
