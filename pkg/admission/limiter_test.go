package admission

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

func reasonOf(err error) Reason {
	var r *Refusal
	if errors.As(err, &r) {
		return r.Reason
	}
	return ""
}

// fill measures one service time and then takes n slots.
func fill(l *Limiter, n int, service time.Duration) {
	ctx := context.Background()
	_ = l.Acquire(ctx, mesh.ClassNormal, time.Now().Add(time.Minute))
	l.Release(Result{Answered: true, ServiceTime: service})
	for range n {
		_ = l.Acquire(ctx, mesh.ClassNormal, time.Now().Add(time.Minute))
	}
}

// Guards against calls that are queued although they cannot meet their deadline,
// and against slow refusals.
func TestAcquireRefusesAtOnce(t *testing.T) {
	cases := []struct {
		name      string
		class     mesh.Class
		remaining time.Duration
		queued    int // urgent calls in the queue
		drain     bool
		want      Reason
	}{
		{"deadline has passed", mesh.ClassUrgent, 0, 0, false, ReasonDeadline},
		{"less time than the service takes", mesh.ClassUrgent, 50 * time.Millisecond, 0, false, ReasonDeadline},
		{"less time than the wait takes", mesh.ClassUrgent, 140 * time.Millisecond, 1, false, ReasonDeadline},
		{"no room for background", mesh.ClassBackground, time.Minute, 2, false, ReasonQueueFull},
		{"no room for normal", mesh.ClassNormal, time.Minute, 4, false, ReasonQueueFull},
		{"no room for urgent", mesh.ClassUrgent, time.Minute, 8, false, ReasonQueueFull},
		{"draining", mesh.ClassUrgent, time.Minute, 0, true, ReasonDraining},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := New(Config{Slots: 2, Connections: 9})
				fill(l, 2, 100*time.Millisecond)
				for range tc.queued {
					go func() { _ = l.Acquire(t.Context(), mesh.ClassUrgent, time.Now().Add(time.Minute)) }()
				}
				synctest.Wait()
				if tc.drain {
					l.Drain()
				}
				before := time.Now()
				err := l.Acquire(t.Context(), tc.class, before.Add(tc.remaining))
				if reasonOf(err) != tc.want || time.Since(before) > 5*time.Millisecond {
					t.Errorf("got %v after %s, want %s at once", err, time.Since(before), tc.want)
				}
				var r *Refusal
				if errors.As(err, &r) && r.RetryAfter <= 0 {
					t.Error("the refusal has no RetryAfter")
				}
			})
		})
	}
}

// Guards against a wait limit that is too short when all calls in flight started
// together, and too long when the target hangs.
func TestWaitLimit(t *testing.T) {
	for busy, want := range map[time.Duration]Reason{95 * time.Millisecond: "", time.Minute: ReasonQueueWait} {
		synctest.Test(t, func(t *testing.T) {
			l := New(Config{Slots: 12, Connections: 12})
			fill(l, 12, 100*time.Millisecond)
			timer := time.AfterFunc(busy, func() { l.Release(Result{Answered: true, ServiceTime: busy}) })
			defer timer.Stop()
			began := time.Now()
			err := l.Acquire(t.Context(), mesh.ClassUrgent, began.Add(2*time.Second))
			if reasonOf(err) != want || time.Since(began) > 500*time.Millisecond {
				t.Errorf("slot free after %s: got %v after %s", busy, err, time.Since(began))
			}
		})
	}
}

// Guards against a queue that ignores deadlines or classes, and against
// starvation of a class.
func TestQueueOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(Config{Slots: 12, Connections: 12})
		fill(l, 12, time.Millisecond)
		var mu sync.Mutex
		var served [classCount][]time.Time
		var order []mesh.Class
		add := func(class mesh.Class, remaining time.Duration) {
			deadline := time.Now().Add(remaining)
			go func() {
				if l.Acquire(t.Context(), class, deadline) == nil {
					mu.Lock()
					defer mu.Unlock()
					served[class] = append(served[class], deadline)
					order = append(order, class)
				}
			}()
			synctest.Wait()
		}
		for i := range 8 {
			add(mesh.ClassBackground, time.Minute-time.Duration(i)*time.Second)
			if i > 4 {
				add(mesh.ClassNormal, time.Minute)
			}
		}
		for range 20 {
			add(mesh.ClassUrgent, time.Minute)
		}
		for range 22 {
			l.Release(Result{Answered: true, ServiceTime: time.Millisecond})
			synctest.Wait()
		}
		if len(served[mesh.ClassUrgent]) < 16 || len(served[mesh.ClassBackground]) < 1 || len(served[mesh.ClassNormal]) < 3 {
			t.Errorf("served in the order %v", order)
		}
		for i := 1; i < len(served[mesh.ClassBackground]); i++ {
			if served[mesh.ClassBackground][i].Before(served[mesh.ClassBackground][i-1]) {
				t.Error("a later deadline was served first")
			}
		}
	})
}

// Guards against a slot that is leaked or given twice when a call is cancelled or
// refused at the moment when it is admitted.
func TestSlotsAreExact(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(rt, "slots")
		calls := rapid.IntRange(1, 40).Draw(rt, "calls")
		seed := rapid.Uint64().Draw(rt, "seed")
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 1))
			l := New(Config{Slots: slots, Connections: 9})
			var running atomic.Int64
			for range calls {
				class := mesh.Class(rng.IntN(classCount))
				remaining := time.Duration(1+rng.IntN(40)) * time.Millisecond
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(1+rng.IntN(20))*time.Millisecond)
				service := time.Duration(rng.IntN(8)) * time.Millisecond
				result := Result{Answered: rng.IntN(4) > 0, Shed: rng.IntN(9) == 0, ServiceTime: service}
				go func() {
					defer cancel()
					if l.Acquire(ctx, class, time.Now().Add(remaining)) != nil {
						return
					}
					if n := running.Add(1); n > int64(slots) {
						rt.Errorf("%d calls at %d slots", n, slots)
					}
					time.Sleep(service)
					running.Add(-1)
					l.Release(result)
				}()
				time.Sleep(time.Duration(rng.IntN(3)) * time.Millisecond)
			}
			time.Sleep(time.Second)
			if got := l.Load(); got.InFlight != 0 || got.Queued != 0 {
				rt.Errorf("load after all calls: %+v", got)
			}
		})
	})
}

// Guards against a limit that stays above the target's capacity, collapses after
// one burst of refusals, or does not recover.
func TestLimitFollowsTarget(t *testing.T) {
	now := time.Now()
	a := adaptiveLimit{nominal: 12, current: 12}
	for range 12 {
		a.onShed(6, now)
	}
	if a.current != 6 {
		t.Fatalf("limit after one burst is %d, want 6", a.current)
	}
	shed := 0
	for range 200 { // 20 s at a target that sustains 6
		now = now.Add(100 * time.Millisecond)
		a.probe(now)
		if a.current > 6 {
			a.onShed(6, now)
			shed++
		}
		if a.current < 5 || a.current > 7 {
			t.Fatalf("limit is %d at a target that sustains 6", a.current)
		}
	}
	if shed > 20 {
		t.Errorf("%d probes in 20 s, want at most one a second", shed)
	}
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		a.probe(now)
	}
	if a.current != 12 {
		t.Errorf("limit is %d 10 s after the target recovered, want 12", a.current)
	}
}

// Guards against goodput that collapses under overload, slow refusals, and urgent
// calls that wait behind others.
func TestGoodputUnderOverload(t *testing.T) {
	peak := overload(t, 1)
	for _, factor := range []float64{2, 5} {
		r := overload(t, factor)
		t.Logf("%.0fx: goodput %.0f/s of peak %.0f/s, urgent served %.1f%%, late %d, refusals over 5 ms %d of %d",
			factor, r.goodput, peak.goodput, 100*r.urgent, r.late, r.slowRefusals, r.refusals)
		if r.goodput < 0.9*peak.goodput || r.late > 0 {
			t.Errorf("%.0fx: goodput %.0f/s, late %d; peak %.0f/s", factor, r.goodput, r.late, peak.goodput)
		}
		if r.slowRefusals*100 > r.refusals {
			t.Errorf("%.0fx: %d of %d refusals took over 5 ms", factor, r.slowRefusals, r.refusals)
		}
		if r.urgent < 0.99 {
			t.Errorf("%.0fx: %.3f of the urgent calls were served", factor, r.urgent)
		}
	}
}

type overloadResult struct {
	goodput, urgent              float64
	late, refusals, slowRefusals int
}

// overload offers a multiple of a target's capacity for 5 s of virtual time: 12
// slots and calls of 10 ms. A tenth of the capacity is urgent.
func overload(t *testing.T, factor float64) (r overloadResult) {
	const capacity = 1200.0
	synctest.Test(t, func(t *testing.T) {
		rng := rand.New(rand.NewPCG(7, 7))
		l := New(Config{Slots: 12, Connections: 130})
		var mu sync.Mutex
		var served, urgent, urgentServed float64
		var wg sync.WaitGroup
		for end := time.Now().Add(5 * time.Second); time.Now().Before(end); {
			time.Sleep(time.Duration(rng.ExpFloat64() / (capacity * factor) * float64(time.Second)))
			class := mesh.ClassNormal
			if rng.Float64() < 0.1/factor {
				class = mesh.ClassUrgent
				urgent++
			}
			service := 5*time.Millisecond + time.Duration(rng.ExpFloat64()*float64(5*time.Millisecond))
			wg.Go(func() {
				arrived, deadline := time.Now(), time.Now().Add(200*time.Millisecond)
				if err := l.Acquire(t.Context(), class, deadline); err != nil {
					mu.Lock()
					defer mu.Unlock()
					r.refusals++
					if time.Since(arrived) > 5*time.Millisecond {
						r.slowRefusals++
					}
					return
				}
				time.Sleep(service)
				l.Release(Result{Answered: true, ServiceTime: service})
				mu.Lock()
				defer mu.Unlock()
				served++
				if class == mesh.ClassUrgent {
					urgentServed++
				}
				if time.Now().After(deadline) {
					r.late++
				}
			})
		}
		wg.Wait()
		r.goodput, r.urgent = served/5, urgentServed/urgent
	})
	return r
}
