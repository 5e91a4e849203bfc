package distribution

import (
	"context"
	"errors"
	"fmt"

	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// maxHeard bounds the versions kept per peer; only hosts that are or were
// neighbours are heard.
const maxHeard = 4096

// handle processes one message of the peer.
func (l *link) handle(m *message) {
	if m.Head != nil {
		l.hears(m.Head.Revision, 0)
		l.g.offerHead(*m.Head, l)
	}
	if m.Ack > 0 {
		l.hears(m.Ack, 0)
	}
	if len(m.Hosts) > 0 {
		l.handleHosts(m)
	}
	if len(m.Vetoes) > 0 {
		l.g.joinVetoes(m.Vetoes, l)
	}
	if m.Heartbeat != nil {
		l.handleHeartbeat(m.Heartbeat)
	}
	if m.Repair != nil {
		l.handleRepair(m.Repair)
	}
}

// hears records which revision the peer has heard of and which it holds.
func (l *link) hears(told, holds uint64) {
	l.mu.Lock()
	l.told, l.holds = max(l.told, told), max(l.holds, holds)
	l.mu.Unlock()
	l.g.signalTold()
}

func (l *link) handleHosts(m *message) {
	hosts := make([]membership.Host, 0, len(m.Hosts))
	for _, raw := range m.Hosts {
		h, err := decodeHost(raw)
		if err != nil {
			l.g.fault(FaultBadMessage, l.peer, err)
			continue
		}
		hosts = append(hosts, h)
	}
	l.mu.Lock()
	if l.seen == nil {
		l.seen = make(map[mesh.HostID]membership.Host)
	}
	for _, h := range hosts {
		h.Targets = nil
		l.seen[h.ID] = h
	}
	l.mu.Unlock()
	l.g.cfg.Members.Merge(hosts)
	if m.Repair != nil && m.Repair.Correct {
		l.queueHosts(l.g.cfg.Members.NewerThan(hosts))
	}
}

func (l *link) handleHeartbeat(h *heartbeat) {
	g := l.g
	g.mu.Lock()
	g.hear(l.peer, h.Active)
	synced := g.synced
	own := g.objects.head.Revision
	g.mu.Unlock()
	l.hears(h.Revision, h.Revision)
	same := g.heartbeat().Digest == h.Digest
	l.mu.Lock()
	if same {
		l.differing = 0
		l.seen = nil
	} else {
		l.differing++
	}
	start := l.differing >= 2 && g.self < l.peer || l.differing > 0 && !synced
	if start {
		l.differing = 0
	}
	if h.Revision < own {
		l.told = h.Revision // the peer has lost what it was told, or never got it
		l.out.head = true
	}
	if !h.Answer {
		l.out.heartbeat, l.out.answer = true, true
	}
	l.mu.Unlock()
	wake(l.wakeup)
	if same {
		g.markSynced()
	}
	if start {
		g.cfg.Counters.Count("distribution_repairs", 1)
		sums := g.digest()
		l.queue(func(o *outbox) { o.repair = &repair{Digests: sums[:]} })
	}
}

// hear keeps the highest version heard from a peer; g.mu is held. When too
// many hosts have been neighbours, an arbitrary one that is linked no more is
// forgotten.
func (g *Gossip) hear(peer mesh.HostID, active mesh.ConfigVersion) {
	if active.Compare(g.heard[peer]) <= 0 {
		return
	}
	g.heard[peer] = active
	if len(g.heard) <= maxHeard {
		return
	}
	for id := range g.heard {
		if g.links[id] == nil {
			delete(g.heard, id)
			return
		}
	}
}

func (g *Gossip) markSynced() {
	g.mu.Lock()
	g.synced = true
	g.mu.Unlock()
}

// handleRepair responds to a step of a repair.
func (l *link) handleRepair(r *repair) {
	g := l.g
	if len(r.Digests) > 0 {
		own := g.digest()
		buckets := make(map[int]bool)
		var want []uint16
		for i, d := range own {
			if r.Digests[i] != d {
				buckets[i] = true
				want = append(want, uint16(i))
			}
		}
		if len(want) == 0 {
			return
		}
		l.queueVetoes(g.vetoesIn(buckets))
		l.queueHosts(g.cfg.Members.HostsInBuckets(buckets))
		l.queue(func(o *outbox) { o.repair = &repair{Want: want, Correct: true} })
		return
	}
	if len(r.Want) > 0 {
		buckets := make(map[int]bool)
		for _, i := range r.Want {
			buckets[int(i)] = true
		}
		l.queueVetoes(g.vetoesIn(buckets))
		l.queueHosts(g.cfg.Members.HostsInBuckets(buckets))
		l.queue(func(o *outbox) { o.repair = &repair{Correct: true} })
		g.markSynced()
	}
}

// heartbeat returns what this host tells its neighbours regularly.
func (g *Gossip) heartbeat() heartbeat {
	sums := g.digest()
	active := g.cfg.ActiveVersion()
	g.mu.Lock()
	defer g.mu.Unlock()
	return heartbeat{Active: active, Revision: g.objects.head.Revision, Digest: membership.SumDigests(sums[:])}
}

var errNotHeld = errors.New("object is not held")

// HandleRequest implements Handler.
func (g *Gossip) HandleRequest(_ context.Context, peer mesh.HostID, b []byte) ([]byte, error) {
	var r request
	if len(b) > MaxRequest {
		return nil, fmt.Errorf("request of %d bytes: %w", len(b), ErrTooLarge)
	}
	if err := decMode().Unmarshal(b, &r); err != nil {
		g.fault(FaultBadMessage, peer, err)
		return nil, fmt.Errorf("decode request: %w", err)
	}
	switch {
	case r.Object != "":
		if packed := g.packed(r.Object, r.Base); packed != nil {
			return packed, nil
		}
		return nil, errNotHeld
	case r.Floor:
		return encMode().Marshal(g.floorFor(peer))
	}
	return nil, errors.New("request asks for nothing")
}
