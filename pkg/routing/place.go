package routing

import (
	"math"
	"math/rand/v2"
	"time"
)

// Placement says how a call is to be placed.
type Placement struct {
	// RemoteCost is what a call to another data centre costs beyond its time at
	// the target: the way there and back, and the load on links between data
	// centres that others share.
	RemoteCost time.Duration
	// ColdFor is how long a target is slow after its start.
	ColdFor time.Duration
}

// Place returns the target with the least expected cost for a call, or nil. The
// cost is the expected wait for a slot and the time at the target, plus what
// speaks against it: another data centre, failures, a cold start. Targets that
// are down, ejected or suspected are used only when there is no other.
func (s *Set) Place(now time.Time, rng *rand.Rand, tried *Tried, p Placement) *Candidate {
	total, ejected := 0, 0
	for _, list := range [...][]*Candidate{s.own, s.other} {
		for _, c := range list {
			total++
			if c.Stat.ejected(now) {
				ejected++
			}
		}
	}
	// No more than half of a set is ejected at once.
	keepOut := ejected*2 <= total
	best := s.cheapest(now, rng, tried, p, keepOut, true)
	if best == nil {
		best = s.cheapest(now, rng, tried, p, false, false)
	}
	return best
}

func (s *Set) cheapest(now time.Time, rng *rand.Rand, tried *Tried, p Placement, keepOut, sound bool) *Candidate {
	var best *Candidate
	least := math.Inf(1)
	visit := func(c *Candidate, remote time.Duration) {
		if tried.contains(c) || sound && (c.Suspect || c.Stat.down(now)) || keepOut && c.Stat.ejected(now) {
			return
		}
		// The jitter spreads calls over targets that cost the same.
		cost := (c.Cost(now, p.ColdFor) + float64(remote)) * (1 + 0.02*rng.Float64())
		if cost < least {
			best, least = c, cost
		}
	}
	for _, c := range s.own {
		visit(c, 0)
	}
	for _, c := range s.other {
		visit(c, p.RemoteCost)
	}
	return best
}

// Cost is the expected time of a call at the target, in nanoseconds, with what
// speaks against the target.
func (c *Candidate) Cost(now time.Time, coldFor time.Duration) float64 {
	mean, limit := float64(unknownMean), float64(max(1, c.Slots))
	if l, ok := c.Stat.known(now); ok {
		if l.Mean > 0 {
			mean = float64(l.Mean)
		}
		if l.Limit > 0 {
			limit = float64(l.Limit)
		}
	}
	load := float64(c.Stat.load(now))
	wait := max(0, load+1-limit) * mean / limit
	cost := wait + mean*(1+busyCost*min(1, load/limit))
	if now.Sub(c.since) < coldFor {
		cost *= coldFactor
	}
	cost += math.Float64frombits(c.Stat.faults.Load()) * float64(faultCost)
	if c.Stat.shedding(now) {
		cost += mean
	}
	return cost
}

// Wait is the expected wait for a slot at the target.
func (c *Candidate) Wait(now time.Time) time.Duration {
	l, ok := c.Stat.known(now)
	if !ok || l.Limit == 0 {
		return 0
	}
	ahead := c.Stat.load(now) + 1 - int64(l.Limit)
	return max(0, time.Duration(ahead)*l.Mean/time.Duration(l.Limit))
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
