package control

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"nutmeghoist.example/nutmeghoist/internal/view"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/pause"
	"nutmeghoist.example/nutmeghoist/pkg/rollout"
	"nutmeghoist.example/nutmeghoist/pkg/source"
)

const (
	// tallyPeriod is how often a host tells its counts to the coordinator of a
	// rollout. It is longer in meshes of more than slowHosts hosts, and from a share
	// of fastPermille on of more than fastHosts, so that the coordinator gets no
	// more: 800 messages a second are 1.3 Mbit/s of the 10 Mbit/s of a small host.
	tallyPeriod  = 250 * time.Millisecond
	slowHosts    = 20
	fastHosts    = 200
	fastPermille = 120
	noteTimeout  = 500 * time.Millisecond
)

// RolloutMonitor counts the calls of services that are being rolled out, tells the
// counts to the coordinators and judges them on its own as well, so that a bad
// version is noticed while the coordinator is out of reach.
type RolloutMonitor struct {
	c *Agent

	mu      sync.Mutex
	tallies map[mesh.ServiceName]*rollout.Tally
	old     map[mesh.ServiceName]int // calls in flight at targets of the stable versions
	// history is used by the loop alone.
	history map[rolloutID]*rollout.History
}

func newWatcher(c *Agent) *RolloutMonitor {
	return &RolloutMonitor{c: c, tallies: make(map[mesh.ServiceName]*rollout.Tally), old: make(map[mesh.ServiceName]int), history: make(map[rolloutID]*rollout.History)}
}

// Begin counts a call that is sent.
func (w *RolloutMonitor) Begin(s *view.Service, isNew bool) {
	if isNew {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.old[s.Name]++
}

// End counts the end of a call. route is empty when the call shows nothing of
// its target.
func (w *RolloutMonitor) End(s *view.Service, isNew bool, route string, failed bool, took time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !isNew {
		w.old[s.Name]--
	}
	if route == "" || s.Revision == 0 || s.Rollout == nil || s.Rollout.State != rollout.Running {
		return
	}
	t := w.tallies[s.Name]
	if t == nil || t.Revision < s.Revision {
		t = &rollout.Tally{Service: s.Name, Revision: s.Revision, Routes: make(map[string]rollout.VersionCounts)}
		w.tallies[s.Name] = t
	}
	if t.Revision == s.Revision {
		t.Observe(route, isNew, failed, took)
	}
}

func (w *RolloutMonitor) run(ctx context.Context) {
	for round := 0; pause.For(ctx, tallyPeriod); round++ {
		s := w.c.current.Load()
		if s == nil {
			continue
		}
		for _, service := range s.Services {
			p := service.Rollout
			if p == nil || p.State != rollout.Running {
				continue
			}
			if round%tallyRounds(w.c.LiveHosts(), p.Permille) == 0 {
				w.look(ctx, service, p)
			}
		}
	}
}

// tallyRounds returns how many periods pass from one tally of a host to the next.
func tallyRounds(hosts, permille int) int {
	if permille >= fastPermille {
		return max(1, (hosts+fastHosts-1)/fastHosts)
	}
	return max(1, hosts/slowHosts)
}

// look judges the own counts and tells them to the coordinator.
func (w *RolloutMonitor) look(ctx context.Context, s *view.Service, p *rollout.Progress) {
	t := w.tally(s, p)
	id := rolloutID{s.Name, p.Revision}
	if w.history[id] == nil {
		clear(w.history) // the earlier rollouts are over
		w.history[id] = &rollout.History{}
	}
	w.history[id].Add(time.Now(), t.Routes)
	if why := w.history[id].Judge(); why != "" {
		w.c.veto(s.Name, p.To, p.Revision, why)
	}
	if p.Holder == w.c.cfg.Self.ID {
		w.c.coordinator.takeTally(&t)
		return
	}
	h, ok := w.c.members.Get(p.Holder)
	if !ok {
		return
	}
	note, err := cbor.Marshal(&t)
	if err != nil {
		w.c.cfg.Log.Error().Err(err).Msg("tally cannot be encoded")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, noteTimeout)
	defer cancel()
	if err := w.c.cfg.Send(ctx, h.CallAddress, note); err != nil {
		w.c.count("tallies.unsent") // the next one holds the same counts
	}
}

// tally returns a copy of the counts with what is in force here.
func (w *RolloutMonitor) tally(s *view.Service, p *rollout.Progress) rollout.Tally {
	self := w.c.members.Self()
	w.mu.Lock()
	defer w.mu.Unlock()
	out := rollout.Tally{
		Service: s.Name, Revision: p.Revision, Epoch: p.Epoch, Step: p.Step,
		OldInFlight: w.old[s.Name], Host: self.ID, Start: self.Incarnation,
	}
	if t := w.tallies[s.Name]; t != nil && t.Revision == p.Revision {
		out.Routes = maps.Clone(t.Routes)
	}
	return out
}

// veto takes a version out everywhere, for good.
func (c *Agent) veto(service mesh.ServiceName, to mesh.TargetVersion, revision uint64, why string) {
	c.mu.Lock()
	_, known := c.vetoes[rolloutID{service, revision}]
	c.mu.Unlock()
	if known {
		return
	}
	err := c.gossip.AddVeto(source.Veto{
		Service: service, Version: to, Attempt: int(revision), Evidence: why, Host: c.cfg.Self.ID,
	})
	if err != nil {
		c.cfg.Log.Error().Err(err).Str("service", string(service)).Msg("veto not accepted")
	}
}

// HandleMessage takes a message of another node.
func (c *Agent) HandleMessage(message []byte) {
	var t rollout.Tally
	if err := cbor.Unmarshal(message, &t); err != nil || t.Service == "" || t.Host == "" {
		c.count("notes.unreadable")
		return
	}
	c.coordinator.takeTally(&t)
}
