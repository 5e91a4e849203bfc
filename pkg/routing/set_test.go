package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/snapshot"
)

var start = time.Date(2026, 12, 5, 6, 0, 0, 0, time.UTC)

// newTestSet builds a set. Targets whose names start with "o" are in the local
// data centre, all others in another; a name ending with "?" is a suspect.
func newTestSet(names ...string) (*Set, map[string]*Candidate) {
	var list []snapshot.Target
	for _, n := range names {
		t := snapshot.Target{Host: mesh.HostID(n), DataCentre: "other", Suspect: n[len(n)-1] == '?'}
		t.ID, t.Slots, t.State = "t", 12, membership.TargetReady
		if n[0] == 'o' {
			t.DataCentre = "own"
		}
		list = append(list, t)
	}
	s := NewTracker().NewSet("own", list, start)
	byName := make(map[string]*Candidate)
	for _, c := range append(append([]*Candidate(nil), s.local...), s.remote...) {
		byName[string(c.Host)] = c
	}
	return s, byName
}

func record(c *Candidate, sig Signal, n int) {
	for range n {
		c.Stat.Record(sig, 0, start)
	}
}

// pickShares returns how often each target is picked in 2000 picks.
func pickShares(s *Set, now time.Time, tried *PreviousAttempts) map[string]float64 {
	rng := rand.New(rand.NewPCG(1, 2))
	got := make(map[string]float64)
	for range 2000 {
		name := ""
		if c := s.Pick(now, rng, tried); c != nil {
			name = string(c.Host)
		}
		got[name] += 1.0 / 2000
	}
	return got
}

// Guards against calls to ineligible targets, calls that leave the data centre
// without need, and an overload that spreads to other targets.
func TestPick(t *testing.T) {
	cases := []struct {
		name    string
		targets []string
		arrange func(map[string]*Candidate, *PreviousAttempts)
		after   time.Duration
		want    []string // the targets that are picked; "" is none
	}{
		{"local data centre first", []string{"o1", "o2", "r1"}, nil, 0, []string{"o1", "o2"}},
		{"no target", nil, nil, 0, []string{""}},
		{"suspect is avoided", []string{"o1?", "o2", "r1"}, nil, 0, []string{"o2"}},
		{"remote before a suspect", []string{"o1?", "r1"}, nil, 0, []string{"r1"}},
		{"suspect when there is no other", []string{"o1?"}, nil, 0, []string{"o1?"}},
		{"tried targets are excluded", []string{"o1", "o2"}, func(c map[string]*Candidate, tr *PreviousAttempts) { tr.Targets = []*Candidate{c["o1"]} }, 0, []string{"o2"}},
		{"fails over when the local targets are tried", []string{"o1", "r1"}, func(c map[string]*Candidate, tr *PreviousAttempts) { tr.Targets = []*Candidate{c["o1"]} }, 0, []string{"r1"}},
		{"a call refused for load stays in the data centre", []string{"o1", "r1"}, func(c map[string]*Candidate, tr *PreviousAttempts) {
			tr.Targets, tr.Shed = []*Candidate{c["o1"]}, true
		}, 0, []string{""}},
		{"a call refused for load goes to a target below its limit", []string{"o1", "o2", "o3", "r1"}, func(c map[string]*Candidate, tr *PreviousAttempts) {
			tr.Targets, tr.Shed = []*Candidate{c["o1"]}, true
			c["o2"].Stat.SetLoadSource(func() Load { return Load{InFlight: 12, Queued: 9, Limit: 12} })
		}, 0, []string{"o3"}},
		{"fails over when the local targets are unreachable", []string{"o1", "o2", "r1"}, func(c map[string]*Candidate, _ *PreviousAttempts) {
			record(c["o1"], SignalUnreachable, 2)
			record(c["o2"], SignalUnreachable, 2)
		}, 0, []string{"r1"}},
		{"no fail-over to a target near its limit", []string{"o1", "r1", "r2"}, func(c map[string]*Candidate, tr *PreviousAttempts) {
			record(c["o1"], SignalUnreachable, 2)
			tr.Targets = []*Candidate{c["o1"]}
			c["r1"].Stat.ReportLoad(Load{InFlight: 11, Limit: 12}, start)
			record(c["r2"], SignalShed, 1)
		}, 0, []string{""}},
		{"an old load report is ignored", []string{"o1", "r1"}, func(c map[string]*Candidate, tr *PreviousAttempts) {
			tr.Targets = []*Candidate{c["o1"]}
			c["r1"].Stat.ReportLoad(Load{InFlight: 12, Limit: 12}, start)
		}, 2 * time.Second, []string{"r1"}},
		{"two calls without an answer do not eject", []string{"o1", "o2"}, func(c map[string]*Candidate, _ *PreviousAttempts) { record(c["o1"], SignalNoAnswer, 2) }, 0, []string{"o1", "o2"}},
		{"three calls without an answer eject", []string{"o1", "o2"}, func(c map[string]*Candidate, _ *PreviousAttempts) { record(c["o1"], SignalNoAnswer, 3) }, 0, []string{"o2"}},
		{"an answer resets the count of calls without one", []string{"o1", "o2"}, func(c map[string]*Candidate, _ *PreviousAttempts) {
			record(c["o1"], SignalNoAnswer, 2)
			record(c["o1"], SignalAnswer, 1)
			record(c["o1"], SignalNoAnswer, 2)
		}, 0, []string{"o1", "o2"}},
		{"server errors eject", []string{"o1", "o2"}, func(c map[string]*Candidate, _ *PreviousAttempts) { record(c["o1"], SignalServerError, 5) }, 0, []string{"o2"}},
		{"a good health report does not undo an ejection", []string{"o1", "o2"}, func(c map[string]*Candidate, _ *PreviousAttempts) {
			record(c["o1"], SignalNoAnswer, 3)
			c["o1"].Stat.ReportHealth(true, start)
		}, 0, []string{"o2"}},
		{"a recent answer takes precedence over a bad health report", []string{"o1", "o2"}, func(c map[string]*Candidate, _ *PreviousAttempts) {
			record(c["o1"], SignalAnswer, 1)
			c["o1"].Stat.ReportHealth(false, start)
		}, 0, []string{"o1", "o2"}},
		{"a bad health report is used when there is no answer", []string{"o1", "o2"}, func(c map[string]*Candidate, _ *PreviousAttempts) { c["o1"].Stat.ReportHealth(false, start) }, 0, []string{"o2"}},
		{"an old health report is ignored", []string{"o1", "o2"}, func(c map[string]*Candidate, _ *PreviousAttempts) { c["o1"].Stat.ReportHealth(false, start) }, 6 * time.Second, []string{"o1", "o2"}},
		{"at most half of the targets are ejected", []string{"o1", "o2", "o3", "o4"}, func(c map[string]*Candidate, _ *PreviousAttempts) {
			for i, n := range []string{"o1", "o2", "o3", "o4"} {
				record(c[n], SignalNoAnswer, 3)
				c[n].Stat.ejectedUntil.Add(int64(i))
			}
		}, 0, []string{"o1", "o2"}},
		{"one probe after an ejection", []string{"o1", "o2"}, func(c map[string]*Candidate, _ *PreviousAttempts) {
			record(c["o1"], SignalNoAnswer, 3)
			c["o1"].Stat.Begin()
		}, 2 * time.Second, []string{"o2"}},
		{"picked again after the ejection", []string{"o1", "o2"}, func(c map[string]*Candidate, _ *PreviousAttempts) { record(c["o1"], SignalNoAnswer, 3) }, 2 * time.Second, []string{"o1", "o2"}},
	}
	for _, tc := range cases {
		s, byName := newTestSet(tc.targets...)
		tried := &PreviousAttempts{}
		if tc.arrange != nil {
			tc.arrange(byName, tried)
		}
		got := pickShares(s, start.Add(tc.after), tried)
		for _, name := range tc.want {
			if got[name] == 0 {
				t.Errorf("%s: %q is never picked: %v", tc.name, name, got)
			}
		}
		if len(got) != len(tc.want) {
			t.Errorf("%s: got %v, want %v", tc.name, got, tc.want)
		}
	}
}

// Guards against a target that gets its full share as soon as it is ready, and
// against a host whose clock is ahead and whose targets stay in slow start.
func TestSlowStart(t *testing.T) {
	list := make([]snapshot.Target, 6)
	for i := range list {
		list[i].Host, list[i].DataCentre = mesh.HostID(fmt.Sprint("o", i)), "own"
		list[i].ID, list[i].Slots, list[i].State = "t", 12, membership.TargetReady
	}
	list[0].ReadySince = start.Add(time.Hour)
	s := NewTracker().NewSet("own", list, start)
	for _, tc := range []struct {
		age      time.Duration
		min, max float64
	}{{0, 0.001, 0.04}, {5 * time.Second, 0.04, 0.13}, {10 * time.Second, 0.13, 0.2}} {
		if got := pickShares(s, start.Add(tc.age), &PreviousAttempts{})["o0"]; got < tc.min || got > tc.max {
			t.Errorf("share at %s is %.3f, want %.3f to %.3f", tc.age, got, tc.min, tc.max)
		}
	}
}

// Guards against a loaded target that is picked as often as an idle one.
func TestPickPrefersLessLoaded(t *testing.T) {
	s, byName := newTestSet("o1", "o2", "o3")
	byName["o1"].Stat.ReportLoad(Load{InFlight: 12, Queued: 3, Limit: 12}, start)
	if got := pickShares(s, start, &PreviousAttempts{}); got["o1"] > 0.01 {
		t.Errorf("the busy target got %.3f", got["o1"])
	}
	record(byName["o2"], SignalShed, 1)
	if got := pickShares(s, start, &PreviousAttempts{}); got["o3"] < 0.6 {
		t.Errorf("the only target that neither sheds nor is busy got %.3f", got["o3"])
	}
}

// Guards against evidence that excludes every target of a set although an
// untried one is left.
func TestPickAlwaysFindsAnUntriedLocalTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"o1", "o2", "o3?", "r1", "r2?"}[:rapid.IntRange(1, 5).Draw(t, "targets")]
		s, byName := newTestSet(names...)
		now := start
		for range rapid.IntRange(0, 60).Draw(t, "events") {
			c := byName[rapid.SampledFrom(names).Draw(t, "target")]
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			c.Stat.Record(Signal(rapid.IntRange(1, 5).Draw(t, "signal")), 0, now)
			c.Stat.ReportHealth(rapid.Bool().Draw(t, "healthy"), now)
		}
		tried := &PreviousAttempts{Shed: rapid.Bool().Draw(t, "shed")}
		c := s.Pick(now, rand.New(rand.NewPCG(1, 1)), tried)
		if c == nil && (len(tried.Targets) < len(s.local)) && !tried.Shed {
			t.Fatal("no target is picked")
		}
		if c != nil && tried.Shed && c.DataCentre != "own" {
			t.Fatal("a call that was refused for load left the data centre")
		}
	})
}
