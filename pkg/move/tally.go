package move

import (
	"math"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// rollHalfLife is the half-life of the counts that give the proportions of the
// groups between batches.
const rollHalfLife = 5 * time.Second

// tally collects outcomes between two judgements of a data centre.
type tally struct {
	fresh   map[mesh.HostID]*Counters // new version, by target host
	old     Counters
	control Counters
	record  Counters // the old version before this batch
	urgent  bool     // the new version has failures in this batch
	roll    rolling
	at      time.Duration // monotonic time of the last judgement
}

// rolling holds decayed counts of calls by group.
type rolling struct{ fresh, shed, old, control, timed float64 }

func newTally(now time.Duration) *tally {
	return &tally{fresh: map[mesh.HostID]*Counters{}, at: now}
}

// group returns the counters that an outcome or a row belongs to.
func (t *tally) group(side Side, target mesh.HostID) *Counters {
	switch side {
	case SideOld:
		return &t.old
	case SideControl:
		return &t.control
	}
	c, ok := t.fresh[target]
	if !ok {
		c = &Counters{}
		t.fresh[target] = c
	}
	return c
}

func (t *tally) add(side Side, target mesh.HostID, delta *Counters) {
	t.group(side, target).combine(delta, sum)
	if side == SideNew && delta.bad()+delta.ColdFailed+delta.Shed > 0 {
		t.urgent = true
	}
}

// due reports whether the batch is judged now: at once with failures, else every second.
func (t *tally) due(now time.Duration) bool { return t.urgent || now-t.at >= evidencePeriod }

// total sums the new version's counters over target hosts.
func (t *tally) total() *Counters {
	n := &Counters{}
	for _, c := range t.fresh {
		n.combineScalars(c, sum)
	}
	return n
}

// close updates the decayed counts before a batch is judged and returns the
// time since the last one.
func (t *tally) close(now time.Duration) time.Duration {
	elapsed := now - t.at
	k := math.Exp2(-float64(elapsed) / float64(rollHalfLife))
	fresh := t.total()
	t.roll.fresh = t.roll.fresh*k + float64(fresh.Calls)
	t.roll.shed = t.roll.shed*k + float64(fresh.Shed)
	t.roll.old = t.roll.old*k + float64(t.old.Calls)
	t.roll.control = t.roll.control*k + float64(t.control.Calls)
	t.roll.timed = t.roll.timed*k + float64(t.control.Timed)
	t.at = now
	return elapsed
}

// clear starts the next batch.
func (t *tally) clear() {
	t.record.combine(&t.old, sum)
	t.old.reset()
	t.control.reset()
	for _, c := range t.fresh {
		c.reset()
	}
	t.urgent = false
}
