package chart

import (
	"fmt"
	"slices"

	"nutmeghoist.example/nutmeghoist/pkg/finding"
)

// check returns a finding for each inconsistency of the chart.
func (c *Chart) check(v Vocabulary) finding.List {
	var l finding.List
	add := func(format string, args ...any) {
		l.Add(finding.Finding{File: c.name, Message: fmt.Sprintf(format, args...)})
	}
	if _, ok := c.spec.States[c.spec.Initial]; !ok {
		add("initial state %q does not exist", c.spec.Initial)
	}
	for _, s := range c.States() {
		c.checkState(s, v, add)
	}
	reached := c.reachable()
	for _, s := range c.States() {
		if !reached[s] {
			add("state %q cannot be reached from %q", s, c.spec.Initial)
		}
	}
	return l
}

func (c *Chart) checkState(s State, v Vocabulary, add func(string, ...any)) {
	st := c.spec.States[s]
	for _, e := range sortedEvents(st.On) {
		t := st.On[e]
		if !slices.Contains(v.Events, e) {
			add("state %q handles unknown event %q", s, e)
		}
		if _, ok := c.spec.States[t.To]; !ok {
			add("state %q, event %q leads to %q, which does not exist", s, e, t.To)
		}
		for _, a := range t.Actions {
			if !slices.Contains(v.Actions, a) {
				add("state %q, event %q names unknown action %q", s, e, a)
			}
		}
		if slices.Contains(st.Ignore, e) {
			add("state %q both handles and ignores event %q", s, e)
		}
	}
	for _, e := range st.Ignore {
		if !slices.Contains(v.Events, e) {
			add("state %q ignores unknown event %q", s, e)
		}
	}
	if st.Final {
		if len(st.On) > 0 {
			add("final state %q has transitions", s)
		}
		return
	}
	for _, e := range v.Events {
		if _, ok := st.On[e]; !ok && !slices.Contains(st.Ignore, e) {
			add("state %q neither handles nor ignores event %q", s, e)
		}
	}
}

func (c *Chart) reachable() map[State]bool {
	reached := map[State]bool{c.spec.Initial: true}
	queue := []State{c.spec.Initial}
	for len(queue) > 0 {
		s := queue[0]
		queue = queue[1:]
		for _, t := range c.spec.States[s].On {
			if !reached[t.To] {
				reached[t.To] = true
				queue = append(queue, t.To)
			}
		}
	}
	return reached
}

func sortedEvents(on map[Event]Transition) []Event {
	events := make([]Event, 0, len(on))
	for e := range on {
		events = append(events, e)
	}
	slices.Sort(events)
	return events
}
