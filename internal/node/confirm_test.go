package node

import (
	"fmt"
	"slices"
	"testing"

	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// Guards against a confirmation that is lost because two hosts answer at once, and
// against a host that does not answer and counts as confirmed.
func TestGatherStatesKeepsEachAnswer(t *testing.T) {
	var hosts []membership.Host
	for i := range 40 {
		hosts = append(hosts, membership.Host{ID: mesh.HostID(fmt.Sprintf("h%02d", i))})
	}
	for range 50 {
		states := gatherStates(hosts, func(h *membership.Host) (hostState, bool) { return hostState{Host: h.ID}, h.ID != "h07" })
		got := make(map[mesh.HostID]bool)
		for _, s := range states {
			got[s.Host] = true
		}
		if len(states) != 39 || len(got) != 39 || got["h07"] {
			t.Fatalf("%d states of 39, of %d hosts", len(states), len(got))
		}
	}
	if !slices.IsSortedFunc(hosts, func(a, b membership.Host) int { return slices.Compare([]byte(a.ID), []byte(b.ID)) }) {
		t.Error("the list of hosts was modified")
	}
}
