package move

import (
	"sync"
	"testing"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/source"
)

// Guards against data races and deadlocks between the call path, the ticker and
// callbacks that call the controller. It needs the race detector.
func TestConcurrentUse(t *testing.T) {
	var c *Controller
	hosts := func() []mesh.HostID { return []mesh.HostID{"h1"} }
	c = NewController(Config{Self: "h1", DataCentre: "a", Hosts: hosts, MeshHosts: hosts, OnVeto: func(source.Veto) { c.Moves() }})
	rule := testRule(start.Add(time.Minute))
	c.Apply(testSnapshot(1, start, rule))
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Go(func() {
			for k := range 500 {
				c.Choose(&rule, uint64(k))
				observe(c, "tray-1", "h1", OutcomeOK, 2)
				observe(c, "tray-2", "h2", OutcomeFailed, i%2)
				switch k % 50 {
				case 0:
					c.Tick(start.Add(time.Duration(k) * 100 * time.Millisecond))
				case 1:
					c.MergeEvidence("h2", c.Evidence())
				case 2:
					c.OutgoingEvidence()
				case 3:
					c.Apply(testSnapshot(uint64(k), start, rule))
				}
			}
		})
	}
	wg.Wait()
}

func BenchmarkChoose(b *testing.B) {
	c := NewController(Config{Self: "h1", DataCentre: "a"})
	s := testSnapshot(1, start, testRule(start.Add(time.Minute)))
	c.Apply(s)
	b.RunParallel(func(pb *testing.PB) {
		for key := uint64(0); pb.Next(); key++ {
			c.Choose(&s.Rules[0], key)
		}
	})
}

func BenchmarkObserve(b *testing.B) {
	c := NewController(Config{Self: "h1", DataCentre: "a"})
	c.Apply(testSnapshot(1, start, testRule(start.Add(time.Minute))))
	o := Outcome{Service: "orderdesk", Version: "tray-1", Route: "GET /menus", Host: "h1", DataCentre: "a", Kind: OutcomeOK, Latency: 5 * time.Millisecond}
	for b.Loop() {
		c.Observe(o)
	}
}
