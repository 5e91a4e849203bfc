// Package chart loads state charts from TOML files, checks them and looks up
// their transitions. A chart names its initial state and, for each state, the
// events that cause a transition and the events that the state ignores.
package chart

import (
	"bytes"
	"errors"
	"fmt"
	"slices"

	"github.com/pelletier/go-toml/v2"

	"nutmeghoist.example/nutmeghoist/pkg/finding"
)

// State names a state of a chart.
type State string

// Event names an event that a chart reacts to.
type Event string

// Action names an operation that the code runs on a transition.
type Action string

// Vocabulary lists the events and actions that the code implements. A chart may
// use no others.
type Vocabulary struct {
	Events  []Event
	Actions []Action
}

// Transition names the next state and the actions to run on the transition.
type Transition struct {
	To      State    `toml:"to"`
	Actions []Action `toml:"actions"`
}

type stateSpec struct {
	Final  bool                 `toml:"final"`
	Ignore []Event              `toml:"ignore"`
	On     map[Event]Transition `toml:"on"`
}

type spec struct {
	Initial State               `toml:"initial"`
	States  map[State]stateSpec `toml:"states"`
}

// Chart is a checked state chart. It is immutable and safe for concurrent use.
type Chart struct {
	name string
	spec spec
}

// ErrNotAllowed means that a state neither handles nor ignores an event.
var ErrNotAllowed = errors.New("event is not allowed in this state")

// Load parses and checks the chart in data. The findings contain name as the
// file name, and all of them are returned together as a finding.List.
func Load(name string, data []byte, v Vocabulary) (*Chart, error) {
	c := &Chart{name: name}
	if err := unmarshalStrict(data, &c.spec); err != nil {
		return nil, parseFindings(name, err)
	}
	if l := c.check(v); len(l) > 0 {
		return nil, l
	}
	return c, nil
}

// MustLoad is like Load but panics on an error. It is for charts that are
// embedded in the binary.
func MustLoad(name string, data []byte, v Vocabulary) *Chart {
	c, err := Load(name, data, v)
	if err != nil {
		panic(err)
	}
	return c
}

// Initial returns the initial state.
func (c *Chart) Initial() State { return c.spec.Initial }

// Final reports whether a state is final.
func (c *Chart) Final(s State) bool { return c.spec.States[s].Final }

// States returns the states in alphabetical order.
func (c *Chart) States() []State {
	states := make([]State, 0, len(c.spec.States))
	for s := range c.spec.States {
		states = append(states, s)
	}
	slices.Sort(states)
	return states
}

// Next returns the transition for an event. An ignored event leads to the same
// state without actions; any other event without a transition is ErrNotAllowed.
func (c *Chart) Next(s State, e Event) (Transition, error) {
	st := c.spec.States[s]
	if t, ok := st.On[e]; ok {
		return t, nil
	}
	if slices.Contains(st.Ignore, e) {
		return Transition{To: s}, nil
	}
	return Transition{To: s}, fmt.Errorf("chart %s: state %q, event %q: %w", c.name, s, e, ErrNotAllowed)
}

func unmarshalStrict(data []byte, out *spec) error {
	d := toml.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	return d.Decode(out)
}

func parseFindings(name string, err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		var l finding.List
		for _, e := range strict.Errors {
			line, column := e.Position()
			l.Add(finding.Finding{File: name, Line: line, Column: column, Message: "unknown key " + fmt.Sprint(e.Key())})
		}
		return l
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		line, column := decode.Position()
		return finding.List{{File: name, Line: line, Column: column, Message: decode.Error()}}
	}
	return finding.List{{File: name, Message: err.Error()}}
}
