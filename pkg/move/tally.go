package move

import (
	"math"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// decayHalfLife is the half-life of decayedCounts.
const decayHalfLife = 5 * time.Second

// tally holds the counts of a data centre for the current batch, and the history
// that its evaluation needs.
type tally struct {
	newByHost   map[mesh.HostID]*Counters // calls to the new version, by target host
	old         Counters                  // calls to the old version
	control     Counters                  // calls to other services
	oldHistory  Counters                  // calls to the old version before this batch
	urgent      bool                      // the new version has failures in this batch
	decayed     decayedCounts
	evaluatedAt time.Duration // monotonic time of the last evaluation
}

// decayedCounts holds exponentially decayed counts of calls by group. They give
// the proportions of the groups across batches.
type decayedCounts struct{ newCalls, newShed, oldCalls, controlCalls, controlTimed float64 }

func newTally(now time.Duration) *tally {
	return &tally{newByHost: map[mesh.HostID]*Counters{}, evaluatedAt: now}
}

// counters returns the counters of a side and, for the new version, a target
// host.
func (t *tally) counters(side Side, target mesh.HostID) *Counters {
	switch side {
	case SideOld:
		return &t.old
	case SideControl:
		return &t.control
	}
	c, ok := t.newByHost[target]
	if !ok {
		c = &Counters{}
		t.newByHost[target] = c
	}
	return c
}

func (t *tally) add(side Side, target mesh.HostID, delta *Counters) {
	t.counters(side, target).combine(delta, sum)
	if side == SideNew && delta.bad()+delta.ColdFailed+delta.Shed > 0 {
		t.urgent = true
	}
}

// observe adds one outcome.
func (t *tally) observe(side Side, target mesh.HostID, o *Outcome) {
	t.counters(side, target).add(o)
	t.urgent = t.urgent || (side == SideNew && (o.Kind.bad() || o.Kind == OutcomeShed))
}

// evaluationDue reports whether the batch must be evaluated now: at once after
// failures, otherwise every second.
func (t *tally) evaluationDue(now time.Duration) bool {
	return t.urgent || now-t.evaluatedAt >= evidencePeriod
}

// newTotal returns the sum of the new version's counters over all target hosts.
func (t *tally) newTotal() *Counters {
	n := &Counters{}
	for _, c := range t.newByHost {
		n.combineScalars(c, sum)
	}
	return n
}

// closeBatch updates the decayed counts before a batch is evaluated and returns
// the time since the last evaluation.
func (t *tally) closeBatch(now time.Duration) time.Duration {
	elapsed := now - t.evaluatedAt
	decay := math.Exp2(-float64(elapsed) / float64(decayHalfLife))
	newCounters := t.newTotal()
	t.decayed.newCalls = t.decayed.newCalls*decay + float64(newCounters.Calls)
	t.decayed.newShed = t.decayed.newShed*decay + float64(newCounters.Shed)
	t.decayed.oldCalls = t.decayed.oldCalls*decay + float64(t.old.Calls)
	t.decayed.controlCalls = t.decayed.controlCalls*decay + float64(t.control.Calls)
	t.decayed.controlTimed = t.decayed.controlTimed*decay + float64(t.control.Timed)
	t.evaluatedAt = now
	return elapsed
}

// startBatch adds the old version's counts to its history and clears the counts
// of the batch.
func (t *tally) startBatch() {
	t.oldHistory.combine(&t.old, sum)
	t.old.reset()
	t.control.reset()
	for _, c := range t.newByHost {
		c.reset()
	}
	t.urgent = false
}
