package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// ringOffsets are the successors a host links to in the ring of its data
// centre. Powers of five reach 137 hosts in few hops with four links each.
var ringOffsets = [...]int{1, 5, 25, 125}

// gatewaysPerPair is the number of links that keep each pair of data centres
// connected, each between different hosts where there are enough.
const gatewaysPerPair = 3

// maxRemote bounds the links that one host opens to other data centres. With
// 16 data centres the only host of one of them needs 15.
const maxRemote = 16

// Neighbours returns the hosts that self opens links to: successors in the
// ring of its data centre, ordered by hash, and hosts of other data centres.
// All hosts with the same records compute the same graph. Failed and left
// hosts are no neighbours.
func Neighbours(hosts []Host, self mesh.HostID) []Host {
	byDC := make(map[mesh.DataCentre][]Host)
	var own mesh.DataCentre
	known := false
	for _, h := range hosts {
		if h.ID == self {
			own, known = h.DataCentre, true
		}
		if !h.Status.gone() || h.ID == self {
			byDC[h.DataCentre] = append(byDC[h.DataCentre], h)
		}
	}
	if !known {
		return nil
	}
	chosen := make(map[mesh.HostID]bool, 8)
	var out []Host
	add := func(h Host) {
		if h.ID != self && !chosen[h.ID] {
			chosen[h.ID] = true
			out = append(out, h)
		}
	}
	ringNeighbours(byDC[own], self, add)
	local := len(out)
	remoteNeighbours(byDC, own, self, func(h Host) {
		if len(out)-local < maxRemote {
			add(h)
		}
	})
	return out
}

func ringNeighbours(ring []Host, self mesh.HostID, add func(Host)) {
	ring = slices.Clone(ring)
	slices.SortFunc(ring, func(a, b Host) int {
		return cmp.Or(cmp.Compare(rank("ring", a.ID), rank("ring", b.ID)), cmp.Compare(a.ID, b.ID))
	})
	at := slices.IndexFunc(ring, func(h Host) bool { return h.ID == self })
	for _, o := range ringOffsets {
		if o < len(ring) {
			add(ring[(at+o)%len(ring)])
		}
	}
}

// remoteNeighbours adds the gateway links of self and one link to a data
// centre of its own choice. Both are chosen by rendezvous hashing, so that a
// host that joins or fails moves few links.
func remoteNeighbours(byDC map[mesh.DataCentre][]Host, own mesh.DataCentre, self mesh.HostID, add func(Host)) {
	others := make([]mesh.DataCentre, 0, len(byDC))
	for dc := range byDC {
		if dc != own {
			others = append(others, dc)
		}
	}
	if len(others) == 0 {
		return
	}
	slices.Sort(others)
	for _, dc := range others {
		pair := string(min(own, dc)) + "\x00" + string(max(own, dc))
		near, far := top(pair, byDC[own]), top(pair, byDC[dc])
		for j := range max(len(near), len(far)) {
			// The data centre with the lower name opens the link; one side is enough.
			if near[j%len(near)].ID == self && own < dc {
				add(far[j%len(far)])
			}
		}
	}
	dc := slices.MaxFunc(others, func(a, b mesh.DataCentre) int {
		return cmp.Compare(rank(string(a), self), rank(string(b), self))
	})
	add(slices.MaxFunc(byDC[dc], func(a, b Host) int {
		return cmp.Compare(rank(string(self), a.ID), rank(string(self), b.ID))
	}))
}

// top returns the gatewaysPerPair hosts that rank highest for a key.
func top(key string, hosts []Host) []Host {
	hosts = slices.Clone(hosts)
	slices.SortFunc(hosts, func(a, b Host) int {
		return cmp.Or(cmp.Compare(rank(key, b.ID), rank(key, a.ID)), cmp.Compare(a.ID, b.ID))
	})
	return hosts[:min(len(hosts), gatewaysPerPair)]
}

func rank(key string, id mesh.HostID) uint64 {
	return xxhash.Sum64String(key + "\x00" + string(id))
}
