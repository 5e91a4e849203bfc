package move

import (
	"math"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// oddsRatios are the alternatives of the mixture: how much larger the odds of a
// bad outcome are with the new version. The smallest one sets the tolerance: a
// difference of less than about a factor of two is not held against a version.
var oddsRatios = [...]float64{3, 10, 30, 100}

// Limits of the statistic. The ceiling keeps the statistic able to fall again
// when the comparison group starts to fail as well.
const (
	startWeight      = 0.5 // part of the weight for a fault at the start; the rest is spread over the life of the move
	statisticCeiling = 1e12
	maxLogStep       = 600 // keeps exp in the range of float64
	maxLeftOut       = 16  // with more failing hosts than this no single host explains the failures
)

type mixture [len(oddsRatios)]float64

// detector is a sequential test for a change at an unknown time. It follows
// M = (M + w) * L over batches of outcomes, where L is a likelihood ratio and
// the weights w sum to at most 1. M is a mixture of likelihood ratio processes
// that start at different times, so by Ville's inequality it reaches 1/alpha
// with probability at most alpha during the whole life of the move.
//
// The same statistic without the outcomes of each failing target host is kept
// beside it; the lowest one decides, so that no single host can condemn a version.
type detector struct {
	all     mixture
	leftOut map[mesh.HostID]*mixture
	started bool
}

// batch is a group of outcomes that were seen together.
type batch struct {
	n, bad   float64                    // new version
	hosts    map[mesh.HostID][2]float64 // n and bad by target host
	otherBad float64                    // bad outcomes of the comparison group
	share    float64                    // probability that a call belongs to the new version rather than the comparison group; 1 without a group
	limit    float64                    // rate of bad outcomes that is always tolerated
}

// update adds a batch; weight is the part of the life of the move since the
// previous batch.
func (d *detector) update(b *batch, weight float64) {
	w := (1 - startWeight) * weight
	if !d.started {
		d.started = true
		w += startWeight
	}
	if d.leftOut == nil {
		d.leftOut = map[mesh.HostID]*mixture{}
	}
	for h, c := range b.hosts {
		if c[1] > 0 && d.leftOut[h] == nil && len(d.leftOut) < maxLeftOut {
			m := d.all
			d.leftOut[h] = &m
		}
	}
	d.all.update(b, b.n, b.bad, w)
	for h, m := range d.leftOut {
		c := b.hosts[h]
		m.update(b, b.n-c[0], b.bad-c[1], w)
	}
}

func (m *mixture) update(b *batch, n, bad, w float64) {
	for i, ratio := range oddsRatios {
		l := math.Min(maxLogStep, logRatio(b, n, bad, ratio))
		m[i] = math.Min(statisticCeiling, (m[i]+w)*math.Exp(l))
	}
}

// logRatio is the smaller one of two log likelihood ratios. One compares the
// rate of bad outcomes with the tolerated limit (Wald's test of a binomial
// proportion). The other looks at bad outcomes only and compares the part of
// them that belongs to the new version with its share of the calls (Wald's test
// of two proportions by the pairs that differ); what hits both groups cancels out.
func logRatio(b *batch, n, bad, ratio float64) float64 {
	p := withOdds(b.limit, ratio)
	l := bad*math.Log(p/b.limit) + (n-bad)*math.Log((1-p)/(1-b.limit))
	if b.share >= 1 {
		return l
	}
	s := withOdds(b.share, ratio)
	return math.Min(l, bad*math.Log(s/b.share)+b.otherBad*math.Log((1-s)/(1-b.share)))
}

func withOdds(p, ratio float64) float64 { return ratio * p / (1 - p + ratio*p) }

// value returns the logarithm of the statistic. With targets on one host only,
// there is no other host that could speak for the version.
func (d *detector) value(targetHosts int) float64 {
	v := d.all.mean()
	if targetHosts > 1 {
		for _, m := range d.leftOut {
			v = math.Min(v, m.mean())
		}
	}
	return math.Log(v)
}

func (m *mixture) mean() float64 {
	t := 0.0
	for _, x := range m {
		t += x
	}
	return t / float64(len(m))
}

// upperRate is the upper Wilson bound (two standard deviations) of a rate, with
// half a bad outcome in 50 calls added so that little data gives no tight bound.
func upperRate(bad, n float64) float64 {
	const z = 2.0
	bad, n = bad+0.5, n+50
	p := bad / n
	return (p + z*z/(2*n) + z*math.Sqrt(p*(1-p)/n+z*z/(4*n*n))) / (1 + z*z/n)
}
