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
// same request is also sent to the next one.
const hedgeDelay = 300 * time.Millisecond

// fetchHeads fetches the texts of advertised heads.
func (g *Gossip) fetchHeads(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.fetchPending:
		}
		for g.fetchNext(ctx) {
		}
	}
}

// fetchNext fetches and accepts the newest advertised head. It reports whether
// the caller should try again, because a newer head may have been advertised.
func (g *Gossip) fetchNext(ctx context.Context) bool {
	g.mu.Lock()
	advertised, current := g.heads.advertised, g.heads.head
	result := fetchResult{text: g.heads.text}
	g.mu.Unlock()
	if advertised.Revision <= current.Revision || ctx.Err() != nil {
		return false
	}
	var err error
	if advertised.Hash != current.Hash {
		result, err = g.fetchText(ctx, advertised)
	}
	if err == nil {
		err = g.acceptHead(advertised, result)
	}
	if err == nil {
		return true
	}
	if ctx.Err() != nil {
		return false
	}
	if g.isSuperseded(advertised) {
		g.cfg.Counters.Count("distribution_fetches_superseded", 1)
		return true
	}
	g.fault(FaultFetchFailed, "", fmt.Errorf("object of revision %d: %w", advertised.Revision, err))
	g.dropAdvertisedHead(advertised)
	return pause.For(ctx, g.jitter(time.Second))
}

// dropAdvertisedHead discards an advertised head whose text could not be
// fetched. Neighbours that hold the text advertise the head again in response
// to the heartbeats of this host.
func (g *Gossip) dropAdvertisedHead(advertised source.Head) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s := &g.heads; s.advertised.Revision == advertised.Revision && s.advertised.Hash == advertised.Hash {
		s.advertised, s.advertisers = s.head, nil
	}
}

// fetchResult is a text with its compressed form, if a neighbour sent it.
type fetchResult struct {
	text       []byte
	compressed []byte
	base       string // hash of the text that compressed is a delta to
	err        error
}

// isSuperseded reports whether a head newer than the given one was advertised.
// Neighbours then hold the text of the newer one.
func (g *Gossip) isSuperseded(head source.Head) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.heads.advertised.Revision > head.Revision
}

// fetchText requests the text of a head from the neighbours that advertised it,
// then from the others that hold it, and last from the object store. Neighbours
// that advertise it meanwhile are asked in turn.
func (g *Gossip) fetchText(ctx context.Context, head source.Head) (fetchResult, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	asked := make(map[*link]bool)
	results := make(chan fetchResult)
	hedge := time.NewTimer(0)
	defer hedge.Stop()
	pending := 0
	for {
		select {
		case <-hedge.C:
			if from := g.nextFetchSource(asked); from != nil {
				asked[from] = true
				pending++
				go func() {
					select {
					case results <- from.requestText(ctx, head.Hash):
					case <-ctx.Done():
					}
				}()
			} else if pending == 0 {
				return g.fetchFromStore(ctx, head.Hash)
			}
			hedge.Reset(hedgeDelay)
		case r := <-results:
			if r.err == nil {
				return r, nil
			}
			if g.isSuperseded(head) {
				return fetchResult{}, r.err
			}
			pending--
			hedge.Reset(0)
		case <-ctx.Done():
			return fetchResult{}, ctx.Err()
		}
	}
}

func (g *Gossip) fetchFromStore(ctx context.Context, hash string) (fetchResult, error) {
	if g.cfg.Fetch == nil {
		return fetchResult{}, errors.New("no neighbour has the object and no object store is configured")
	}
	g.cfg.Counters.Count("distribution_store_fetches", 1)
	text, err := g.cfg.Fetch(ctx, hash)
	if err != nil {
		return fetchResult{}, err
	}
	return fetchResult{text: text}, verifyText(hash, text)
}

// nextFetchSource returns the first of the fetch sources that was not asked, or nil.
func (g *Gossip) nextFetchSource(asked map[*link]bool) *link {
	for _, l := range g.fetchSources() {
		if !asked[l] {
			return l
		}
	}
	return nil
}

// fetchSources returns the links to the peers that hold the advertised head,
// starting with those that advertised it.
func (g *Gossip) fetchSources() []*link {
	g.mu.Lock()
	defer g.mu.Unlock()
	added := make(map[*link]bool)
	var sources []*link
	for _, l := range g.heads.advertisers {
		if g.links[l.peer] == l && !added[l] {
			added[l] = true
			sources = append(sources, l)
		}
	}
	for _, l := range g.links {
		l.mu.Lock()
		heldRevision := l.heldRevision
		l.mu.Unlock()
		if !added[l] && heldRevision >= g.heads.advertised.Revision {
			sources = append(sources, l)
		}
	}
	return sources
}

// requestText requests a text from the peer and verifies its hash.
func (l *link) requestText(ctx context.Context, hash string) (f fetchResult) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	current, base, _ := l.g.Head()
	req, err := encMode().Marshal(request{Object: hash, Base: current.Hash})
	if err != nil {
		return fetchResult{err: err}
	}
	if f.compressed, f.err = l.conn.Request(ctx, req); f.err != nil {
		return f
	}
	if f.text, f.err = l.g.codec.decompressText(f.compressed, base); f.err == nil {
		f.err = verifyText(hash, f.text)
	}
	if f.err != nil {
		l.g.fault(FaultBadObject, l.peer, f.err)
		return f
	}
	if f.compressed[0] == formatDelta {
		f.base = current.Hash
	}
	return f
}
