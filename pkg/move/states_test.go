package move

import (
	"errors"
	"testing"

	"nutmeghoist.example/nutmeghoist/pkg/chart"
)

// Guards against a transition that is changed by accident. The table holds the
// next state for each state and event, "" for an event that is not allowed.
func TestChart(t *testing.T) {
	events := []chart.Event{eventStart, eventSuspect, eventClear, eventFull, eventNewTime, eventVeto, eventFault, eventWatchEnd, eventWithdraw}
	const (
		w, m, h, f, d, b, x = StateWaiting, StateMoving, StateHeld, StateFull, StateDone, StateTakenBack, StateWithdrawn
	)
	want := map[chart.State][]chart.State{
		w: {m, w, w, w, w, b, w, w, x},
		m: {m, h, m, f, m, b, m, m, x},
		h: {h, h, m, h, h, b, h, h, x},
		f: {f, f, f, f, f, b, f, d, x},
		d: {d, d, d, d, f, b, d, d, x},
		b: {b, b, b, b, b, b, b, b, x},
		x: {"", "", "", "", "", "", "", "", ""},
	}
	if len(want) != len(moveChart.States()) {
		t.Fatalf("states %v", moveChart.States())
	}
	for s, row := range want {
		for i, e := range events {
			tr, err := moveChart.Next(s, e)
			if row[i] == "" {
				if !errors.Is(err, chart.ErrNotAllowed) {
					t.Errorf("%s, %s: %v, want not allowed", s, e, err)
				}
				continue
			}
			zero := len(tr.Actions) == 1 && tr.Actions[0] == actionZeroShare
			if err != nil || tr.To != row[i] || (s != row[i] && zero != (row[i] == b || row[i] == x)) {
				t.Errorf("%s, %s: %+v, %v, want %s", s, e, tr, err, row[i])
			}
		}
	}
}
