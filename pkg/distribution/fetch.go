package distribution

import (
	"context"
	"errors"
	"fmt"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/pause"
	"nutmeghoist.example/nutmeghoist/pkg/source"
)

// hedgeDelay is how long a neighbour may take to send an object before the
// next one is asked as well.
const hedgeDelay = 300 * time.Millisecond

// fetchHeads obtains the texts of heads that were heard of.
func (g *Gossip) fetchHeads(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.fetchWake:
		}
		for g.fetchNext(ctx) {
		}
	}
}

// fetchNext obtains the newest offered head and reports whether a newer one
// may be waiting.
func (g *Gossip) fetchNext(ctx context.Context) bool {
	g.mu.Lock()
	offer, held := g.objects.offer, g.objects.head
	got := fetched{text: g.objects.text}
	g.mu.Unlock()
	if offer.Revision <= held.Revision || ctx.Err() != nil {
		return false
	}
	var err error
	if offer.Hash != held.Hash {
		got, err = g.obtain(ctx, offer.Hash)
	}
	if err == nil {
		err = g.adopt(offer, got)
	}
	if err == nil {
		return true
	}
	if ctx.Err() != nil {
		return false
	}
	g.fault(FaultFetchFailed, "", fmt.Errorf("object of revision %d: %w", offer.Revision, err))
	g.withdrawOffer(offer)
	return pause.For(ctx, g.jitter(time.Second))
}

// withdrawOffer forgets an offer whose text nobody had. The heartbeats of the
// neighbours that hold it bring it back.
func (g *Gossip) withdrawOffer(offer source.Head) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s := &g.objects; s.offer.Revision == offer.Revision && s.offer.Hash == offer.Hash {
		s.offer, s.tellers = s.head, nil
	}
}

// fetched is a text with its compressed form, if a neighbour sent it.
type fetched struct {
	text   []byte
	packed []byte
	base   string // hash of the text that packed is a delta to
	err    error
}

// obtain asks the neighbours that told of the object, then the others, and at
// last the object store.
func (g *Gossip) obtain(ctx context.Context, hash string) (fetched, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	sources := g.sources()
	results := make(chan fetched, len(sources))
	hedge := time.NewTimer(0)
	defer hedge.Stop()
	waiting := 0
	for len(sources) > 0 || waiting > 0 {
		select {
		case <-hedge.C:
			if len(sources) > 0 {
				from := sources[0]
				sources = sources[1:]
				waiting++
				go func() { results <- from.object(ctx, hash) }()
				hedge.Reset(hedgeDelay)
			}
		case r := <-results:
			if r.err == nil {
				return r, nil
			}
			waiting--
			hedge.Reset(0)
		case <-ctx.Done():
			return fetched{}, ctx.Err()
		}
	}
	if g.cfg.Fetch == nil {
		return fetched{}, errors.New("no neighbour has it and there is no object store")
	}
	g.cfg.Counters.Count("distribution_store_fetches", 1)
	text, err := g.cfg.Fetch(ctx, hash)
	if err != nil {
		return fetched{}, err
	}
	return fetched{text: text}, checkText(hash, text)
}

// sources returns the links to ask, those that told of the offer first.
func (g *Gossip) sources() []*link {
	g.mu.Lock()
	defer g.mu.Unlock()
	asked := make(map[*link]bool)
	var sources []*link
	for _, l := range g.objects.tellers {
		if g.links[l.peer] == l && !asked[l] {
			asked[l] = true
			sources = append(sources, l)
		}
	}
	for _, l := range g.links {
		l.mu.Lock()
		holds := l.holds
		l.mu.Unlock()
		if !asked[l] && holds >= g.objects.offer.Revision {
			sources = append(sources, l)
		}
	}
	return sources
}

// object requests a text from the peer and checks it.
func (l *link) object(ctx context.Context, hash string) (f fetched) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	held, base, _ := l.g.Head()
	req, err := encMode().Marshal(request{Object: hash, Base: held.Hash})
	if err != nil {
		return fetched{err: err}
	}
	if f.packed, f.err = l.conn.Request(ctx, req); f.err != nil {
		return f
	}
	if f.text, f.err = l.g.codec.unpackText(f.packed, base); f.err == nil {
		f.err = checkText(hash, f.text)
	}
	if f.err != nil {
		l.g.fault(FaultBadObject, l.peer, f.err)
		return f
	}
	if f.packed[0] == packedDelta {
		f.base = held.Hash
	}
	return f
}
