package proxy

import (
	"testing"

	"pgregory.net/rapid"
)

// Guards against any sequence of events, however unlikely, that makes the node
// say "not run" of a call that may have run, or that sends a call which must
// not run twice to a second target while the first may have run it.
func TestNoSequenceOfEventsTellsAnUntruth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newCallState()
		idempotent := rapid.Bool().Draw(t, "idempotent")
		events := rapid.SliceOfN(rapid.IntRange(0, len(callEvents)-1), 1, 40).Draw(t, "events")
		mayHaveRun, open := false, false // open: sent and not settled
		for _, i := range events {
			e := event(i)
			if e == eventDispatchAgain && !idempotent {
				e = eventDispatch // as call.dispatch does
			}
			moved := s.on(e)
			switch e {
			case eventDispatch, eventDispatchAgain:
				if moved && (mayHaveRun || open) && !idempotent {
					t.Fatalf("sent again after %v", events)
				}
				open = open || moved
			case eventNotRun:
				if moved {
					open = false
				}
			case eventLost:
				if moved {
					mayHaveRun, open = true, false
				}
			}
			if s.verdict == verdictNotRun && (mayHaveRun || open) {
				t.Fatalf("says not run after %v", events)
			}
			if s.verdict != verdictNone && s.on(eventDispatchAgain) {
				t.Fatalf("sent after the final answer in %v", events)
			}
		}
		s.on(eventRefuse)
		if s.verdict == verdictNone {
			t.Fatalf("no final answer after %v", events)
		}
	})
}
