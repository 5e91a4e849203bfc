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

// The actions that an event asks the proxy for.
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

// maxRevisions bounds the revisions that are followed at one time. Only the
// newest matters, and an outage can skip many.
const maxRevisions = 64

// RevisionTracker follows the revisions on a proxy from the first word of a head to
// the configuration in force. It is safe for concurrent use. The zero value
// knows no revision.
type RevisionTracker struct {
	mu      sync.Mutex
	states  map[uint64]chart.State
	inForce uint64
}

// Fire takes an event for a revision and returns the actions it asks for. The
// caller runs them, each once.
func (p *RevisionTracker) Fire(revision uint64, e chart.Event) ([]chart.Action, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, err := configChart.Next(p.state(revision), e)
	if err != nil || revision < p.inForce {
		return nil, err
	}
	if p.states == nil {
		p.states = make(map[uint64]chart.State)
	}
	p.states[revision] = t.To
	if t.To == StateInForce && revision > p.inForce {
		if err := p.supersede(revision); err != nil {
			return nil, err
		}
	}
	p.forget()
	return t.Actions, nil
}

// State returns the state of a revision.
func (p *RevisionTracker) State(revision uint64) chart.State {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state(revision)
}

// InForce returns the revision in force, or 0.
func (p *RevisionTracker) InForce() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inForce
}

func (p *RevisionTracker) state(revision uint64) chart.State {
	if s, ok := p.states[revision]; ok {
		return s
	}
	if revision < p.inForce {
		return StateSuperseded
	}
	return configChart.Initial()
}

// supersede tells the revisions below the one in force. Their states are
// dropped, because state gives the same answer for them.
func (p *RevisionTracker) supersede(revision uint64) error {
	p.inForce = revision
	for r, s := range p.states {
		if r >= revision {
			continue
		}
		if _, err := configChart.Next(s, eventNewerInForce); err != nil {
			return err
		}
		delete(p.states, r)
	}
	return nil
}

// forget drops the lowest revision when there are too many; it becomes unknown
// and is fetched again when its head is seen again.
func (p *RevisionTracker) forget() {
	if len(p.states) <= maxRevisions {
		return
	}
	lowest := uint64(0)
	for r := range p.states {
		if r != p.inForce && (lowest == 0 || r < lowest) {
			lowest = r
		}
	}
	delete(p.states, lowest)
}
