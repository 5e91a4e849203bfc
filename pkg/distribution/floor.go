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

// VersionFloor is what the neighbours know of the versions in force. A restarted
// host serves nothing older than Version, and nothing older than Head.
type VersionFloor struct {
	Version  mesh.ConfigVersion // highest that a neighbour has active or heard from this host
	Head     source.Head        // newest that a neighbour has heard of; zero if none
	Asked    int
	Answered int
}

// ErrNoNeighbour means that no neighbour answered.
var ErrNoNeighbour = errors.New("no neighbour answered")

// floorWait bounds how long Floor waits, after the first link, for the links
// to the other neighbours. A new host first learns who they are.
const (
	floorWait = 3 * time.Second
	floorPoll = 50 * time.Millisecond
)

// QueryFloor asks all neighbours. It waits until links to them are open, since the
// first link of a restarted host often leads to a seed that never heard its
// heartbeats. It returns when all have answered or the context ends, with an
// error only if none answered.
func (g *Gossip) QueryFloor(ctx context.Context) (VersionFloor, error) {
	links, err := g.awaitLinks(ctx)
	if err != nil {
		return VersionFloor{}, err
	}
	answers := make(chan *floorAnswer, len(links))
	for _, l := range links {
		go func() { answers <- l.askFloor(ctx) }()
	}
	f := VersionFloor{Asked: len(links)}
	for range links {
		select {
		case a := <-answers:
			f.join(a)
		case <-ctx.Done():
		}
	}
	if f.Answered == 0 {
		return f, ErrNoNeighbour
	}
	return f, nil
}

func (f *VersionFloor) join(a *floorAnswer) {
	if a == nil {
		return
	}
	f.Answered++
	for _, v := range []mesh.ConfigVersion{a.Active, a.LastHeard} {
		if v.Compare(f.Version) > 0 {
			f.Version = v
		}
	}
	if a.Head != nil && a.Head.Revision > f.Head.Revision {
		f.Head = *a.Head
	}
}

func (g *Gossip) awaitLinks(ctx context.Context) ([]*link, error) {
	var first time.Time
	for {
		links, complete := g.neighbourLinks()
		switch {
		case len(links) == 0:
		case first.IsZero():
			first = time.Now()
		}
		if complete || len(links) > 0 && time.Since(first) > floorWait {
			return links, nil
		}
		if !pause.For(ctx, floorPoll) {
			if len(links) > 0 {
				return links, nil
			}
			return nil, errors.Join(ErrNoNeighbour, ctx.Err())
		}
	}
}

// neighbourLinks returns the open links, and whether they lead to all
// neighbours that the records of a peer call for.
func (g *Gossip) neighbourLinks() (links []*link, complete bool) {
	wanted := membership.Neighbours(g.cfg.Members.Hosts(), g.self)
	g.mu.Lock()
	defer g.mu.Unlock()
	complete = g.synced && len(g.links) > 0
	for _, h := range wanted {
		if h.Status == membership.StatusAlive && g.links[h.ID] == nil {
			complete = false
		}
	}
	return g.openLinks(), complete
}

// askFloor returns nil when the peer does not answer.
func (l *link) askFloor(ctx context.Context) *floorAnswer {
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
	var a floorAnswer
	if err := decMode().Unmarshal(b, &a); err != nil {
		l.g.fault(FaultBadMessage, l.peer, err)
		return nil
	}
	return &a
}

func (g *Gossip) floorFor(peer mesh.HostID) floorAnswer {
	a := floorAnswer{Active: g.cfg.ActiveVersion()}
	g.mu.Lock()
	defer g.mu.Unlock()
	a.LastHeard = g.heard[peer]
	if g.objects.offer.Revision > 0 {
		offer := g.objects.offer
		a.Head = &offer
	}
	return a
}
