// Package evacuation keeps which data centres the operators have evacuated. Targets of an
// evacuated data centre get no calls until the operators take it back.
//
// The truth is a row of the platform's store for each evacuated data centre. Hosts tell
// each other what they know as records with versions of the store. Records merge to the
// newest, so that reads of the store and messages of other hosts may arrive in any order.
package evacuation

import (
	"encoding/binary"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// maxRecords bounds the data centres that are remembered, and maxNameBytes their names.
const (
	maxRecords   = 1024
	maxNameBytes = 256
)

// Record says whether a data centre was evacuated at a version of the store.
type Record struct {
	DataCentre mesh.DataCentre `cbor:"1,keyasint"`
	// Version is that of the row while the data centre is evacuated. Once it is taken
	// back, it is a version of the store at which there was no row.
	Version uint64 `cbor:"2,keyasint"`
	Active  bool   `cbor:"3,keyasint,omitempty"`
}

// Validate returns an error if the record cannot be one of a host.
func (r *Record) Validate() error {
	if r.DataCentre == "" || len(r.DataCentre) > maxNameBytes {
		return fmt.Errorf("evacuation of data centre %.64q is malformed", r.DataCentre)
	}
	return nil
}

// Replaces reports whether the record replaces another one of the same data centre. No
// store gives one version to a row and to its absence; if that happens all the same, the
// side counts on which nothing is sent.
func (r *Record) Replaces(other *Record) bool {
	if r.Version != other.Version {
		return r.Version > other.Version
	}
	return r.Active && !other.Active
}

// Table holds the newest record of each data centre. It is safe for concurrent use. An
// empty table costs no lock.
type Table struct {
	active atomic.Pointer[map[mesh.DataCentre]bool] // nil while no data centre is evacuated

	mu      sync.Mutex
	records map[mesh.DataCentre]Record
	// complete is a version of the store at which this process has read all rows. An
	// evacuation of that version or an older one that it does not know has ended.
	complete uint64
	onChange func(changed []Record, from string)
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{records: make(map[mesh.DataCentre]Record)} }

// OnChange sets the function that is called with records that start or end an
// evacuation, and with where they were learned. It is set before the first use.
func (t *Table) OnChange(f func(changed []Record, from string)) { t.onChange = f }

// IsActive reports whether a data centre is evacuated.
func (t *Table) IsActive(dc mesh.DataCentre) bool {
	active := t.active.Load()
	return active != nil && (*active)[dc]
}

// AnyActive reports whether a data centre is evacuated.
func (t *Table) AnyActive() bool { return t.active.Load() != nil }

// ActiveCount returns the number of evacuated data centres.
func (t *Table) ActiveCount() int {
	if active := t.active.Load(); active != nil {
		return len(*active)
	}
	return 0
}

// Records returns the newest record of each data centre, in the order of their names.
func (t *Table) Records() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Record, 0, len(t.records))
	for _, r := range t.records {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b Record) int { return strings.Compare(string(a.DataCentre), string(b.DataCentre)) })
	return out
}

// Merge adds records of another host, which from names. It returns the records that are
// new to other hosts: those learned, and the end of an evacuation that the other host
// still takes for active although the store has been read since.
func (t *Table) Merge(records []Record, from string) (changed []Record) {
	t.mu.Lock()
	var effective []Record
	for _, r := range records {
		if r.Active && r.Version <= t.complete && !t.records[r.DataCentre].Active {
			r = Record{DataCentre: r.DataCentre, Version: t.complete}
		}
		changed, effective = t.put(r, changed, effective)
	}
	t.finish(effective, from)
	return changed
}

// ObserveStore applies all rows of the store, active records, as they were at a version.
// It returns the records that are new to other hosts.
func (t *Table) ObserveStore(rows []Record, version uint64) (changed []Record) {
	t.mu.Lock()
	t.complete = max(t.complete, version)
	var effective []Record
	present := make(map[mesh.DataCentre]bool, len(rows))
	for _, r := range rows {
		present[r.DataCentre] = true
		changed, effective = t.put(r, changed, effective)
	}
	for dc, known := range t.records {
		if known.Active && !present[dc] && known.Version <= version {
			changed, effective = t.put(Record{DataCentre: dc, Version: version}, changed, effective)
		}
	}
	t.finish(effective, "store")
	return changed
}

// put stores a record if it is newer than the one known, and appends it to changed, and
// to effective if it starts or ends an evacuation; t.mu must be held.
func (t *Table) put(r Record, changed, effective []Record) (_, _ []Record) {
	known, ok := t.records[r.DataCentre]
	if ok && !r.Replaces(&known) || !ok && len(t.records) >= maxRecords {
		return changed, effective
	}
	t.records[r.DataCentre] = r
	changed = append(changed, r)
	if r.Active != known.Active {
		effective = append(effective, r)
	}
	return changed, effective
}

// finish puts the evacuations that have started or ended in force and unlocks t.mu.
func (t *Table) finish(effective []Record, from string) {
	if len(effective) > 0 {
		active := make(map[mesh.DataCentre]bool)
		for dc, r := range t.records {
			if r.Active {
				active[dc] = true
			}
		}
		if len(active) > 0 {
			t.active.Store(&active)
		} else {
			t.active.Store(nil)
		}
	}
	t.mu.Unlock()
	if len(effective) > 0 && t.onChange != nil {
		t.onChange(effective, from)
	}
}

// AddDigests adds the hash of each record to one of the buckets, so that hosts with
// different records notice it. An empty table changes nothing.
func (t *Table) AddDigests(buckets []uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.records {
		b := append([]byte("evacuation\x00"), r.DataCentre...)
		b = binary.LittleEndian.AppendUint64(append(b, 0), r.Version)
		if r.Active {
			b = append(b, 1)
		}
		hash := xxhash.Sum64(b)
		buckets[hash%uint64(len(buckets))] += hash
	}
}
