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

// join raises a row to the maximum of each counter and returns what it gained.
func (s *store) join(move mesh.MoveID, k rowKey, c *Counters) *Counters {
	row := s.row(move, k)
	gain := c.clone()
	gain.combine(row, minus)
	row.combine(c, maximum)
	return &gain
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

// each calls f for all rows of a move in one data centre.
func (s *store) each(move mesh.MoveID, dc mesh.DataCentre, f func(rowKey, *Counters)) {
	for k, c := range s.moves[move] {
		if k.dc == dc {
			f(k, c)
		}
	}
}

func (s *store) drop(move mesh.MoveID) { delete(s.moves, move) }
