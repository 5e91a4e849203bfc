package control

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/platform"
	"nutmeghoist.example/nutmeghoist/pkg/platform/platformtest"
	"nutmeghoist.example/nutmeghoist/pkg/rollout"
)

// restore takes the store away for a moment and brings it back from a copy. The
// operators write again what they had written.
func (m *testMesh) restore(c *platformtest.Copy, again ...[2]string) {
	m.t.Helper()
	m.store.SetFaults(platformtest.Faults{Down: true})
	time.Sleep(time.Second)
	m.store.Restore(c)
	m.store.SetFaults(platformtest.Faults{})
	for _, row := range again {
		m.put(row[0], row[1])
	}
}

// targetsOf returns a target of each version on a host, the first version the oldest.
func targetsOf(id mesh.HostID, versions ...mesh.TargetVersion) []membership.Target {
	var out []membership.Target
	for i, v := range versions {
		out = append(out, membership.Target{
			ID: mesh.TargetID(string(id) + string(v)), Service: "orderdesk", Version: v, State: membership.TargetReady, Slots: 9,
			ReadySince: time.Now().Add(time.Duration(i-len(versions)) * time.Minute),
		})
	}
	return out
}

// fillVersions writes rows, so that the counter of the store rises.
func (m *testMesh) fillVersions(n int) {
	for i := range n {
		m.put("other/row", fmt.Sprint(i))
	}
}

// Guards against a configuration that is passed over after a restore, since its row has a
// version that was given out before, and against an older one that the copy brings back,
// also on a host that starts meanwhile.
func TestConfigurationsAfterARestore(t *testing.T) {
	const bound = 2 * time.Second
	for name, cut := range map[string]int{"some hosts are cut from the store": 4, "all are": 9} {
		meshTest(t, func(t *testing.T) {
			m := startMesh(t)
			defer m.stopAll()
			time.Sleep(5 * time.Second)
			copied := m.store.Copy()
			m.fillVersions(30)
			m.put("op/config", "5")
			time.Sleep(bound)
			m.wantVersion(5)
			for _, id := range m.order[:cut] {
				m.nodes[id].store.setUnavailable(true)
			}
			time.Sleep(feedWait + time.Second) // ends the calls in progress
			if cut < 9 {
				m.stopNode("h8")
			}
			m.restore(copied)
			if cut < 9 {
				m.start("h8", "west")
			}
			time.Sleep(bound)
			m.wantVersion(5)
			m.put("op/config", "5")
			m.put("op/config", "6")
			m.fillVersions(60)
			for _, id := range m.order[:cut] {
				m.nodes[id].store.setUnavailable(false)
			}
			time.Sleep(bound)
			if late := m.hostsWithout(6); len(late) > 0 {
				t.Errorf("%s: %v do not serve version 6", name, late)
			}
		})
	}
}

// Guards against rollout orders of two histories that are mixed up: a new order that is
// passed over, and one that is written again and starts a second rollout, which would
// send calls to a version that was taken back.
func TestOrdersAfterARestore(t *testing.T) {
	orders := func(m *testMesh) map[mesh.HostID]rollout.Progress {
		out := make(map[mesh.HostID]rollout.Progress)
		for _, id := range m.order {
			if s := m.nodes[id].Snapshot(); m.nodes[id].stop != nil && s.Services["orderdesk"].Rollout != nil {
				out[id] = *s.Services["orderdesk"].Rollout
			}
		}
		return out
	}
	meshTest(t, func(t *testing.T) {
		m := startMesh(t)
		defer m.stopAll()
		for _, id := range m.order {
			m.nodes[id].SetTargets(targetsOf(id, "v1"))
		}
		time.Sleep(5 * time.Second)
		copied := m.store.Copy()
		m.fillVersions(20)
		for _, id := range m.order {
			m.nodes[id].SetTargets(targetsOf(id, "v1", "v2"))
		}
		m.put("op/rollout/orderdesk", "v2 16")
		m.sendCalls(8*time.Second, true)
		if got := m.status(); got != "v2 rolled_back" {
			t.Fatalf("the status is %q", got)
		}
		m.stopNode("h4")
		m.restore(copied, [2]string{"op/rollout/orderdesk", "v2 16"})
		m.start("h4", "south").SetTargets(targetsOf("h4", "v1", "v2"))
		if n := m.sendCalls(8*time.Second, true); n > 0 {
			t.Errorf("the version that was taken back got %d calls after the restore", n)
		}
		if got := m.status(); got != "v2 rolled_back" {
			t.Errorf("the status after the restore is %q", got)
		}
		for id, p := range orders(m) {
			if p.State != rollout.RolledBack {
				t.Errorf("%s: %+v", id, p)
			}
		}
		for _, id := range m.order {
			m.nodes[id].SetTargets(targetsOf(id, "v1", "v3"))
		}
		m.put("op/rollout/orderdesk", "v3 16")
		if row, err := m.store.Get(t.Context(), "op/rollout/orderdesk"); err != nil || platform.CounterOf(row.Version) > 20 {
			t.Fatalf("the new order does not have a lower counter than the lost one: %+v, %v", row, err)
		}
		m.sendCalls(17*time.Second, false)
		if got := m.status(); got != "v3 completed" {
			t.Errorf("the status of the new order is %q", got)
		}
	})
}

// Guards against what the system itself has written and the store has lost: the rows by
// which hosts find each other, the claim of a rollout, and a final state that was
// acknowledged.
func TestOwnRowsAreWrittenAgainAfterARestore(t *testing.T) {
	meshTest(t, func(t *testing.T) {
		m := newMesh(t)
		defer m.stopAll()
		m.put("op/config", "1")
		empty := m.store.Copy()
		m.startAll()
		for _, id := range m.order {
			m.nodes[id].SetTargets(targetsOf(id, "v1", "v2"))
		}
		time.Sleep(6 * time.Second)
		m.put("op/rollout/orderdesk", "v2 12")
		m.sendCalls(4*time.Second, false)
		running := *m.progress()
		m.restore(empty, [2]string{"op/rollout/orderdesk", "v2 12"})
		m.sendCalls(3*time.Second, false)
		if got := m.status(); got != "v2 running" || m.progress().Revision != running.Revision || m.progress().Permille < running.Permille {
			t.Errorf("after a restore during the rollout the status is %q, the progress %+v; before it %+v", got, m.progress(), running)
		}
		m.sendCalls(8*time.Second, false)
		if got := m.status(); got != "v2 completed" {
			t.Fatalf("the status is %q", got)
		}
		m.restore(empty, [2]string{"op/rollout/orderdesk", "v2 12"})
		time.Sleep(4 * time.Second)
		if got := m.status(); got != "v2 completed" {
			t.Errorf("after a restore after the rollout the status is %q", got)
		}
		for _, id := range m.order {
			if _, err := m.store.Get(t.Context(), hostTable+"/"+string(id)); errors.Is(err, platform.ErrNotFound) {
				t.Errorf("the row of %s is missing", id)
			}
		}
		late := m.start("late", "north")
		time.Sleep(2 * time.Second)
		if n := late.LiveHosts(); n != 10 {
			t.Errorf("a host that starts after the restore knows %d hosts of 10", n)
		}
	})
}

// Guards against a rollout without a coordinator: the store comes back with the claim of
// an earlier one, whose host has been started again since and coordinates nothing.
func TestClaimOfAnEarlierCoordinatorAfterARestore(t *testing.T) {
	meshTest(t, func(t *testing.T) {
		m := startMesh(t)
		defer m.stopAll()
		for _, id := range m.order {
			m.nodes[id].SetTargets(targetsOf(id, "v1", "v2"))
		}
		time.Sleep(5 * time.Second)
		m.put("op/rollout/orderdesk", "v2 60")
		m.sendCalls(5*time.Second, false)
		copied, first := m.store.Copy(), m.progress().Holder
		m.stopNode(first)
		m.sendCalls(10*time.Second, false)
		second := *m.progress()
		if second.Holder == first {
			t.Fatalf("%s still coordinates", first)
		}
		m.start(first, m.nodes[first].cfg.Self.DataCentre).SetTargets(targetsOf(first, "v1", "v2"))
		m.sendCalls(5*time.Second, false)
		m.restore(copied)
		m.sendCalls(3*time.Second, false)
		if p := m.progress(); p.Epoch <= second.Epoch {
			t.Errorf("nobody has claimed the rollout since the restore: %+v, before it %+v", p, second)
		}
	})
}

// Guards against a final state that is lost for good when the host that wrote it is
// started again, or is gone, at the moment of the restore.
func TestFinalStateOutlivesItsCoordinatorAndARestore(t *testing.T) {
	for name, startAgain := range map[string]bool{"coordinator starts again": true, "coordinator is gone": false} {
		for _, want := range []string{"v2 rolled_back", "v2 completed"} {
			meshTest(t, func(t *testing.T) {
				m := startMesh(t)
				defer m.stopAll()
				for _, id := range m.order {
					m.nodes[id].SetTargets(targetsOf(id, "v1", "v2"))
				}
				time.Sleep(5 * time.Second)
				copied := m.store.Copy()
				m.put("op/rollout/orderdesk", "v2 12")
				m.sendCalls(11*time.Second, want == "v2 rolled_back")
				if got := m.status(); got != want {
					t.Fatalf("%s: the status is %q, want %q", name, got, want)
				}
				holder := m.progress().Holder
				dc := m.nodes[holder].cfg.Self.DataCentre
				m.restore(copied, [2]string{"op/rollout/orderdesk", "v2 12"})
				m.stopNode(holder)
				if startAgain {
					time.Sleep(time.Second)
					m.start(holder, dc).SetTargets(targetsOf(holder, "v1", "v2"))
				}
				time.Sleep(9 * time.Second)
				if got := m.status(); got != want {
					t.Errorf("%s: 9 s after the restore the status is %q, want %q", name, got, want)
				}
			})
		}
	}
}

// Guards against a restore that goes unnoticed since the store named no era before, and
// against a start that is taken for one.
func TestEraThatAppearsLater(t *testing.T) {
	meshTest(t, func(t *testing.T) {
		m := startMesh(t)
		defer m.stopAll()
		agent := m.nodes["h0"].Agent
		for name, tc := range map[string]struct {
			eras    []uint64
			settled bool
		}{
			"first era": {[]uint64{1}, true}, "later era at the start": {[]uint64{3}, true}, "same era": {[]uint64{2, 2}, true},
			"named after the restore": {[]uint64{0, 1}, false}, "risen": {[]uint64{1, 2}, false}, "an earlier answer": {[]uint64{2, 1}, true},
		} {
			h := newStoreHistory(agent)
			for _, era := range tc.eras {
				h.observe(era, "store")
			}
			if h.settled() != tc.settled {
				t.Errorf("%s: settled is %v", name, h.settled())
			}
			time.Sleep(2 * settleTime)
			if !h.settled() {
				t.Errorf("%s: not settled after the settle time", name)
			}
		}
	})
}
