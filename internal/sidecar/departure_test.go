package sidecar_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/platform/platformtest"
)

// leave announces that the target leaves, and returns the status of the answer.
func (t *testTarget) leave(draining bool) int {
	t.node.mesh.t.Helper()
	path, body := "/v1/instances/"+string(t.id)+"/leave", []byte(nil)
	if draining {
		path, body = t.heartbeat(true)
	}
	status, err := t.post(path, body)
	if err != nil {
		t.node.mesh.t.Fatal(err)
	}
	return status
}

// restart ends all processes at once and starts them anew.
func (m *testMesh) restart(between func()) {
	var wg sync.WaitGroup
	for _, n := range m.nodes {
		wg.Go(n.stop)
	}
	wg.Wait()
	between()
	for _, n := range m.nodes {
		n.start()
	}
}

// callFor sends calls to all nodes and returns how many were served.
func (m *testMesh) callFor(d time.Duration) (served int) {
	for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		for _, n := range m.nodes {
			if n.call("GET", "/lookups/stock", "", false).status == http.StatusOK {
				served++
			}
		}
	}
	return served
}

// TestDepartureOutlivesARestartOfAllNodes guards against calls to a target whose departure was acknowledged, after a late heartbeat of it reaches a node that has started anew.
func TestDepartureOutlivesARestartOfAllNodes(t *testing.T) {
	for i, tc := range []struct {
		name     string
		draining bool
		between  func(m *testMesh, before *platformtest.Copy) // while no process runs
	}{
		{"left", false, func(*testMesh, *platformtest.Copy) {}},
		{"draining", true, func(*testMesh, *platformtest.Copy) {}},
		{"the store is away at the start", false, func(m *testMesh, _ *platformtest.Copy) {
			m.table.SetFaults(platformtest.Faults{Down: true})
			time.AfterFunc(time.Second, func() { m.table.SetFaults(platformtest.Faults{}) })
		}},
		{"the store comes back without the departure", false, func(m *testMesh, before *platformtest.Copy) { m.table.Restore(before) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			m := newTestMesh(t, byte(20+i), 3)
			before := m.table.Copy()
			leaver := m.nodes[1].target
			leaver.cancel() // no more heartbeats but the late one
			time.Sleep(heartbeatInterval)
			path, late := leaver.heartbeat(false)
			if status := leaver.leave(tc.draining); status != http.StatusOK {
				t.Fatalf("the departure got %d", status)
			}
			m.restart(func() { tc.between(m, before) })
			leaver.served.Store(0)
			time.Sleep(300 * time.Millisecond)
			if _, err := leaver.post(path, late); err != nil {
				t.Fatal(err)
			}
			if served := m.callFor(2500 * time.Millisecond); served == 0 {
				t.Error("no call was served")
			}
			if n := leaver.served.Load(); n > 0 {
				t.Errorf("the target that has left got %d calls", n)
			}
		})
	}
}

// departureRows returns the number of departures in the store.
func (m *testMesh) departureRows() int {
	rows, err := m.table.List(m.t.Context(), "hosts/left/", "", 10)
	if err != nil {
		m.t.Fatal(err)
	}
	return len(rows)
}

// TestDepartureIsAcknowledgedOnceItIsStored guards against an acknowledgement that a kill of all nodes makes void, and against calls to a target that has announced its departure meanwhile.
func TestDepartureIsAcknowledgedOnceItIsStored(t *testing.T) {
	t.Parallel()
	m := newTestMesh(t, 30, 2)
	leaver := m.nodes[1].target
	leaver.cancel()
	m.table.SetFaults(platformtest.Faults{Down: true})
	if status := leaver.leave(false); status != http.StatusServiceUnavailable {
		t.Errorf("the departure got %d while the store is away, want 503", status)
	}
	time.Sleep(time.Second) // the drain time
	leaver.served.Store(0)
	if m.callFor(500*time.Millisecond) == 0 || leaver.served.Load() > 0 {
		t.Errorf("the target that leaves got %d calls", leaver.served.Load())
	}
	m.table.SetFaults(platformtest.Faults{})
	began := time.Now()
	for m.departureRows() == 0 {
		if time.Since(began) > 10*time.Second {
			t.Fatal("the departure is not stored once the store is back")
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Logf("stored %s after the store is back", time.Since(began))
	before := m.table.Stats().Writes.Total
	if status := leaver.leave(false); status != http.StatusOK {
		t.Errorf("the departure got %d once the store is back, want 200", status)
	}
	if writes := m.table.Stats().Writes.Total - before; writes > 0 {
		t.Errorf("a departure that is stored takes %d more writes: %v", writes, m.table.Stats().Writes.ByPrefix)
	}
}

// TestTargetsServeAgainSoonAfterARestart guards against targets that stay unused after a restart of all nodes although none has left.
func TestTargetsServeAgainSoonAfterARestart(t *testing.T) {
	t.Parallel()
	m := newTestMesh(t, 31, 3)
	before := m.table.Copy()
	for name, bound := range map[string]time.Duration{"store known": heartbeatInterval, "store restored": 4 * heartbeatInterval} {
		m.restart(func() {
			if name == "store restored" {
				m.table.Restore(before)
			}
		})
		began := time.Now()
		m.awaitTargets()
		if took := time.Since(began); took > bound+time.Second {
			t.Errorf("%s: calls are served after %s, want %s and a second for the start", name, took, bound)
		}
	}
}
