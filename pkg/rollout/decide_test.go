package rollout

import (
	"maps"
	"math/rand/v2"
	"testing"
	"time"
)

// playLowTraffic plays a rollout with the shares that Decide sets. The counts reach the
// coordinator four times a second. It returns how the rollout ended and when, and the
// calls that both versions got until then.
func playLowTraffic(seed uint64, o *Order, perSecond, oldRate, newRate float64) (state State, ended time.Duration, newCalls, oldCalls int) {
	const step = 50 * time.Millisecond
	rng := rand.New(rand.NewPCG(seed, 3))
	tally := &Tally{Routes: make(map[string]VersionCounts)}
	var h History
	permille, changed := 0, time.Duration(0)
	for elapsed := step; elapsed < 2*o.Within; elapsed += step {
		if rng.Float64() < perSecond*step.Seconds() {
			isNew, rate := rng.IntN(1000) < permille, oldRate
			if isNew {
				newCalls++
				rate = newRate
			} else {
				oldCalls++
			}
			tally.Observe("orders", isNew, (&version{failRate: rate}).result(rng), 60*time.Millisecond)
		}
		if elapsed%(250*time.Millisecond) != 0 {
			continue
		}
		h.Add(time.Unix(0, 0).Add(elapsed), maps.Clone(tally.Routes))
		e := h.Evidence()
		d := Decide(o, permille, elapsed, elapsed-changed, &e)
		if d.State.IsFinal() {
			return d.State, elapsed, newCalls, oldCalls
		}
		if d.Permille != permille {
			permille, changed = d.Permille, elapsed
		}
	}
	return Running, 2 * o.Within, newCalls, oldCalls
}

// Guards against a bad version of a service with little traffic that is completed after a
// handful of calls, and against good versions that are taken back or late for want of
// calls. Of 20 calls to a version that fails a quarter of them, none or one fails in one
// rollout of 40, so that no rule takes all of them back.
func TestLowTraffic(t *testing.T) {
	const seeds = 200
	for name, c := range map[string]struct {
		perSecond float64
		within    time.Duration
		old, v    float64 // failure rates
		bad       bool
		atLeast   float64 // part of the rollouts that must end rightly
	}{
		"bad, 2 calls a second":              {2, 16 * time.Second, 0, 0.25, true, 0.9},
		"bad, 4 calls a second":              {4, 16 * time.Second, 0, 0.25, true, 0.97},
		"bad, 4 calls a second for 8 s":      {4, 8 * time.Second, 0, 0.25, true, 0.9},
		"bad beside lost answers":            {4, 16 * time.Second, 0.03, 0.27, true, 0.95},
		"bad, 10 calls a second":             {10, 16 * time.Second, 0, 0.25, true, 0.99},
		"bad, 30 calls a second":             {30, 16 * time.Second, 0, 0.25, true, 0.99},
		"no calls":                           {0, 16 * time.Second, 0, 0, false, 1},
		"good, one call in 5 s":              {0.2, 16 * time.Second, 0, 0, false, 1},
		"good, 2 calls a second":             {2, 16 * time.Second, 0, 0, false, 1},
		"good, 4 calls a second for 8 s":     {4, 8 * time.Second, 0, 0, false, 1},
		"good, 10 calls a second":            {10, 16 * time.Second, 0, 0, false, 1},
		"good with rare failures":            {4, 16 * time.Second, 0.01, 0.01, false, 0.97},
		"both fail often":                    {4, 16 * time.Second, 0.1, 0.1, false, 0.66},
		"both fail often, 10 calls a second": {10, 16 * time.Second, 0.1, 0.1, false, 0.85},
		"both fail often, 20 calls a second": {20, 16 * time.Second, 0.1, 0.1, false, 0.9},
	} {
		t.Run(name, func(t *testing.T) {
			o := &Order{Within: c.within}
			right, exposed := 0, 0
			for seed := range uint64(seeds) {
				state, ended, newCalls, oldCalls := playLowTraffic(seed, o, c.perSecond, c.old, c.v)
				if c.bad && state == RolledBack || !c.bad && state == Completed && ended <= c.within*95/100 {
					right++
				}
				if c.bad && float64(newCalls) > 0.1*float64(newCalls+oldCalls)+50 {
					exposed++
				}
			}
			if right < int(c.atLeast*seeds) || exposed > 0 {
				t.Errorf("%d of %d ended rightly and in time, want %.0f%%; %d with too many calls", right, seeds, 100*c.atLeast, exposed)
			}
		})
	}
}

// Guards against a share that stays so low on a service with little traffic that the
// version gets no calls before the full share, and against a higher share on a service
// with more traffic, of unknown traffic, or after the calls that it is meant for.
func TestEarlyShare(t *testing.T) {
	o := &Order{Within: 16 * time.Second}
	for name, c := range map[string]struct {
		current   int
		elapsed   time.Duration
		perSecond float64
		newCalls  int64
		doubtful  bool
		want      int
	}{
		"first step":              {0, 2 * time.Second, 2, 0, false, 40},
		"little traffic":          {250, 4 * time.Second, 2, 0, false, 500},
		"no more than that":       {500, 5 * time.Second, 2, 3, false, 500},
		"before the first step":   {0, 500 * time.Millisecond, 2, 0, false, 0},
		"some traffic":            {40, 2 * time.Second, 20, 0, false, 120},
		"some traffic, next":      {120, 3 * time.Second, 20, 2, false, 250},
		"some traffic, reached":   {250, 3500 * time.Millisecond, 20, 3, false, 250},
		"much traffic":            {40, 2 * time.Second, 200, 0, false, 40},
		"unknown traffic":         {40, 2 * time.Second, 0, 0, false, 40},
		"enough calls":            {500, 6 * time.Second, 10, 30, false, 40},
		"in doubt, few calls":     {500, 6 * time.Second, 2, 5, true, 500},
		"in doubt, enough calls":  {500, 6 * time.Second, 10, 30, true, 120},
		"in doubt, never raised":  {40, 6 * time.Second, 2, 5, true, 40},
		"in doubt, unknown calls": {500, 6 * time.Second, 0, 5, true, 120},
	} {
		e := Evidence{PerSecond: c.perSecond, New: Counts{Calls: c.newCalls}, Doubtful: c.doubtful}
		if d := Decide(o, c.current, c.elapsed, time.Second, &e); d.State != Running || d.Permille != c.want {
			t.Errorf("%s: %s with %d, want %d", name, d.State, d.Permille, c.want)
		}
	}
}

// Guards against a rollout that is ended before the time for more evidence is over, or
// that is not ended by then.
func TestDecisionWithFewCalls(t *testing.T) {
	o := &Order{Within: 10 * time.Second}
	few := func(calls, failed int64) Evidence {
		v := VersionCounts{New: Counts{Calls: calls, Failed: failed}, Old: Counts{Calls: 10}}
		return Evidence{New: v.New, Old: v.Old, Odds: v.odds()}
	}
	for name, c := range map[string]struct {
		e       Evidence
		elapsed time.Duration
		want    State
	}{
		"no calls":                   {few(0, 0), 9100 * time.Millisecond, Running},
		"no calls, time is over":     {few(0, 0), 9300 * time.Millisecond, Completed},
		"no failures":                {few(8, 0), 9100 * time.Millisecond, Running},
		"no failures, time is over":  {few(8, 0), 9300 * time.Millisecond, Completed},
		"20 calls":                   {few(20, 0), 8500 * time.Millisecond, Completed},
		"one of 20":                  {few(20, 1), 9300 * time.Millisecond, Completed},
		"one of 4":                   {few(4, 1), 9100 * time.Millisecond, Running},
		"one of 4, time is over":     {few(4, 1), 9300 * time.Millisecond, RolledBack},
		"one of 4, late":             {few(4, 1), 12 * time.Second, RolledBack},
		"a quarter, time is over":    {few(12, 3), 9300 * time.Millisecond, RolledBack},
		"enough calls":               {few(evidenceCalls, 1), 8500 * time.Millisecond, Completed},
		"in doubt, time for a hold":  {Evidence{Doubtful: true}, 8500 * time.Millisecond, Running},
		"in doubt, no time for that": {Evidence{Doubtful: true}, 8900 * time.Millisecond, RolledBack},
		"bad":                        {Evidence{Bad: "evidence"}, 8500 * time.Millisecond, RolledBack},
	} {
		if d := Decide(o, 1000, c.elapsed, 2*time.Second, &c.e); d.State != c.want {
			t.Errorf("%s: %s, want %s (odds %.2f)", name, d.State, c.want, c.e.Odds)
		}
	}
}

// Guards against the full share of a version that has failed half of some dozen calls,
// beside an old one that fails too: the counts are those of two rollouts of the soak.
func TestShareIsHeldByFewCalls(t *testing.T) {
	o := &Order{Within: 8 * time.Second}
	for name, c := range map[string]struct {
		counts  VersionCounts
		current int
		want    int
	}{
		"4 of 6":        {VersionCounts{New: Counts{Calls: 6, Failed: 4}, Old: Counts{Calls: 16, Failed: 4}}, 500, 500},
		"17 of 32":      {VersionCounts{New: Counts{Calls: 32, Failed: 17}, Old: Counts{Calls: 20, Failed: 7}}, 250, 120},
		"20 of 40":      {VersionCounts{New: Counts{Calls: 40, Failed: 20}, Old: Counts{Calls: 31, Failed: 9}}, 500, 120},
		"both the same": {VersionCounts{New: Counts{Calls: 20, Failed: 4}, Old: Counts{Calls: 20, Failed: 4}}, 500, 1000},
	} {
		e := Evidence{New: c.counts.New, Old: c.counts.Old, Odds: c.counts.odds(), PerSecond: 4}
		if d := Decide(o, c.current, 5650*time.Millisecond, time.Second, &e); d.Permille != c.want {
			t.Errorf("%s: %d, want %d (odds %.2f)", name, d.Permille, c.want, e.Odds)
		}
	}
}
