package membership

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// ringOffsets are the distances to the successors that a host links to in the
// ring of its data centre. Powers of five reach the 137 hosts of a data centre
// in few hops with four links each.
var ringOffsets = [...]int{1, 5, 25, 125}

// gatewaysPerPair is the number of links that keep each pair of data centres
// connected, each between different hosts where there are enough.
const gatewaysPerPair = 3

// maxRemoteLinks bounds the links that one host opens to other data centres.
// With 16 data centres, the only host of one of them needs 15.
const maxRemoteLinks = 16

// Neighbours returns the hosts that self opens links to: successors in the
// ring of its data centre, ordered by hash, and hosts of other data centres.
// All hosts with the same records compute the same graph. Failed and left
// hosts are not neighbours.
func Neighbours(hosts []Host, self mesh.HostID) []Host {
	s := newSelection(hosts, self)
	if s.self == nil {
		return nil
	}
	s.selected = make(map[mesh.HostID]bool, 8)
	s.addRing()
	local := len(s.neighbours)
	s.addRemote(local + maxRemoteLinks)
	return s.neighbours
}

// candidate is a host with the hash of its ID.
type candidate struct {
	host *Host
	hash uint64
}

// selection collects the neighbours of one host.
type selection struct {
	self       *Host
	byDC       map[mesh.DataCentre][]candidate
	selected   map[mesh.HostID]bool
	neighbours []Host
}

func newSelection(hosts []Host, self mesh.HostID) *selection {
	s := &selection{byDC: make(map[mesh.DataCentre][]candidate)}
	for i := range hosts {
		h := &hosts[i]
		if h.ID == self {
			s.self = h
		} else if h.Status.isTerminal() {
			continue
		}
		s.byDC[h.DataCentre] = append(s.byDC[h.DataCentre], candidate{h, xxhash.Sum64String(string(h.ID))})
	}
	return s
}

func (s *selection) add(h *Host) {
	if h.ID != s.self.ID && !s.selected[h.ID] {
		s.selected[h.ID] = true
		s.neighbours = append(s.neighbours, *h)
	}
}

func (s *selection) addRing() {
	ring := slices.Clone(s.byDC[s.self.DataCentre])
	slices.SortFunc(ring, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.host.ID, b.host.ID))
	})
	position := slices.IndexFunc(ring, func(h candidate) bool { return h.host.ID == s.self.ID })
	for _, offset := range ringOffsets {
		if offset < len(ring) {
			s.add(ring[(position+offset)%len(ring)].host)
		}
	}
}

// addRemote adds the gateway links of self and, on some hosts, one extra link
// to another data centre. Both are selected by rendezvous hashing, so that a
// host that joins or fails moves few links.
func (s *selection) addRemote(limit int) {
	own := s.self.DataCentre
	others := make([]mesh.DataCentre, 0, len(s.byDC))
	for dc := range s.byDC {
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
		local, remote := highestRanked(pair, s.byDC[own], gatewaysPerPair), highestRanked(pair, s.byDC[dc], gatewaysPerPair)
		for j := range max(len(local), len(remote)) {
			if local[j%len(local)].ID == s.self.ID && len(s.neighbours) < limit {
				s.add(remote[j%len(remote)])
			}
		}
	}
	if !s.opensExtraLink() || len(s.neighbours) >= limit {
		return
	}
	id := xxhash.Sum64String(string(s.self.ID))
	choice := slices.MaxFunc(others, func(a, b mesh.DataCentre) int {
		return cmp.Compare(combineHashes(id, xxhash.Sum64String(string(a))), combineHashes(id, xxhash.Sum64String(string(b))))
	})
	s.add(highestRanked(id, s.byDC[choice], 1)[0])
}

// extraLinkHosts is the number of hosts of a data centre that open an extra
// link to another data centre, beside the gateway links. Each change crosses
// every link between data centres, where bandwidth is expensive.
const extraLinkHosts = 4

// opensExtraLink reports whether self is one of the extraLinkHosts highest
// ranked hosts of its data centre.
func (s *selection) opensExtraLink() bool {
	for _, h := range highestRanked(xxhash.Sum64String(string(s.self.DataCentre)), s.byDC[s.self.DataCentre], extraLinkHosts) {
		if h.ID == s.self.ID {
			return true
		}
	}
	return false
}

// highestRanked returns the n hosts that rank highest for a key in rendezvous
// hashing.
func highestRanked(key uint64, hosts []candidate, n int) []*Host {
	best := make([]candidate, 0, n+1) // the hash field holds the rank
	for _, h := range hosts {
		r := candidate{h.host, combineHashes(key, h.hash)}
		index, _ := slices.BinarySearchFunc(best, r, func(a, b candidate) int {
			return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.host.ID, b.host.ID))
		})
		if index < n {
			best = slices.Insert(best, index, r)[:min(len(best)+1, n)]
		}
	}
	ranked := make([]*Host, len(best))
	for i, b := range best {
		ranked[i] = b.host
	}
	return ranked
}

func combineHashes(a, b uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], a)
	binary.LittleEndian.PutUint64(buf[8:], b)
	return xxhash.Sum64(buf[:])
}
