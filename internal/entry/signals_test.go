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
			s.record(candidate(10), resp)
		}
		if got := s.get(candidate(tc.started)); (got != nil) != tc.known || tc.known && got.RateLimit != 7 {
			t.Errorf("%s: got %+v, want known %v", name, got, tc.known)
		}
	}
}
