package membership

import (
	"cmp"
	"encoding/binary"
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
	c := candidatesOf(hosts, self)
	if c.self == nil {
		return nil
	}
	c.chosen = make(map[mesh.HostID]bool, 8)
	c.addRing()
	local := len(c.out)
	c.addRemote(local + maxRemote)
	return c.out
}

// candidate is a host with the hash of its ID.
type candidate struct {
	host *Host
	hash uint64
}

type candidates struct {
	self   *Host
	byDC   map[mesh.DataCentre][]candidate
	chosen map[mesh.HostID]bool
	out    []Host
}

func candidatesOf(hosts []Host, self mesh.HostID) *candidates {
	c := &candidates{byDC: make(map[mesh.DataCentre][]candidate)}
	for i := range hosts {
		h := &hosts[i]
		if h.ID == self {
			c.self = h
		} else if h.Status.gone() {
			continue
		}
		c.byDC[h.DataCentre] = append(c.byDC[h.DataCentre], candidate{h, xxhash.Sum64String(string(h.ID))})
	}
	return c
}

func (c *candidates) add(h *Host) {
	if h.ID != c.self.ID && !c.chosen[h.ID] {
		c.chosen[h.ID] = true
		c.out = append(c.out, *h)
	}
}

func (c *candidates) addRing() {
	ring := slices.Clone(c.byDC[c.self.DataCentre])
	slices.SortFunc(ring, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.host.ID, b.host.ID))
	})
	at := slices.IndexFunc(ring, func(h candidate) bool { return h.host.ID == c.self.ID })
	for _, o := range ringOffsets {
		if o < len(ring) {
			c.add(ring[(at+o)%len(ring)].host)
		}
	}
}

// addRemote adds the gateway links of self and one link to a data centre of
// its own choice. Both are chosen by rendezvous hashing, so that a host that
// joins or fails moves few links.
func (c *candidates) addRemote(limit int) {
	own := c.self.DataCentre
	others := make([]mesh.DataCentre, 0, len(c.byDC))
	for dc := range c.byDC {
		if dc != own {
			others = append(others, dc)
		}
	}
	if len(others) == 0 {
		return
	}
	slices.Sort(others)
	for _, dc := range others {
		if own > dc {
			continue // the data centre with the lower name opens the gateway links
		}
		pair := xxhash.Sum64String(string(own) + "\x00" + string(dc))
		near, far := top(pair, c.byDC[own], gatewaysPerPair), top(pair, c.byDC[dc], gatewaysPerPair)
		for j := range max(len(near), len(far)) {
			if near[j%len(near)].ID == c.self.ID && len(c.out) < limit {
				c.add(far[j%len(far)])
			}
		}
	}
	if !c.opensOwnLink() || len(c.out) >= limit {
		return
	}
	id := xxhash.Sum64String(string(c.self.ID))
	choice := slices.MaxFunc(others, func(a, b mesh.DataCentre) int {
		return cmp.Compare(mix(id, xxhash.Sum64String(string(a))), mix(id, xxhash.Sum64String(string(b))))
	})
	c.add(top(id, c.byDC[choice], 1)[0])
}

// ownLinks is the number of hosts of a data centre that open a link to one of
// their own choice, beside the gateways. Each change crosses every link between
// data centres, where bytes are dear.
const ownLinks = 4

// opensOwnLink reports whether self is one of the first ownLinks of its data
// centre.
func (c *candidates) opensOwnLink() bool {
	for _, h := range top(xxhash.Sum64String(string(c.self.DataCentre)), c.byDC[c.self.DataCentre], ownLinks) {
		if h.ID == c.self.ID {
			return true
		}
	}
	return false
}

// top returns the n hosts that rank highest for a key.
func top(key uint64, hosts []candidate, n int) []*Host {
	best := make([]candidate, 0, n+1) // with the rank as hash
	for _, h := range hosts {
		r := candidate{h.host, mix(key, h.hash)}
		at, _ := slices.BinarySearchFunc(best, r, func(a, b candidate) int {
			return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.host.ID, b.host.ID))
		})
		if at < n {
			best = slices.Insert(best, at, r)[:min(len(best)+1, n)]
		}
	}
	out := make([]*Host, len(best))
	for i, b := range best {
		out[i] = b.host
	}
	return out
}

func mix(a, b uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], a)
	binary.LittleEndian.PutUint64(buf[8:], b)
	return xxhash.Sum64(buf[:])
}
