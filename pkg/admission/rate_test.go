package admission

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

func named(perSecond float64) RateNotice {
	return RateNotice{Kind: RateLimited, PerSecond: perSecond}
}

// Guards, in every state, against an older answer that raises or lifts the limit of a
// newer one, and against a limit that stays when newer answers name another or none.
func TestRateLimitFollowsTheNewestAnswer(t *testing.T) {
	type step struct {
		dispatched, arrived int // milliseconds
		notice              RateNotice
		told                float64 // by another node, instead of an answer
		want                float64 // calls a second afterwards; 0 without a limit
	}
	none := RateNotice{Kind: RateUnlimited}
	cases := map[string][]step{
		"lowered and raised":               {{0, 10, named(20), 0, 20}, {11, 20, named(5), 0, 5}, {21, 30, named(40), 0, 40}},
		"raised by an older call":          {{0, 10, named(20), 0, 20}, {5, 15, named(40), 0, 20}, {16, 20, named(40), 0, 40}},
		"lowered by an older call":         {{0, 10, named(20), 0, 20}, {5, 15, named(4), 0, 4}},
		"lifted":                           {{0, 10, named(20), 0, 20}, {11, 20, none, 0, 0}},
		"lifted by an older call":          {{0, 10, named(20), 0, 20}, {9, 20, none, 0, 20}, {21, 30, none, 0, 0}},
		"named again while being lifted":   {{0, 10, named(20), 0, 20}, {11, 20, named(20), 0, 20}, {12, 21, none, 0, 20}},
		"cannot be read":                   {{0, 10, named(20), 0, 20}, {11, 20, RateNotice{Kind: RateUnreadable}, 0, 20}},
		"no answer":                        {{0, 10, named(20), 0, 20}, {11, 20, RateNotice{}, 0, 20}},
		"told before the first answer":     {{0, 0, none, 8, 8}, {0, 1, none, 6, 6}, {0, 2, none, 9, 6}, {0, 10, named(20), 0, 20}},
		"told, and the first answer lifts": {{0, 0, none, 8, 8}, {0, 10, none, 0, 0}},
		"told after an answer":             {{0, 10, none, 0, 0}, {0, 11, none, 8, 0}},
		"told after a limit":               {{0, 10, named(20), 0, 20}, {0, 11, none, 8, 20}},
		"named zero":                       {{0, 10, named(0), 0, minRate}},
	}
	for name, steps := range cases {
		start := time.Now()
		at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
		r := rateLimit{state: rateChart.Initial()}
		for i, s := range steps {
			if s.told > 0 {
				r.tell(s.told, at(s.arrived))
			} else {
				r.observe(s.notice, at(s.dispatched), at(s.arrived))
			}
			got := 0.0
			if r.bounded() {
				got = r.rate()
			}
			if got != s.want {
				t.Errorf("%s: limit is %v after step %d, want %v", name, got, i, s.want)
			}
		}
	}
}

// Guards against more calls than one and a half times the limit and 5 in any 4 s, as
// the target may count them, whatever the calls, their durations, resends and pauses of
// the process are, and against a limit that calls do not use up.
func TestRateLimitHoldsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		perSecond := rapid.SampledFrom([]float64{0, 0.3, 1, 4, 12, 37.5, 200}).Draw(rt, "limit")
		service := time.Duration(rapid.IntRange(1, 300).Draw(rt, "service")) * time.Millisecond
		gap := time.Duration(rapid.IntRange(1, 8).Draw(rt, "gap")) * time.Millisecond
		pauseAt := rapid.IntRange(0, 3).Draw(rt, "pause")
		resend := rapid.Bool().Draw(rt, "resend")
		synctest.Test(t, func(t *testing.T) {
			l := New(Config{Slots: 9, Connections: 9, FixedLimit: true, NamesRate: true})
			l.TellRate(perSecond)
			var calls sync.WaitGroup
			var mu sync.Mutex
			var sent []time.Time
			begin := time.Now()
			for i := 0; time.Since(begin) < 10*time.Second; i++ {
				time.Sleep(gap)
				if time.Since(begin) > time.Duration(pauseAt)*time.Second && pauseAt > 0 {
					time.Sleep(2 * time.Second) // a pause of the process
					pauseAt = 0
				}
				calls.Go(func() {
					if l.Admit(t.Context(), Request{Class: mesh.ClassNormal, Deadline: time.Now().Add(time.Second)}) != nil {
						return
					}
					mu.Lock()
					sent = append(sent, time.Now())
					mu.Unlock()
					if resend && i%20 == 0 {
						l.CountResend()
					}
					time.Sleep(service)
					l.Release(Result{Answered: true, ServiceTime: service, Rate: named(perSecond)})
				})
			}
			calls.Wait()
			first := 0
			for last := range sent {
				for sent[last].Sub(sent[first]) >= 4*time.Second {
					first++
				}
				if n := last - first + 1; float64(n) > 1.5*4*max(perSecond, 0)+5 {
					rt.Fatalf("%d calls in 4 s at a limit of %v", n, perSecond)
				}
			}
			if capacity := min(perSecond, 9/service.Seconds(), 1/gap.Seconds()); !resend && float64(len(sent)) < 0.7*8*capacity {
				rt.Errorf("%d calls in 10 s at a limit of %v", len(sent), perSecond)
			}
		})
	})
}

// Guards, under a limit that leaves room for a third of the calls, against urgent calls
// that are refused while others run, against refusals that take long, and against
// answers that come too late. The load is that of an ordering service of which most
// targets name limits.
func TestRateLimitServesUrgentCallsFirst(t *testing.T) {
	const urgent, normal = 0, 1
	const perSecond, latencyTarget = 40, 200 * time.Millisecond
	r := playStreamsAt(t, []stream{
		{Request{Kind: "orders", Class: mesh.ClassUrgent}, 28, 78 * time.Millisecond, 250 * time.Millisecond, 600 * time.Millisecond},
		{Request{Kind: "prices", Class: mesh.ClassNormal}, 90, 60 * time.Millisecond, latencyTarget, 500 * time.Millisecond},
	}, named(perSecond))
	if share := float64(r[urgent].inTime) / float64(r[urgent].calls); share < 0.9 {
		t.Errorf("%.2f of the urgent calls in time: %+v", share, r[urgent])
	}
	if used := r[urgent].inTime + r[normal].inTime; float64(used) < 0.85*20*perSecond {
		t.Errorf("%d calls in time, the limit allows %d", used, 20*perSecond)
	}
	for i := range r {
		if mean := r[i].refusedWait / time.Duration(max(1, r[i].refused)); mean > latencyTarget/8 {
			t.Errorf("refused calls waited %s on average: %+v", mean, r[i])
		}
	}
}

// Guards, under a limit of a few calls a second, against urgent calls that get no more
// than their part of the arrivals.
func TestLowRateLimitServesUrgentCallsFirst(t *testing.T) {
	const urgent, normal, perSecond = 0, 1, 3
	r := playStreamsAt(t, []stream{
		{Request{Kind: "orders", Class: mesh.ClassUrgent}, 20, 78 * time.Millisecond, 250 * time.Millisecond, 600 * time.Millisecond},
		{Request{Kind: "prices", Class: mesh.ClassNormal}, 100, 60 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond},
	}, named(perSecond))
	served := func(i int) float64 { return float64(r[i].inTime + r[i].late) }
	if all := served(urgent) + served(normal); served(urgent) < 0.7*all || all < 0.9*20*perSecond {
		t.Errorf("%.0f urgent calls of %.0f that were served: %+v", served(urgent), all, r)
	}
}

// Guards against refused callers that are all told to return at the same moment, which
// has room for one of them.
func TestRefusalsSpreadReturnsAtTheRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(Config{Slots: 9, Connections: 9, FixedLimit: true, NamesRate: true})
		l.TellRate(10)
		var returns []time.Time
		for range 20 {
			if err := l.Admit(t.Context(), Request{Class: mesh.ClassNormal, Deadline: time.Now().Add(80 * time.Millisecond)}); err != nil {
				returns = append(returns, time.Now().Add(err.(*Refusal).RetryAfter))
			}
		}
		if len(returns) < 15 {
			t.Fatalf("%d of 20 calls refused", len(returns))
		}
		for i := 1; i < len(returns); i++ {
			if returns[i].Sub(returns[i-1]) < 99*time.Millisecond {
				t.Errorf("refused callers are told to return at %s", returns)
				break
			}
		}
	})
}
