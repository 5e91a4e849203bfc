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

// headState holds the current head with its text, and the newest head that was
// accepted or that a neighbour advertised.
type headState struct {
	head        source.Head
	text        []byte
	full        []byte // compressed text; made when first requested
	hasHead     bool
	prevHash    string // hash of the previous text, which most neighbours hold
	prevText    []byte
	delta       []byte          // delta from prevText to text; made when first requested
	replaced    []*replacedText // the texts before, the last one first
	advertised  source.Head     // newest head advertised or accepted; its text may be missing
	advertisers []*link         // links over which advertised was received
	acked       chan struct{}   // closed when a neighbour acknowledges a revision
}

// replacedText is a text that was replaced, with its compressed forms as far as they
// were made. A slow neighbour may request it when newer ones have already arrived; if it
// were refused, it would get no text while heads follow each other quickly.
type replacedText struct {
	hash, base  string // hashes of the text and of the one that delta refers to
	text        []byte
	full, delta []byte
}

const (
	// maxReplaced and maxReplacedBytes bound the replaced texts that are kept. The last
	// one is always kept.
	maxReplaced      = 16
	maxReplacedBytes = 8 << 20
)

// keepReplaced adds a text to the replaced ones.
func (s *headState) keepReplaced(r *replacedText) {
	kept, size := []*replacedText{r}, len(r.text)
	for _, old := range s.replaced {
		if size += len(old.text); len(kept) == maxReplaced || size > maxReplacedBytes {
			break
		}
		kept = append(kept, old)
	}
	s.replaced = kept
}

// Head returns the newest head whose text this host holds.
func (g *Gossip) Head() (source.Head, []byte, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.heads.head, g.heads.text, g.heads.hasHead
}

// AnnounceHead passes to the engine a head that was read from the platform or
// accepted by it. A head older than the current one is ignored.
func (g *Gossip) AnnounceHead(head source.Head, text []byte) error {
	if err := validateHead(&head); err != nil {
		return err
	}
	return g.acceptHead(head, fetchResult{text: text})
}

// acceptHead makes a head with its text the current one, pushes it to the
// neighbours and triggers its delivery to OnHead.
func (g *Gossip) acceptHead(head source.Head, result fetchResult) error {
	if err := verifyText(head.Hash, result.text); err != nil {
		return fmt.Errorf("head of revision %d: %w", head.Revision, err)
	}
	g.mu.Lock()
	s := &g.heads
	if s.hasHead && head.Revision <= s.head.Revision {
		conflict := head.Revision == s.head.Revision && head.Hash != s.head.Hash
		g.mu.Unlock()
		if conflict {
			return fmt.Errorf("revision %d: %w", head.Revision, ErrHeadConflict)
		}
		return nil
	}
	if s.head.Hash != head.Hash {
		s.replaceText(result)
	}
	s.head, s.hasHead = head, true
	if head.Revision >= s.advertised.Revision {
		s.advertised, s.advertisers = head, nil
	}
	links := g.openLinks()
	g.mu.Unlock()
	for _, l := range links {
		l.enqueue(func(o *outbox) { o.head = true })
	}
	signal(g.headPending)
	return nil
}

// replaceText stores a new text. The compressed form that a neighbour sent is
// kept, so that it can be forwarded unchanged. The missing form is made when a
// neighbour first requests it.
func (s *headState) replaceText(result fetchResult) {
	if s.hasHead {
		s.keepReplaced(&replacedText{hash: s.head.Hash, base: s.prevHash, text: s.text, full: s.full, delta: s.delta})
	}
	s.prevHash, s.prevText = s.head.Hash, s.text
	s.text, s.full, s.delta = result.text, nil, nil
	switch {
	case result.compressed == nil:
	case result.base == "":
		s.full = result.compressed
	case result.base == s.prevHash:
		s.delta = result.compressed
	}
}

func verifyText(hash string, text []byte) error {
	if len(text) > MaxText {
		return fmt.Errorf("text of %d bytes: %w", len(text), ErrTooLarge)
	}
	if sum := sha256.Sum256(text); hex.EncodeToString(sum[:]) != hash {
		return ErrBadObject
	}
	return nil
}

// handleAdvertisedHead records a head that a neighbour advertised and triggers
// the fetch of its text. To an older head it responds with the current one.
func (g *Gossip) handleAdvertisedHead(head source.Head, from *link) {
	g.mu.Lock()
	s := &g.heads
	previous := s.advertised
	switch {
	case head.Revision > previous.Revision:
		s.advertised, s.advertisers = head, []*link{from}
	case head.Revision == previous.Revision && head.Hash == previous.Hash:
		s.advertisers = append(s.advertisers, from)
	}
	g.mu.Unlock()
	switch {
	case head.Revision == previous.Revision && head.Hash != previous.Hash:
		g.fault(FaultHeadConflict, from.peer, fmt.Errorf("revision %d: %w", head.Revision, ErrHeadConflict))
	case head.Revision >= previous.Revision:
		from.enqueue(func(o *outbox) { o.ack = max(o.ack, head.Revision) })
		signal(g.fetchPending)
	default:
		from.enqueue(func(o *outbox) { o.head = true })
	}
}

// signalAck wakes the goroutines that wait in awaitAcks.
func (g *Gossip) signalAck() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.heads.acked != nil {
		close(g.heads.acked)
		g.heads.acked = nil
	}
}

// awaitAcks waits until all neighbours have acknowledged the revision, but not
// longer than pushTimeout. A neighbour that has acknowledged it returns the head
// to QueryFloor after a restart of this host.
func (g *Gossip) awaitAcks(ctx context.Context, revision uint64) {
	timeout := time.NewTimer(pushTimeout)
	defer timeout.Stop()
	for {
		g.mu.Lock()
		if g.heads.acked == nil {
			g.heads.acked = make(chan struct{})
		}
		acked, links := g.heads.acked, g.openLinks()
		g.mu.Unlock()
		pending := false
		for _, l := range links {
			l.mu.Lock()
			pending = pending || l.ackedRevision < revision
			l.mu.Unlock()
		}
		if !pending {
			return
		}
		select {
		case <-acked:
		case <-timeout.C:
			g.cfg.Counters.Count("distribution_push_timeouts", 1)
			return
		case <-ctx.Done():
			return
		}
	}
}

// deliverHeads calls OnHead for newer heads in ascending order of revision.
func (g *Gossip) deliverHeads(ctx context.Context) {
	var delivered uint64
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.headPending:
		}
		head, text, ok := g.Head()
		if !ok || head.Revision <= delivered {
			continue
		}
		g.awaitAcks(ctx, head.Revision)
		if ctx.Err() != nil {
			return
		}
		delivered = head.Revision
		g.cfg.OnHead(head, text)
		g.sendHeartbeats() // neighbours record the version that this host has active
	}
}

// sendHeartbeats sends a heartbeat on all links.
func (g *Gossip) sendHeartbeats() {
	g.mu.Lock()
	links := g.openLinks()
	g.mu.Unlock()
	for _, l := range links {
		l.enqueue(func(o *outbox) { o.heartbeat, o.answer = true, true })
	}
}

// compressedText returns the compressed form of the text with the given hash, or nil
// if this host no longer keeps it. The form is a delta when base is the hash of the
// text before and that one is at hand.
func (g *Gossip) compressedText(hash, base string) []byte {
	// An encoder takes megabytes, so simultaneous requests share one result.
	g.compressMu.Lock()
	defer g.compressMu.Unlock()
	g.mu.Lock()
	s := g.heads
	g.mu.Unlock()
	if !s.hasHead || s.head.Hash != hash {
		return g.compressedReplaced(s.replaced, hash, base)
	}
	useDelta := base != "" && base == s.prevHash && s.prevText != nil
	switch {
	case useDelta && s.delta != nil:
		return s.delta
	case !useDelta && s.full != nil:
		return s.full
	}
	var compressed []byte
	if useDelta {
		var err error
		if compressed, err = compressDelta(s.prevText, s.text); err != nil {
			useDelta = false
		}
	}
	if !useDelta {
		compressed = g.codec.compressText(s.text)
	}
	g.cacheCompressed(hash, compressed)
	return compressed
}

// compressedReplaced is compressedText for a replaced text. g.compressMu must be held.
func (g *Gossip) compressedReplaced(replaced []*replacedText, hash, base string) []byte {
	for _, r := range replaced {
		switch {
		case r.hash != hash:
		case r.delta != nil && base == r.base:
			return r.delta
		default:
			if r.full == nil {
				r.full = g.codec.compressText(r.text)
			}
			return r.full
		}
	}
	return nil
}

// cacheCompressed stores a compressed form unless the text has changed
// meanwhile.
func (g *Gossip) cacheCompressed(hash string, compressed []byte) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch s := &g.heads; {
	case s.head.Hash != hash:
	case compressed[0] == formatDelta:
		s.delta = compressed
	default:
		s.full = compressed
	}
}
