package control

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"nutmeghoist.example/nutmeghoist/internal/memnet"
	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

var dataCentres = []mesh.DataCentre{"north", "south", "west"}

// leaveRows writes the rows of hosts that have ended. Nothing answers at their addresses.
func (m *testMesh) leaveRows(n int) {
	m.t.Helper()
	for i := range n {
		id := fmt.Sprintf("ended-%d", i)
		value, err := json.Marshal(membership.Host{
			ID: mesh.HostID(id), DataCentre: dataCentres[i%3], PeerAddress: id + ":1", CallAddress: id + ":1", Incarnation: 1, Status: membership.StatusAlive,
		})
		if err != nil {
			m.t.Fatal(err)
		}
		m.put(hostTable+"/"+id, string(value))
	}
}

// wantLive fails the test unless each host counts so many live hosts, and shares with
// sharing hosts.
func (m *testMesh) wantLive(when string, live, sharing int) {
	m.t.Helper()
	for _, id := range m.order {
		n := m.nodes[id]
		if n.stop == nil {
			continue
		}
		if got := n.LiveHosts(); got != live {
			m.t.Errorf("%s: %s counts %d live hosts, not %d", when, id, got, live)
		}
		if got, _ := n.SharingHosts(); got != sharing {
			m.t.Errorf("%s: %s shares with %d hosts, not %d", when, id, got, sharing)
		}
	}
}

// wantFollowers fails the test unless followersPerDataCentre hosts of each data centre
// follow the store.
func (m *testMesh) wantFollowers(when string) {
	m.t.Helper()
	followers := make(map[mesh.DataCentre]int)
	for _, n := range m.nodes {
		if n.stop != nil && n.isStoreFollower() {
			followers[n.cfg.Self.DataCentre]++
		}
	}
	for _, dc := range dataCentres {
		if followers[dc] != followersPerDataCentre {
			m.t.Errorf("%s: %d hosts of %s follow the store", when, followers[dc], dc)
		}
	}
}

// Guards against rows of ended hosts that count as live hosts after a restart of all: nobody
// follows the store, hosts do not find each other, and shares are too small.
func TestEndedHostsAreNotAliveAfterARestart(t *testing.T) {
	for _, ended := range []int{0, 30, 300, 2000} {
		t.Run(fmt.Sprint(ended), func(t *testing.T) {
			meshTest(t, func(t *testing.T) {
				m := startMesh(t)
				defer m.stopAll()
				time.Sleep(5 * time.Second)
				m.leaveRows(ended)
				m.stopAll()
				time.Sleep(time.Second)
				m.startAll()
				for _, id := range m.order {
					m.nodes[id].SetTargets(targetsOf(id, "v1"))
				}
				time.Sleep(2 * time.Second)
				for _, id := range m.order {
					s := m.nodes[id].Snapshot()
					if s == nil || s.Services["orderdesk"].Stable.Len() != 9 {
						t.Errorf("2 s after the restart %s does not know the targets: %+v", id, s)
					}
				}
				time.Sleep(1500 * time.Millisecond)
				m.wantFollowers("3.5 s after the restart")
				m.wantLive("3.5 s after the restart", 9, 9)
				for _, id := range m.order {
					probes := metrics.GetOrRegisterCounter("distribution_probes", m.nodes[id].cfg.Metrics).Count()
					if ended == 0 && probes > 0 {
						t.Errorf("%s dialled %d hosts whose records its neighbours have sent", id, probes)
					}
				}
				for version := uint64(2); version < 7; version++ {
					m.put("op/config", fmt.Sprint(version))
					time.Sleep(2 * time.Second)
					m.wantVersion(version)
				}
			})
		})
	}
}

// Guards against a host that is started again, or added, and does not find the live hosts
// among the rows of those that have ended.
func TestOneHostStartsAmongRowsOfEndedHosts(t *testing.T) {
	for name, start := range map[string]func(m *testMesh) mesh.HostID{
		"again": func(m *testMesh) mesh.HostID {
			m.stopNode("h4")
			time.Sleep(4300 * time.Millisecond)
			m.start("h4", "south")
			return "h4"
		},
		"added": func(m *testMesh) mesh.HostID { m.start("new", "north"); return "new" },
	} {
		for _, ended := range []int{300, 2000} {
			t.Run(fmt.Sprint(name, " ", ended), func(t *testing.T) {
				meshTest(t, func(t *testing.T) {
					m := startMesh(t)
					defer m.stopAll()
					for _, id := range m.order {
						m.nodes[id].SetTargets(targetsOf(id, "v1"))
					}
					time.Sleep(5 * time.Second)
					m.leaveRows(ended)
					id := start(m)
					time.Sleep(2 * time.Second)
					if s := m.nodes[id].Snapshot(); s == nil || s.Services["orderdesk"].Stable.Len() < 8 {
						t.Errorf("after 2 s the host does not know the targets: %+v", s)
					}
					time.Sleep(4 * time.Second)
					m.wantLive("6 s after the start", len(m.order), len(m.order))
					m.put("op/config", "2")
					time.Sleep(2 * time.Second)
					m.wantVersion(2)
				})
			})
		}
	}
}

// Guards against shares that are too large beside a cut: hosts that are cut off are known
// by their rows alone to those that start meanwhile.
func TestHostsThatAreCutOffKeepTheirShares(t *testing.T) {
	meshTest(t, func(t *testing.T) {
		m := startMesh(t)
		defer m.stopAll()
		time.Sleep(8 * time.Second)
		isWest := make(map[mesh.HostID]bool)
		for _, id := range m.order {
			isWest[id] = m.nodes[id].cfg.Self.DataCentre == "west"
		}
		west := func(id mesh.HostID) bool { return isWest[id] }
		m.net.SetImpairment(func(from, to mesh.HostID) memnet.Impairment { return memnet.Impairment{Lost: west(from) != west(to)} })
		for _, id := range m.order {
			if !west(id) {
				m.stopNode(id)
			}
		}
		time.Sleep(time.Second)
		m.startAllBut(west)
		for range 10 {
			time.Sleep(3 * time.Second)
			for _, id := range m.order {
				if got, _ := m.nodes[id].SharingHosts(); got != 9 {
					t.Errorf("%s shares with %d hosts during the cut, not 9", id, got)
				}
			}
		}
		m.net.SetImpairment(func(_, _ mesh.HostID) memnet.Impairment { return memnet.Impairment{} })
		time.Sleep(20 * time.Second)
		m.wantLive("healed", 9, 9)
		m.wantFollowers("healed")
	})
}

// startAllBut starts the hosts of startAll that skip does not name.
func (m *testMesh) startAllBut(skip func(mesh.HostID) bool) {
	for i := range 9 {
		if id := mesh.HostID(fmt.Sprint("h", i)); !skip(id) {
			m.start(id, dataCentres[i%3])
		}
	}
}
