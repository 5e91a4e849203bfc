package proxy

import (
	_ "embed"

	"nutmeghoist.example/nutmeghoist/pkg/chart"
)

//go:embed call.toml
var callChartText []byte

// event is an index into callEvents.
type event uint8

const (
	eventQueue         event = iota // a target was selected
	eventDispatch                   // the call is sent to the target
	eventDispatchAgain              // the same, for an idempotent call
	eventNotRun                     // the target provably did not run the call
	eventLost                       // no answer was received after the dispatch
	eventAnswer                     // the headers of the target's answer arrived
	eventRefuse                     // the node makes no further attempt
	eventCancel                     // the caller cancelled the call
)

var callEvents = []chart.Event{"queue", "dispatch", "dispatch-again", "not-run", "lost", "answer", "refuse", "cancel"}

// stateReceived is the state of a call that no target can have run.
const stateReceived chart.State = "received"

const (
	actionSayNotRun  chart.Action = "say-not-run"
	actionSayUnknown chart.Action = "say-unknown"
	actionPassAnswer chart.Action = "pass-answer"
)

var callChart = compileChart(chart.MustLoad("call.toml", callChartText, chart.Vocabulary{
	Events:  callEvents,
	Actions: []chart.Action{actionSayNotRun, actionSayUnknown, actionPassAnswer},
}))

// finalOutcome is the kind of the final answer to the caller.
type finalOutcome uint8

const (
	finalNone finalOutcome = iota
	finalNotRun
	finalUnknown
	finalAnswered
)

var finalOutcomes = map[chart.Action]finalOutcome{
	actionSayNotRun: finalNotRun, actionSayUnknown: finalUnknown, actionPassAnswer: finalAnswered,
}

type transition struct {
	to      uint8
	changed bool
	outcome finalOutcome
}

// compiledChart is the chart as a table, so that an event on the call path needs
// no map lookup.
type compiledChart struct {
	initial     uint8
	states      []chart.State
	transitions [][]transition // by state and event
}

func compileChart(c *chart.Chart) *compiledChart {
	cc := &compiledChart{states: c.States()}
	index := make(map[chart.State]uint8)
	for i, s := range cc.states {
		index[s] = uint8(i)
	}
	cc.initial = index[c.Initial()]
	for i, s := range cc.states {
		row := make([]transition, len(callEvents))
		for e, name := range callEvents {
			row[e] = transition{to: uint8(i)}
			t, err := c.Next(s, name)
			if err != nil || t.To == s {
				continue
			}
			row[e] = transition{to: index[t.To], changed: true}
			for _, a := range t.Actions {
				row[e].outcome = finalOutcomes[a]
			}
		}
		cc.transitions = append(cc.transitions, row)
	}
	return cc
}

// callState is the state of one call and its final outcome.
type callState struct {
	state   uint8
	outcome finalOutcome
}

func newCallState() callState { return callState{state: callChart.initial} }

// apply applies an event and reports whether the state changed.
func (s *callState) apply(e event) bool {
	t := callChart.transitions[s.state][e]
	s.state = t.to
	if t.outcome != finalNone {
		s.outcome = t.outcome
	}
	return t.changed
}

// is reports whether the call is in the state.
func (s *callState) is(state chart.State) bool { return callChart.states[s.state] == state }
