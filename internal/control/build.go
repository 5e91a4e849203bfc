package control

import (
	"context"
	"time"

	"nutmeghoist.example/nutmeghoist/internal/view"
	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/pause"
	"nutmeghoist.example/nutmeghoist/pkg/rollout"
	"nutmeghoist.example/nutmeghoist/pkg/routing"
	"nutmeghoist.example/nutmeghoist/pkg/snapshot"
)

// buildPause lets changes of records that come together share one snapshot.
const buildPause = 5 * time.Millisecond

// buildLoop builds a snapshot after each change of the host records.
func (c *Agent) buildLoop(ctx context.Context) {
	for {
		changed := c.members.NextChange()
		c.build()
		wake(c.coordinator.wakeup)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
		if !pause.For(ctx, buildPause) {
			return
		}
	}
}

// build puts a new snapshot in force.
func (c *Agent) build() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.config == nil {
		return
	}
	hosts := c.members.Hosts()
	alive := 0
	for i := range hosts {
		if hosts[i].Status == membership.StatusAlive {
			alive++
		}
	}
	c.alive.Store(int64(alive))
	progress := newestProgress(hosts)
	s := &view.Snapshot{Config: c.config, Matcher: c.matcher, Services: make(map[mesh.ServiceName]*view.Service)}
	targets := targetsByService(hosts)
	for name := range c.config.Services {
		s.Services[name] = c.service(name, targets[name], progress[name])
	}
	c.tracker.Prune(func(k routing.Key) bool { return known(hosts, k) })
	c.current.Store(s)
}

func known(hosts []membership.Host, k routing.Key) bool {
	for i := range hosts {
		if hosts[i].ID == k.Host {
			return true
		}
	}
	return false
}

// targetsByService returns all targets of hosts that are not gone.
func targetsByService(hosts []membership.Host) map[mesh.ServiceName][]snapshot.Target {
	out := make(map[mesh.ServiceName][]snapshot.Target)
	for i := range hosts {
		h := &hosts[i]
		if h.Status >= membership.StatusLeaving {
			continue
		}
		for _, t := range h.Targets {
			out[t.Service] = append(out[t.Service], snapshot.Target{
				Target: t, Host: h.ID, DataCentre: h.DataCentre, CallAddress: h.CallAddress,
				Suspect: h.Status == membership.StatusSuspect,
			})
		}
	}
	return out
}

// newestProgress returns the progress of each service's rollout that counts.
func newestProgress(hosts []membership.Host) map[mesh.ServiceName]*rollout.Progress {
	out := make(map[mesh.ServiceName]*rollout.Progress)
	for i := range hosts {
		for j := range hosts[i].Rollouts {
			p := &hosts[i].Rollouts[j]
			if best := out[p.Service]; best == nil || p.Compare(best) > 0 {
				out[p.Service] = p
			}
		}
	}
	return out
}

// service sorts the targets of a service by their part in its rollout.
func (c *Agent) service(name mesh.ServiceName, targets []snapshot.Target, p *rollout.Progress) *view.Service {
	s := &view.Service{Name: name, Rollout: p}
	if p != nil {
		s.Revision, s.To = p.Revision, p.To
	}
	if o, ok := c.orders[name]; ok && o.Revision > s.Revision {
		// The order's coordinator has not begun yet.
		s.Revision, s.To, s.Rollout = o.Revision, o.To, nil
	}
	stable, next := split(s, targets)
	_, bad := c.vetoes[rolloutID{name, s.Revision}]
	now := time.Now()
	s.Stable = c.set(stable, now)
	if s.Rollout != nil && s.Rollout.State == rollout.Running && !bad {
		s.Next = c.set(next, now)
	}
	return s
}

// split returns the targets that take the calls, and those of the version that
// a rollout moves to. Without a rollout, targets of another version than the
// oldest target's were started for one that is not known yet.
func split(s *view.Service, targets []snapshot.Target) (stable, next []snapshot.Target) {
	to := s.To
	completed := s.Rollout != nil && s.Rollout.State == rollout.Completed
	if s.Revision == 0 {
		to, completed = oldest(targets), true
	}
	for _, t := range targets {
		if (t.Version == to) == completed {
			stable = append(stable, t)
		} else {
			next = append(next, t)
		}
	}
	return stable, next
}

func oldest(targets []snapshot.Target) mesh.TargetVersion {
	var first *snapshot.Target
	for i := range targets {
		if first == nil || targets[i].ReadySince.Before(first.ReadySince) {
			first = &targets[i]
		}
	}
	if first == nil {
		return ""
	}
	return first.Version
}

// set returns the targets with what this node knows about each.
func (c *Agent) set(targets []snapshot.Target, now time.Time) *routing.Set {
	for _, t := range targets {
		if t.Host == c.cfg.Self.ID {
			c.tracker.Stat(routing.Key{Host: t.Host, ID: t.ID}).SetLoadSource(func() routing.Load {
				l, _ := c.cfg.Load(t.ID)
				return l
			})
		}
	}
	return c.tracker.NewSet(c.cfg.Self.DataCentre, targets, now)
}
