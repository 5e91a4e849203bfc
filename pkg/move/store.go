package move

import (
	"cmp"
	"slices"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

type rowKey struct {
	from     mesh.HostID // the node that saw the calls
	instance uint64
	side     Side
	dc       mesh.DataCentre
	target   mesh.HostID
}

// store joins evidence of many nodes. The join takes the maximum of each
// counter, so it is commutative, associative and idempotent; counters of an
// earlier instance of a node stay beside those of the present one.
type store struct {
	moves map[mesh.MoveID]map[rowKey]*Counters
}

func newStore() *store { return &store{moves: map[mesh.MoveID]map[rowKey]*Counters{}} }

func (s *store) row(move mesh.MoveID, k rowKey) *Counters {
	rows, ok := s.moves[move]
	if !ok {
		rows = map[rowKey]*Counters{}
		s.moves[move] = rows
	}
	c, ok := rows[k]
	if !ok {
		c = &Counters{}
		rows[k] = c
	}
	return c
}

func (s *store) merge(from mesh.HostID, list []Evidence) {
	for i := range list {
		e := &list[i]
		for j := range e.Targets {
			t := &e.Targets[j]
			s.row(e.Move, rowKey{from, e.Instance, e.Side, e.DataCentre, t.Host}).combine(&t.Counters, maximum)
		}
	}
}

// list returns the rows of a move, which all come from one node and instance, in
// a stable order.
func (s *store) list(move mesh.MoveID) []Evidence {
	type group struct {
		side Side
		dc   mesh.DataCentre
	}
	groups := map[group]*Evidence{}
	for k, c := range s.moves[move] {
		g := group{k.side, k.dc}
		e, ok := groups[g]
		if !ok {
			e = &Evidence{Move: move, Side: k.side, DataCentre: k.dc, Instance: k.instance}
			groups[g] = e
		}
		e.Targets = append(e.Targets, TargetCounters{Host: k.target, Counters: c.clone()})
	}
	list := make([]Evidence, 0, len(groups))
	for _, e := range groups {
		slices.SortFunc(e.Targets, func(a, b TargetCounters) int { return cmp.Compare(a.Host, b.Host) })
		list = append(list, *e)
	}
	slices.SortFunc(list, func(a, b Evidence) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Side, b.Side))
	})
	return list
}

// view is the sum over all nodes for one move and data centre.
type view struct {
	fresh   map[mesh.HostID]*Counters // new version, by target host
	old     Counters
	control Counters
}

// views sums the rows of a move in several stores by data centre of the targets.
func views(move mesh.MoveID, stores ...*store) map[mesh.DataCentre]*view {
	out := map[mesh.DataCentre]*view{}
	for _, s := range stores {
		for k, c := range s.moves[move] {
			if out[k.dc] == nil {
				out[k.dc] = &view{fresh: map[mesh.HostID]*Counters{}}
			}
			out[k.dc].add(k, c)
		}
	}
	return out
}

func (v *view) add(k rowKey, c *Counters) {
	switch k.side {
	case SideNew:
		if v.fresh[k.target] == nil {
			v.fresh[k.target] = &Counters{}
		}
		v.fresh[k.target].combine(c, sum)
	case SideOld:
		v.old.combine(c, sum)
	case SideControl:
		v.control.combine(c, sum)
	}
}

// since returns the part of v that prev does not hold.
func (v *view) since(prev *view) *view {
	d := &view{fresh: map[mesh.HostID]*Counters{}, old: v.old.clone(), control: v.control.clone()}
	if prev != nil {
		d.old.combine(&prev.old, minus)
		d.control.combine(&prev.control, minus)
	}
	for h, c := range v.fresh {
		n := c.clone()
		if prev != nil && prev.fresh[h] != nil {
			n.combine(prev.fresh[h], minus)
		}
		d.fresh[h] = &n
	}
	return d
}

func (s *store) drop(move mesh.MoveID) { delete(s.moves, move) }
