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
	eventQueue         event = iota // a target was picked
	eventDispatch                   // the call goes to the target
	eventDispatchAgain              // the same, for an idempotent call
	eventNotRun                     // the target provably did not run the call
	eventLost                       // no answer came after the dispatch
	eventAnswer                     // the target's answer began
	eventRefuse                     // the node gives the call up
	eventCancel                     // the caller left
)

var callEvents = []chart.Event{"queue", "dispatch", "dispatch-again", "not-run", "lost", "answer", "refuse", "cancel"}

// stateReceived is the state of a call that no target has run.
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

// verdict is what the node may tell the caller.
type verdict uint8

const (
	verdictNone verdict = iota
	verdictNotRun
	verdictUnknown
	verdictAnswer
)

var verdicts = map[chart.Action]verdict{
	actionSayNotRun: verdictNotRun, actionSayUnknown: verdictUnknown, actionPassAnswer: verdictAnswer,
}

type step struct {
	to      uint8
	moved   bool
	verdict verdict
}

// compiledChart is the chart as a table, so that an event on the call path
// costs no map look-up.
type compiledChart struct {
	initial uint8
	states  []chart.State
	steps   [][]step // by state and event
}

func compileChart(c *chart.Chart) *compiledChart {
	cc := &compiledChart{states: c.States()}
	index := make(map[chart.State]uint8)
	for i, s := range cc.states {
		index[s] = uint8(i)
	}
	cc.initial = index[c.Initial()]
	for i, s := range cc.states {
		row := make([]step, len(callEvents))
		for e, name := range callEvents {
			row[e] = step{to: uint8(i)}
			t, err := c.Next(s, name)
			if err != nil || t.To == s {
				continue
			}
			row[e] = step{to: index[t.To], moved: true}
			for _, a := range t.Actions {
				row[e].verdict = verdicts[a]
			}
		}
		cc.steps = append(cc.steps, row)
	}
	return cc
}

// callState is the state of one call and what may be said about it.
type callState struct {
	state   uint8
	verdict verdict
}

func newCallState() callState { return callState{state: callChart.initial} }

// on takes an event and reports whether it led to another state.
func (s *callState) on(e event) bool {
	st := callChart.steps[s.state][e]
	s.state = st.to
	if st.verdict != verdictNone {
		s.verdict = st.verdict
	}
	return st.moved
}

// in reports whether the call is in the given state.
func (s *callState) in(state chart.State) bool { return callChart.states[s.state] == state }
