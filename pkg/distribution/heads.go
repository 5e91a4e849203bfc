package distribution

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/source"
)

// Errors of AnnounceHead.
var (
	ErrHeadConflict = errors.New("a head of the same revision with another hash is known")
	ErrBadObject    = errors.New("text does not have the hash of its head")
)

// headState is the newest head whose text is held, and the newest heard of.
type headState struct {
	head      source.Head
	text      []byte
	packed    []byte
	has       bool
	prevHash  string // of the text before, which most neighbours hold
	prevText  []byte
	delta     []byte      // text against prevText; made when first asked for
	offer     source.Head // newest head heard of; its text may be missing
	tellers   []*link     // the links that told of offer
	delivered uint64
	told      chan struct{} // closed when a neighbour confirms a revision
}

// Head returns the newest head whose text this host holds.
func (g *Gossip) Head() (source.Head, []byte, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.objects.head, g.objects.text, g.objects.has
}

// AnnounceHead gives the engine a head that was read from the platform or
// accepted by it. An older head than the known one is ignored.
func (g *Gossip) AnnounceHead(head source.Head, text []byte) error {
	if err := checkHead(&head); err != nil {
		return err
	}
	return g.adopt(head, text)
}

// adopt makes a head with its text the newest one, pushes it to the
// neighbours and has it delivered.
func (g *Gossip) adopt(head source.Head, text []byte) error {
	if err := checkText(head.Hash, text); err != nil {
		return fmt.Errorf("head of revision %d: %w", head.Revision, err)
	}
	packed := g.codec.packText(text)
	g.mu.Lock()
	s := &g.objects
	if s.has && head.Revision <= s.head.Revision {
		conflict := head.Revision == s.head.Revision && head.Hash != s.head.Hash
		g.mu.Unlock()
		if conflict {
			return fmt.Errorf("revision %d: %w", head.Revision, ErrHeadConflict)
		}
		return nil
	}
	s.prevHash, s.prevText, s.delta = s.head.Hash, s.text, nil
	s.head, s.text, s.packed, s.has = head, text, packed, true
	if head.Revision >= s.offer.Revision {
		s.offer, s.tellers = head, nil
	}
	links := g.openLinks()
	g.mu.Unlock()
	for _, l := range links {
		l.queue(func(o *outbox) { o.head = true })
	}
	wake(g.deliverHead)
	return nil
}

func checkText(hash string, text []byte) error {
	if len(text) > MaxText {
		return fmt.Errorf("text of %d bytes: %w", len(text), ErrTooLarge)
	}
	if sum := sha256.Sum256(text); hex.EncodeToString(sum[:]) != hash {
		return ErrBadObject
	}
	return nil
}

// offerHead takes note of a head that a neighbour told.
func (g *Gossip) offerHead(head source.Head, from *link) {
	g.mu.Lock()
	s := &g.objects
	known := s.offer
	switch {
	case head.Revision > known.Revision:
		s.offer, s.tellers = head, []*link{from}
	case head.Revision == known.Revision && head.Hash == known.Hash:
		s.tellers = append(s.tellers, from)
	}
	g.mu.Unlock()
	switch {
	case head.Revision == known.Revision && head.Hash != known.Hash:
		g.fault(FaultHeadConflict, from.peer, fmt.Errorf("revision %d: %w", head.Revision, ErrHeadConflict))
	case head.Revision >= known.Revision:
		from.queue(func(o *outbox) { o.ack = max(o.ack, head.Revision) })
		wake(g.fetchWake)
	default:
		from.queue(func(o *outbox) { o.head = true })
	}
}

// signalTold wakes those who wait for neighbours to confirm a revision.
func (g *Gossip) signalTold() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.objects.told != nil {
		close(g.objects.told)
		g.objects.told = nil
	}
}

// awaitPush waits until all neighbours have confirmed that they heard of the
// revision, so that this host finds it there after a restart.
func (g *Gossip) awaitPush(ctx context.Context, revision uint64) {
	limit := time.NewTimer(pushWait)
	defer limit.Stop()
	for {
		g.mu.Lock()
		if g.objects.told == nil {
			g.objects.told = make(chan struct{})
		}
		told, links := g.objects.told, g.openLinks()
		g.mu.Unlock()
		pending := false
		for _, l := range links {
			l.mu.Lock()
			pending = pending || l.told < revision
			l.mu.Unlock()
		}
		if !pending {
			return
		}
		select {
		case <-told:
		case <-limit.C:
			g.cfg.Counters.Count("distribution_push_timeouts", 1)
			return
		case <-ctx.Done():
			return
		}
	}
}

// deliverHeads calls OnHead for newer heads in rising order.
func (g *Gossip) deliverHeads(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.deliverHead:
		}
		head, text, ok := g.Head()
		if !ok || head.Revision <= g.objects.delivered { // only this loop uses delivered
			continue
		}
		g.awaitPush(ctx, head.Revision)
		if ctx.Err() != nil {
			return
		}
		g.objects.delivered = head.Revision
		g.cfg.OnHead(head, text)
		g.beat() // neighbours keep the version that this host has active
	}
}

// beat sends a heartbeat on all links.
func (g *Gossip) beat() {
	g.mu.Lock()
	links := g.openLinks()
	g.mu.Unlock()
	for _, l := range links {
		l.queue(func(o *outbox) { o.heartbeat, o.answer = true, true })
	}
}

// packed returns the compressed text with the hash, or nil. It is a delta when
// the peer holds the text before.
func (g *Gossip) packed(hash, base string) []byte {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := &g.objects
	if !s.has || s.head.Hash != hash {
		return nil
	}
	if base == "" || base != s.prevHash || s.prevText == nil {
		return s.packed
	}
	if s.delta == nil {
		delta, err := packDelta(s.prevText, s.text)
		if err != nil || len(delta) >= len(s.packed) {
			delta = s.packed
		}
		s.delta = delta
	}
	return s.delta
}
