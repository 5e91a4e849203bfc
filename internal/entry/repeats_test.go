package entry

import (
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/admission"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// Guards against first calls that are taken for repeats, and the other way
// round: the times that callers name differ by a sixth, and they change.
func TestSpent(t *testing.T) {
	var p repeats
	at := time.Now()
	const ms = time.Millisecond
	for i, step := range []struct{ after, named, want time.Duration }{
		{0, 430 * ms, 0},
		{100 * ms, 500 * ms, 0},
		{100 * ms, 425 * ms, 0},
		{100 * ms, 250 * ms, 250 * ms},
		{100 * ms, 80 * ms, 420 * ms},
		{namedWindow, 300 * ms, 200 * ms}, // the window before still counts
		{namedWindow, 310 * ms, 0},        // callers name a shorter time now
		{3 * namedWindow, 100 * ms, 0},    // nothing was heard for long
		{10 * ms, 1000 * ms, 0},
	} {
		at = at.Add(step.after)
		if got := p.spent("menus", step.named, at); got != step.want {
			t.Errorf("step %d: %s were named, spent %s, want %s", i, step.named, got, step.want)
		}
	}
	if got := p.spent("orders", 10*ms, at); got != 0 {
		t.Errorf("the first call of another route: spent %s", got)
	}
}

// overloaded plays 20 s of a load of 1.6 times what a target of 9 slots can
// answer. Callers that are refused come back once after 250 ms. It returns the
// callers that were answered within 200 ms of their first call, those that were
// answered at all, and all.
func overloaded(t *testing.T, spent func(named time.Duration, at time.Time) time.Duration) (inTime, answered, callers int) {
	t.Helper()
	const (
		service  = 60 * time.Millisecond
		aim      = 200 * time.Millisecond
		deadline = 500 * time.Millisecond
		pause    = 250 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		l := admission.New(admission.Config{Slots: 9, Connections: 9, FixedLimit: true})
		rng := rand.New(rand.NewPCG(3, 4))
		var mu sync.Mutex
		var wg sync.WaitGroup
		attempt := func(first time.Time, takes, named time.Duration) bool {
			now := time.Now()
			work := admission.Request{Class: mesh.ClassNormal, Kind: "menus", SoftDeadline: now.Add(aim - spent(named, now)), Deadline: now.Add(named)}
			if l.Admit(t.Context(), work) != nil {
				return false
			}
			time.Sleep(takes)
			l.Release(admission.Result{Kind: "menus", Answered: true, ServiceTime: takes})
			mu.Lock()
			defer mu.Unlock()
			answered++
			if time.Since(first) <= aim {
				inTime++
			}
			return true
		}
		for begin := time.Now(); time.Since(begin) < 20*time.Second; {
			time.Sleep(time.Duration(rng.ExpFloat64() / (1.6 * 9 / service.Seconds()) * float64(time.Second)))
			takes := time.Duration((0.5 + rng.Float64()) * float64(service))
			named := deadline - time.Duration(rng.Float64()*float64(deadline)/6)
			callers++
			wg.Go(func() {
				first := time.Now()
				if attempt(first, takes, named) {
					return
				}
				time.Sleep(pause)
				if left := named - time.Since(first); left > 0 {
					attempt(first, takes, left)
				}
			})
		}
		wg.Wait()
	})
	return inTime, answered, callers
}

// Guards against an overload in which callers that come back after a refusal,
// and can only be late, take the slots of calls that would be in time: of 100
// answers at least 80 must be in time, and no fewer callers answered.
func TestRepeatsYieldToFirstCalls(t *testing.T) {
	var p repeats
	inTime, answered, callers := overloaded(t, func(named time.Duration, at time.Time) time.Duration { return p.spent("menus", named, at) })
	inTimeBefore, before, _ := overloaded(t, func(time.Duration, time.Time) time.Duration { return 0 })
	t.Logf("%d of %d answers in time, %d callers; without the estimate %d of %d", inTime, answered, callers, inTimeBefore, before)
	if inTime*100 < answered*80 {
		t.Errorf("%d of %d answers in time", inTime, answered)
	}
	if answered*100 < before*97 {
		t.Errorf("%d callers answered, %d without telling repeats from first calls", answered, before)
	}
}
