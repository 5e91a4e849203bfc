package distribution

import (
	"context"
	"errors"
	"fmt"

	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// maxPeerVersions bounds the number of peers whose active version is kept.
// Only hosts that are or were neighbours send theirs.
const maxPeerVersions = 4096

// handleMessage processes one message from the peer.
func (l *link) handleMessage(m *message) {
	// First, since a host that has just started sends calls once it has the rest.
	if len(m.Evacuations) > 0 {
		l.mergeEvacuations(m.Evacuations)
	}
	if m.Head != nil {
		l.recordRevisions(m.Head.Revision, 0)
		l.g.handleAdvertisedHead(*m.Head, l)
	}
	if m.Ack > 0 {
		l.recordRevisions(m.Ack, 0)
	}
	if len(m.Hosts) > 0 {
		l.handleHosts(m)
	}
	if len(m.Vetoes) > 0 {
		l.g.mergeVetoes(m.Vetoes, l)
	}
	if len(m.Suspects) > 0 {
		l.g.spreadSuspects(l.g.cfg.Suspects.Merge(m.Suspects), l)
	}
	if m.Heartbeat != nil {
		l.handleHeartbeat(m.Heartbeat)
	}
	if m.Repair != nil {
		l.handleRepair(m.Repair)
	}
}

// recordRevisions raises the recorded revisions that the peer has acknowledged
// and that it holds.
func (l *link) recordRevisions(acked, held uint64) {
	l.mu.Lock()
	l.ackedRevision, l.heldRevision = max(l.ackedRevision, acked), max(l.heldRevision, held)
	l.mu.Unlock()
	l.g.signalAck()
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
	if l.receivedRecords == nil {
		l.receivedRecords = make(map[mesh.HostID]membership.Host)
	}
	for _, h := range hosts {
		h.Targets = nil
		l.receivedRecords[h.ID] = h
	}
	l.mu.Unlock()
	l.g.cfg.Members.Merge(hosts)
	if m.Repair != nil && m.Repair.ReplyNewer {
		l.enqueueHosts(l.g.cfg.Members.NewerThan(hosts))
	}
}

func (l *link) handleHeartbeat(h *heartbeat) {
	g := l.g
	g.mu.Lock()
	g.recordPeerVersion(l.peer, h.Active)
	synced := g.synced
	ownRevision := g.heads.head.Revision
	g.mu.Unlock()
	l.recordRevisions(h.Revision, h.Revision)
	sameDigest := g.newHeartbeat().Digest == h.Digest
	l.mu.Lock()
	if sameDigest {
		l.digestMismatches = 0
		l.receivedRecords = nil
	} else {
		l.digestMismatches++
	}
	// The host with the lower ID starts the repair, after two mismatches. A host
	// that is not synchronised yet starts it at the first one.
	startRepair := l.digestMismatches >= 2 && g.self < l.peer || l.digestMismatches > 0 && !synced
	if startRepair {
		l.digestMismatches = 0
	}
	if h.Revision < ownRevision {
		l.ackedRevision = h.Revision // the peer lost the newer head or never received it
		l.out.head = true
	}
	if !h.Answer {
		l.out.heartbeat, l.out.answer = true, true
	}
	l.mu.Unlock()
	signal(l.wakeup)
	if sameDigest {
		g.markSynced()
	}
	if startRepair {
		g.cfg.Counters.Count("distribution_repairs", 1)
		digests := g.digest()
		l.enqueue(func(o *outbox) { o.repair = &repair{Digests: digests[:]} })
	}
}

// recordPeerVersion keeps the highest active version received from a peer.
// The caller holds g.mu. Above maxPeerVersions, the entry of an arbitrary host
// without a link is removed.
func (g *Gossip) recordPeerVersion(peer mesh.HostID, active mesh.ConfigVersion) {
	if active.Compare(g.peerVersions[peer]) <= 0 {
		return
	}
	g.peerVersions[peer] = active
	if len(g.peerVersions) <= maxPeerVersions {
		return
	}
	for id := range g.peerVersions {
		if g.links[id] == nil {
			delete(g.peerVersions, id)
			return
		}
	}
}

func (g *Gossip) markSynced() {
	g.mu.Lock()
	g.synced = true
	g.mu.Unlock()
}

// handleRepair responds to one step of an anti-entropy repair.
func (l *link) handleRepair(r *repair) {
	g := l.g
	if len(r.Digests) > 0 {
		digests := g.digest()
		buckets := make(map[int]bool)
		var want []uint16
		for i, d := range digests {
			if r.Digests[i] != d {
				buckets[i] = true
				want = append(want, uint16(i))
			}
		}
		if len(want) == 0 {
			return
		}
		l.enqueueVetoes(g.vetoesInBuckets(buckets))
		l.enqueueEvacuations(g.cfg.Evacuations.Records())
		l.enqueueHosts(g.cfg.Members.HostsInBuckets(buckets))
		l.enqueue(func(o *outbox) { o.repair = &repair{Want: want, ReplyNewer: true} })
		return
	}
	if len(r.Want) > 0 {
		buckets := make(map[int]bool)
		for _, i := range r.Want {
			buckets[int(i)] = true
		}
		l.enqueueVetoes(g.vetoesInBuckets(buckets))
		l.enqueueEvacuations(g.cfg.Evacuations.Records())
		l.enqueueHosts(g.cfg.Members.HostsInBuckets(buckets))
		l.enqueue(func(o *outbox) { o.repair = &repair{ReplyNewer: true} })
		g.markSynced()
	}
}

// newHeartbeat returns a heartbeat with the current state of this host.
func (g *Gossip) newHeartbeat() heartbeat {
	digests := g.digest()
	active := g.cfg.ActiveVersion()
	g.mu.Lock()
	defer g.mu.Unlock()
	return heartbeat{Active: active, Revision: g.heads.head.Revision, Digest: membership.HashDigests(digests[:])}
}

var errObjectNotFound = errors.New("object not found")

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
		if compressed := g.compressedText(r.Object, r.Base); compressed != nil {
			return compressed, nil
		}
		return nil, errObjectNotFound
	case r.Floor:
		return encMode().Marshal(g.floorResponseFor(peer))
	}
	return nil, errors.New("request asks for neither an object nor the floor")
}
