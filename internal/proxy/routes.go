package proxy

import (
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/routing"
	"nutmeghoist.example/nutmeghoist/pkg/rules"
	"nutmeghoist.example/nutmeghoist/pkg/snapshot"
)

// routeTable is a snapshot compiled for lookups on the call path.
type routeTable struct {
	snap    *snapshot.Snapshot
	matcher *routing.Matcher
	names   map[*rules.Rule]string
	sets    map[mesh.ServiceVersion]*routing.Set
}

// table returns the compiled snapshot in force, or nil when the node is not
// ready. The first call under a snapshot compiles it.
func (p *Proxy) table(now time.Time) *routeTable {
	snap := p.cfg.Snapshot()
	if t := p.routes.Load(); t != nil && t.snap == snap {
		return t
	}
	if snap == nil {
		return nil
	}
	p.routesMu.Lock()
	defer p.routesMu.Unlock()
	if t := p.routes.Load(); t != nil && t.snap == snap {
		return t
	}
	t := p.compile(snap, now)
	p.routes.Store(t)
	return t
}

func (p *Proxy) compile(snap *snapshot.Snapshot, now time.Time) *routeTable {
	t := &routeTable{
		snap:    snap,
		matcher: routing.NewMatcher(snap.Rules),
		names:   make(map[*rules.Rule]string, len(snap.Rules)),
		sets:    make(map[mesh.ServiceVersion]*routing.Set, len(snap.Targets)),
	}
	for i := range snap.Rules {
		t.names[&snap.Rules[i]] = snap.Rules[i].Route()
	}
	known, addresses := make(map[routing.Key]bool), make(map[string]bool)
	for sv, targets := range snap.Targets {
		t.sets[sv] = p.tracker.NewSet(p.cfg.DataCentre, targets, now)
		for i := range targets {
			known[routing.Key{Host: targets[i].Host, ID: targets[i].ID}] = true
			addresses[targets[i].CallAddress] = true
			p.setLoadSource(&targets[i])
		}
	}
	p.tracker.Prune(func(k routing.Key) bool { return known[k] })
	p.prunePeers(addresses)
	return t
}

// setLoadSource makes target selection use the limiter's load of a target on this
// host, which includes the calls from other nodes.
func (p *Proxy) setLoadSource(t *snapshot.Target) {
	if t.Host != p.cfg.Self {
		return
	}
	id := t.ID
	p.tracker.Stat(routing.Key{Host: t.Host, ID: id}).SetLoadSource(func() routing.Load {
		_, limiter, ok := p.cfg.Targets.Lookup(id)
		if !ok {
			return routing.Load{}
		}
		return routing.Load(limiter.Load())
	})
}
