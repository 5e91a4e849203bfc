package soak

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/pause"
	"nutmeghoist.example/nutmeghoist/pkg/platform"
	"nutmeghoist.example/nutmeghoist/pkg/platform/platformtest"
	"nutmeghoist.example/nutmeghoist/pkg/rollout"
	platformwire "nutmeghoist.example/nutmeghoist/platform"
)

// faultParams are the random parameters of a fault. All of them are drawn before
// the fault starts, so that a seed always gives the same schedule.
type faultParams struct {
	node, other *node
	duration    time.Duration
	variant     bool // selects between two forms of a fault
}

// faultKind is a fault to choose. run returns when the fault is over.
type faultKind struct {
	name string
	run  func(ctx context.Context, c *cluster, p faultParams)
}

// faultKinds are the faults to choose from. A kind with several entries is
// chosen more often.
var faultKinds = []faultKind{
	{"kill", func(_ context.Context, _ *cluster, p faultParams) { p.node.terminate(syscall.SIGKILL) }},
	{"kill", func(ctx context.Context, _ *cluster, p faultParams) {
		p.node.terminate(syscall.SIGKILL)
		p.other.terminate(syscall.SIGKILL)
		pause.For(ctx, p.duration/4)
		p.node.terminate(syscall.SIGKILL)
	}},
	{"term", func(_ context.Context, _ *cluster, p faultParams) { p.node.terminate(syscall.SIGTERM) }},
	{"term", func(_ context.Context, _ *cluster, p faultParams) { p.node.terminate(syscall.SIGTERM) }},
	{"term", func(ctx context.Context, _ *cluster, p faultParams) {
		p.node.terminate(syscall.SIGTERM)
		pause.For(ctx, p.duration/4)
		p.node.signal(syscall.SIGHUP)
		p.node.terminate(syscall.SIGTERM)
	}},
	// The settings change, with or without a signal. A shorter drain time also
	// meets the guarantee of the longer one.
	{"hup", func(ctx context.Context, c *cluster, p faultParams) {
		shorter := bounds
		shorter.Drain /= 2
		if err := p.node.writeSettings(shorter); err != nil {
			c.journal.addViolation("settings of %s: %v", p.node.host, err)
		}
		if !p.variant {
			p.node.signal(syscall.SIGHUP)
		}
		pause.For(ctx, p.duration)
		if err := p.node.writeSettings(bounds); err != nil {
			c.journal.addViolation("settings of %s: %v", p.node.host, err)
		}
		p.node.signal(syscall.SIGHUP)
	}},
	{"pause", func(ctx context.Context, _ *cluster, p faultParams) {
		p.node.signal(syscall.SIGSTOP)
		pause.For(ctx, p.duration)
		p.node.signal(syscall.SIGCONT)
	}},
	{"delay", func(ctx context.Context, c *cluster, p faultParams) {
		c.relay.Delay(zone(p.node.index), zone(p.other.index), p.duration/20)
		pause.For(ctx, p.duration)
		c.relay.Delay(zone(p.node.index), zone(p.other.index), 0)
	}},
	{"reset", func(_ context.Context, c *cluster, p faultParams) {
		c.relay.Reset(zone(p.node.index), zone(p.other.index))
	}},
	{"silence", func(_ context.Context, c *cluster, p faultParams) {
		c.relay.Silence(zone(p.node.index), zone(p.other.index))
		if p.variant {
			p.node.storeRelay.Silence(zone(p.node.index), storeZone)
		}
	}},
	{"cut", func(ctx context.Context, c *cluster, p faultParams) {
		c.relay.CutOneWay(zone(p.node.index), zone(p.other.index), true)
		if p.variant {
			c.relay.CutOneWay(zone(p.other.index), zone(p.node.index), true)
		}
		pause.For(ctx, p.duration)
		c.relay.Heal(zone(p.node.index), zone(p.other.index))
	}},
	{"store-cut", func(ctx context.Context, _ *cluster, p faultParams) {
		p.node.storeRelay.Cut(zone(p.node.index), storeZone)
		pause.For(ctx, p.duration)
		p.node.storeRelay.Heal(zone(p.node.index), storeZone)
	}},
	{"store-down", func(ctx context.Context, c *cluster, p faultParams) {
		c.store.SetFaults(platformtest.Faults{Down: p.variant, DelayMS: 300})
		pause.For(ctx, p.duration)
		c.store.SetFaults(platformtest.Faults{})
	}},
	{"store-lost", func(ctx context.Context, c *cluster, p faultParams) {
		c.store.SetFaults(platformtest.Faults{LoseAfter: 5, LoseBefore: 1})
		c.store.DropHistory()
		pause.For(ctx, p.duration)
		c.store.SetFaults(platformtest.Faults{})
	}},
	{"target-crash", func(ctx context.Context, _ *cluster, p faultParams) {
		for _, t := range p.node.servingTargets("") {
			t.crash()
			pause.For(ctx, p.duration/3)
			p.node.startTarget(ctx, t.version)
			return
		}
	}},
	{"drain", func(ctx context.Context, _ *cluster, p faultParams) {
		for _, t := range p.node.servingTargets("") {
			p.node.startTarget(ctx, t.version)
			t.leave(ctx)
			return
		}
	}},
	{"drain", func(ctx context.Context, _ *cluster, p faultParams) {
		// The node is stopped or killed while its target drains.
		for _, t := range p.node.servingTargets("") {
			p.node.startTarget(ctx, t.version)
			go t.leave(ctx)
			pause.For(ctx, p.duration/10)
			p.node.terminate(map[bool]syscall.Signal{true: syscall.SIGKILL, false: syscall.SIGTERM}[p.variant])
			return
		}
	}},
	{"target-slow", func(ctx context.Context, _ *cluster, p faultParams) {
		p.node.eachServingTarget(func(t *target) { t.slowFactor.Store(6) })
		pause.For(ctx, p.duration)
		p.node.eachServingTarget(func(t *target) { t.slowFactor.Store(1) })
	}},
	{"target-lose", func(ctx context.Context, _ *cluster, p faultParams) {
		p.node.eachServingTarget(func(t *target) { t.losesAnswers.Store(p.variant); t.truncatesAnswers.Store(!p.variant) })
		pause.For(ctx, p.duration)
		p.node.eachServingTarget(func(t *target) { t.losesAnswers.Store(false); t.truncatesAnswers.Store(false) })
	}},
	{"rollout", func(ctx context.Context, c *cluster, p faultParams) { c.rollOut(ctx, p) }},
}

func (n *node) eachServingTarget(f func(*target)) {
	for _, t := range n.servingTargets("") {
		f(t)
	}
}

// terminate sends a signal that ends the process. handleExit restarts it.
func (n *node) terminate(s syscall.Signal) {
	n.mu.Lock()
	n.exitRequested = time.Now()
	n.killed = n.killed || s == syscall.SIGKILL
	p := process{n, n.starts}
	n.mu.Unlock()
	n.cluster.journal.recordStop(p, s)
	n.signal(s)
}

// inject starts faults, which may overlap, at random times for the duration.
func (c *cluster) inject(ctx context.Context, wg *sync.WaitGroup) {
	kinds := faultKinds
	if c.options.Uploads {
		kinds = uploadFaultKinds
	}
	end := time.Now().Add(c.options.Duration)
	for time.Now().Before(end) && ctx.Err() == nil {
		kind := kinds[c.rng.IntN(len(kinds))]
		p := faultParams{
			node: c.nodes[c.rng.IntN(len(c.nodes))], other: c.nodes[c.rng.IntN(len(c.nodes))],
			duration: time.Duration(300+c.rng.IntN(3000)) * time.Millisecond, variant: c.rng.IntN(2) == 0,
		}
		gap := time.Duration(100+c.rng.IntN(900)) * time.Millisecond
		f := c.journal.beginFault(kind.name, p.node, p.other)
		wg.Go(func() {
			kind.run(ctx, c, p)
			c.journal.endFault(f)
		})
		pause.For(ctx, gap)
	}
}

// heal ends all active faults.
func (c *cluster) heal() {
	c.store.SetFaults(platformtest.Faults{})
	for _, a := range c.nodes {
		a.signal(syscall.SIGCONT)
		a.storeRelay.Heal(zone(a.index), storeZone)
		a.eachServingTarget(func(t *target) {
			t.slowFactor.Store(1)
			t.losesAnswers.Store(false)
			t.truncatesAnswers.Store(false)
			t.answers.Store(0)
			t.broken.Store(0)
			t.uploads.Store(int32(answersUploads))
		})
		for _, b := range c.nodes {
			c.relay.Delay(zone(a.index), zone(b.index), 0)
			c.relay.Heal(zone(a.index), zone(b.index))
		}
	}
}

// rolloutTime is the duration given in rollout orders.
const rolloutTime = 8 * time.Second

// rollOut starts targets of a new version next to the old ones and orders a
// rollout of the service to it. Each service is rolled out once in a run.
func (c *cluster) rollOut(ctx context.Context, p faultParams) {
	service := p.node.service
	if !c.journal.claimRollout(service) {
		return
	}
	for _, n := range c.nodes {
		if n.service == service {
			n.startTarget(ctx, "v2").failing.Store(p.variant)
		}
	}
	pause.For(ctx, time.Second)
	key, value := platformwire.EncodeOrder(rollout.Order{Service: service, To: "v2", Within: rolloutTime})
	began := time.Now()
	c.config.putOrder(ctx, key, value)
	state := rollout.Running
	for time.Since(began) < 2*rolloutTime && !state.IsFinal() && ctx.Err() == nil {
		pause.For(ctx, 50*time.Millisecond)
		if row, err := c.store.Get(ctx, platformwire.StatusKey(service)); err == nil {
			if _, s, ok := platformwire.DecodeStatus(row.Value); ok {
				state = s
			}
		}
	}
	c.journal.recordRollout(service, p.variant, state, began)
	switch state {
	case rollout.Completed:
		c.journal.retire(service, "v1")
	case rollout.RolledBack:
		c.journal.retire(service, "v2")
	}
	for _, n := range c.nodes {
		if n.service != service {
			continue
		}
		switch state {
		case rollout.Completed:
			for _, t := range n.servingTargets("v1") {
				t.crash() // the old targets stop without draining
			}
		case rollout.RolledBack:
			for _, t := range n.servingTargets("v2") {
				go t.leave(ctx)
			}
		}
	}
}

// configWriter acts as the operator. Its version numbers rise in uneven steps.
type configWriter struct {
	cluster *cluster

	mu      sync.Mutex
	version uint64               // the newest acknowledged one
	acked   map[uint64]time.Time // time of the acknowledgement of each version
	written uint64               // the newest one that may have taken effect
	orders  []platform.Write     // rollout orders that were written
}

func (c *configWriter) newestAcked() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version
}

func (c *configWriter) ackedAt(version uint64) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.acked[version]
}

func (c *configWriter) run(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, 1500*time.Millisecond)
		if err := c.write(ctx); err != nil && ctx.Err() == nil {
			continue // the store is unavailable; the next version is written later
		}
	}
}

// write writes the next version. The versions after it keep its added route for
// a while, see addedRouteVersions, so that calls in flight do not get a 404.
func (c *configWriter) write(ctx context.Context) error {
	c.mu.Lock()
	c.written += 1 + c.written%3
	version := c.written
	c.mu.Unlock()
	err := c.cluster.store.Commit(ctx, platform.Txn{Writes: []platform.Write{{
		Key: platformwire.ConfigKey, Value: platformwire.EncodeConfigWithTeams(c.cluster.buildConfig(version), teamKeys),
	}}})
	if err != nil {
		return fmt.Errorf("configuration %d: %w", version, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.acked == nil {
		c.acked = make(map[uint64]time.Time)
	}
	c.version, c.acked[version] = version, time.Now()
	return nil
}

// putOrder writes a rollout order.
func (c *configWriter) putOrder(ctx context.Context, key string, value []byte) {
	order := platform.Write{Key: key, Value: value}
	c.mu.Lock()
	c.orders = append(c.orders, order)
	c.mu.Unlock()
	c.put(ctx, order)
}

// removeOrder removes a row that putOrder has written.
func (c *configWriter) removeOrder(ctx context.Context, key string) {
	c.mu.Lock()
	c.orders = slices.DeleteFunc(c.orders, func(w platform.Write) bool { return w.Key == key })
	c.orders = append(c.orders, platform.Write{Key: key, Delete: true})
	c.mu.Unlock()
	c.put(ctx, platform.Write{Key: key, Delete: true})
}

// put repeats a write until the store has acknowledged it.
func (c *configWriter) put(ctx context.Context, w platform.Write) {
	for c.cluster.store.Commit(ctx, platform.Txn{Writes: []platform.Write{w}}) != nil && ctx.Err() == nil {
		pause.For(ctx, 200*time.Millisecond)
	}
}

// writeAgain writes the newest configuration and the orders to a restored store.
func (c *configWriter) writeAgain(ctx context.Context) {
	c.mu.Lock()
	again := append([]platform.Write{{Key: platformwire.ConfigKey, Value: platformwire.EncodeConfigWithTeams(c.cluster.buildConfig(c.version), teamKeys)}}, c.orders...)
	c.mu.Unlock()
	for _, w := range again {
		c.put(ctx, w)
	}
}

// addedRouteVersions is the range of versions that contain an added route.
const addedRouteVersions = 40

var serviceByPrefix = map[string]mesh.ServiceName{"/orders/": services[0], "/lookups/": services[1]}
