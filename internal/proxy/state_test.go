package proxy

import (
	"testing"

	"pgregory.net/rapid"
)

// Guards against sequences of events after which the node reports "not run" for a
// call that may have run, or sends a call that is not idempotent to a second
// target although the first may have run it.
func TestNoEventSequenceReportsFalseNotRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newCallState()
		idempotent := rapid.Bool().Draw(t, "idempotent")
		events := rapid.SliceOfN(rapid.IntRange(0, len(callEvents)-1), 1, 40).Draw(t, "events")
		mayHaveRun, pending := false, false // pending: dispatched, no outcome yet
		for _, i := range events {
			e := event(i)
			if e == eventDispatchAgain && !idempotent {
				e = eventDispatch // as call.dispatch does
			}
			changed := s.apply(e)
			switch e {
			case eventDispatch, eventDispatchAgain:
				if changed && (mayHaveRun || pending) && !idempotent {
					t.Fatalf("sent again after %v", events)
				}
				pending = pending || changed
			case eventNotRun:
				if changed {
					pending = false
				}
			case eventLost:
				if changed {
					mayHaveRun, pending = true, false
				}
			}
			if s.outcome == finalNotRun && (mayHaveRun || pending) {
				t.Fatalf("reported not run after %v", events)
			}
			if s.outcome != finalNone && s.apply(eventDispatchAgain) {
				t.Fatalf("sent after the final answer in %v", events)
			}
		}
		s.apply(eventRefuse)
		if s.outcome == finalNone {
			t.Fatalf("no final answer after %v", events)
		}
	})
}
