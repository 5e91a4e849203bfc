package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

func newHosts(dcs, perDC int) []Host {
	var hosts []Host
	for d := range dcs {
		for i := range perDC {
			hosts = append(hosts, Host{
				ID:         mesh.HostID(fmt.Sprintf("dc%d-host%d", d, i)),
				DataCentre: mesh.DataCentre(fmt.Sprintf("dc%d", d)), Status: StatusAlive,
			})
		}
	}
	return hosts
}

// graph returns the links of all hosts, in both directions.
func graph(hosts []Host) map[mesh.HostID]map[mesh.HostID]bool {
	g := make(map[mesh.HostID]map[mesh.HostID]bool)
	for _, h := range hosts {
		g[h.ID] = make(map[mesh.HostID]bool)
	}
	for _, h := range hosts {
		if h.Status == StatusFailed {
			continue // a failed host opens no links
		}
		for _, n := range Neighbours(hosts, h.ID) {
			g[h.ID][n.ID], g[n.ID][h.ID] = true, true
		}
	}
	return g
}

// flood returns how many hosts a flood from start reaches and in how many hops.
func flood(g map[mesh.HostID]map[mesh.HostID]bool, start mesh.HostID) (reached, depth int) {
	seen := map[mesh.HostID]bool{start: true}
	for layer := []mesh.HostID{start}; ; depth++ {
		var next []mesh.HostID
		for _, id := range layer {
			for n := range g[id] {
				if !seen[n] {
					seen[n] = true
					next = append(next, n)
				}
			}
		}
		if len(next) == 0 {
			return len(seen), depth
		}
		layer = next
	}
}

// Guards against a partitioned mesh: the graph of the remaining hosts is
// connected whichever hosts are removed or have failed.
func TestGraphConnected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := newHosts(rapid.IntRange(1, 6).Draw(t, "dcs"), rapid.IntRange(1, 12).Draw(t, "hosts"))
		var remaining []Host
		for _, h := range all {
			if rapid.IntRange(0, 9).Draw(t, "gone") < 6 {
				remaining = append(remaining, h)
			} else if rapid.Bool().Draw(t, "failed") {
				h.Status = StatusFailed
				remaining = append(remaining, h)
			}
		}
		g := graph(remaining)
		liveCount := 0
		var start mesh.HostID
		for _, h := range remaining {
			if h.Status == StatusAlive {
				liveCount++
				start = h.ID
			}
		}
		if liveCount == 0 {
			return
		}
		if reached, _ := flood(g, start); reached != liveCount {
			t.Fatalf("reached %d of %d hosts", reached, liveCount)
		}
	})
}

// Guards against a graph that is connected only after links are formed anew: a
// quarter of the hosts fail while the others keep their old links.
func TestGraphConnectedBeforeRelinking(t *testing.T) {
	hosts := newHosts(16, 137)
	g := graph(hosts)
	rng := rand.New(rand.NewPCG(1, 1))
	for range 5 {
		dead := make(map[mesh.HostID]bool)
		for _, i := range rng.Perm(len(hosts))[:len(hosts)/4] {
			dead[hosts[i].ID] = true
		}
		rest := make(map[mesh.HostID]map[mesh.HostID]bool)
		var start mesh.HostID
		for id, neighbours := range g {
			if dead[id] {
				continue
			}
			start = id
			rest[id] = make(map[mesh.HostID]bool)
			for n := range neighbours {
				if !dead[n] {
					rest[id][n] = true
				}
			}
		}
		if reached, _ := flood(rest, start); reached < len(rest) {
			t.Errorf("with a quarter of the hosts failed, a flood reaches %d of %d", reached, len(rest))
		}
	}
}

// Guards against too many links or hops at the design scale. A change must be
// active within 9 s, a hop takes milliseconds, and 16 links cost 1 KB/s.
func TestGraphAtScale(t *testing.T) {
	hosts := newHosts(16, 137)
	g := graph(hosts)
	const maxHops, maxLinks, maxMean = 9, 24, 12
	links, most, depth := 0, 0, 0
	for i, h := range hosts {
		links += len(g[h.ID])
		most = max(most, len(g[h.ID]))
		if i%40 == 0 {
			reached, d := flood(g, h.ID)
			depth = max(depth, d)
			if reached != len(hosts) {
				t.Fatalf("flood from %s reaches %d of %d", h.ID, reached, len(hosts))
			}
		}
	}
	mean := float64(links) / float64(len(hosts))
	t.Logf("hosts=%d links_mean=%.2f links_max=%d hops_max=%d", len(hosts), mean, most, depth)
	if depth > maxHops || most > maxLinks || mean > maxMean {
		t.Errorf("links mean %.2f (at most %d), max %d (at most %d), hops %d (at most %d)", mean, maxMean, most, maxLinks, depth, maxHops)
	}
}

// Guards against a pair of data centres whose links all depend on one host.
func TestDataCentrePairLinks(t *testing.T) {
	for _, perDC := range []int{3, 11, 40} {
		hosts := newHosts(4, perDC)
		byID := make(map[mesh.HostID]mesh.DataCentre)
		for _, h := range hosts {
			byID[h.ID] = h.DataCentre
		}
		ends := make(map[[2]mesh.DataCentre]map[mesh.HostID]bool)
		for id, neighbours := range graph(hosts) {
			for n := range neighbours {
				k := [2]mesh.DataCentre{byID[id], byID[n]}
				if ends[k] == nil {
					ends[k] = make(map[mesh.HostID]bool)
				}
				ends[k][id] = true
			}
		}
		for k, hosts := range ends {
			if k[0] != k[1] && len(hosts) < 3 {
				t.Errorf("%d hosts each: the links of %v depend on %d hosts", perDC, k, len(hosts))
			}
		}
		if len(ends) != 16 {
			t.Errorf("%d hosts each: %d of 16 pairs are linked", perDC, len(ends))
		}
	}
}

// Measures the cost of a membership change for one host at the design scale.
func BenchmarkNeighbours(b *testing.B) {
	hosts := newHosts(16, 137)
	for b.Loop() {
		Neighbours(hosts, hosts[7].ID)
	}
}
