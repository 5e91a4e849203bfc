package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func good() Attempt {
	return Attempt{NotRun: true, Idempotent: true, Replayable: true, Tries: 1, Left: time.Second, PathBudget: 2}
}

// Guards against a retry that the rules forbid and against one that is given
// up for the wrong reason.
func TestDecide(t *testing.T) {
	cases := []struct {
		name   string
		change func(*Attempt)
		retry  bool
		reason Reason
		budget int
	}{
		{"not run", func(*Attempt) {}, true, NotRun, 1},
		{"not run and not idempotent", func(a *Attempt) { a.Idempotent = false }, true, NotRun, 1},
		{"refused for load", func(a *Attempt) { a.ByLoad, a.LoadTries = true, 1 }, true, Load, 1},
		{"refused for load twice", func(a *Attempt) { a.ByLoad, a.LoadTries, a.Tries = true, 2, 2 }, false, Tries, 0},
		{"lost and idempotent", func(a *Attempt) { a.NotRun = false }, true, NoAnswer, 0},
		{"lost and not idempotent", func(a *Attempt) { a.NotRun, a.Idempotent = false, false }, false, NotIdempotent, 0},
		{"body consumed", func(a *Attempt) { a.Replayable = false }, false, Body, 0},
		{"caller left", func(a *Attempt) { a.Cancelled = true }, false, Cancelled, 0},
		{"third try", func(a *Attempt) { a.Tries = 3 }, false, Tries, 0},
		{"path used up", func(a *Attempt) { a.PathBudget = 0 }, false, PathBudget, 0},
		{"no time", func(a *Attempt) { a.Left = time.Millisecond }, false, Deadline, 0},
	}
	for _, tc := range cases {
		a := good()
		tc.change(&a)
		d := Decide(a, NewBudget(), rand.New(rand.NewPCG(1, 1)))
		if d.Retry != tc.retry || d.Reason != tc.reason || d.PathBudget != tc.budget {
			t.Errorf("%s: got %+v", tc.name, d)
		}
	}
}

// Guards against retries beyond a tenth of the calls, and against a wait that
// takes the call past its deadline.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		calls := rapid.IntRange(0, 3000).Draw(t, "calls")
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		b, retries := NewBudget(), 0
		for range calls {
			b.Earn()
			a := good()
			a.Left = time.Duration(rng.IntN(20)) * time.Millisecond
			a.Tries = 1 + rng.IntN(2)
			d := Decide(a, b, rng)
			if d.Retry {
				retries++
			}
			if d.Retry && a.Left-d.Wait < minLeft {
				t.Fatalf("waits %s of %s", d.Wait, a.Left)
			}
		}
		if retries > calls/10+DefaultBurst {
			t.Fatalf("%d retries of %d calls", retries, calls)
		}
	})
}

// Guards against an overload that takes the retries which calls to a dead target
// need.
func TestOverloadLeavesRetries(t *testing.T) {
	b, rng := NewBudget(), rand.New(rand.NewPCG(1, 1))
	a := good()
	a.ByLoad = true
	for range 10 * DefaultBurst {
		Decide(a, b, rng)
	}
	a.ByLoad = false
	if d := Decide(a, b, rng); !d.Retry {
		t.Errorf("got %+v after an overload", d)
	}
}

// Guards against chains in which each level repeats what the level below
// already repeats: 18 levels of one retry each would run the last target 2^18
// times. Every run is lost here, and every level retries as often as it may.
func TestChainOf18DoesNotMultiply(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	runs := 0
	var level func(depth, path int)
	level = func(depth, path int) {
		b := NewBudget() // worst case: each node has a full budget
		for tries := 1; ; tries++ {
			if depth == 18 {
				runs++
			} else {
				level(depth+1, path)
			}
			a := good()
			a.NotRun, a.Tries, a.PathBudget = false, tries, path
			d := Decide(a, b, rng)
			if !d.Retry {
				return
			}
			path = d.PathBudget
		}
	}
	level(1, 2)
	if runs > 19 {
		t.Errorf("the last target ran %d times for one call", runs)
	}
}
