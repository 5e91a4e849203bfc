package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func retryable() Attempt {
	return Attempt{NotRun: true, Idempotent: true, Replayable: true, Attempts: 1, TimeLeft: time.Second, PathBudget: 2}
}

// Guards against a retry that the rules forbid, and against a wrong reason for no
// retry.
func TestDecide(t *testing.T) {
	cases := []struct {
		name   string
		change func(*Attempt)
		retry  bool
		reason Reason
		budget int
	}{
		{"not run", func(*Attempt) {}, true, ReasonNotRun, 1},
		{"not run and not idempotent", func(a *Attempt) { a.Idempotent = false }, true, ReasonNotRun, 1},
		{"refused for load", func(a *Attempt) { a.Shed, a.ShedAttempts = true, 1 }, true, ReasonShed, 1},
		{"refused for load twice", func(a *Attempt) { a.Shed, a.ShedAttempts, a.Attempts = true, 2, 2 }, false, ReasonMaxAttempts, 0},
		{"lost and idempotent", func(a *Attempt) { a.NotRun = false }, true, ReasonNoAnswer, 0},
		{"lost and not idempotent", func(a *Attempt) { a.NotRun, a.Idempotent = false, false }, false, ReasonNotIdempotent, 0},
		{"body consumed", func(a *Attempt) { a.Replayable = false }, false, ReasonBody, 0},
		{"caller left", func(a *Attempt) { a.Cancelled = true }, false, ReasonCancelled, 0},
		{"third attempt", func(a *Attempt) { a.Attempts = 3 }, false, ReasonMaxAttempts, 0},
		{"path used up", func(a *Attempt) { a.PathBudget = 0 }, false, ReasonPathBudget, 0},
		{"no time", func(a *Attempt) { a.TimeLeft = time.Millisecond }, false, ReasonDeadline, 0},
	}
	for _, tc := range cases {
		a := retryable()
		tc.change(&a)
		d := Decide(a, NewBudget(), rand.New(rand.NewPCG(1, 1)))
		if d.Retry != tc.retry || d.Reason != tc.reason || d.PathBudget != tc.budget {
			t.Errorf("%s: got %+v", tc.name, d)
		}
	}
}

// Guards against retries beyond a tenth of the calls, and against a back-off
// beyond the deadline.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		calls := rapid.IntRange(0, 3000).Draw(t, "calls")
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		b, retries := NewBudget(), 0
		for range calls {
			b.Deposit()
			a := retryable()
			a.TimeLeft = time.Duration(rng.IntN(20)) * time.Millisecond
			a.Attempts = 1 + rng.IntN(2)
			d := Decide(a, b, rng)
			if d.Retry {
				retries++
			}
			if d.Retry && a.TimeLeft-d.Backoff < minTimeLeft {
				t.Fatalf("backs off for %s with %s left", d.Backoff, a.TimeLeft)
			}
		}
		if retries > calls/10+DefaultBurst {
			t.Fatalf("%d retries of %d calls", retries, calls)
		}
	})
}

// Guards against an overload that uses up the retries that the calls of a failed
// target need.
func TestOverloadLeavesRetries(t *testing.T) {
	b, rng := NewBudget(), rand.New(rand.NewPCG(1, 1))
	a := retryable()
	a.Shed = true
	for range 10 * DefaultBurst {
		Decide(a, b, rng)
	}
	a.Shed = false
	if d := Decide(a, b, rng); !d.Retry {
		t.Errorf("got %+v after an overload", d)
	}
}

// Guards against call chains in which each level retries calls that the level
// below has already retried: 18 levels of one retry each would run the last target
// 2^18 times. In the test no run is answered, and every level retries as often as
// the rules allow.
func TestChainOf18DoesNotMultiply(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	runs := 0
	var call func(depth, pathBudget int)
	call = func(depth, pathBudget int) {
		b := NewBudget() // worst case: each node has a full budget
		for attempts := 1; ; attempts++ {
			if depth == 18 {
				runs++
			} else {
				call(depth+1, pathBudget)
			}
			a := retryable()
			a.NotRun, a.Attempts, a.PathBudget = false, attempts, pathBudget
			d := Decide(a, b, rng)
			if !d.Retry {
				return
			}
			pathBudget = d.PathBudget
		}
	}
	call(1, 2)
	if runs > 19 {
		t.Errorf("the last target ran %d times for one call", runs)
	}
}

// Guards against retries made elsewhere that the budget does not pay, and against a
// debt that holds retries back for long.
func TestChargedRetriesUseTheBudget(t *testing.T) {
	b := NewBudget()
	for range 3 * DefaultBurst {
		b.Charge()
	}
	if b.HasRetry() {
		t.Error("retries are left after more were charged than the budget holds")
	}
	calls := 0
	for ; !b.HasRetry(); calls++ {
		b.Deposit()
	}
	if want := (DefaultBurst + 1) * callsPerRetry; calls != want {
		t.Errorf("%d calls until the next retry, want %d", calls, want)
	}
}
