package move

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// Guards against a schedule that starts with more than 1%, ends too close to the
// deadline or behaves differently in long windows.
func TestSchedule(t *testing.T) {
	for _, window := range []time.Duration{MinWindow, 10 * time.Minute, 72 * time.Hour} {
		s := Schedule{Accepted: start, By: start.Add(window)}
		usable := window - ClockSkewMargin
		for _, tt := range []struct {
			fraction float64
			want     Share
		}{{-1, 100}, {0, 100}, {0.19, 100}, {0.21, 500}, {0.41, 2500}, {0.61, 5000}, {0.79, 5000}, {0.81, FullShare}, {1, FullShare}, {9, FullShare}} {
			if got := s.Share(start.Add(time.Duration(tt.fraction * float64(usable)))); got != tt.want {
				t.Errorf("window %v, fraction %v: share %d, want %d", window, tt.fraction, got, tt.want)
			}
		}
		if catchUp := 5 * s.MinStepDuration(); catchUp > usable/5 {
			t.Errorf("window %v: catching up takes %v, longer than the last step", window, catchUp)
		}
	}
}

// Guards against a call that moves back when the share grows, and against a
// fraction of moved calls that is above or below the share.
func TestChooseIsStableAndExact(t *testing.T) {
	r := testRule(start.Add(time.Hour))
	moved := map[uint64]bool{}
	c := NewController(Config{Self: "h1", DataCentre: "a"})
	c.Apply(testSnapshot(1, start, r))
	for step, want := range steps {
		for c.Tick(start); c.Moves()[0].Share < want; {
			c.Tick(c.now.Add(time.Minute))
		}
		n := 0
		const calls = 20_000
		for key := range uint64(calls) {
			isNew := c.Choose(&r, key) == "tray-2"
			if moved[key] && !isNew {
				t.Fatalf("step %d: call %d moved back", step, key)
			}
			if isNew {
				moved[key] = true
				n++
			}
		}
		// Five standard deviations of a binomial count.
		p := float64(want) / float64(FullShare)
		if d := float64(n) - p*calls; d*d > 25*p*(1-p)*calls {
			t.Errorf("share %d: %d of %d calls", want, n, calls)
		}
	}
}

// Guards against clocks that jump: a backward jump must not lower a step, a
// forward jump must not skip the early steps.
func TestClockJumps(t *testing.T) {
	var mono time.Duration
	c := NewController(Config{Self: "h1", DataCentre: "a", Monotonic: func() time.Duration { return mono }})
	c.Apply(testSnapshot(1, start, testRule(start.Add(100*time.Minute))))
	for i, tt := range []struct {
		mono, wall time.Duration
		want       Share
	}{
		{0, 0, 100},
		{time.Second, 99 * time.Minute, 100}, // a jump alone causes no step
		{time.Second + 2*time.Minute, 99 * time.Minute, 500},   // one step for each step length of monotonic time
		{2*time.Second + 2*time.Minute, 99 * time.Minute, 500}, // not yet
		{3 * time.Minute, -time.Hour, 500},                     // backward jump: the step is not lowered
		{5 * time.Minute, 5 * time.Minute, 500},                // the step is ahead of the schedule
		{45 * time.Minute, 45 * time.Minute, 2500},             // the schedule has caught up
		{46 * time.Minute, 200 * 24 * time.Hour, 2500},         // forward jump again
		{60 * time.Minute, 200 * 24 * time.Hour, 5000},         // still one step at a time
	} {
		mono = tt.mono
		c.Tick(start.Add(tt.wall))
		if got := c.Moves()[0].Share; got != tt.want {
			t.Errorf("case %d: share %d, want %d", i, got, tt.want)
		}
	}
}

// Guards against moves that get another evaluator when an unrelated host leaves:
// only the moves that the host evaluated may get another one.
func TestEvaluator(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.SliceOfNDistinct(rapid.StringMatching(`h[0-9]{1,4}`), 2, 20, rapid.ID).Draw(t, "hosts")
		ids := make([]mesh.HostID, len(hosts))
		for i, h := range hosts {
			ids[i] = mesh.HostID(h)
		}
		move := mesh.MoveID(rapid.String().Draw(t, "move"))
		best := Evaluator(move, ids)
		if got := Evaluator(move, ids[1:]); best != ids[0] && got != best {
			t.Fatalf("evaluator changed from %s to %s although it stayed", best, got)
		}
		if got := Evaluator(move, append([]mesh.HostID{ids[len(ids)-1]}, ids[:len(ids)-1]...)); got != best {
			t.Fatalf("evaluator depends on the order of hosts")
		}
	})
}
