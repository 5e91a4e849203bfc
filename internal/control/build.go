package control

import (
	"context"
	"time"

	"nutmeghoist.example/nutmeghoist/internal/view"
	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/pause"
	"nutmeghoist.example/nutmeghoist/pkg/platform"
	"nutmeghoist.example/nutmeghoist/pkg/rollout"
	"nutmeghoist.example/nutmeghoist/pkg/routing"
	"nutmeghoist.example/nutmeghoist/pkg/snapshot"
)

const (
	// buildDebounce delays a rebuild, so that changes of host records in quick
	// succession share one snapshot.
	buildDebounce = 5 * time.Millisecond
	// minBuildInterval is the shortest time between two rebuilds for changes of host
	// records. In a large mesh records change without pause while hosts start, and
	// each build reads all of them.
	minBuildInterval = 100 * time.Millisecond
	// startPoll is how often a host that has just started checks whether it knows enough
	// to serve calls.
	startPoll = 20 * time.Millisecond
)

// buildLoop builds a snapshot after each change of the host records.
func (a *Agent) buildLoop(ctx context.Context) {
	for {
		changed := a.members.NextChange()
		if former, ok := a.members.Former(); ok {
			a.restoreDecisions(former.Rollouts)
			if a.cfg.OnFormer != nil {
				a.cfg.OnFormer(former)
			}
		}
		for _, h := range a.members.Hosts() {
			if h.StoreEra > 0 {
				a.history.observe(h.StoreEra, string(h.ID))
			}
		}
		built := time.Now()
		a.buildSnapshot()
		wake(a.coordinator.wakeup)
		var started <-chan time.Time
		if a.Snapshot() == nil {
			started = time.After(startPoll)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-started:
		}
		if !pause.For(ctx, max(buildDebounce, minBuildInterval-time.Since(built))) {
			return
		}
	}
}

// buildSnapshot builds a snapshot from the present state and puts it in force.
func (a *Agent) buildSnapshot() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.config == nil || !a.decisionsKnown() {
		return
	}
	hosts := a.members.Hosts()
	alive, sharing := 0, 0
	for i := range hosts {
		if hosts[i].Status == membership.StatusAlive {
			alive++
		}
		if hosts[i].Status != membership.StatusLeft {
			sharing++
		}
	}
	a.liveHosts.Store(int64(alive))
	a.sharingHosts.Store(int64(sharing))
	progress := a.newestProgressLocked(hosts)
	s := &view.Snapshot{Config: a.config, Matcher: a.matcher, Services: make(map[mesh.ServiceName]*view.Service)}
	targets := targetsByService(hosts)
	for name := range a.config.Services {
		s.Services[name] = a.buildService(name, targets[name], progress[name])
	}
	known := make(map[mesh.HostID]bool, len(hosts))
	for i := range hosts {
		known[hosts[i].ID] = true
	}
	a.tracker.Prune(func(k routing.Key) bool { return known[k.Host] })
	a.logVersions(s, a.current.Swap(s))
	a.teamLimits.update(s, hosts)
	wake(a.monitor.wakeup)
}

// targetsByService returns the targets of all hosts that have neither failed nor
// left. Those of a suspected or stopping host are used only when there is no other:
// a node that stops still serves the calls that reach it for a while.
func targetsByService(hosts []membership.Host) map[mesh.ServiceName][]snapshot.Target {
	out := make(map[mesh.ServiceName][]snapshot.Target)
	for i := range hosts {
		h := &hosts[i]
		if h.Status > membership.StatusLeaving {
			continue
		}
		for _, t := range h.Targets {
			out[t.Service] = append(out[t.Service], snapshot.Target{
				Target: t, Host: h.ID, DataCentre: h.DataCentre, CallAddress: h.CallAddress,
				Suspect: h.Status != membership.StatusAlive,
			})
		}
	}
	return out
}

// logVersions logs which versions of the services get calls, when that has changed.
func (a *Agent) logVersions(s, before *view.Snapshot) {
	for name, service := range s.Services {
		var old *view.Service
		if before != nil {
			old = before.Services[name]
		}
		if old != nil && old.Revision == service.Revision && old.From == service.From && old.State() == service.State() {
			continue
		}
		a.cfg.Log.Info().Str("service", string(name)).Str("from", string(service.From)).Str("to", string(service.To)).
			Str("state", string(service.State())).Uint64("era", platform.EraOf(service.Revision)).
			Uint64("order", platform.CounterOf(service.Revision)).Msg("versions that get calls")
	}
}

// buildService groups the targets of a service by their role in its rollout. The
// caller holds the mutex.
func (a *Agent) buildService(name mesh.ServiceName, targets []snapshot.Target, p *rollout.Progress) *view.Service {
	s := &view.Service{Name: name, Rollout: p}
	if p != nil {
		s.Revision, s.To, s.From = p.Revision, p.To, p.StableVersion()
	}
	if l := a.orders[name]; l != nil {
		if o, _, ok := l.Newest(p); ok && o.Revision > s.Revision {
			// No coordinator has started on the newest order yet.
			s.Revision, s.To, s.Rollout = o.Revision, o.To, nil
		}
	}
	if s.From == "" {
		s.From = oldestVersion(targets, func(v mesh.TargetVersion) bool { return v == s.To || a.isVetoedVersion(name, v) })
	}
	allStable, allNext := partitionTargets(s, targets)
	stable, next := a.withoutEvacuated(allStable), a.withoutEvacuated(allNext)
	_, vetoed := a.vetoOf(name, s.Revision)
	now := time.Now()
	s.Stable = a.newTargetSet(stable, now)
	s.Evacuated = s.Stable.Len() == 0 && len(stable) < len(allStable)
	if s.Rollout != nil && s.Rollout.State == rollout.Running && !vetoed {
		s.Next = a.newTargetSet(next, now)
		s.NextEvacuated = s.Next.Len() == 0 && len(next) < len(allNext)
	}
	return s
}

// vetoOf returns the evidence of a veto on an order, under each of the revisions by which
// the order is known; a.mu must be held.
func (a *Agent) vetoOf(service mesh.ServiceName, revision uint64) (evidence string, vetoed bool) {
	v, vetoed := veto{}, false
	if l := a.orders[service]; l != nil {
		v, vetoed = a.vetoes[rolloutID{service, l.Canonical(revision)}]
	}
	if !vetoed {
		v, vetoed = a.vetoes[rolloutID{service, revision}]
	}
	return v.evidence, vetoed
}

// isVetoedVersion reports whether an order of a version is vetoed; a.mu must be held.
func (a *Agent) isVetoedVersion(service mesh.ServiceName, version mesh.TargetVersion) bool {
	for id, v := range a.vetoes {
		if id.service == service && v.version == version {
			return true
		}
	}
	return false
}

// partitionTargets returns the targets of the stable version, and those of the version
// that a rollout moves to.
func partitionTargets(s *view.Service, targets []snapshot.Target) (stable, next []snapshot.Target) {
	for _, t := range targets {
		switch t.Version {
		case s.From:
			stable = append(stable, t)
		case s.To:
			next = append(next, t)
		}
	}
	return stable, next
}

// oldestVersion returns the version of the oldest target, among the versions that are not
// excluded. It is the stable one of a service without a rollout: targets of others were
// started for a rollout whose order has not arrived yet.
func oldestVersion(targets []snapshot.Target, excluded func(mesh.TargetVersion) bool) mesh.TargetVersion {
	var first *snapshot.Target
	for i := range targets {
		if t := &targets[i]; !excluded(t.Version) && (first == nil || t.ReadySince.Before(first.ReadySince)) {
			first = t
		}
	}
	if first == nil {
		return ""
	}
	return first.Version
}

// newTargetSet returns the set of the targets with this node's statistics of
// each. It connects local targets to their load.
func (a *Agent) newTargetSet(targets []snapshot.Target, now time.Time) *routing.Set {
	for _, t := range targets {
		if t.Host == a.cfg.Self.ID {
			a.tracker.Stat(routing.Key{Host: t.Host, ID: t.ID}).SetLoadSource(func() routing.Load {
				l, _ := a.cfg.Load(t.ID)
				return l
			})
		}
	}
	return a.tracker.NewSet(a.cfg.Self.DataCentre, targets, now)
}
