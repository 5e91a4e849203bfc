package routing

import (
	"fmt"
	"testing"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/snapshot"
)

// Guards against nodes that try the same suspect at several targets at once, and against
// a trial at the last target of a service.
func TestPickTrial(t *testing.T) {
	now := time.Now()
	set := func(dc mesh.DataCentre) *Set {
		var targets []snapshot.Target
		for i := range 4 {
			targets = append(targets, snapshot.Target{
				Target: membership.Target{ID: mesh.TargetID(fmt.Sprint("t", i)), State: membership.TargetReady, Slots: 9},
				Host:   mesh.HostID(fmt.Sprint("h", i)), DataCentre: mesh.DataCentre(fmt.Sprint("dc", i%2)),
			})
		}
		return NewTracker().NewSet(dc, targets, now)
	}
	a, b := set("dc0"), set("dc1")
	picked := map[mesh.TargetID]bool{}
	for i := range 20 {
		key := []byte(fmt.Sprint("key", i))
		x, y := a.PickTrial(now, key, &PreviousAttempts{}, nil), b.PickTrial(now, key, &PreviousAttempts{}, nil)
		if x.ID != y.ID {
			t.Errorf("%s: %s in one data centre, %s in the other", key, x.ID, y.ID)
		}
		if next := a.PickTrial(now, key, &PreviousAttempts{Targets: []*Candidate{x}}, nil); next == nil || next.ID == x.ID {
			t.Errorf("%s: %v after %s was tried", key, next, x.ID)
		}
		picked[x.ID] = true
	}
	if len(picked) < 3 {
		t.Errorf("20 suspects are tried at %d of 4 targets", len(picked))
	}
	last := func(c *Candidate) bool { return c.ID != "t2" }
	if c := a.PickTrial(now, []byte("key"), &PreviousAttempts{}, last); c != nil {
		t.Errorf("trial at %s, the last usable target", c.ID)
	}
}
