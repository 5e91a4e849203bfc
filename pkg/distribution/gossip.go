package distribution

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/source"
)

// Gossip is the engine of one host. Its methods are safe for concurrent use.
type Gossip struct {
	cfg   Config
	self  mesh.HostID
	codec *codec

	randMu  sync.Mutex
	packing sync.Mutex // held while a text is compressed

	mu       sync.Mutex
	links    map[mesh.HostID]*link
	dialing  map[mesh.HostID]bool
	wanted   map[mesh.HostID]bool // the neighbours this host links to
	synced   bool                 // a repair with some peer has completed
	objects  headState
	vetoes   map[source.VetoKey]source.Veto
	vetoSums [membership.BucketCount]uint64
	unsent   []source.Veto // not yet delivered to OnVeto
	heard    map[mesh.HostID]mesh.ConfigVersion
	runCtx   context.Context
	stopped  bool

	deliverHead chan struct{} // capacity 1
	deliverVeto chan struct{}
	fetchWake   chan struct{}
	reform      chan struct{}
	tasks       sync.WaitGroup
}

// New returns an engine that is not yet running.
func New(cfg Config) (*Gossip, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	c, err := newCodec()
	if err != nil {
		return nil, err
	}
	return &Gossip{
		codec:       c,
		cfg:         cfg,
		self:        cfg.Members.Self().ID,
		links:       make(map[mesh.HostID]*link),
		dialing:     make(map[mesh.HostID]bool),
		vetoes:      make(map[source.VetoKey]source.Veto),
		heard:       make(map[mesh.HostID]mesh.ConfigVersion),
		deliverHead: make(chan struct{}, 1),
		deliverVeto: make(chan struct{}, 1),
		fetchWake:   make(chan struct{}, 1),
		reform:      make(chan struct{}, 1),
	}, nil
}

// Run operates the engine until the context ends. All links are then closed.
func (g *Gossip) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	g.mu.Lock()
	g.runCtx = ctx
	g.mu.Unlock()
	group.Go(func() error { return g.cfg.Transport.Serve(ctx, g) })
	for _, loop := range []func(context.Context){
		g.spreadRecords, g.formLinks, g.tick, g.rejoin, g.deliverHeads, g.deliverVetoes, g.fetchHeads,
	} {
		group.Go(func() error { loop(ctx); return nil })
	}
	group.Go(func() error {
		<-ctx.Done()
		g.closeLinks()
		return nil
	})
	wake(g.deliverHead) // a head may have been announced before Run
	wake(g.deliverVeto)
	err := group.Wait()
	g.mu.Lock()
	g.stopped = true // spawn adds no task while tasks are waited for
	g.mu.Unlock()
	g.tasks.Wait()
	if ctx.Err() != nil && context.Cause(ctx) == context.Canceled {
		return nil
	}
	return err
}

func (g *Gossip) closeLinks() {
	g.mu.Lock()
	links := g.openLinks()
	g.mu.Unlock()
	for _, l := range links {
		l.conn.Close(CloseShutdown)
	}
}

// openLinks returns the links; g.mu is held.
func (g *Gossip) openLinks() []*link {
	links := make([]*link, 0, len(g.links))
	for _, l := range g.links {
		links = append(links, l)
	}
	return links
}

// LinkCount returns the number of open links.
func (g *Gossip) LinkCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.links)
}

// spawn runs a task that Run waits for, unless the engine is stopping.
func (g *Gossip) spawn(task func(ctx context.Context)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.runCtx == nil || g.stopped {
		return
	}
	ctx := g.runCtx
	g.tasks.Go(func() { task(ctx) })
}

// jitter returns a random duration below d.
func (g *Gossip) jitter(d time.Duration) time.Duration {
	g.randMu.Lock()
	defer g.randMu.Unlock()
	return time.Duration(g.cfg.Rand.Int64N(int64(d)))
}

func (g *Gossip) withRand(f func(*rand.Rand)) {
	g.randMu.Lock()
	defer g.randMu.Unlock()
	f(g.cfg.Rand)
}

func (g *Gossip) fault(f Fault, peer mesh.HostID, err error) {
	g.cfg.Counters.Count("distribution_"+string(f), 1)
	g.cfg.OnFault(f, peer, err)
}

// spreadRecords queues each changed host record for all neighbours.
func (g *Gossip) spreadRecords(ctx context.Context) {
	var version uint64
	duplicate := false
	for {
		changed := g.cfg.Members.NextChange()
		var hosts []membership.Host
		hosts, version = g.cfg.Members.ChangedSince(version)
		g.mu.Lock()
		links := g.openLinks()
		g.mu.Unlock()
		for _, l := range links {
			l.queueHosts(hosts)
		}
		if !duplicate && g.cfg.Members.HostIDTaken() {
			duplicate = true
			g.fault(FaultDuplicateHost, g.self, errors.New("another process has taken over the record of this host"))
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// tick drives the timers of the membership table.
func (g *Gossip) tick(ctx context.Context) {
	t := time.NewTicker(tickPeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			g.cfg.Members.Tick(now)
		}
	}
}

// digest covers the host records and the vetoes.
func (g *Gossip) digest() [membership.BucketCount]uint64 {
	sums := g.cfg.Members.BucketDigests()
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, v := range g.vetoSums {
		sums[i] += v
	}
	return sums
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
