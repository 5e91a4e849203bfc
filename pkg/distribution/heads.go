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
	head     source.Head
	text     []byte
	whole    []byte // text compressed; made when first asked for
	has      bool
	prevHash string // of the text before, which most neighbours hold
	prevText []byte
	delta    []byte        // text against prevText; made when first asked for
	offer    source.Head   // newest head heard of; its text may be missing
	tellers  []*link       // the links that told of offer
	told     chan struct{} // closed when a neighbour confirms a revision
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
	return g.adopt(head, fetched{text: text})
}

// adopt makes a head with its text the newest one, pushes it to the
// neighbours and has it delivered.
func (g *Gossip) adopt(head source.Head, got fetched) error {
	if err := checkText(head.Hash, got.text); err != nil {
		return fmt.Errorf("head of revision %d: %w", head.Revision, err)
	}
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
	if s.head.Hash != head.Hash {
		s.replaceText(got)
	}
	s.head, s.has = head, true
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

// replaceText keeps what a neighbour sent to send it on as it is. The form
// that is missing is made when a neighbour first asks for it.
func (s *headState) replaceText(got fetched) {
	s.prevHash, s.prevText = s.head.Hash, s.text
	s.text, s.whole, s.delta = got.text, nil, nil
	switch {
	case got.packed == nil:
	case got.base == "":
		s.whole = got.packed
	case got.base == s.prevHash:
		s.delta = got.packed
	}
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
	var delivered uint64
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.deliverHead:
		}
		head, text, ok := g.Head()
		if !ok || head.Revision <= delivered {
			continue
		}
		g.awaitPush(ctx, head.Revision)
		if ctx.Err() != nil {
			return
		}
		delivered = head.Revision
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
	// An encoder takes megabytes; neighbours that ask at once share one result.
	g.packing.Lock()
	defer g.packing.Unlock()
	g.mu.Lock()
	s := g.objects
	g.mu.Unlock()
	if !s.has || s.head.Hash != hash {
		return nil
	}
	useDelta := base != "" && base == s.prevHash && s.prevText != nil
	switch {
	case useDelta && s.delta != nil:
		return s.delta
	case !useDelta && s.whole != nil:
		return s.whole
	}
	var packed []byte
	if useDelta {
		var err error
		if packed, err = packDelta(s.prevText, s.text); err != nil {
			useDelta = false
		}
	}
	if !useDelta {
		packed = g.codec.packText(s.text)
	}
	g.keepPacked(hash, packed)
	return packed
}

// keepPacked stores a compressed form unless the text has changed meanwhile.
func (g *Gossip) keepPacked(hash string, packed []byte) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch s := &g.objects; {
	case s.head.Hash != hash:
	case packed[0] == packedDelta:
		s.delta = packed
	default:
		s.whole = packed
	}
}
