package membership

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// BucketCount is the number of digest buckets. At 2,200 hosts a bucket holds
// about 17 records, and all bucket digests take 1 KB.
const BucketCount = 128

// BucketOf returns the bucket of a host.
func BucketOf(id mesh.HostID) int { return int(xxhash.Sum64String(string(id)) % BucketCount) }

// recordHash hashes the host ID and the fields that order its records. Failed
// and left records count as absent, so that hosts which expire them at
// different times still compute equal digests.
func recordHash(h *Host) uint64 {
	if h.Status.isTerminal() {
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
func (t *Table) BucketDigests() [BucketCount]uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.digests
}

// Digest returns one digest over all records.
func (t *Table) Digest() uint64 {
	d := t.BucketDigests()
	return HashDigests(d[:])
}

// HashDigests hashes bucket digests into one digest. It depends on their
// positions, so that equal digests in different buckets do not cancel out.
func HashDigests(buckets []uint64) uint64 {
	b := make([]byte, 0, 8*BucketCount)
	for _, d := range buckets {
		b = binary.LittleEndian.AppendUint64(b, d)
	}
	return xxhash.Sum64(b)
}

// HostsInBuckets returns the records of the given buckets, except the failed
// and left ones, which are in no digest.
func (t *Table) HostsInBuckets(buckets map[int]bool) []Host {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.collect(func(e *entry) bool { return !e.host.Status.isTerminal() && buckets[BucketOf(e.host.ID)] })
}
