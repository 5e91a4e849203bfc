package control

import (
	"encoding/json"
	"math/rand/v2"
	"testing"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/platform"
	"nutmeghoist.example/nutmeghoist/pkg/platform/platformtest"
	"nutmeghoist.example/nutmeghoist/pkg/rollout"
	"nutmeghoist.example/nutmeghoist/pkg/routing"
)

// setVersions gives each running host a target of each version, the first the oldest.
func (m *testMesh) setVersions(versions ...mesh.TargetVersion) {
	for _, id := range m.order {
		if n := m.nodes[id]; n.stop != nil {
			n.SetTargets(targetsOf(id, versions...))
		}
	}
}

// watch returns how many of the calls that the hosts would send in a time go to each
// version. Those to no target count for "".
func (m *testMesh) watch(d time.Duration) map[mesh.TargetVersion]int {
	calls := make(map[mesh.TargetVersion]int)
	rng := rand.New(rand.NewPCG(1, 1))
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, id := range m.order {
			n := m.nodes[id]
			s := n.Snapshot()
			if n.stop == nil || s == nil {
				continue
			}
			service := s.Services["orderdesk"]
			version := mesh.TargetVersion("")
			if c := service.Stable.Pick(time.Now(), rng, &routing.PreviousAttempts{}); c != nil {
				version = c.Target.Version
			}
			calls[version]++
			if service.Next != nil && service.Next.Len() > 0 && service.Rollout != nil && service.Rollout.Permille > 0 {
				calls[service.To]++
			}
		}
	}
	return calls
}

// rollOut orders a rollout and waits for its end.
func (m *testMesh) rollOut(to string, bad bool) {
	m.t.Helper()
	want := to + " completed"
	if bad {
		want = to + " rolled_back"
	}
	m.put("op/rollout/orderdesk", to+" 16")
	for range 20 {
		m.sendCalls(time.Second, bad)
		if m.status() == want {
			return
		}
	}
	m.t.Fatalf("the rollout of %s ended as %q", to, m.status())
}

// holder returns the host that ended the last rollout.
func (m *testMesh) holder() mesh.HostID {
	row, err := m.store.Get(m.t.Context(), "rollouts/orderdesk")
	if err != nil {
		m.t.Fatal(err)
	}
	var stored rolloutRow
	if err := json.Unmarshal(row.Value, &stored); err != nil {
		m.t.Fatal(err)
	}
	return stored.Holder
}

// restart ends hosts at once and starts them anew a moment later, with the targets that
// they had.
func (m *testMesh) restart(ids ...mesh.HostID) {
	targets := make(map[mesh.HostID][]membership.Target)
	for _, id := range ids {
		targets[id] = m.nodes[id].members.Self().Targets
		m.stopNode(id)
	}
	time.Sleep(500 * time.Millisecond)
	for _, id := range ids {
		m.startWith(id, m.nodes[id].cfg.Self.DataCentre, targets[id])
	}
}

// Guards against calls to a version that was rolled back, against a service without a
// target, and against an older order that is carried out again, when the host that ended
// the rollout, or another one, is started anew.
func TestDecisionOutlivesProcesses(t *testing.T) {
	cases := map[string]func(m *testMesh, holder mesh.HostID, others []mesh.HostID){
		"the coordinator restarts": func(m *testMesh, holder mesh.HostID, _ []mesh.HostID) { m.restart(holder) },
		"again and again": func(m *testMesh, holder mesh.HostID, _ []mesh.HostID) {
			for range 3 {
				m.restart(holder)
				time.Sleep(time.Second)
			}
		},
		"the store is away": func(m *testMesh, holder mesh.HostID, others []mesh.HostID) {
			m.store.SetFaults(platformtest.Faults{Down: true})
			m.restart(holder)
			time.Sleep(2 * time.Second)
			m.restart(others[0], holder)
		},
		"the coordinator is gone and the store away": func(m *testMesh, holder mesh.HostID, others []mesh.HostID) {
			m.store.SetFaults(platformtest.Faults{Down: true})
			m.stopNode(holder)
			time.Sleep(12 * time.Minute)
			m.restart(others[:4]...)
		},
		"all restart": func(m *testMesh, holder mesh.HostID, others []mesh.HostID) { m.restart(append(others, holder)...) },
	}
	for name, injectFault := range cases {
		for _, bad := range []bool{true, false} {
			t.Run(name+map[bool]string{true: ", rolled back", false: ", completed"}[bad], func(t *testing.T) {
				meshTest(t, func(t *testing.T) {
					m := startMesh(t)
					defer m.stopAll()
					m.setVersions("v1")
					time.Sleep(5 * time.Second)
					m.setVersions("v1", "v2")
					m.rollOut("v2", false)
					m.setVersions("v2")
					m.restart(m.order[0], m.order[2], m.order[3], m.order[5]) // they know the order to v2
					time.Sleep(time.Second)
					m.setVersions("v2", "v3")
					m.rollOut("v3", bad)
					want, status := mesh.TargetVersion("v2"), "v3 rolled_back"
					if !bad {
						want, status = "v3", "v3 completed"
						m.setVersions("v3")
					}
					time.Sleep(500 * time.Millisecond)
					holder := m.holder()
					var others []mesh.HostID
					for _, id := range m.order {
						if id != holder {
							others = append(others, id)
						}
					}
					injectFault(m, holder, others)
					got := m.watch(4 * time.Second)
					m.store.SetFaults(platformtest.Faults{})
					time.Sleep(3 * time.Second)
					for version, n := range got {
						if version != want && !(version == "" && name == "all restart") {
							t.Errorf("%d calls go to %q, %d to %s", n, version, got[want], want)
						}
					}
					if m.status() != status {
						t.Errorf("the status is %q, want %q", m.status(), status)
					}
				})
			})
		}
	}
}

// Guards against targets of a version that no order names, or of one that was rolled back
// before, that get the calls of the stable version.
func TestOnlyOrderedVersionsGetCalls(t *testing.T) {
	meshTest(t, func(t *testing.T) {
		m := startMesh(t)
		defer m.stopAll()
		m.setVersions("v1")
		time.Sleep(5 * time.Second)
		m.setVersions("v1", "v2")
		m.rollOut("v2", true)
		m.setVersions("v1", "v2", "v3")
		time.Sleep(time.Second)
		if got := m.watch(2 * time.Second); got["v2"] > 0 || got["v3"] > 0 || got["v1"] == 0 {
			t.Errorf("after the roll-back of v2 and before the order to v3: %v", got)
		}
		m.put("op/rollout/orderdesk", "v3 16")
		if got := m.watch(200 * time.Millisecond); got["v2"] > 0 {
			t.Errorf("after the order to v3: %v", got)
		}
		m.sendCalls(3*time.Second, false)
		if got := m.watch(time.Second); got["v2"] > 0 || got["v3"] == 0 || got["v1"] == 0 {
			t.Errorf("during the rollout of v3: %v", got)
		}
		m.sendCalls(14*time.Second, false)
		if got := m.watch(time.Second); m.status() != "v3 completed" || got["v2"] > 0 || got["v1"] > 0 {
			t.Errorf("after the rollout of v3, %s: %v", m.status(), got)
		}
	})
}

// Guards against a host that knows only an older order and carries it out again over the
// newer one, which the operators would read as running.
func TestOlderOrderIsNotCarriedOutAgain(t *testing.T) {
	meshTest(t, func(t *testing.T) {
		m := startMesh(t)
		defer m.stopAll()
		m.setVersions("v1", "v2")
		time.Sleep(5 * time.Second)
		m.rollOut("v2", false)
		m.setVersions("v2", "v3")
		m.rollOut("v3", true)
		n := m.nodes["h4"]
		old := rollout.Order{Service: "orderdesk", To: "v2", Within: 16 * time.Second, Revision: platform.MakeVersion(1, 2)}
		n.coordinator.claim(t.Context(), seenOrder{old, time.Now()}, nil)
		if got := m.status(); got != "v3 rolled_back" {
			t.Errorf("the status is %q", got)
		}
	})
}
