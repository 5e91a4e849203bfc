package distribution

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/pause"
)

const (
	// reviewPeriod bounds the time until a missed change of neighbours is noticed.
	reviewPeriod = 5 * time.Second
	// linkGrace keeps a link that is not needed open long enough for a joining
	// host to exchange records over it.
	linkGrace = 10 * time.Second
	// A data centre together tries about rejoinsPerSecond times a second to reach
	// a failed host or an unknown seed, so that a healed partition is noticed
	// within seconds while dead addresses cost few packets.
	rejoinsPerSecond = 4
	minRejoinPeriod  = 2 * time.Second
	maxRejoinPeriod  = 30 * time.Second
	retryBase        = 250 * time.Millisecond
	// startJitter is the jitter of a host without any link, which hears nothing
	// until it has one. With the bound on accepted links a herd still spreads out.
	startJitter  = 100 * time.Millisecond
	urgentJitter = 100 * time.Millisecond
)

// formLinks keeps links open to the neighbours that the records call for.
func (g *Gossip) formLinks(ctx context.Context) {
	review := time.NewTicker(reviewPeriod)
	defer review.Stop()
	delay := time.Duration(1)
	for {
		changed := g.cfg.Members.NextChange()
		if !pause.For(ctx, g.jitter(min(delay, g.calm()))) {
			return
		}
		delay = reformJitter
		g.review(g.cfg.Members.Hosts())
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-g.reform:
		case <-review.C:
		}
	}
}

// review opens links that are missing and closes those this host opened and
// no longer needs. The accepting side never closes a link for that reason.
func (g *Gossip) review(hosts []membership.Host) {
	wanted := neighboursOf(hosts, g.self)
	var missing []mesh.HostID
	var surplus []*link
	g.mu.Lock()
	g.wanted = wanted
	linked := 0
	for id := range wanted {
		if g.links[id] == nil {
			missing = append(missing, id)
		} else {
			linked++
		}
	}
	for id, l := range g.links {
		if !wanted[id] && l.conn.Dialed() && time.Since(l.opened) > linkGrace {
			surplus = append(surplus, l)
		}
	}
	g.mu.Unlock()
	for _, id := range missing {
		g.connect(id, false)
	}
	if linked > 0 {
		for _, l := range surplus {
			l.conn.Close(CloseUnneeded)
		}
	}
}

// neighboursOf returns the neighbours that the records call for. While some are
// suspects it adds those that take their place if they fail, so that a host all
// of whose neighbours died in a herd is found without waiting for them to fail.
func neighboursOf(hosts []membership.Host, self mesh.HostID) map[mesh.HostID]bool {
	wanted := make(map[mesh.HostID]bool)
	suspects := false
	for _, h := range membership.Neighbours(hosts, self) {
		wanted[h.ID] = true
		suspects = suspects || h.Status == membership.StatusSuspect
	}
	if !suspects {
		return wanted
	}
	rest := slices.DeleteFunc(slices.Clone(hosts), func(h membership.Host) bool {
		return h.Status == membership.StatusSuspect && h.ID != self
	})
	for _, h := range membership.Neighbours(rest, self) {
		wanted[h.ID] = true
	}
	return wanted
}

// connect opens a link to a host, retrying with full jitter while it is a
// neighbour. An urgent connect follows a broken link: it starts at once, and
// one failure makes the host a suspect.
func (g *Gossip) connect(id mesh.HostID, urgent bool) {
	g.mu.Lock()
	busy := g.dialing[id]
	g.dialing[id] = true
	g.mu.Unlock()
	if busy {
		return
	}
	g.spawn(func(ctx context.Context) {
		defer func() {
			g.mu.Lock()
			delete(g.dialing, id)
			g.mu.Unlock()
		}()
		delay := g.calm()
		if urgent {
			delay = urgentJitter
		}
		for attempt := 0; pause.For(ctx, g.jitter(delay)); attempt++ {
			if !g.needsLink(id, urgent && attempt == 0) || g.dialHost(ctx, id, urgent || attempt > 0) {
				return
			}
			delay = min(maxBackoff, retryBase<<min(attempt, 8))
		}
	})
}

// calm returns the jitter of changes that are not urgent.
func (g *Gossip) calm() time.Duration {
	if g.LinkCount() == 0 {
		return startJitter
	}
	return reformJitter
}

func (g *Gossip) needsLink(id mesh.HostID, urgent bool) bool {
	h, ok := g.cfg.Members.Get(id)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.links[id] != nil || !ok || h.Status >= membership.StatusFailed {
		return false
	}
	return urgent || g.wanted[id]
}

// dialHost makes one attempt and reports whether it succeeded.
func (g *Gossip) dialHost(ctx context.Context, id mesh.HostID, suspect bool) bool {
	h, _ := g.cfg.Members.Get(id)
	err := g.dial(ctx, Endpoint{Host: id, Address: h.PeerAddress})
	if err == nil {
		return true
	}
	if ctx.Err() != nil {
		return false
	}
	if g.linked(id) || isRemoteDuplicate(err) {
		wake(g.reform)
		return true // the peer opened a link at the same time, which both keep
	}
	g.fault(FaultDialFailed, id, err)
	if suspect && !errors.Is(err, ErrBusy) {
		g.cfg.Members.Suspect(id)
	}
	return false
}

func (g *Gossip) linked(id mesh.HostID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.links[id] != nil
}

// isRemoteDuplicate reports whether the peer closed a link for one it prefers.
func isRemoteDuplicate(err error) bool {
	var closed *ClosedError
	return errors.As(err, &closed) && closed.Remote && closed.Reason == CloseDuplicate
}

func (g *Gossip) dial(ctx context.Context, to Endpoint) error {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	g.cfg.Counters.Count("distribution_dials", 1)
	conn, err := g.cfg.Transport.Dial(ctx, to)
	if err != nil {
		return err
	}
	g.addLink(conn)
	return nil
}

// rejoin looks for hosts beyond the known live ones: seeds that are no known
// host, and hosts that failed, since a partition may have healed.
func (g *Gossip) rejoin(ctx context.Context) {
	for {
		hosts := g.cfg.Members.Hosts()
		to, ok := g.lost(hosts)
		if ok {
			if err := g.dial(ctx, to); err != nil && ctx.Err() == nil {
				g.cfg.Counters.Count("distribution_rejoin_failures", 1)
			}
		}
		period := time.Duration(len(hosts)) * time.Second / rejoinsPerSecond
		period = min(max(period, minRejoinPeriod), maxRejoinPeriod)
		if g.LinkCount() == 0 {
			period = minRejoinPeriod
		}
		if !pause.For(ctx, g.jitter(period)) {
			return
		}
	}
}

// lost chooses an endpoint to try at random. A data centre of which no host is
// reachable comes first every other time.
func (g *Gossip) lost(hosts []membership.Host) (Endpoint, bool) {
	live := make(map[mesh.DataCentre]bool)
	addresses := make(map[string]bool)
	for _, h := range hosts {
		if h.Status < membership.StatusFailed {
			live[h.DataCentre] = true
			addresses[h.PeerAddress] = true
		}
	}
	var candidates, first []Endpoint
	for _, s := range g.cfg.Seeds {
		if !addresses[s] {
			candidates = append(candidates, Endpoint{Address: s})
		}
	}
	for _, h := range g.cfg.Members.FailedHosts() {
		e := Endpoint{Host: h.ID, Address: h.PeerAddress}
		candidates = append(candidates, e)
		if !live[h.DataCentre] {
			first = append(first, e)
		}
	}
	if len(candidates) == 0 {
		return Endpoint{}, false
	}
	var chosen Endpoint
	g.withRand(func(r *rand.Rand) {
		if len(first) > 0 && r.IntN(2) == 0 {
			candidates = first // the data centre may be gone for good, so only every other time
		}
		chosen = candidates[r.IntN(len(candidates))]
	})
	return chosen, true
}
