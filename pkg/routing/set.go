package routing

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/snapshot"
)

// Candidate is a target of a set with what this node knows about it.
type Candidate struct {
	snapshot.Target
	Stat  *Stat
	since time.Time // when the target became ready, by this node's clock at the latest
}

// Set holds the targets of one service version. It is immutable and safe for
// concurrent use; the candidates' Stats change.
type Set struct {
	own, other []*Candidate
}

// NewSet builds the set of a service version as seen from a data centre.
// Targets that do not take new work are left out.
func (t *Tracker) NewSet(dc mesh.DataCentre, targets []snapshot.Target, now time.Time) *Set {
	s := &Set{}
	for _, target := range targets {
		if target.State != membership.TargetReady {
			continue
		}
		c := &Candidate{Target: target, Stat: t.Stat(Key{target.Host, target.ID})}
		c.since = c.Stat.readyAt(target.ReadySince, now)
		if target.DataCentre == dc {
			s.own = append(s.own, c)
		} else {
			s.other = append(s.other, c)
		}
	}
	return s
}

// Len returns the number of targets that take new work.
func (s *Set) Len() int { return len(s.own) + len(s.other) }

// PreviousAttempts lists the targets at which a call was already tried.
type PreviousAttempts struct {
	Targets []*Candidate
	Shed    bool // one of them refused for load
}

func (t *PreviousAttempts) contains(c *Candidate) bool {
	for _, x := range t.Targets {
		if x.Host == c.Host && x.ID == c.ID {
			return true
		}
	}
	return false
}

// Pick returns the target for a call, or nil when there is none. It prefers
// the own data centre. A call that was refused for load is sent only to a target
// of the own data centre that has room, and no call to a remote target that is
// near its limit, so that an overload is not passed on. Targets that are
// suspected or ejected are used only when there is no other.
func (s *Set) Pick(now time.Time, rng *rand.Rand, tried *PreviousAttempts) *Candidate {
	if tried.Shed {
		return pickAble(s.own, now, rng, tried, true)
	}
	if c := pickAble(s.own, now, rng, tried, false); c != nil {
		return c
	}
	if c := pickAble(s.other, now, rng, tried, true); c != nil {
		return c
	}
	if c := pickAny(s.own, now, rng, tried, false); c != nil {
		return c
	}
	return pickAny(s.other, now, rng, tried, true)
}

// pickAble chooses among the targets that are neither suspected nor out.
func pickAble(list []*Candidate, now time.Time, rng *rand.Rand, tried *PreviousAttempts, spill bool) *Candidate {
	var buf [32]*Candidate
	able, ejected := buf[:0], 0
	for _, c := range list {
		switch {
		case c.Stat.ejected(now):
			ejected++
		case c.usable(now, tried, spill):
			able = append(able, c)
		}
	}
	if excess := ejected - len(list)/2; excess > 0 {
		for _, c := range readmitted(list, excess, now) {
			if c.usable(now, tried, spill) {
				able = append(able, c)
			}
		}
	}
	return choose(able, now, rng)
}

func (c *Candidate) usable(now time.Time, tried *PreviousAttempts, spill bool) bool {
	return !c.Suspect && !tried.contains(c) && !c.Stat.down(now) && !(spill && c.Stat.nearLimit(now))
}

// readmitted returns the n ejected targets whose ejection ends first, so that
// no more than half of a set is ejected at once.
func readmitted(list []*Candidate, n int, now time.Time) []*Candidate {
	var out []*Candidate
	for _, c := range list {
		if c.Stat.ejected(now) {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b *Candidate) int {
		return cmp.Compare(a.Stat.ejectedUntil.Load(), b.Stat.ejectedUntil.Load())
	})
	return out[:min(n, len(out))]
}

// pickAny chooses among all targets that the call was not tried at.
func pickAny(list []*Candidate, now time.Time, rng *rand.Rand, tried *PreviousAttempts, spill bool) *Candidate {
	var buf [32]*Candidate
	rest := buf[:0]
	for _, c := range list {
		if !tried.contains(c) && !(spill && c.Stat.nearLimit(now)) {
			rest = append(rest, c)
		}
	}
	return choose(rest, now, rng)
}

// choose takes the less loaded of two random targets. A target that became
// ready recently is drawn with its reduced weight.
func choose(list []*Candidate, now time.Time, rng *rand.Rand) *Candidate {
	switch len(list) {
	case 0:
		return nil
	case 1:
		return list[0]
	}
	a := draw(list, now, rng, nil)
	b := draw(list, now, rng, a)
	if b.score(now) < a.score(now) {
		return b
	}
	return a
}

// draw returns a random target other than not, with a probability that is
// proportional to the weights as far as maxDraws allows.
func draw(list []*Candidate, now time.Time, rng *rand.Rand, not *Candidate) *Candidate {
	var c *Candidate
	for range maxDraws {
		i := rng.IntN(len(list))
		if list[i] == not {
			i = (i + 1) % len(list)
		}
		c = list[i]
		if w := c.weight(now); w >= 1 || rng.Float64() < w {
			return c
		}
	}
	return c
}

// InSlowStart reports whether the target became ready less than a warm-up ago.
func (c *Candidate) InSlowStart(now time.Time) bool { return c.weight(now) < 1 }

// weight grows from coldWeight to 1 during the slow start.
func (c *Candidate) weight(now time.Time) float64 {
	age := now.Sub(c.since)
	if age >= slowStart {
		return 1
	}
	return max(coldWeight, float64(age)/float64(slowStart))
}

// score is the load of the target relative to what it can take. The slow start
// is left to draw: counted twice, it kept cold targets idle in a quiet mesh.
func (c *Candidate) score(now time.Time) float64 {
	load := float64(c.Stat.load(now) + 1)
	limit := float64(max(1, c.Slots))
	if c.Stat.shedding(now) {
		load += shedScore * limit
	}
	return load / limit
}
