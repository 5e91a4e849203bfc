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
	"nutmeghoist.example/nutmeghoist/pkg/quota"
	"nutmeghoist.example/nutmeghoist/pkg/rollout"
	"nutmeghoist.example/nutmeghoist/pkg/source"
)

const (
	// tallyPeriod is how often a host sends its counts to the coordinator of a
	// rollout. Hosts of larger meshes send less often. Once the new version's share
	// has reached highSharePermille, at most hostsPerRoundHighShare hosts send in
	// each period on average. Below it, fewer than twice hostsPerRoundLowShare do.
	// The coordinator gets at most 800 messages a second, which are 1.3 Mbit/s of
	// the 10 Mbit/s of a small host.
	tallyPeriod            = 250 * time.Millisecond
	hostsPerRoundLowShare  = 20
	hostsPerRoundHighShare = 200
	highSharePermille      = 120
	tallySendTimeout       = 500 * time.Millisecond
)

// RolloutMonitor counts the calls of services that are being rolled out and sends
// the counts to the coordinators. It also judges its own counts, so that a bad
// version is detected while the coordinator is unreachable.
type RolloutMonitor struct {
	agent  *Agent
	wakeup chan struct{} // holds an element after a snapshot was built

	mu          sync.Mutex
	tallies     map[mesh.ServiceName]*rollout.Tally
	oldInFlight map[mesh.ServiceName]int // calls in flight at targets of the stable versions
	// histories is accessed only from run's goroutine.
	histories map[rolloutID]*rollout.History
}

func newRolloutMonitor(a *Agent) *RolloutMonitor {
	return &RolloutMonitor{agent: a, wakeup: make(chan struct{}, 1), tallies: make(map[mesh.ServiceName]*rollout.Tally), oldInFlight: make(map[mesh.ServiceName]int), histories: make(map[rolloutID]*rollout.History)}
}

// Begin counts the start of a call. isNew means that it goes to the next version.
func (m *RolloutMonitor) Begin(s *view.Service, isNew bool) {
	if isNew {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.oldInFlight[s.Name]++
}

// End counts the end of a call. route is empty when the outcome says nothing
// about the target.
func (m *RolloutMonitor) End(s *view.Service, isNew bool, route string, result rollout.Result, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !isNew {
		m.oldInFlight[s.Name]--
	}
	if route == "" || s.Revision == 0 || s.Rollout == nil || s.Rollout.State != rollout.Running {
		return
	}
	t := m.tallies[s.Name]
	if t == nil || t.Revision < s.Revision {
		t = &rollout.Tally{Service: s.Name, Revision: s.Revision, Routes: make(map[string]rollout.VersionCounts)}
		m.tallies[s.Name] = t
	}
	if t.Revision == s.Revision {
		t.Observe(route, isNew, result, took)
	}
}

func (m *RolloutMonitor) run(ctx context.Context) {
	for round := 0; ; round++ {
		running := m.runningRollouts()
		if len(running) == 0 && !m.awaitSnapshot(ctx) || !pause.For(ctx, tallyPeriod) {
			return
		}
		m.agent.stall.round(time.Now())
		for _, service := range running {
			if round%tallyRounds(m.agent.LiveHosts(), service.Rollout.Permille) == 0 {
				m.evaluate(ctx, service, service.Rollout)
			}
		}
	}
}

// runningRollouts returns the services that are being rolled out.
func (m *RolloutMonitor) runningRollouts() []*view.Service {
	s := m.agent.current.Load()
	if s == nil {
		return nil
	}
	var running []*view.Service
	for _, service := range s.Services {
		if p := service.Rollout; p != nil && p.State == rollout.Running {
			running = append(running, service)
		}
	}
	return running
}

// awaitSnapshot waits for the next snapshot, and reports whether the context is
// still valid. A host without a running rollout has nothing to do in its rounds.
func (m *RolloutMonitor) awaitSnapshot(ctx context.Context) bool {
	m.agent.stall.idle()
	select {
	case <-ctx.Done():
		return false
	case <-m.wakeup:
		return true
	}
}

// tallyRounds returns the number of tally periods between two tallies of a host.
func tallyRounds(hosts, permille int) int {
	if permille >= highSharePermille {
		return max(1, (hosts+hostsPerRoundHighShare-1)/hostsPerRoundHighShare)
	}
	return max(1, hosts/hostsPerRoundLowShare)
}

// evaluate judges this host's counts and sends them to the coordinator.
func (m *RolloutMonitor) evaluate(ctx context.Context, s *view.Service, p *rollout.Progress) {
	t := m.currentTally(s, p)
	history := m.history(rolloutID{s.Name, p.Revision})
	history.Add(time.Now(), t.Routes)
	if reason := history.Judge(); reason != "" {
		m.agent.addVeto(s.Name, p.To, p.Revision, reason)
	}
	if p.Holder == m.agent.cfg.Self.ID {
		m.agent.coordinator.recordTally(&t)
		return
	}
	h, ok := m.agent.members.Get(p.Holder)
	if !ok {
		return
	}
	message, err := cbor.Marshal(&t)
	if err != nil {
		m.agent.cfg.Log.Error().Err(err).Msg("tally cannot be encoded")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, tallySendTimeout)
	defer cancel()
	if err := m.agent.cfg.Send(ctx, h.CallAddress, message); err != nil {
		m.agent.count("tallies.unsent") // counts are cumulative; the next tally includes these
	}
}

// history returns the history of a rollout. A new one replaces those of the same
// service's earlier rollouts.
func (m *RolloutMonitor) history(id rolloutID) *rollout.History {
	if m.histories[id] == nil {
		maps.DeleteFunc(m.histories, func(old rolloutID, _ *rollout.History) bool { return old.service == id.service })
		m.histories[id] = &rollout.History{}
	}
	return m.histories[id]
}

// currentTally returns a copy of this host's counts, with the progress in force
// here.
func (m *RolloutMonitor) currentTally(s *view.Service, p *rollout.Progress) rollout.Tally {
	self := m.agent.members.Self()
	m.mu.Lock()
	defer m.mu.Unlock()
	out := rollout.Tally{
		Service: s.Name, Revision: p.Revision, Epoch: p.Epoch, Step: p.Step,
		OldInFlight: m.oldInFlight[s.Name], Host: self.ID, Start: self.Incarnation,
	}
	if t := m.tallies[s.Name]; t != nil && t.Revision == p.Revision {
		out.Routes = maps.Clone(t.Routes)
	}
	return out
}

// addVeto permanently vetoes an order on all hosts, so that its version gets no
// more calls. A later order of the same version is not affected.
func (a *Agent) addVeto(service mesh.ServiceName, version mesh.TargetVersion, revision uint64, evidence string) {
	a.mu.Lock()
	_, known := a.vetoes[rolloutID{service, revision}]
	a.mu.Unlock()
	if known {
		return
	}
	err := a.gossip.AddVeto(source.Veto{
		Service: service, Version: version, Attempt: int(revision), Evidence: evidence, Host: a.cfg.Self.ID,
	})
	if err != nil {
		a.cfg.Log.Error().Err(err).Str("service", string(service)).Msg("veto not accepted")
	}
}

// HandleMessage handles a message sent by another node: a tally, or one about the
// limits of teams.
func (a *Agent) HandleMessage(message []byte) {
	if quota.IsMessage(message) {
		a.teamLimits.handle(message)
		return
	}
	var t rollout.Tally
	if err := cbor.Unmarshal(message, &t); err != nil || t.Service == "" || t.Host == "" {
		a.count("notes.unreadable")
		return
	}
	a.coordinator.recordTally(&t)
}
