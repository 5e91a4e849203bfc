package membership

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// step is a change of a table: a merged record, or a wait when seconds is set.
type step struct {
	record  Host
	seconds int
}

// Guards against a shared list of hosts that misses a change, keeps a host that
// must be hidden, is out of order, or changes while a caller reads it.
func TestHostsFollowsTheRecords(t *testing.T) {
	steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
			return step{seconds: rapid.IntRange(1, 8).Draw(t, "seconds")}
		}
		return step{record: Host{
			ID:          mesh.HostID(fmt.Sprint("h", rapid.IntRange(0, 8).Draw(t, "host"))),
			Status:      rapid.SampledFrom([]Status{StatusAlive, StatusSuspect, StatusFailed, StatusLeft}).Draw(t, "status"),
			Incarnation: rapid.Uint64Range(1, 5).Draw(t, "incarnation"),
		}}
	}), 1, 40)
	rapid.Check(t, func(rt *rapid.T) {
		play := steps.Draw(rt, "steps")
		synctest.Test(t, func(t *testing.T) { playSteps(t, play) })
	})
}

func playSteps(t *testing.T, steps []step) {
	opts := Options{HideAfter: 5 * time.Second, Retention: 20 * time.Second}
	table := NewTable(Host{ID: "self", Incarnation: 1}, opts)
	for _, s := range steps {
		if s.seconds > 0 {
			time.Sleep(time.Duration(s.seconds) * time.Second)
			table.Tick(time.Now())
		} else {
			table.Merge([]Host{s.record})
		}
		got := table.Hosts()
		var want []Host
		for _, e := range table.hosts {
			if !e.isHidden(opts.HideAfter) {
				want = append(want, e.host)
			}
		}
		slices.SortFunc(want, func(a, b Host) int { return cmp.Compare(a.ID, b.ID) })
		if fmt.Sprint(got) != fmt.Sprint(want) {
			t.Fatalf("got %v\nwant %v", got, want)
		}
		before := fmt.Sprint(got)
		table.UpdateSelf(func(h *Host) { h.Targets = append(h.Targets, Target{ID: "t"}) })
		if fmt.Sprint(got) != before {
			t.Fatal("a list changed after it was returned")
		}
	}
}
