package evacuation

import "nutmeghoist.example/nutmeghoist/pkg/mesh"

// Rows are the rows of evacuated data centres as one process has read them from the
// store: all at once, and then their changes. Its zero value holds none. It is not safe
// for concurrent use.
type Rows struct {
	version uint64
	rows    map[mesh.DataCentre]uint64 // versions
}

// Reset forgets all rows, since the table is read again at a version of the store.
func (s *Rows) Reset(version uint64) { s.version, s.rows = version, nil }

// Put records a row that was read or written.
func (s *Rows) Put(dc mesh.DataCentre, version uint64) {
	if s.rows == nil {
		s.rows = make(map[mesh.DataCentre]uint64)
	}
	s.rows[dc] = version
}

// Remove records that a row was removed.
func (s *Rows) Remove(dc mesh.DataCentre) { delete(s.rows, dc) }

// Advance records that the changes up to a version of the store are known.
func (s *Rows) Advance(version uint64) { s.version = version }

// Version returns the version of the store up to which the rows are known; 0 before the
// first read.
func (s *Rows) Version() uint64 { return s.version }

// Records returns the rows as records.
func (s *Rows) Records() []Record {
	out := make([]Record, 0, len(s.rows))
	for dc, version := range s.rows {
		out = append(out, Record{DataCentre: dc, Version: version, Active: true})
	}
	return out
}
