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
	"nutmeghoist.example/nutmeghoist/pkg/pause"
	"nutmeghoist.example/nutmeghoist/pkg/source"
	"nutmeghoist.example/nutmeghoist/pkg/suspect"
)

// Gossip is the distribution engine of one host. Its methods are safe for
// concurrent use.
type Gossip struct {
	cfg     Config
	self    mesh.HostID
	created time.Time
	codec   *codec

	randMu     sync.Mutex
	compressMu sync.Mutex // held while a text is compressed

	mu           sync.Mutex
	links        map[mesh.HostID]*link
	connecting   map[mesh.HostID]bool
	wanted       map[mesh.HostID]bool // neighbours to which this host keeps links
	synced       bool                 // records and vetoes have been synchronised with some peer
	heads        headState
	vetoes       map[source.VetoKey]source.Veto
	vetoDigests  [membership.BucketCount]uint64
	undelivered  []source.Veto                      // vetoes not yet delivered to OnVeto
	peerVersions map[mesh.HostID]mesh.ConfigVersion // highest active version received from each peer
	runCtx       context.Context
	stopped      bool

	// Each of these channels has capacity 1 and wakes the loop that handles a
	// pending item.
	headPending   chan struct{}
	vetoPending   chan struct{}
	fetchPending  chan struct{}
	relinkPending chan struct{}
	tasks         sync.WaitGroup

	discovery discovery
}

// New returns an engine that is not yet running.
func New(cfg Config) (*Gossip, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	c, err := newCodec()
	if err != nil {
		return nil, err
	}
	g := &Gossip{
		codec:         c,
		created:       time.Now(),
		cfg:           cfg,
		self:          cfg.Members.Self().ID,
		links:         make(map[mesh.HostID]*link),
		connecting:    make(map[mesh.HostID]bool),
		vetoes:        make(map[source.VetoKey]source.Veto),
		peerVersions:  make(map[mesh.HostID]mesh.ConfigVersion),
		headPending:   make(chan struct{}, 1),
		vetoPending:   make(chan struct{}, 1),
		fetchPending:  make(chan struct{}, 1),
		relinkPending: make(chan struct{}, 1),
		discovery:     discovery{wakeup: make(chan struct{}, 1)},
	}
	g.cfg.Suspects.OnChange(func(records []suspect.Record) { g.spreadSuspects(records, nil) })
	return g, nil
}

// Run runs the engine until the context ends, and then closes all links.
func (g *Gossip) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	g.mu.Lock()
	g.runCtx = ctx
	g.mu.Unlock()
	group.Go(func() error { return g.cfg.Transport.Serve(ctx, g) })
	for _, loop := range []func(context.Context){
		g.propagateRecords, g.maintainLinks, g.discover, g.tick, g.rejoin, g.deliverHeads, g.deliverVetoes, g.fetchHeads,
	} {
		group.Go(func() error { g.runLoop(ctx, loop); return nil })
	}
	group.Go(func() error {
		<-ctx.Done()
		g.closeLinks()
		return nil
	})
	signal(g.headPending) // a head may have been announced before Run
	signal(g.vetoPending)
	err := group.Wait()
	g.mu.Lock()
	g.stopped = true // spawn starts no task during tasks.Wait
	g.mu.Unlock()
	g.tasks.Wait()
	if ctx.Err() != nil && context.Cause(ctx) == context.Canceled {
		return nil
	}
	return err
}

// loopRestartDelay is the time until a loop that panicked is started again.
const loopRestartDelay = time.Second

// runLoop runs a loop until the context ends.
func (g *Gossip) runLoop(ctx context.Context, loop func(context.Context)) {
	for g.cfg.Guard("gossip_loop", func() { loop(ctx) }) && pause.For(ctx, loopRestartDelay) {
	}
}

func (g *Gossip) closeLinks() {
	g.mu.Lock()
	links := g.openLinks()
	g.mu.Unlock()
	for _, l := range links {
		l.conn.Close(CloseShutdown)
	}
}

// untilHeartbeats returns the time until the links of this host send their next
// heartbeats.
func (g *Gossip) untilHeartbeats() time.Duration {
	return HeartbeatPeriod - time.Since(g.created)%HeartbeatPeriod
}

// openLinks returns the open links. The caller holds g.mu.
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

// Synced reports whether records and vetoes have been synchronised with some peer.
func (g *Gossip) Synced() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.synced
}

// LastReceived returns when the last frame of a neighbour was received.
func (g *Gossip) LastReceived() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	var last time.Time
	for _, l := range g.links {
		l.mu.Lock()
		if l.lastReceived.After(last) {
			last = l.lastReceived
		}
		l.mu.Unlock()
	}
	return last
}

// spawn starts a task for which Run waits, unless the engine is stopping.
func (g *Gossip) spawn(task func(ctx context.Context)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.runCtx == nil || g.stopped {
		return
	}
	ctx := g.runCtx
	g.tasks.Go(func() { g.cfg.Guard("gossip_task", func() { task(ctx) }) })
}

// jitter returns a random duration in [0, d).
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

// propagateRecords queues each changed host record for all neighbours.
func (g *Gossip) propagateRecords(ctx context.Context) {
	var version uint64
	duplicateReported := false
	for {
		changed := g.cfg.Members.NextChange()
		var hosts []membership.Host
		hosts, version = g.cfg.Members.ChangedSince(version)
		g.mu.Lock()
		links := g.openLinks()
		g.mu.Unlock()
		for _, l := range links {
			l.enqueueHosts(hosts)
		}
		if !duplicateReported && g.cfg.Members.HostIDTaken() {
			duplicateReported = true
			g.fault(FaultDuplicateHost, g.self, errors.New("another process has taken over the record of this host"))
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// tick advances the timers of the membership table: in each tickPeriod while a host
// is suspected, else once in idleTickPeriod.
func (g *Gossip) tick(ctx context.Context) {
	for {
		changed := g.cfg.Members.NextChange()
		if !g.cfg.Members.HasSuspects() {
			timer := time.NewTimer(idleTickPeriod)
			select {
			case <-ctx.Done():
			case <-changed:
			case <-timer.C:
			}
			timer.Stop()
		}
		if !pause.For(ctx, tickPeriod) {
			return
		}
		g.cfg.Members.Tick(time.Now())
	}
}

// digest returns the bucket digests of the host records, the vetoes and the evacuations.
func (g *Gossip) digest() [membership.BucketCount]uint64 {
	digests := g.cfg.Members.BucketDigests()
	g.cfg.Evacuations.AddDigests(digests[:])
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, v := range g.vetoDigests {
		digests[i] += v
	}
	return digests
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
