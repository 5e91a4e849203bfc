package node

import (
	"fmt"
	"testing"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// Guards against rows of ended hosts that count as live hosts: a node that starts among
// them reads the head rarely, and finds the live hosts late.
func TestRowsOfEndedHostsAreNotAlive(t *testing.T) {
	const ended, nodes = 200, 3
	m := newTestMesh(t)
	for i := range ended {
		address := fmt.Sprintf("%s:%d", processIP, 9) // nothing answers there
		check(t, m.source.PutMember(t.Context(), membership.Host{
			ID: mesh.HostID(fmt.Sprint("ended-", i)), DataCentre: "north", PeerAddress: address, CallAddress: address, Incarnation: 1, Status: membership.StatusAlive,
		}))
	}
	var running []*runningNode
	for i := range nodes {
		s := m.settings(mesh.HostID(fmt.Sprint("host-", i)))
		s.Seeds = nil
		running = append(running, m.start(s))
	}
	live := func(n *runningNode) (count int) {
		for _, h := range n.members.Hosts() {
			if h.Status == membership.StatusAlive {
				count++
			}
		}
		return count
	}
	m.waitFor(10*time.Second, "the nodes know each other and no others", func() bool {
		for _, n := range running {
			if live(n) != nodes {
				return false
			}
		}
		return true
	})
	m.acceptConfig("route GET /menus to orderdesk tray-1 # Oyuna: menus\n")
	m.waitFor(activationBound, "the revision is in force", func() bool {
		for _, n := range running {
			if n.activeVersion().Revision != 1 {
				return false
			}
		}
		return true
	})
	for _, n := range running {
		check(t, n.stop())
	}
}

// Guards against a report for which a data centre was not asked that is cut off: a node
// that starts meanwhile knows its hosts by their rows alone.
func TestReportsWaitForHostsThatOnlyRowsName(t *testing.T) {
	m := newTestMesh(t)
	address := fmt.Sprintf("%s:%d", processIP, 9)
	check(t, m.source.PutMember(t.Context(), membership.Host{
		ID: "far", DataCentre: "south", PeerAddress: address, CallAddress: address, Incarnation: 1, Status: membership.StatusAlive,
	}))
	s := m.settings("near")
	s.Seeds = nil
	n := m.start(s)
	m.waitFor(10*time.Second, "the row is read", func() bool {
		pending, unreachable := n.gossip.SearchState()
		if pending > 0 && n.isReportCandidate() {
			t.Error("a node that still looks for hosts writes reports")
		}
		return unreachable > 0
	})
	state := n.gatherMesh(t.Context())
	if len(state.unreachable) != 1 || state.unreachable[0] != "south" {
		t.Errorf("data centres that do not confirm: %v", state.unreachable)
	}
	check(t, n.stop())
}
