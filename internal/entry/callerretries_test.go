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

// Guards against first calls that are taken for retries, and the other way
// round: the timeouts that callers set differ by up to a sixth, and they
// change.
func TestCallerRetriesElapsed(t *testing.T) {
	var retries callerRetries
	at := time.Now()
	const ms = time.Millisecond
	for i, step := range []struct{ after, timeout, want time.Duration }{
		{0, 430 * ms, 0},
		{100 * ms, 500 * ms, 0},
		{100 * ms, 425 * ms, 0},
		{100 * ms, 250 * ms, 250 * ms},
		{100 * ms, 80 * ms, 420 * ms},
		{timeoutWindow, 300 * ms, 200 * ms}, // the previous window still counts
		{timeoutWindow, 310 * ms, 0},        // the callers' timeout is shorter now
		{3 * timeoutWindow, 100 * ms, 0},    // no call for a long time
		{10 * ms, 1000 * ms, 0},
	} {
		at = at.Add(step.after)
		if got := retries.elapsed("menus", step.timeout, at); got != step.want {
			t.Errorf("step %d: timeout %s, elapsed %s, want %s", i, step.timeout, got, step.want)
		}
	}
	if got := retries.elapsed("orders", 10*ms, at); got != 0 {
		t.Errorf("the first call of another route: elapsed %s", got)
	}
}

// simulateOverload runs 20 s of a load of 1.6 times the capacity of a target
// with 9 slots. Refused callers retry once after 250 ms. It returns the number
// of callers with a response within 200 ms of their first call, with any
// response, and of all callers.
func simulateOverload(t *testing.T, elapsed func(timeout time.Duration, at time.Time) time.Duration) (inTime, answered, callers int) {
	t.Helper()
	const (
		meanTime     = 60 * time.Millisecond
		softDeadline = 200 * time.Millisecond
		deadline     = 500 * time.Millisecond
		retryWait    = 250 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		l := admission.New(admission.Config{Slots: 9, Connections: 9, FixedLimit: true})
		rng := rand.New(rand.NewPCG(3, 4))
		var mu sync.Mutex
		var wg sync.WaitGroup
		attempt := func(first time.Time, serviceTime, timeout time.Duration) bool {
			now := time.Now()
			req := admission.Request{Class: mesh.ClassNormal, Kind: "menus", SoftDeadline: now.Add(softDeadline - elapsed(timeout, now)), Deadline: now.Add(timeout)}
			if l.Admit(t.Context(), req) != nil {
				return false
			}
			time.Sleep(serviceTime)
			l.Release(admission.Result{Kind: "menus", Answered: true, ServiceTime: serviceTime})
			mu.Lock()
			defer mu.Unlock()
			answered++
			if time.Since(first) <= softDeadline {
				inTime++
			}
			return true
		}
		for start := time.Now(); time.Since(start) < 20*time.Second; {
			time.Sleep(time.Duration(rng.ExpFloat64() / (1.6 * 9 / meanTime.Seconds()) * float64(time.Second)))
			serviceTime := time.Duration((0.5 + rng.Float64()) * float64(meanTime))
			timeout := deadline - time.Duration(rng.Float64()*float64(deadline)/6)
			callers++
			wg.Go(func() {
				first := time.Now()
				if attempt(first, serviceTime, timeout) {
					return
				}
				time.Sleep(retryWait)
				if left := timeout - time.Since(first); left > 0 {
					attempt(first, serviceTime, left)
				}
			})
		}
		wg.Wait()
	})
	return inTime, answered, callers
}

// Guards against an overload in which retries of refused calls, whose responses
// can only be late, take the slots of calls that would be in time: of 100
// responses at least 80 must be in time, and their number must be at least 97 %
// of that without the estimate of elapsed.
func TestRetriedCallsYieldToFirstCalls(t *testing.T) {
	var retries callerRetries
	inTime, answered, callers := simulateOverload(t, func(timeout time.Duration, at time.Time) time.Duration {
		return retries.elapsed("menus", timeout, at)
	})
	inTimeBaseline, baseline, _ := simulateOverload(t, func(time.Duration, time.Time) time.Duration { return 0 })
	t.Logf("%d of %d responses in time, %d callers; without the estimate %d of %d", inTime, answered, callers, inTimeBaseline, baseline)
	if inTime*100 < answered*80 {
		t.Errorf("%d of %d responses in time", inTime, answered)
	}
	if answered*100 < baseline*97 {
		t.Errorf("%d callers got a response, %d without distinguishing retries", answered, baseline)
	}
}
