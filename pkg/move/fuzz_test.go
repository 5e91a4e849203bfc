package move

import (
	"testing"
	"time"
)

// Guards against evidence of a faulty peer that crashes a node or raises a share
// above the full share by impossible numbers.
func FuzzDecodeEvidence(f *testing.F) {
	r := testRule(start.Add(time.Minute))
	valid, err := EncodeEvidence([]Evidence{{
		Move: r.MoveID(), Side: SideNew, DataCentre: "a", Instance: 1,
		Targets: []TargetCounters{{Host: "h2", Counters: Counters{Calls: 9, Failed: 1, Latency: []uint64{3, 6}}}},
	}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Add([]byte{0x9f})
	f.Fuzz(func(t *testing.T, b []byte) {
		list, err := DecodeEvidence(b)
		if err != nil {
			return
		}
		c := NewController(Config{Self: "h1", DataCentre: "a"})
		c.Apply(testSnapshot(1, start, r))
		for i := range list {
			list[i].Move = r.MoveID()
		}
		c.MergeEvidence("h2", list)
		for i := range 20 {
			c.Tick(start.Add(time.Duration(i) * time.Second))
		}
		for _, m := range c.Moves() {
			if m.Share > FullShare {
				t.Fatalf("share %d", m.Share)
			}
		}
	})
}
