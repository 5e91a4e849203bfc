package move

import (
	"math"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// overloadShedRate is the fraction of shed calls from which a version counts as
// overloaded.
const overloadShedRate = 0.01

// batches returns one batch for each signal, nil for a signal that cannot be
// evaluated.
func (p *progress) batches(t *tally, dc mesh.DataCentre) [signalCount]*batch {
	return [signalCount]*batch{
		signalFailure: p.failureBatch(t),
		signalCold:    p.coldFailureBatch(t),
		signalSlow:    p.slowBatch(t),
		signalShed:    p.shedBatch(t, dc),
	}
}

// newProportion returns the proportion of the calls that go to the new version:
// the planned share, or the counted proportion when that is higher, since a
// higher value makes a false alarm less likely. At the full share it is the
// counted proportion relative to the control group.
func (p *progress) newProportion(d *decayedCounts) float64 {
	if p.full() {
		if d.controlCalls < 1 {
			return 1
		}
		return d.newCalls / (d.newCalls + d.controlCalls)
	}
	planned := float64(steps[max(0, p.step)]) / float64(FullShare)
	if d.newCalls+d.oldCalls < minSamples {
		return planned
	}
	return math.Max(planned, d.newCalls/(d.newCalls+d.oldCalls))
}

// failureBatch returns the batch of failures, early ends and calls without an
// answer.
func (p *progress) failureBatch(t *tally) *batch {
	b := &batch{hosts: map[mesh.HostID][2]float64{}, share: p.newProportion(&t.decayed), toleratedRate: failureLimit}
	skipNoAnswer := false
	if p.full() {
		b.otherBad = float64(t.control.bad())
		b.toleratedRate = math.Max(failureLimit, upperRate(float64(t.oldHistory.bad()), float64(t.oldHistory.Calls)))
		// Without calls to the old version for comparison, a missing answer can be
		// due to overload or, without any other traffic, to a network partition.
		skipNoAnswer = t.decayed.controlCalls < 1 || t.overloaded()
	} else {
		b.otherBad = float64(t.old.bad())
	}
	for h, c := range t.newByHost {
		n, bad := c.Calls, c.bad()
		if skipNoAnswer {
			n, bad = n-c.NoAnswers, bad-c.NoAnswers
		}
		b.addHost(h, n, bad)
	}
	return b
}

func (b *batch) addHost(h mesh.HostID, n, bad uint64) {
	if n == 0 && bad == 0 {
		return
	}
	b.hosts[h] = [2]float64{float64(n), float64(bad)}
	b.calls += float64(n)
	b.bad += float64(bad)
}

// overloaded reports whether the new version sheds calls or did so until
// recently. The recent past counts because an overload causes missing answers
// later than sheds.
func (t *tally) overloaded() bool {
	return t.decayed.newShed > overloadShedRate*(t.decayed.newCalls+t.decayed.newShed)
}

// coldFailureBatch returns the batch of failures of targets that warm up.
func (p *progress) coldFailureBatch(t *tally) *batch {
	b := &batch{hosts: map[mesh.HostID][2]float64{}, share: p.newProportion(&t.decayed), toleratedRate: coldLimit}
	if p.full() {
		b.otherBad = float64(t.control.bad())
	} else {
		b.otherBad = float64(t.old.bad() + t.old.ColdFailed)
	}
	for h, c := range t.newByHost {
		b.addHost(h, c.Cold, c.ColdFailed)
	}
	return b
}

// slowBatch returns the batch of calls that are slow by the latencies of the old
// version. At the full share it returns nil during an overload, which makes
// calls slow as well.
func (p *progress) slowBatch(t *tally) *batch {
	if p.full() && (t.overloaded() || t.decayed.controlTimed < 1) {
		return nil
	}
	firstSlow := firstSlowBucket(&t.oldHistory)
	if firstSlow == 0 {
		return nil
	}
	slow, all := t.oldHistory.slowCalls(firstSlow)
	b := &batch{
		hosts: map[mesh.HostID][2]float64{}, share: p.newProportion(&t.decayed),
		toleratedRate: math.Max(slowLimit, upperRate(float64(slow), float64(all))),
	}
	if p.full() {
		b.otherBad = float64(t.control.Slow)
		b.share = t.decayed.newCalls / (t.decayed.newCalls + t.decayed.controlTimed)
	} else {
		slow, _ := t.old.slowCalls(firstSlow)
		b.otherBad = float64(slow)
	}
	for h, c := range t.newByHost {
		slow, all := c.slowCalls(firstSlow)
		b.addHost(h, all, slow)
	}
	return b
}

// shedBatch returns the batch of shed calls. It returns nil while a target host
// of the new version gets more than maxShedLoadRatio times the load of one of
// the old version, since the version is then not to blame for the sheds.
func (p *progress) shedBatch(t *tally, dc mesh.DataCentre) *batch {
	h := p.hosts[dc]
	if p.full() || h.newVersion == 0 || h.oldVersion == 0 {
		return nil
	}
	total := t.newTotal()
	if float64(total.Calls+total.Shed)/float64(h.newVersion) > maxShedLoadRatio*float64(t.old.Calls+t.old.Shed)/float64(h.oldVersion) {
		return nil
	}
	b := &batch{
		hosts: map[mesh.HostID][2]float64{}, share: p.newProportion(&t.decayed), toleratedRate: shedLimit,
		otherBad: float64(t.old.Shed),
	}
	for h, c := range t.newByHost {
		b.addHost(h, c.Calls+c.Shed, c.Shed)
	}
	return b
}
