package move

import (
	"math"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// minOverload is the part of shed calls from which the version counts as overloaded.
const minOverload = 0.01

// batches makes one batch for each signal; nil where the signal cannot be judged.
func (p *progress) batches(t *tally, dc mesh.DataCentre) [signals]*batch {
	return [signals]*batch{
		signalFailure: p.failures(t),
		signalCold:    p.coldFailures(t),
		signalSlow:    p.slow(t),
		signalShed:    p.sheds(t, dc),
	}
}

// proportion is the part of the calls that belongs to the new version: the
// planned share, or the counted proportion when that is higher, since a larger
// value is the safer one for the version. At the full share it is counted
// against the control group.
func (p *progress) proportion(r *rolling) float64 {
	if p.full() {
		if r.control < 1 {
			return 1
		}
		return r.fresh / (r.fresh + r.control)
	}
	planned := float64(steps[max(0, p.step)]) / float64(FullShare)
	if r.fresh+r.old < minLatencies {
		return planned
	}
	return math.Max(planned, r.fresh/(r.fresh+r.old))
}

// failures makes the batch of failures, early ends and calls without an answer.
func (p *progress) failures(d *tally) *batch {
	b := &batch{hosts: map[mesh.HostID][2]float64{}, share: p.proportion(&d.roll), limit: failureLimit}
	skipNoAnswer := false
	if p.full() {
		b.otherBad = float64(d.control.bad())
		b.limit = math.Max(failureLimit, upperRate(float64(d.record.bad()), float64(d.record.Calls)))
		// Without the old version beside it, a missing answer may be overload or,
		// without any other traffic, a cut.
		skipNoAnswer = d.roll.control < 1 || d.overloaded()
	} else {
		b.otherBad = float64(d.old.bad())
	}
	for h, c := range d.fresh {
		n, bad := c.Calls, c.bad()
		if skipNoAnswer {
			n, bad = n-c.NoAnswers, bad-c.NoAnswers
		}
		b.add(h, n, bad)
	}
	return b
}

func (b *batch) add(h mesh.HostID, n, bad uint64) {
	if n == 0 && bad == 0 {
		return
	}
	b.hosts[h] = [2]float64{float64(n), float64(bad)}
	b.n += float64(n)
	b.bad += float64(bad)
}

// overloaded reports that the new version sheds calls or did so until recently;
// missing answers show later than sheds.
func (t *tally) overloaded() bool {
	return t.roll.shed > minOverload*(t.roll.fresh+t.roll.shed)
}

func (p *progress) coldFailures(d *tally) *batch {
	b := &batch{hosts: map[mesh.HostID][2]float64{}, share: p.proportion(&d.roll), limit: coldLimit}
	if p.full() {
		b.otherBad = float64(d.control.bad())
	} else {
		b.otherBad = float64(d.old.bad() + d.old.ColdFailed)
	}
	for h, c := range d.fresh {
		b.add(h, c.Cold, c.ColdFailed)
	}
	return b
}

// slow makes the batch of calls above the slow edge of the old version. At the
// full share an overload explains slow calls.
func (p *progress) slow(d *tally) *batch {
	if p.full() && (d.overloaded() || d.roll.timed < 1) {
		return nil
	}
	edge := slowEdge(&d.record)
	if edge == 0 {
		return nil
	}
	slow, all := d.record.slower(edge)
	b := &batch{
		hosts: map[mesh.HostID][2]float64{}, share: p.proportion(&d.roll),
		limit: math.Max(slowLimit, upperRate(float64(slow), float64(all))),
	}
	if p.full() {
		b.otherBad = float64(d.control.Slow)
		b.share = d.roll.fresh / (d.roll.fresh + d.roll.timed)
	} else {
		slow, _ := d.old.slower(edge)
		b.otherBad = float64(slow)
	}
	for h, c := range d.fresh {
		slow, all := c.slower(edge)
		b.add(h, all, slow)
	}
	return b
}

// sheds makes the batch of shed calls. They speak against the version only when
// its target hosts have no more load than those of the old version.
func (p *progress) sheds(d *tally, dc mesh.DataCentre) *batch {
	h := p.hosts[dc]
	if p.full() || h.fresh == 0 || h.old == 0 {
		return nil
	}
	t := d.total()
	if float64(t.Calls+t.Shed)/float64(h.fresh) > shedLoad*float64(d.old.Calls+d.old.Shed)/float64(h.old) {
		return nil
	}
	b := &batch{
		hosts: map[mesh.HostID][2]float64{}, share: p.proportion(&d.roll), limit: shedLimit,
		otherBad: float64(d.old.Shed),
	}
	for h, c := range d.fresh {
		b.add(h, c.Calls+c.Shed, c.Shed)
	}
	return b
}
