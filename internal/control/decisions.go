package control

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/platform"
	"nutmeghoist.example/nutmeghoist/pkg/rollout"
)

// decisionPrefix begins the keys of the rows with the last final state of each service's
// rollout. Each is a copy of the row in rolloutTable, in the table that each host reads
// when it starts.
const decisionPrefix = hostTable + "/decision/"

// republishers is the number of hosts that are ready to publish a decision that no live
// host publishes any more.
const republishers = 3

// decisions holds the newest final state of each service's rollout that this host has
// known. The record of the host that published it goes when that host is started anew.
type decisions map[mesh.ServiceName]rollout.Progress

// remember keeps a final state unless a newer one is known, and reports whether it did.
func (d decisions) remember(p *rollout.Progress) bool {
	if known, ok := d[p.Service]; !p.State.IsFinal() || ok && known.Compare(p) >= 0 {
		return false
	}
	d[p.Service] = *p
	return true
}

// newestProgress returns the newest progress of each service's rollout, as the host
// records and the decisions of which this host knows tell it.
func (a *Agent) newestProgress(hosts []membership.Host) map[mesh.ServiceName]*rollout.Progress {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.newestProgressLocked(hosts)
}

// newestProgressLocked is newestProgress for callers that hold a.mu.
func (a *Agent) newestProgressLocked(hosts []membership.Host) map[mesh.ServiceName]*rollout.Progress {
	out := recordedProgress(hosts)
	for _, p := range out {
		a.decided.remember(p)
	}
	for service, decided := range a.decided {
		if p := out[service]; p == nil || decided.Compare(p) > 0 {
			out[service] = &decided
		}
	}
	return out
}

// recordedProgress returns the newest progress of each service's rollout in the host
// records, as Progress.Compare orders them.
func recordedProgress(hosts []membership.Host) map[mesh.ServiceName]*rollout.Progress {
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

// decisionsKnown reports whether this host knows what was decided before it started: it
// has read the rows, or has heard what a neighbour knows.
func (a *Agent) decisionsKnown() bool {
	return a.cfg.FirstStart || a.decisionsRead.Load() || a.gossip.Synced()
}

// restoreDecisions publishes final states again that an earlier process of this host has
// published.
func (a *Agent) restoreDecisions(list []rollout.Progress) {
	own := recordedProgress([]membership.Host{a.members.Self()})
	for i := range list {
		p := &list[i]
		a.mu.Lock()
		a.decided.remember(p)
		decided := a.decided[p.Service]
		a.mu.Unlock()
		if published := own[p.Service]; p.State.IsFinal() && (published == nil || decided.Compare(published) > 0) {
			a.coordinator.publish(decided)
		}
	}
}

// loadDecisions reads the rows of final states.
func (a *Agent) loadDecisions(rows []platform.Row) {
	var own []rollout.Progress
	for _, row := range rows {
		stored, ok := a.decodeRolloutRow(&row, decisionPrefix)
		if !ok {
			continue
		}
		p := stored.Progress
		p.StoredEra = platform.EraOf(row.Version)
		a.mu.Lock()
		a.decided.remember(&p)
		a.mu.Unlock()
		if p.Holder == a.cfg.Self.ID {
			own = append(own, p)
		}
	}
	a.restoreDecisions(own)
	if !a.decisionsRead.Swap(true) {
		a.buildSnapshot()
	}
}

const (
	maxElapsed = 365 * 24 * time.Hour // that a rollout can have taken
	maxEpoch   = 1 << 32              // each is a transaction
)

// decodeRolloutRow decodes a row with the progress of a rollout. Another writer may have
// left it: one with an order or an epoch that cannot have been reached would outrank all
// that follow.
func (a *Agent) decodeRolloutRow(row *platform.Row, prefix string) (rolloutRow, bool) {
	var r rolloutRow
	err := json.Unmarshal(row.Value, &r)
	switch {
	case err != nil:
	case string(r.Service) != strings.TrimPrefix(row.Key, prefix) || r.To == "" || !r.State.IsValid():
		err = fmt.Errorf("service %q, version %q or state %q is invalid", r.Service, r.To, r.State)
	case r.Revision > row.Version || platform.EraOf(r.Revision) == 0 && platform.EraOf(row.Version) > 0 || r.Epoch > maxEpoch:
		err = fmt.Errorf("order %d or epoch %d cannot have been reached", r.Revision, r.Epoch)
	case r.ElapsedMs < 0 || r.ElapsedMs > maxElapsed.Milliseconds() || r.Permille < 0 || r.Permille > 1000:
		err = fmt.Errorf("elapsed time %d ms or share %d is invalid", r.ElapsedMs, r.Permille)
	}
	if err != nil {
		a.count("rollouts.unreadable")
		a.cfg.Log.Error().Str("row", row.Key).Err(err).Msg("rollout row cannot be read")
		return rolloutRow{}, false
	}
	return r, true
}

// isPublished reports whether the record of a live host holds a progress or a newer one.
func isPublished(p *rollout.Progress, hosts []membership.Host) bool {
	for i := range hosts {
		if hosts[i].Status >= membership.StatusFailed {
			continue
		}
		for j := range hosts[i].Rollouts {
			if q := &hosts[i].Rollouts[j]; q.Service == p.Service && q.Compare(p) >= 0 {
				return true
			}
		}
	}
	return false
}

// republish publishes a decision that no live host publishes, when it is the turn of this
// host: first that of the host that decided, then that of others in the order of their
// hashes. It reports whether the turn of this host is still to come.
func (c *coordinator) republish(p *rollout.Progress, hosts []membership.Host) (waiting bool) {
	if isPublished(p, hosts) {
		delete(c.unpublishedSince, p.Service)
		return false
	}
	self, rank := c.agent.cfg.Self.ID, 0
	hash := func(id mesh.HostID) uint64 { return xxhash.Sum64String(string(id) + "\x00" + string(p.Service)) }
	for i := range hosts {
		h := &hosts[i]
		if self != p.Holder && h.ID != self && h.Status == membership.StatusAlive && (h.ID == p.Holder || hash(h.ID) < hash(self)) {
			rank++
		}
	}
	if rank >= republishers {
		return false
	}
	since, ok := c.unpublishedSince[p.Service]
	if !ok {
		since = time.Now()
		c.unpublishedSince[p.Service] = since
	}
	if time.Since(since) < time.Duration(rank)*claimDelay {
		return true
	}
	c.agent.count("rollouts.republished")
	c.publish(*p)
	return false
}
