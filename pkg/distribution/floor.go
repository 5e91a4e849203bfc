package distribution

import (
	"context"
	"errors"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/pause"
	"nutmeghoist.example/nutmeghoist/pkg/source"
)

// VersionFloor is the lower bound, learned from the neighbours, of the versions
// that a restarted host may serve: nothing older than Version, and nothing older
// than Head.
type VersionFloor struct {
	Version  mesh.ConfigVersion // highest that a neighbour has active or received from this host
	Head     source.Head        // newest that a neighbour holds or was advertised to it; zero if none
	Asked    int                // neighbours that were asked
	Answered int                // neighbours that answered
}

// ErrNoNeighbour means that no neighbour answered.
var ErrNoNeighbour = errors.New("no neighbour answered")

const (
	// floorLinkTimeout bounds how long QueryFloor waits, after the first link, for
	// the links to the other neighbours. A new host must first receive their
	// records.
	floorLinkTimeout = 3 * time.Second
	floorPollPeriod  = 50 * time.Millisecond
)

// QueryFloor asks all neighbours for the floor of this host. It waits until
// links to them are open, since the first link of a restarted host often leads
// to a seed that never received its heartbeats. It returns when each has answered
// or failed to, or when the context ends, with an error only if none answered.
func (g *Gossip) QueryFloor(ctx context.Context) (VersionFloor, error) {
	links, err := g.awaitLinks(ctx)
	if err != nil {
		return VersionFloor{}, err
	}
	answers := make(chan *floorResponse, len(links))
	for _, l := range links {
		go func() { answers <- l.requestFloor(ctx) }()
	}
	f := VersionFloor{Asked: len(links)}
	for range links {
		select {
		case a := <-answers:
			f.merge(a)
		case <-ctx.Done():
		}
	}
	if f.Answered == 0 {
		return f, ErrNoNeighbour
	}
	return f, nil
}

// merge raises the floor to what one neighbour answered, or does nothing when
// the answer is nil.
func (f *VersionFloor) merge(a *floorResponse) {
	if a == nil {
		return
	}
	f.Answered++
	for _, v := range []mesh.ConfigVersion{a.Active, a.LastReceived} {
		if v.Compare(f.Version) > 0 {
			f.Version = v
		}
	}
	if a.Head != nil && a.Head.Revision > f.Head.Revision {
		f.Head = *a.Head
	}
}

// awaitLinks waits until the links to all neighbours are open, and at most
// floorLinkTimeout after the first one.
func (g *Gossip) awaitLinks(ctx context.Context) ([]*link, error) {
	var first time.Time
	for {
		links, complete := g.neighbourLinks()
		switch {
		case len(links) == 0:
		case first.IsZero():
			first = time.Now()
		}
		if complete || len(links) > 0 && time.Since(first) > floorLinkTimeout {
			return links, nil
		}
		if !pause.For(ctx, floorPollPeriod) {
			if len(links) > 0 {
				return links, nil
			}
			return nil, errors.Join(ErrNoNeighbour, ctx.Err())
		}
	}
}

// neighbourLinks returns the open links. They are complete when the host records
// have been synchronised with some peer, each live neighbour has a link, and no candidate
// is still to be dialled.
func (g *Gossip) neighbourLinks() (links []*link, complete bool) {
	wanted := membership.Neighbours(g.cfg.Members.Hosts(), g.self)
	pending, _ := g.SearchState()
	g.mu.Lock()
	defer g.mu.Unlock()
	complete = g.synced && len(g.links) > 0 && pending == 0
	for _, h := range wanted {
		if h.Status == membership.StatusAlive && g.links[h.ID] == nil {
			complete = false
		}
	}
	return g.openLinks(), complete
}

// requestFloor asks the peer for the floor of this host. It returns nil when the
// peer does not answer.
func (l *link) requestFloor(ctx context.Context) *floorResponse {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	req, err := encMode().Marshal(request{Floor: true})
	if err != nil {
		return nil
	}
	b, err := l.conn.Request(ctx, req)
	if err != nil {
		return nil
	}
	var a floorResponse
	if err := decMode().Unmarshal(b, &a); err != nil {
		l.g.fault(FaultBadMessage, l.peer, err)
		return nil
	}
	return &a
}

func (g *Gossip) floorResponseFor(peer mesh.HostID) floorResponse {
	a := floorResponse{Active: g.cfg.ActiveVersion()}
	g.mu.Lock()
	defer g.mu.Unlock()
	a.LastReceived = g.peerVersions[peer]
	if g.heads.advertised.Revision > 0 {
		advertised := g.heads.advertised
		a.Head = &advertised
	}
	return a
}
