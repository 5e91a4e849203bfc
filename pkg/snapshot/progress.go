package snapshot

import (
	_ "embed"
	"sync"

	"nutmeghoist.example/nutmeghoist/pkg/chart"
)

//go:embed config.toml
var configFile []byte

// The states of a revision on a proxy.
const (
	StateUnknown    chart.State = "unknown"
	StateFetching   chart.State = "fetching"
	StateChecking   chart.State = "checking"
	StateInForce    chart.State = "in-force"
	StateRejected   chart.State = "rejected"
	StateSuperseded chart.State = "superseded"
)

// The events of a revision on a proxy.
const (
	EventHeadSeen     chart.Event = "head-seen"
	EventTextFetched  chart.Event = "text-fetched"
	EventFetchFailed  chart.Event = "fetch-failed"
	EventCheckPassed  chart.Event = "check-passed"
	EventCheckFailed  chart.Event = "check-failed"
	eventNewerInForce chart.Event = "newer-in-force"
)

// The actions that the proxy runs on a transition.
const (
	ActionFetch    chart.Action = "fetch"    // fetch the text from a neighbour or the object store
	ActionCheck    chart.Action = "check"    // check hash, rules and consistency
	ActionActivate chart.Action = "activate" // put the snapshot in force
	ActionReject   chart.Action = "reject"   // log and count the revision as rejected
)

var configChart = chart.MustLoad("config.toml", configFile, chart.Vocabulary{
	Events:  []chart.Event{EventHeadSeen, EventTextFetched, EventFetchFailed, EventCheckPassed, EventCheckFailed, eventNewerInForce},
	Actions: []chart.Action{ActionFetch, ActionCheck, ActionActivate, ActionReject},
})

// maxRevisions limits the revisions that are tracked at the same time. Only the
// newest matters, and a proxy can miss many revisions during an outage.
const maxRevisions = 64

// RevisionTracker tracks the state of each revision on a proxy, from the receipt
// of its head until its configuration is in force. It is safe for concurrent
// use. The zero value is an empty tracker, ready for use.
type RevisionTracker struct {
	mu      sync.Mutex
	states  map[uint64]chart.State
	inForce uint64
}

// Fire applies an event to a revision and returns the actions of the transition.
// The caller must run each of them once.
func (t *RevisionTracker) Fire(revision uint64, e chart.Event) ([]chart.Action, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	transition, err := configChart.Next(t.state(revision), e)
	if err != nil || revision < t.inForce {
		return nil, err
	}
	if t.states == nil {
		t.states = make(map[uint64]chart.State)
	}
	t.states[revision] = transition.To
	if transition.To == StateInForce && revision > t.inForce {
		if err := t.supersede(revision); err != nil {
			return nil, err
		}
	}
	t.prune()
	return transition.Actions, nil
}

// State returns the state of a revision.
func (t *RevisionTracker) State(revision uint64) chart.State {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state(revision)
}

// InForce returns the revision in force, or 0.
func (t *RevisionTracker) InForce() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.inForce
}

func (t *RevisionTracker) state(revision uint64) chart.State {
	if s, ok := t.states[revision]; ok {
		return s
	}
	if revision < t.inForce {
		return StateSuperseded
	}
	return configChart.Initial()
}

// supersede records the revision in force and applies newer-in-force to the lower
// ones. Their states are deleted, because state derives them from inForce.
func (t *RevisionTracker) supersede(revision uint64) error {
	t.inForce = revision
	for other, s := range t.states {
		if other >= revision {
			continue
		}
		if _, err := configChart.Next(s, eventNewerInForce); err != nil {
			return err
		}
		delete(t.states, other)
	}
	return nil
}

// prune deletes the lowest revision that is not in force if there are too many.
// It becomes unknown and is fetched again when its head is received again.
func (t *RevisionTracker) prune() {
	if len(t.states) <= maxRevisions {
		return
	}
	lowest := uint64(0)
	for r := range t.states {
		if r != t.inForce && (lowest == 0 || r < lowest) {
			lowest = r
		}
	}
	delete(t.states, lowest)
}
