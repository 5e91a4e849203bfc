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

// BenchmarkPickCheapest measures a pick in a large service, of which a sixth is in
// the local data centre.
func BenchmarkPickCheapest(b *testing.B) {
	for _, n := range []int{12, 167} {
		for _, local := range []bool{true, false} {
			b.Run(fmt.Sprintf("targets=%d,local=%v", n, local), func(b *testing.B) {
				now := time.Now()
				var targets []snapshot.Target
				for i := range n {
					id := fmt.Sprint("t", i)
					targets = append(targets, snapshot.Target{
						Target: membership.Target{ID: mesh.TargetID(id), Slots: 9, State: membership.TargetReady, ReadySince: now.Add(-time.Minute)},
						Host:   mesh.HostID("host-" + id), DataCentre: mesh.DataCentre(fmt.Sprint("dc", i%6)),
					})
				}
				tracker := NewTracker()
				set := tracker.NewSet("dc0", targets, now)
				for _, t := range targets {
					tracker.Stat(Key{t.Host, t.ID}).ReportLoad(Load{InFlight: 2, Limit: 9, Mean: 100 * time.Millisecond}, now)
				}
				left := time.Millisecond // no target is in time, so that all are visited
				if local {
					left = time.Second
				}
				rng := rand.New(rand.NewPCG(1, 2))
				for b.Loop() {
					now = now.Add(50 * time.Microsecond)
					set.PickCheapest(now, rng, &PreviousAttempts{}, CostParams{TimeLeft: left, MeanServiceTime: 100 * time.Millisecond, RemoteCost: 25 * time.Millisecond})
				}
			})
		}
	}
}
