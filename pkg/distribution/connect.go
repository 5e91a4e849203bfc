package distribution

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/pause"
)

const (
	// reconcilePeriod bounds the time until a missed change of neighbours is
	// detected.
	reconcilePeriod = 5 * time.Second
	// linkGrace keeps a link that is not needed open long enough for a joining
	// host to exchange records over it.
	linkGrace = 10 * time.Second
	// rejoinsPerSecond is the approximate rate at which the hosts of a data centre
	// together dial failed hosts and unknown seeds. At this rate, a healed
	// partition is detected within seconds, and dead addresses cost few packets.
	rejoinsPerSecond = 4
	minRejoinPeriod  = 2 * time.Second
	maxRejoinPeriod  = 30 * time.Second
	retryBase        = 250 * time.Millisecond
	// startJitter is the jitter of a host without any link, which receives
	// nothing until it has one. The bound on accepted links still spreads the
	// dials when many hosts start at once.
	startJitter = 100 * time.Millisecond
	// recencyExponent makes rejoin dial the hosts more often that were lost last: one
	// that is started again is found soon, however many have ended before it.
	recencyExponent  = 4
	brokenLinkJitter = 100 * time.Millisecond
)

// maintainLinks keeps links open to the neighbours computed from the host
// records.
func (g *Gossip) maintainLinks(ctx context.Context) {
	ticker := time.NewTicker(reconcilePeriod)
	defer ticker.Stop()
	delay := time.Duration(1) // 1 ns: no delay before the first pass
	for {
		changed := g.cfg.Members.NextChange()
		if !pause.For(ctx, g.jitter(min(delay, g.nonUrgentJitter()))) {
			return
		}
		delay = relinkJitter
		g.reconcileLinks(g.withPresumed(g.cfg.Members.Hosts()))
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-g.relinkPending:
		case <-ticker.C:
		}
	}
}

// reconcileLinks opens links that are missing and closes those that this host
// opened and no longer needs. The accepting side never closes a link for that
// reason. Until some neighbour has a link, unneeded links stay open.
func (g *Gossip) reconcileLinks(hosts []membership.Host) {
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

// neighboursOf returns the neighbours computed from the host records. While some
// of them are suspects, it adds those that replace them if they fail. A host all
// of whose neighbours crashed together is then dialled without waiting until
// they count as failed.
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
	remaining := slices.DeleteFunc(slices.Clone(hosts), func(h membership.Host) bool {
		return h.Status == membership.StatusSuspect && h.ID != self
	})
	for _, h := range membership.Neighbours(remaining, self) {
		wanted[h.ID] = true
	}
	return wanted
}

// connect opens a link to a host, retrying with back-off and full jitter while
// the host is a neighbour. An urgent connect replaces a broken link: it starts
// within brokenLinkJitter, and its first failure makes the host a suspect.
// Otherwise, the second failure does.
func (g *Gossip) connect(id mesh.HostID, urgent bool) {
	g.mu.Lock()
	alreadyConnecting := g.connecting[id]
	g.connecting[id] = true
	g.mu.Unlock()
	if alreadyConnecting {
		return
	}
	g.spawn(func(ctx context.Context) {
		defer func() {
			g.mu.Lock()
			delete(g.connecting, id)
			g.mu.Unlock()
		}()
		delay := g.nonUrgentJitter()
		if urgent {
			delay = brokenLinkJitter
		}
		for attempt := 0; pause.For(ctx, g.jitter(delay)); attempt++ {
			if !g.needsLink(id, urgent && attempt == 0) || g.dialHost(ctx, id, urgent || attempt > 0) {
				return
			}
			delay = min(maxBackoff, retryBase<<min(attempt, 8))
		}
	})
}

// nonUrgentJitter returns the jitter of link changes that are not urgent.
func (g *Gossip) nonUrgentJitter() time.Duration {
	if g.LinkCount() == 0 {
		return startJitter
	}
	return relinkJitter
}

func (g *Gossip) needsLink(id mesh.HostID, urgent bool) bool {
	h, _, ok := g.target(id)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.links[id] != nil || !ok || h.Status >= membership.StatusFailed {
		return false
	}
	return urgent || g.wanted[id]
}

// dialHost makes one attempt to open a link to a host and reports whether no
// further attempt is needed.
func (g *Gossip) dialHost(ctx context.Context, id mesh.HostID, suspectOnFailure bool) bool {
	h, isCandidate, _ := g.target(id)
	err := g.dial(ctx, Endpoint{Host: id, Address: h.PeerAddress})
	if err == nil {
		g.discovery.setState(id, candidateReached)
		return true
	}
	if ctx.Err() != nil {
		return false
	}
	if g.hasLink(id) || isRemoteDuplicate(err) {
		signal(g.relinkPending)
		return true // the peer opened a link at the same time, and both ends keep that one
	}
	if errors.Is(err, ErrUnauthorized) {
		g.fault(FaultUnauthorized, id, err)
	} else {
		g.fault(FaultDialFailed, id, err)
	}
	if isCandidate && (suspectOnFailure || isTimeout(err)) && !errors.Is(err, ErrBusy) {
		g.discovery.setState(id, candidateUnreachable)
		signal(g.relinkPending)
		return true // rejoin dials it again
	}
	if suspectOnFailure && !errors.Is(err, ErrBusy) {
		g.cfg.Members.Suspect(id)
	}
	return false
}

func (g *Gossip) hasLink(id mesh.HostID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.links[id] != nil
}

// isRemoteDuplicate reports whether the peer closed a link in favour of another
// link to this host.
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

// rejoin regularly dials hosts other than the known live ones: seeds that are
// not the address of a known host, candidates that did not answer, and hosts that have
// failed or left, since a partition may have healed or the host been started again.
func (g *Gossip) rejoin(ctx context.Context) {
	for {
		hosts := g.cfg.Members.Hosts()
		endpoint, ok := g.rejoinEndpoint(hosts)
		if ok {
			if err := g.dial(ctx, endpoint); err != nil && ctx.Err() == nil {
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

// rejoinEndpoint returns a random endpoint for rejoin to dial. Half of the time
// it prefers data centres of which no host is reachable, and hosts that are gone to
// other endpoints.
func (g *Gossip) rejoinEndpoint(hosts []membership.Host) (Endpoint, bool) {
	live := make(map[mesh.DataCentre]bool)
	addresses := make(map[string]bool)
	for _, h := range hosts {
		if h.Status < membership.StatusFailed {
			live[h.DataCentre] = true
			addresses[h.PeerAddress] = true
		}
	}
	var failed, isolated []Endpoint
	for _, h := range g.cfg.Members.GoneHosts() {
		e := Endpoint{Host: h.ID, Address: h.PeerAddress}
		failed = append(failed, e)
		if !live[h.DataCentre] {
			isolated = append(isolated, e)
		}
	}
	var others []Endpoint
	for _, h := range g.discovery.unreachable() {
		e := Endpoint{Host: h.ID, Address: h.PeerAddress}
		others = append(others, e)
		if !live[h.DataCentre] {
			isolated = append(isolated, e)
		}
	}
	for _, s := range g.cfg.Seeds {
		if !addresses[s] {
			others = append(others, Endpoint{Address: s})
		}
	}
	if len(failed)+len(others) == 0 {
		return Endpoint{}, false
	}
	var selected Endpoint
	g.withRand(func(r *rand.Rand) {
		if len(isolated) > 0 && r.IntN(2) == 0 {
			failed = isolated // only half of the time, since the data centre may be shut down for good
		}
		if len(failed) == 0 || len(others) > 0 && r.IntN(2) == 0 {
			selected = others[r.IntN(len(others))]
			return
		}
		selected = failed[int(float64(len(failed))*math.Pow(r.Float64(), recencyExponent))]
	})
	return selected, true
}
