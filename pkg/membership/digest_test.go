package membership

import (
	"fmt"
	"testing"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// Guards against a repair that sends records which both sides hold, or leaves
// out one that only one side holds, and against hosts that are gone and keep
// the sides apart.
func TestDifference(t *testing.T) {
	record := func(i int, sequence uint64, s Status) Host {
		return Host{ID: mesh.HostID(fmt.Sprint("h", i)), DataCentre: "north", PeerAddress: "127.0.0.1:1", CallAddress: "127.0.0.1:2", Incarnation: 1, Sequence: sequence, Status: s}
	}
	table := func(id string) *Table {
		own := record(0, 1, StatusAlive)
		own.ID = mesh.HostID(id)
		return NewTable(own, Options{})
	}
	a, b := table("a"), table("b")
	var both []Host
	for i := range 500 {
		both = append(both, record(i, 1, StatusAlive))
	}
	a.Merge(both)
	b.Merge(both)
	a.Merge([]Host{record(1, 2, StatusAlive), record(700, 1, StatusAlive), record(900, 1, StatusLeft)})
	b.Merge([]Host{record(2, 2, StatusAlive), record(800, 1, StatusAlive)})
	buckets := make(map[int]bool)
	for i := range Buckets {
		buckets[i] = true
	}
	extra, lacking := a.Difference(buckets, b.HashesIn(buckets))
	want := map[mesh.HostID]bool{"a": true, "h1": true, "h2": true, "h700": true}
	for _, h := range extra {
		if !want[h.ID] {
			t.Errorf("%s is sent and not needed", h.ID)
		}
		delete(want, h.ID)
	}
	if len(want) > 0 {
		t.Errorf("%v are not sent", want)
	}
	// The other side holds b, h1, h2 and h800 alone.
	if len(lacking) != 4 {
		t.Errorf("asks for %d records, want 4", len(lacking))
	}
	b.Merge(extra)
	a.Merge(b.WithHashes(lacking))
	if a.Digest() != b.Digest() {
		t.Error("the tables still differ after the exchange")
	}
	if extra, lacking = a.Difference(map[int]bool{}, nil); len(extra)+len(lacking) > 0 {
		t.Error("records outside the buckets are compared")
	}
}
