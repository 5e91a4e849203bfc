package move

import (
	"math"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// oddsRatios are the alternative hypotheses of the mixture: by how much the odds
// of a bad outcome are larger with the new version. The smallest one sets the
// tolerance: a difference of less than about a factor of two does not count
// against a version.
var oddsRatios = [...]float64{3, 10, 30, 100}

// Limits of the statistic. The ceiling lets the statistic fall again when the
// comparison group starts to fail as well.
const (
	startWeight      = 0.5 // part of the weight for a fault at the start; the rest is spread over the lifetime of the move
	statisticCeiling = 1e12
	maxLogRatio      = 600 // keeps exp in the range of float64
	maxWithoutHost   = 16  // with more failing hosts than this, no single host explains the failures
)

// mixture holds the statistic for each of oddsRatios.
type mixture [len(oddsRatios)]float64

// detector is a sequential test for a change at an unknown time. It follows
// M = (M + w) * L over batches of outcomes, where L is a likelihood ratio and
// the weights w sum to at most 1. M is a mixture of likelihood ratio processes
// that start at different times, so by Ville's inequality it reaches 1/alpha
// with probability at most alpha during the whole lifetime of the move.
//
// For each failing target host the detector also computes the statistic without
// that host's outcomes (leave-one-out). The lowest value decides, so a single
// faulty host cannot cause a rollback.
type detector struct {
	all         mixture
	withoutHost map[mesh.HostID]*mixture // by the host that is left out
	started     bool
}

// batch is a group of outcomes that are evaluated together.
type batch struct {
	calls, bad    float64                    // new version
	hosts         map[mesh.HostID][2]float64 // calls and bad by target host
	otherBad      float64                    // bad outcomes of the comparison group
	share         float64                    // probability that a call belongs to the new version rather than the comparison group; 1 without a group
	toleratedRate float64                    // rate of bad outcomes that is always tolerated
}

// update adds a batch. weight is the fraction of the lifetime of the move that
// has passed since the previous batch.
func (d *detector) update(b *batch, weight float64) {
	w := (1 - startWeight) * weight
	if !d.started {
		d.started = true
		w += startWeight
	}
	if d.withoutHost == nil {
		d.withoutHost = map[mesh.HostID]*mixture{}
	}
	for h, c := range b.hosts {
		if c[1] > 0 && d.withoutHost[h] == nil && len(d.withoutHost) < maxWithoutHost {
			m := d.all
			d.withoutHost[h] = &m
		}
	}
	d.all.update(b, b.calls, b.bad, w)
	for h, m := range d.withoutHost {
		c := b.hosts[h]
		m.update(b, b.calls-c[0], b.bad-c[1], w)
	}
}

func (m *mixture) update(b *batch, calls, bad, w float64) {
	for i, ratio := range oddsRatios {
		l := math.Min(maxLogRatio, logLikelihoodRatio(b, calls, bad, ratio))
		m[i] = math.Min(statisticCeiling, (m[i]+w)*math.Exp(l))
	}
}

// logLikelihoodRatio returns the smaller of two log likelihood ratios. One
// compares the rate of bad outcomes with the tolerated rate (Wald's test of a
// binomial proportion). The other uses bad outcomes only and compares the new
// version's part of them with its share of the calls (Wald's test of two
// proportions by the discordant pairs), so a fault common to both groups cancels
// out.
func logLikelihoodRatio(b *batch, calls, bad, ratio float64) float64 {
	p := multiplyOdds(b.toleratedRate, ratio)
	l := bad*math.Log(p/b.toleratedRate) + (calls-bad)*math.Log((1-p)/(1-b.toleratedRate))
	if b.share >= 1 {
		return l
	}
	s := multiplyOdds(b.share, ratio)
	return math.Min(l, bad*math.Log(s/b.share)+b.otherBad*math.Log((1-s)/(1-b.share)))
}

// multiplyOdds returns the probability whose odds are ratio times those of p.
func multiplyOdds(p, ratio float64) float64 { return ratio * p / (1 - p + ratio*p) }

// logStatistic returns the logarithm of the statistic. With targets on one host
// only, no host is left out, since there is no other host to compare it with.
func (d *detector) logStatistic(targetHosts int) float64 {
	v := d.all.mean()
	if targetHosts > 1 {
		for _, m := range d.withoutHost {
			v = math.Min(v, m.mean())
		}
	}
	return math.Log(v)
}

func (m *mixture) mean() float64 {
	total := 0.0
	for _, x := range m {
		total += x
	}
	return total / float64(len(m))
}

// upperRate returns the upper bound of the Wilson interval (two standard
// deviations) of a rate. It adds half a bad outcome in 50 calls, so that little
// data does not give a tight bound.
func upperRate(bad, n float64) float64 {
	const z = 2.0
	bad, n = bad+0.5, n+50
	p := bad / n
	return (p + z*z/(2*n) + z*math.Sqrt(p*(1-p)/n+z*z/(4*n*n))) / (1 + z*z/n)
}
