package move

import (
	"testing"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/source"
)

// newNonEvaluator returns a node whose data centre has another evaluator until
// *takeOver is set.
func newNonEvaluator(t *testing.T, vetoes *int) (c *Controller, takeOver *bool, other mesh.HostID) {
	t.Helper()
	rule := testRule(start.Add(time.Minute))
	for _, h := range []mesh.HostID{"x1", "x2", "x3", "x4", "x5", "x6"} {
		if Evaluator(rule.MoveID(), []mesh.HostID{"h1", h}) == h {
			other = h
		}
	}
	takeOver = new(bool)
	c = NewController(Config{Self: "h1", DataCentre: "a", OnVeto: func(source.Veto) { *vetoes++ }, Hosts: func() []mesh.HostID {
		if *takeOver {
			return []mesh.HostID{"h1"}
		}
		return []mesh.HostID{"h1", other}
	}})
	c.Apply(testSnapshot(1, start, rule))
	return c, takeOver, other
}

// Guards against an evaluator that takes over in the middle of a move and
// evaluates sums over steps with different shares, or that never evaluates the
// move afterwards.
func TestEvaluatorTakesOver(t *testing.T) {
	vetoes := 0
	c, takeOver, _ := newNonEvaluator(t, &vetoes)
	id := c.Moves()[0].Move
	calls := uint64(0)
	send := func(failed uint64) {
		calls += 100
		var targets []TargetCounters
		for _, h := range []mesh.HostID{"h1", "h2", "h3"} {
			targets = append(targets, TargetCounters{h, Counters{Calls: calls, Failed: failed}})
		}
		c.MergeEvidence("h2", []Evidence{
			{Move: id, Side: SideNew, DataCentre: "a", Instance: 1, Targets: targets},
			{Move: id, Side: SideOld, DataCentre: "a", Instance: 1, Targets: []TargetCounters{{Counters: Counters{Calls: 90 * calls}}}},
		})
	}
	tickAt := func(s float64) { c.Tick(start.Add(time.Duration(s * float64(time.Second)))) }
	tickAt(0)
	tickAt(15) // the second step
	send(80)
	*takeOver = true
	tickAt(17)
	tickAt(18)
	if vetoes > 0 {
		t.Fatal("evaluated the counters received before it took over")
	}
	for s := 23.0; s < 30; s++ {
		tickAt(s)
		send(80 + uint64(s))
		tickAt(s + 0.2)
	}
	if vetoes != 1 {
		t.Fatalf("%d vetoes for faults after the takeover, want 1", vetoes)
	}
}

// Guards against control traffic that continues without changes, and against
// counters that never arrive because one message was lost.
func TestOutgoingEvidenceHasChangesOnly(t *testing.T) {
	vetoes := 0
	c, _, other := newNonEvaluator(t, &vetoes)
	sent := func(s float64) int {
		c.Tick(start.Add(time.Duration(s * float64(time.Second))))
		return len(c.OutgoingEvidence()[other])
	}
	observe(c, "tray-1", "h1", OutcomeOK, 10)
	for i, tt := range []struct {
		at   float64
		call bool
		want int
	}{{0, false, 1}, {1, false, 0}, {2, true, 2}, {3, false, 0}, {11, false, 2}, {12, false, 0}} {
		if tt.call {
			observe(c, "tray-2", "h1", OutcomeOK, 1)
		}
		if got := sent(tt.at); got != tt.want {
			t.Errorf("case %d: %d rows, want %d", i, got, tt.want)
		}
	}
}
