package move

import (
	"cmp"
	"slices"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

type rowKey struct {
	from     mesh.HostID // the node that counted the calls
	instance uint64
	side     Side
	dc       mesh.DataCentre
	target   mesh.HostID
}

// counterStore merges the counters of many nodes. Merging takes the maximum of
// each counter, so it is commutative, associative and idempotent. Counters of an
// earlier instance of a node are kept in rows of their own.
type counterStore struct {
	moves map[mesh.MoveID]map[rowKey]*Counters
}

func newCounterStore() *counterStore {
	return &counterStore{moves: map[mesh.MoveID]map[rowKey]*Counters{}}
}

func (s *counterStore) row(move mesh.MoveID, k rowKey) *Counters {
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

// join sets each counter of a row to the maximum of the row and c, and returns
// the increase.
func (s *counterStore) join(move mesh.MoveID, k rowKey, c *Counters) *Counters {
	row := s.row(move, k)
	increase := c.clone()
	increase.combine(row, subtract)
	row.combine(c, maximum)
	return &increase
}

// evidence returns the rows of a move in a stable order. All rows must be of the
// same node and instance.
func (s *counterStore) evidence(move mesh.MoveID) []Evidence {
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

// forEach calls f for all rows of a move in one data centre.
func (s *counterStore) forEach(move mesh.MoveID, dc mesh.DataCentre, f func(rowKey, *Counters)) {
	for k, c := range s.moves[move] {
		if k.dc == dc {
			f(k, c)
		}
	}
}

func (s *counterStore) deleteMove(move mesh.MoveID) { delete(s.moves, move) }
