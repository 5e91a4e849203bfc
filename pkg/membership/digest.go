package membership

import (
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// Buckets is the number of digest buckets. At 2,200 hosts a bucket holds about
// 17 records, and all bucket digests take 1 KB.
const Buckets = 128

// BucketOf returns the bucket of a host.
func BucketOf(id mesh.HostID) int { return int(xxhash.Sum64String(string(id)) % Buckets) }

// recordHash hashes what orders a record. Failed and left records count as
// absent, so that hosts that expire them at different times still agree.
func recordHash(h *Host) uint64 {
	if h.Status.gone() {
		return 0
	}
	b := make([]byte, 0, 64)
	b = binary.LittleEndian.AppendUint64(b, h.Incarnation)
	b = binary.LittleEndian.AppendUint64(b, h.Sequence)
	b = append(b, byte(h.Status))
	return xxhash.Sum64(append(b, h.ID...))
}

// BucketDigests returns the digest of each bucket: the sum of the hashes of
// its records. Equal sets of records have equal digests.
func (t *Table) BucketDigests() [Buckets]uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.digests
}

// Digest returns one digest over all records.
func (t *Table) Digest() uint64 {
	d := t.BucketDigests()
	return SumDigests(d[:])
}

// SumDigests combines bucket digests into one. Each position counts, so that
// equal digests in different buckets do not cancel out.
func SumDigests(buckets []uint64) uint64 {
	b := make([]byte, 0, 8*Buckets)
	for _, d := range buckets {
		b = binary.LittleEndian.AppendUint64(b, d)
	}
	return xxhash.Sum64(b)
}

// HashesIn returns the hashes of the records of the given buckets that the
// digests cover.
func (t *Table) HashesIn(buckets map[int]bool) []uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var hashes []uint64
	for _, e := range t.hosts {
		if e.covered(buckets) {
			hashes = append(hashes, recordHash(&e.host))
		}
	}
	return hashes
}

// Difference compares the records of the given buckets with the hashes of those
// that another table holds. It returns the records that the other lacks, and the
// hashes of those that this one lacks.
func (t *Table) Difference(buckets map[int]bool, held []uint64) (extra []Host, lacking []uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	missing := make(map[uint64]bool, len(held))
	for _, h := range held {
		missing[h] = true
	}
	extra = t.collect(func(e *entry) bool {
		if !e.covered(buckets) {
			return false
		}
		hash := recordHash(&e.host)
		known := missing[hash]
		delete(missing, hash)
		return !known
	})
	return extra, slices.Collect(maps.Keys(missing))
}

// WithHashes returns the records that have one of the given hashes.
func (t *Table) WithHashes(hashes []uint64) []Host {
	wanted := make(map[uint64]bool, len(hashes))
	for _, h := range hashes {
		wanted[h] = true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.collect(func(e *entry) bool { return !e.host.Status.gone() && wanted[recordHash(&e.host)] })
}

// covered reports whether the digest of one of the buckets covers the record.
func (e *entry) covered(buckets map[int]bool) bool {
	return !e.host.Status.gone() && buckets[BucketOf(e.host.ID)]
}
