package entry

import (
	"testing"
	"time"

	"nutmeghoist.example/nutmeghoist/internal/hop"
	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/routing"
	"nutmeghoist.example/nutmeghoist/pkg/snapshot"
)

// Guards against telling a target's owner of a limit that the target has lifted, or
// that an earlier start of it named, and against forgetting one at a refusal.
func TestSignalsAreThoseOfTheNewestAnswer(t *testing.T) {
	candidate := func(started int64) *routing.Candidate {
		return &routing.Candidate{Target: snapshot.Target{Host: "h", Target: membership.Target{ID: "t-1", ReadySince: time.UnixMilli(started)}}}
	}
	limit := func(started int64) *hop.TargetSignals { return &hop.TargetSignals{Started: started, RateLimit: 7} }
	cases := map[string]struct {
		responses []*hop.Response
		started   int64 // of the target that is called next
		known     bool
	}{
		"nothing":          {nil, 10, false},
		"named":            {[]*hop.Response{{Outcome: hop.Answered, Signals: limit(10)}}, 10, true},
		"named at refusal": {[]*hop.Response{{Outcome: hop.NotRun, Signals: limit(10)}}, 10, true},
		"refused then":     {[]*hop.Response{{Outcome: hop.Answered, Signals: limit(10)}, {Outcome: hop.NotRun}}, 10, true},
		"lost then":        {[]*hop.Response{{Outcome: hop.Answered, Signals: limit(10)}, {Outcome: hop.Unknown}}, 10, true},
		"lifted then":      {[]*hop.Response{{Outcome: hop.Answered, Signals: limit(10)}, {Outcome: hop.Answered}}, 10, false},
		"started again":    {[]*hop.Response{{Outcome: hop.Answered, Signals: limit(10)}}, 20, false},
	}
	for name, tc := range cases {
		var s targetSignals
		for _, resp := range tc.responses {
			s.record(candidate(10), resp, drainTime)
		}
		if got := s.get(candidate(tc.started)); (got != nil) != tc.known || tc.known && got.RateLimit != 7 {
			t.Errorf("%s: got %+v, want known %v", name, got, tc.known)
		}
	}
}

// Guards against a call to a target whose answer, passed on by this node, has said that
// it leaves, when the owner of the target has been restarted and does not know.
func TestNoCallAfterAnAnswerThatSaysLeaving(t *testing.T) {
	noStart := time.Time{}.UnixMilli() // of the targets in these tests
	var last time.Time
	owner := &scriptedOwner{}
	owner.script = func(_ int, r *hop.Request) *hop.Response {
		resp := successResponse(r)
		if r.Target == "t0" {
			last = time.Now()
			if r.Signals == nil {
				resp.Signals = &hop.TargetSignals{Started: noStart, Leaving: true}
			}
		}
		return resp
	}
	e := newEntry(owner, 2)
	for begin := time.Now(); last.IsZero(); {
		if time.Since(begin) > 5*time.Second {
			t.Fatal("the target got no call")
		}
		e.Handle(t.Context(), requestFor("/menus/"))
	}
	said := last
	served := 0
	for time.Since(said) < 2*drainTime {
		if e.Handle(t.Context(), requestFor("/menus/")).Status == 200 {
			served++
		}
		time.Sleep(time.Millisecond)
	}
	if late := last.Sub(said); late > drainTime {
		t.Errorf("the last call was sent %s after the answer, want at most %s", late, drainTime)
	}
	if served < 50 {
		t.Errorf("%d calls were served by the other target", served)
	}
	other := &routing.Candidate{Target: snapshot.Target{Host: "h", Target: membership.Target{ID: "t0", ReadySince: time.UnixMilli(20)}}}
	if e.signals.exclude(time.Now())(other) {
		t.Error("a new start of the target gets no calls")
	}
}
