package admission

import (
	"testing"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// loadResult counts the calls of a simulated load by outcome.
type loadResult struct {
	inTime, late, refused, calls int
	refusedWait                  time.Duration // total wait of the refused calls
}

// simulateLoad sends calls to a target whose mean service time is 60 ms. urgentShare
// is the share of the calls that are urgent.
func simulateLoad(t *testing.T, perSecond float64, latencyTarget, deadline time.Duration, urgentShare float64) loadResult {
	t.Helper()
	calls := func(class mesh.Class, share float64) stream {
		return stream{Request{Kind: "menus", Class: class}, share * perSecond, 60 * time.Millisecond, latencyTarget, deadline}
	}
	var sum loadResult
	for _, r := range playStreams(t, []stream{calls(mesh.ClassUrgent, urgentShare), calls(mesh.ClassNormal, 1-urgentShare)}) {
		sum.calls += r.calls
		sum.inTime += r.inTime
		sum.late += r.late
		sum.refused += r.refused
		sum.refusedWait += r.refusedWait
	}
	return sum
}

// Guards against an overload in which the target runs mostly calls that have
// missed their latency target, so that the calls queued behind them miss theirs.
// The target can answer 150 calls a second. At 1.5 and 3 times that rate, at least
// 85% of what it can answer must be in time.
func TestOverloadAnswersInTime(t *testing.T) {
	const capacity = 9 / 0.060
	for _, factor := range []float64{0.6, 1.5, 3} {
		r := simulateLoad(t, factor*capacity, 200*time.Millisecond, 500*time.Millisecond, 0)
		feasible := min(float64(r.calls), 20*capacity)
		if float64(r.inTime) < 0.85*feasible {
			t.Errorf("load %.1f: %d of %.0f calls in time (%d late, %d refused of %d)", factor, r.inTime, feasible, r.late, r.refused, r.calls)
		}
	}
}

// Guards against slow refusals: refused calls may wait on average at most an
// eighth of the latency target. A wait of that length costs callers nothing.
func TestRefusalsAreFast(t *testing.T) {
	const latencyTarget = 200 * time.Millisecond
	for _, urgent := range []float64{0, 0.4, 0.7} {
		for _, factor := range []float64{1.2, 1.5, 3} {
			r := simulateLoad(t, factor*9/0.060, latencyTarget, 500*time.Millisecond, urgent)
			if mean := r.refusedWait / time.Duration(max(1, r.refused)); mean > latencyTarget/8 {
				t.Errorf("load %.1f, %.0f%% urgent: %d refused calls waited %s on average", factor, 100*urgent, r.refused, mean)
			}
		}
	}
}

// Guards against a late call that is refused although the target has room.
func TestLateCallsRunWhenThereIsRoom(t *testing.T) {
	r := simulateLoad(t, 30, 20*time.Millisecond, 500*time.Millisecond, 0)
	if r.refused > 0 {
		t.Errorf("%d of %d calls refused at a fifth of the load", r.refused, r.calls)
	}
}

// Guards against a limit that drops, and starves the target, when the target
// sheds load at random although all calls to it pass through this limiter.
func TestFixedLimitIgnoresSheds(t *testing.T) {
	for fixed, want := range map[bool]bool{true: true, false: false} {
		l := New(Config{Slots: 9, Connections: 9, FixedLimit: fixed})
		for range 40 {
			if err := l.Acquire(t.Context(), mesh.ClassNormal, time.Now().Add(time.Second)); err != nil {
				t.Fatal(err)
			}
			l.Release(Result{Shed: true})
			time.Sleep(time.Millisecond)
		}
		if kept := l.Load().Limit == 9; kept != want {
			t.Errorf("fixed=%v: limit %d", fixed, l.Load().Limit)
		}
	}
}
