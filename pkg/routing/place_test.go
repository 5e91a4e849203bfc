package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/snapshot"
)

// place describes a target in a table test.
type place struct {
	dc       mesh.DataCentre
	inFlight int
	queued   int
	mean     time.Duration
	faults   int  // failed calls in a row
	down     bool // refuses connections
}

func placeSet(now time.Time, places []place) *Set {
	tracker := NewTracker()
	var targets []snapshot.Target
	for i, p := range places {
		id := mesh.TargetID(fmt.Sprint(i))
		targets = append(targets, snapshot.Target{
			Target: membership.Target{ID: id, Slots: 10, State: membership.TargetReady}, Host: "h", DataCentre: p.dc,
		})
		stat := tracker.Stat(Key{"h", id})
		stat.ReportLoad(Load{InFlight: p.inFlight, Queued: p.queued, Limit: 10, Mean: p.mean}, now)
		for range p.faults {
			stat.countFault(true)
		}
		if p.down {
			stat.Record(SignalUnreachable, 0, now)
			stat.Record(SignalUnreachable, 0, now)
		}
	}
	return tracker.NewSet("north", targets, now)
}

// Guards against calls that cross data centres for nothing, that stay where
// they come too late, or that go to a target which fails them.
func TestPlace(t *testing.T) {
	const ms = time.Millisecond
	cases := []struct {
		name   string
		places []place
		left   time.Duration
		want   int
	}{
		{"own data centre although the other is idle", []place{{dc: "north", inFlight: 9, mean: 50 * ms}, {dc: "south", mean: 50 * ms}}, 200 * ms, 0},
		{"a short wait at home", []place{{dc: "north", inFlight: 10, queued: 5, mean: 50 * ms}, {dc: "south", mean: 50 * ms}}, 200 * ms, 0},
		{"away when home is too late", []place{{dc: "north", inFlight: 10, queued: 40, mean: 50 * ms}, {dc: "south", mean: 50 * ms}}, 200 * ms, 1},
		{"at home when both are as late", []place{{dc: "north", inFlight: 10, queued: 40, mean: 50 * ms}, {dc: "south", inFlight: 10, queued: 39, mean: 50 * ms}}, 200 * ms, 0},
		{"the faster one", []place{{dc: "north", mean: 150 * ms}, {dc: "north", mean: 50 * ms}}, 400 * ms, 1},
		{"the less loaded one", []place{{dc: "north", inFlight: 10, queued: 10, mean: 50 * ms}, {dc: "north", inFlight: 2, mean: 50 * ms}}, 400 * ms, 1},
		{"not the one that fails calls", []place{{dc: "north", mean: 50 * ms, faults: 8}, {dc: "north", inFlight: 8, mean: 50 * ms}}, 400 * ms, 1},
		{"away from one that fails calls", []place{{dc: "north", mean: 50 * ms, faults: 12}, {dc: "south", mean: 50 * ms}}, 200 * ms, 1},
		{"not the one that is down", []place{{dc: "north", mean: 50 * ms, down: true}, {dc: "south", mean: 50 * ms}}, 400 * ms, 1},
		{"one that is down when there is no other", []place{{dc: "north", mean: 50 * ms, down: true}}, 400 * ms, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			now := time.Now()
			s := placeSet(now, tc.places)
			rng := rand.New(rand.NewPCG(1, 1))
			for range 20 {
				c := s.PickCheapest(now, rng, &PreviousAttempts{}, CostParams{TimeLeft: tc.left, RemoteCost: 30 * ms})
				if c == nil || c.ID != mesh.TargetID(fmt.Sprint(tc.want)) {
					t.Fatalf("got %+v, want target %d", c, tc.want)
				}
			}
		})
	}
}

// Guards against a call that is placed again at a target which has refused it.
func TestPlaceLeavesOutTriedTargets(t *testing.T) {
	now := time.Now()
	s := placeSet(now, []place{{dc: "north"}, {dc: "south"}})
	rng := rand.New(rand.NewPCG(1, 1))
	tried := &PreviousAttempts{}
	for i := range 2 {
		c := s.PickCheapest(now, rng, tried, CostParams{TimeLeft: time.Second})
		if c == nil || tried.contains(c) {
			t.Fatalf("place %d: %+v", i, c)
		}
		tried.Targets = append(tried.Targets, c)
	}
	if c := s.PickCheapest(now, rng, tried, CostParams{TimeLeft: time.Second}); c != nil {
		t.Errorf("a third place: %+v", c)
	}
}
