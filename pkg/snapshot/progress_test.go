package snapshot

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"nutmeghoist.example/nutmeghoist/pkg/chart"
	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/rules"
	"nutmeghoist.example/nutmeghoist/pkg/source"
)

// Guards against a rejected revision that is put in force, and against a revision
// that stays in force when a newer one is put in force.
func TestRevisionTracker(t *testing.T) {
	var tracker RevisionTracker
	for _, step := range []struct {
		revision uint64
		event    chart.Event
		actions  []chart.Action
		state    chart.State
	}{
		{1, EventTextFetched, nil, StateUnknown},
		{1, EventHeadSeen, []chart.Action{ActionFetch}, StateFetching},
		{1, EventHeadSeen, nil, StateFetching},
		{1, EventFetchFailed, []chart.Action{ActionFetch}, StateFetching},
		{1, EventTextFetched, []chart.Action{ActionCheck}, StateChecking},
		{1, EventCheckPassed, []chart.Action{ActionActivate}, StateInForce},
		{3, EventHeadSeen, []chart.Action{ActionFetch}, StateFetching},
		{2, EventHeadSeen, []chart.Action{ActionFetch}, StateFetching},
		{2, EventTextFetched, []chart.Action{ActionCheck}, StateChecking},
		{2, EventCheckFailed, []chart.Action{ActionReject}, StateRejected},
		{2, EventCheckPassed, nil, StateRejected},
		{2, EventHeadSeen, nil, StateRejected},
		{3, EventTextFetched, []chart.Action{ActionCheck}, StateChecking},
		{3, EventCheckPassed, []chart.Action{ActionActivate}, StateInForce},
		{1, EventHeadSeen, nil, StateSuperseded},
		{2, EventCheckPassed, nil, StateSuperseded},
	} {
		actions, err := tracker.Fire(step.revision, step.event)
		if err != nil || !slices.Equal(actions, step.actions) || tracker.State(step.revision) != step.state {
			t.Fatalf("revision %d, %s: got %v, %s, %v; want %v, %s", step.revision, step.event, actions, tracker.State(step.revision), err, step.actions, step.state)
		}
	}
	if tracker.InForce() != 3 || tracker.State(1) != StateSuperseded {
		t.Fatalf("in force is %d, revision 1 is %s", tracker.InForce(), tracker.State(1))
	}
	for r := uint64(10); r < 10+3*maxRevisions; r++ {
		if _, err := tracker.Fire(r, EventHeadSeen); err != nil {
			t.Fatal(err)
		}
	}
	if len(tracker.states) > maxRevisions || tracker.State(3) != StateInForce || tracker.State(9+3*maxRevisions) != StateFetching {
		t.Fatalf("%d revisions are kept, revision 3 is %s", len(tracker.states), tracker.State(3))
	}
}

// proxy simulates, without a network, how a node applies the heads, vetoes and
// hosts that it receives.
type proxy struct {
	holder     Holder
	tracker    RevisionTracker
	hosts      map[mesh.HostID]membership.Host
	vetoes     map[source.VetoKey]source.Veto
	text       map[uint64][]rules.Rule
	generation uint64
}

func (p *proxy) receiveHead(head source.Head) error {
	for _, e := range []chart.Event{EventHeadSeen, EventTextFetched} {
		if _, err := p.tracker.Fire(head.Revision, e); err != nil {
			return err
		}
	}
	if p.tracker.State(head.Revision) != StateChecking {
		return nil
	}
	event := EventCheckPassed
	if p.build(head) != nil {
		event = EventCheckFailed
	}
	_, err := p.tracker.Fire(head.Revision, event)
	return err
}

// build builds a snapshot of the head with the current hosts and vetoes and
// passes it to the holder.
func (p *proxy) build(head source.Head) error {
	p.generation++
	var hosts []membership.Host
	for _, h := range p.hosts {
		hosts = append(hosts, h)
	}
	var vetoes []source.Veto
	for _, v := range p.vetoes {
		vetoes = append(vetoes, v)
	}
	s, err := Build(head, rules.File{Rules: p.text[head.Revision]}, hosts, vetoes, p.generation, start)
	if err == nil {
		_ = p.holder.Swap(s) // an older snapshot is expected to be refused
	}
	return err
}

func (p *proxy) rebuild() error {
	if s := p.holder.Load(); s != nil {
		return p.build(s.Head)
	}
	return nil
}

// Guards against a decrease of the version in force and against a rule without a
// target entry, for any order in which heads, vetoes and host changes arrive. Two
// proxies that receive the same events in different orders must end at the same
// version.
func TestEventOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := map[uint64][]rules.Rule{}
		for r := uint64(1); r <= 5; r++ {
			text[r] = rapid.SliceOfN(ruleGenerator(), 0, 4).Draw(t, fmt.Sprint("text ", r))
		}
		events := rapid.SliceOfN(eventGenerator(), 1, 25).Draw(t, "events")
		a, b := newProxy(text), newProxy(text)
		a.apply(t, events)
		b.apply(t, rapid.Permutation(events).Draw(t, "other order"))
		if got, want := a.version(), b.version(); got != want {
			t.Fatalf("one order ends at %s, another at %s", got, want)
		}
	})
}

func newProxy(text map[uint64][]rules.Rule) *proxy {
	return &proxy{text: text, hosts: map[mesh.HostID]membership.Host{}, vetoes: map[source.VetoKey]source.Veto{}}
}

func (p *proxy) version() mesh.ConfigVersion {
	if s := p.holder.Load(); s != nil {
		return s.Version
	}
	return mesh.ConfigVersion{}
}

func (p *proxy) apply(t *rapid.T, events []func(*proxy) error) {
	var last *Snapshot
	for _, e := range events {
		if err := e(p); err != nil {
			t.Fatal(err)
		}
		s := p.holder.Load()
		if s == nil {
			continue
		}
		if last != nil && s != last && !isNewer(s, last) {
			t.Fatalf("version %s after %s", s.Version, last.Version)
		}
		if err := s.Check(); err != nil {
			t.Fatal(err)
		}
		if last = s; p.tracker.InForce() != s.Version.Revision {
			t.Fatalf("the tracker has revision %d in force, the holder %s", p.tracker.InForce(), s.Version)
		}
	}
}

func ruleGenerator() *rapid.Generator[rules.Rule] {
	version := rapid.SampledFrom([]mesh.TargetVersion{"v1", "v2", "v3"})
	return rapid.Custom(func(t *rapid.T) rules.Rule {
		r := rules.Rule{
			Line: 1, Prefix: rapid.SampledFrom([]string{"/a", "/b"}).Draw(t, "prefix"), Service: "s",
			Version: version.Draw(t, "version"), Attempt: rapid.IntRange(1, 2).Draw(t, "attempt"),
		}
		if rapid.Bool().Draw(t, "move") {
			r.From = version.Draw(t, "from") // may be the same version, which must be rejected
		}
		return r
	})
}

func eventGenerator() *rapid.Generator[func(*proxy) error] {
	return rapid.Custom(func(t *rapid.T) func(*proxy) error {
		version := rapid.SampledFrom([]mesh.TargetVersion{"v1", "v2", "v3"}).Draw(t, "version")
		n := rapid.IntRange(1, 5).Draw(t, "number")
		switch rapid.IntRange(0, 2).Draw(t, "kind") {
		case 0:
			return func(p *proxy) error { return p.receiveHead(source.Head{Revision: uint64(n), Hash: "h"}) }
		case 1:
			v := source.Veto{Service: "s", Version: version, Attempt: min(n, 2)}
			return func(p *proxy) error {
				p.vetoes[v.Key()] = v
				return p.rebuild()
			}
		}
		h := host(fmt.Sprint(n), rapid.SampledFrom([]membership.Status{membership.StatusAlive, membership.StatusSuspect, membership.StatusFailed}).Draw(t, "status"),
			membership.Target{ID: "t", Service: "s", Version: version, State: membership.TargetReady})
		return func(p *proxy) error {
			p.hosts[h.ID] = h
			return p.rebuild()
		}
	})
}
