package routing

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/snapshot"
)

// Candidate is a target of a set with this node's statistics about it.
type Candidate struct {
	snapshot.Target
	Stat    *Stat
	readyAt time.Time // when the target became ready, see Stat.clampReadyTime
	// coldUntil is the end of the time in which the target takes few calls, as far as its
	// record names one.
	coldUntil time.Time
}

// Set holds the targets of one service version. It is immutable and safe for
// concurrent use; the candidates' Stats change.
type Set struct {
	local, remote []*Candidate
	summary       atomic.Pointer[setSummary]
}

// NewSet builds the set of a service version as seen from a data centre.
// Only targets in the ready state are included.
func (t *Tracker) NewSet(dc mesh.DataCentre, targets []snapshot.Target, now time.Time) *Set {
	s := &Set{}
	for _, target := range targets {
		if target.State != membership.TargetReady {
			continue
		}
		c := &Candidate{Target: target, Stat: t.Stat(Key{target.Host, target.ID})}
		c.readyAt = c.Stat.clampReadyTime(target.ReadySince, now)
		c.coldUntil = c.Stat.recordColdTime(target.ColdUntil, now)
		if target.DataCentre == dc {
			s.local = append(s.local, c)
		} else {
			s.remote = append(s.remote, c)
		}
	}
	return s
}

// Len returns the number of targets.
func (s *Set) Len() int { return len(s.local) + len(s.remote) }

// PreviousAttempts lists the targets to which a call was already sent.
type PreviousAttempts struct {
	Targets []*Candidate
	Shed    bool // one of them refused the call for load
}

func (p *PreviousAttempts) contains(c *Candidate) bool {
	for _, x := range p.Targets {
		if x.Host == c.Host && x.ID == c.ID {
			return true
		}
	}
	return false
}

// Pick returns the less loaded of two random targets, or nil when no target is
// eligible. It prefers the local data centre. A call that was refused for load is
// retried only at a local target that is not near its limit, and no call is sent
// to a remote target near its limit, so that an overload does not spread. Targets
// that are suspected, unreachable or ejected are used only when there is no other,
// but at most half of the local and half of the remote targets count as ejected.
func (s *Set) Pick(now time.Time, rng *rand.Rand, tried *PreviousAttempts) *Candidate {
	if tried.Shed {
		return pickEligible(s.local, now, rng, tried, true)
	}
	if c := pickEligible(s.local, now, rng, tried, false); c != nil {
		return c
	}
	if c := pickEligible(s.remote, now, rng, tried, true); c != nil {
		return c
	}
	if c := pickAny(s.local, now, rng, tried, false); c != nil {
		return c
	}
	return pickAny(s.remote, now, rng, tried, true)
}

// pickEligible chooses among the eligible targets. They include ejected ones as
// far as more than half of the list is ejected, see readmitted.
func pickEligible(list []*Candidate, now time.Time, rng *rand.Rand, tried *PreviousAttempts, skipNearLimit bool) *Candidate {
	var buf [32]*Candidate
	eligible, ejected := buf[:0], 0
	for _, c := range list {
		switch {
		case c.Stat.isEjected(now):
			ejected++
		case c.isEligible(now, tried, skipNearLimit):
			eligible = append(eligible, c)
		}
	}
	if excess := ejected - len(list)/2; excess > 0 {
		for _, c := range readmitted(list, excess, now) {
			if c.isEligible(now, tried, skipNearLimit) {
				eligible = append(eligible, c)
			}
		}
	}
	return chooseLessLoaded(eligible, now, rng)
}

// isEligible reports whether a call may be sent to the target, apart from
// ejection. skipNearLimit excludes targets near their limit.
func (c *Candidate) isEligible(now time.Time, tried *PreviousAttempts, skipNearLimit bool) bool {
	return !c.Suspect && !tried.contains(c) && !c.Stat.isUnreachable(now) && !(skipNearLimit && c.Stat.isNearLimit(now))
}

// readmitted returns the n ejected targets whose ejection ends first, so that
// no more than half of a list is ejected at once.
func readmitted(list []*Candidate, n int, now time.Time) []*Candidate {
	var out []*Candidate
	for _, c := range list {
		if c.Stat.isEjected(now) {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b *Candidate) int {
		return cmp.Compare(a.Stat.ejectedUntil.Load(), b.Stat.ejectedUntil.Load())
	})
	return out[:min(n, len(out))]
}

// pickAny chooses among all targets to which the call was not sent yet.
func pickAny(list []*Candidate, now time.Time, rng *rand.Rand, tried *PreviousAttempts, skipNearLimit bool) *Candidate {
	var buf [32]*Candidate
	untried := buf[:0]
	for _, c := range list {
		if !tried.contains(c) && !(skipNearLimit && c.Stat.isNearLimit(now)) {
			untried = append(untried, c)
		}
	}
	return chooseLessLoaded(untried, now, rng)
}

// chooseLessLoaded returns the less loaded of two random targets (power of two
// choices). A target in slow start is drawn with its reduced weight.
func chooseLessLoaded(list []*Candidate, now time.Time, rng *rand.Rand) *Candidate {
	switch len(list) {
	case 0:
		return nil
	case 1:
		return list[0]
	}
	a := drawWeighted(list, now, rng, nil)
	b := drawWeighted(list, now, rng, a)
	if b.relativeLoad(now) < a.relativeLoad(now) {
		return b
	}
	return a
}

// drawWeighted returns a random target other than exclude. The probabilities are
// proportional to the weights, as far as maxDraws allows.
func drawWeighted(list []*Candidate, now time.Time, rng *rand.Rand, exclude *Candidate) *Candidate {
	var c *Candidate
	for range maxDraws {
		i := rng.IntN(len(list))
		if list[i] == exclude {
			i = (i + 1) % len(list)
		}
		c = list[i]
		if w := c.weight(now); w >= 1 || rng.Float64() < w {
			return c
		}
	}
	return c
}

// InSlowStart reports whether the target became ready within slowStartTime.
func (c *Candidate) InSlowStart(now time.Time) bool { return c.weight(now) < 1 }

// weight grows from slowStartMinWeight to 1 during the slow start.
func (c *Candidate) weight(now time.Time) float64 {
	age := now.Sub(c.readyAt)
	if age >= slowStartTime {
		return 1
	}
	return max(slowStartMinWeight, float64(age)/float64(slowStartTime))
}

// relativeLoad returns the load of the target relative to its slots. It ignores
// the slow start, which drawWeighted applies: applied twice, it kept cold targets
// idle at low traffic.
func (c *Candidate) relativeLoad(now time.Time) float64 {
	load := float64(c.Stat.load(now) + 1)
	slots := float64(max(1, c.Slots))
	if c.Stat.isShedding(now) {
		load += shedPenalty * slots
	}
	return load / slots
}
