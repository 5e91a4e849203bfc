package routing

import (
	"math"
	"math/rand/v2"
	"time"
)

// CostParams says how a call is to be placed.
type CostParams struct {
	// TimeLeft is the time until the answer stops being worth its full benefit.
	TimeLeft time.Duration
	// MeanServiceTime is the mean time of such calls at a target; 0 when not known.
	MeanServiceTime time.Duration
	// RemoteCost is what a call to another data centre costs beyond its time at
	// the target: the way there and back, and the load on links between data
	// centres that others share.
	RemoteCost time.Duration
	// WarmUp is how long a target is slow after its start.
	WarmUp time.Duration
}

// spareTime is the factor by which the time left must exceed the expected time
// at a target of the own data centre for the call to stay there. Calls of one
// kind differ in their time, and few take longer than this times the mean.
const spareTime = 1.5

// PickCheapest returns the target with the least expected cost for a call, or nil. The
// cost is the expected wait for a slot and the time at the target, plus what
// speaks against it: another data centre, failures, a cold start.
//
// A call stays in its data centre as long as it can be answered in time there,
// and leaves it only for a target that answers in time: a late answer is not
// worth the way. A call that was refused for load is placed again only where
// it is expected to be in time. Targets that are down, ejected or suspected are
// used only when there is no other.
func (s *Set) PickCheapest(now time.Time, rng *rand.Rand, tried *PreviousAttempts, p CostParams) *Candidate {
	keepOut := s.mayEject(now)
	left := float64(p.TimeLeft)
	own, cost := s.cheapest(now, rng, tried, &p, keepOut, true, false)
	if own != nil && cost*spareTime <= left {
		return own
	}
	if c, cost := s.cheapest(now, rng, tried, &p, keepOut, true, true); c != nil && cost <= left {
		return c
	}
	if tried.Shed {
		return nil
	}
	if own != nil {
		return own
	}
	if c, _ := s.cheapest(now, rng, tried, &p, keepOut, true, true); c != nil {
		return c
	}
	c, _ := s.cheapest(now, rng, tried, &p, false, false, true)
	return c
}

// mayEject reports whether ejected targets are left out: not when they are more
// than half of the set.
func (s *Set) mayEject(now time.Time) bool {
	ejected := 0
	for _, list := range [...][]*Candidate{s.own, s.other} {
		for _, c := range list {
			if c.Stat.ejected(now) {
				ejected++
			}
		}
	}
	return ejected*2 <= s.Len()
}

// speedOf returns the mean time of calls over the targets that told theirs.
func (s *Set) speedOf(now time.Time) time.Duration {
	sum, n := time.Duration(0), 0
	for _, list := range [...][]*Candidate{s.own, s.other} {
		for _, c := range list {
			if l, ok := c.Stat.known(now); ok && l.Mean > 0 {
				sum += l.Mean
				n++
			}
		}
	}
	if n == 0 {
		return 0
	}
	return sum / time.Duration(n)
}

func (s *Set) cheapest(now time.Time, rng *rand.Rand, tried *PreviousAttempts, p *CostParams, keepOut, sound, remote bool) (*Candidate, float64) {
	var best *Candidate
	least := math.Inf(1)
	mean := s.speedOf(now)
	visit := func(c *Candidate, extra time.Duration) {
		if tried.contains(c) || sound && (c.Suspect || c.Stat.down(now)) || keepOut && c.Stat.ejected(now) {
			return
		}
		// The jitter spreads calls over targets that cost the same.
		cost := (c.cost(now, p, mean) + float64(extra)) * (1 + 0.02*rng.Float64())
		if cost < least {
			best, least = c, cost
		}
	}
	for _, c := range s.own {
		visit(c, 0)
	}
	if remote {
		for _, c := range s.other {
			visit(c, p.RemoteCost)
		}
	}
	return best, least
}

// cost is the expected time of a call at the target, in nanoseconds, with what
// speaks against the target. mean is the mean time over all targets.
func (c *Candidate) cost(now time.Time, p *CostParams, mean time.Duration) float64 {
	own, limit := float64(unknownMean), float64(max(1, c.Slots))
	if mean > 0 {
		own = float64(mean)
	}
	if l, ok := c.Stat.known(now); ok {
		if l.Mean > 0 {
			own = float64(l.Mean)
		}
		if l.Limit > 0 {
			limit = float64(l.Limit)
		}
	}
	takes := own
	if p.MeanServiceTime > 0 && mean > 0 {
		takes = float64(p.MeanServiceTime) * own / float64(mean)
	}
	load := float64(c.Stat.load(now))
	wait := max(0, load+1-limit) * own / limit
	cost := wait + takes*(1+busyCost*min(1, load/limit))
	if now.Sub(c.since) < p.WarmUp {
		cost *= coldFactor
	}
	cost += math.Float64frombits(c.Stat.faults.Load()) * float64(faultCost)
	if c.Stat.shedding(now) {
		cost += own
	}
	return cost
}

// known returns the load that the owner told lately.
func (s *Stat) known(now time.Time) (Load, bool) {
	if f := s.source.Load(); f != nil {
		return (*f)(), true
	}
	r := s.report.Load()
	if r == nil {
		return Load{}, false
	}
	l := r.Load
	if now.Sub(r.at) > loadAge {
		l.InFlight, l.Queued = 0, 0
	}
	return l, true
}
