package soak

import (
	"context"
	"fmt"
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

// draw is what a fault may use of the schedule's random numbers. All are drawn
// before the fault starts, so that a seed gives the same schedule every time.
type draw struct {
	n, other *node
	length   time.Duration
	odd      bool
}

// kinds are the faults, each as often as it stands here. A fault returns when
// it is over.
var kinds = []struct {
	name string
	run  func(ctx context.Context, w *world, d draw)
}{
	{"kill", func(_ context.Context, _ *world, d draw) { d.n.signalled(syscall.SIGKILL) }},
	{"kill", func(ctx context.Context, _ *world, d draw) {
		d.n.signalled(syscall.SIGKILL)
		d.other.signalled(syscall.SIGKILL)
		pause.For(ctx, d.length/4)
		d.n.signalled(syscall.SIGKILL)
	}},
	{"term", func(_ context.Context, _ *world, d draw) { d.n.signalled(syscall.SIGTERM) }},
	{"term", func(_ context.Context, _ *world, d draw) { d.n.signalled(syscall.SIGTERM) }},
	{"term", func(ctx context.Context, _ *world, d draw) {
		d.n.signalled(syscall.SIGTERM)
		pause.For(ctx, d.length/4)
		d.n.signal(syscall.SIGHUP)
		d.n.signalled(syscall.SIGTERM)
	}},
	// The settings change, with a signal or without one. A shorter drain time keeps
	// the promise of the longer one.
	{"hup", func(ctx context.Context, w *world, d draw) {
		shorter := bounds
		shorter.Drain /= 2
		if err := d.n.writeSettings(shorter); err != nil {
			w.journal.broken("settings of %s: %v", d.n.host, err)
		}
		if !d.odd {
			d.n.signal(syscall.SIGHUP)
		}
		pause.For(ctx, d.length)
		if err := d.n.writeSettings(bounds); err != nil {
			w.journal.broken("settings of %s: %v", d.n.host, err)
		}
		d.n.signal(syscall.SIGHUP)
	}},
	{"pause", func(ctx context.Context, _ *world, d draw) {
		d.n.signal(syscall.SIGSTOP)
		pause.For(ctx, d.length)
		d.n.signal(syscall.SIGCONT)
	}},
	{"delay", func(ctx context.Context, w *world, d draw) {
		w.relay.Delay(zone(d.n.index), zone(d.other.index), d.length/20)
		pause.For(ctx, d.length)
		w.relay.Delay(zone(d.n.index), zone(d.other.index), 0)
	}},
	{"reset", func(_ context.Context, w *world, d draw) { w.relay.Reset(zone(d.n.index), zone(d.other.index)) }},
	{"silence", func(_ context.Context, w *world, d draw) {
		w.relay.Silence(zone(d.n.index), zone(d.other.index))
		if d.odd {
			d.n.storeWay.Silence(zone(d.n.index), storeZone)
		}
	}},
	{"cut", func(ctx context.Context, w *world, d draw) {
		w.relay.CutOneWay(zone(d.n.index), zone(d.other.index), true)
		if d.odd {
			w.relay.CutOneWay(zone(d.other.index), zone(d.n.index), true)
		}
		pause.For(ctx, d.length)
		w.relay.Heal(zone(d.n.index), zone(d.other.index))
	}},
	{"store-cut", func(ctx context.Context, _ *world, d draw) {
		d.n.storeWay.Cut(zone(d.n.index), storeZone)
		pause.For(ctx, d.length)
		d.n.storeWay.Heal(zone(d.n.index), storeZone)
	}},
	{"store-down", func(ctx context.Context, w *world, d draw) {
		w.store.SetFaults(platformtest.Faults{Down: d.odd, DelayMS: 300})
		pause.For(ctx, d.length)
		w.store.SetFaults(platformtest.Faults{})
	}},
	{"store-lost", func(ctx context.Context, w *world, d draw) {
		w.store.SetFaults(platformtest.Faults{LoseAfter: 5, LoseBefore: 1})
		w.store.DropHistory()
		pause.For(ctx, d.length)
		w.store.SetFaults(platformtest.Faults{})
	}},
	{"target-crash", func(ctx context.Context, _ *world, d draw) {
		for _, t := range d.n.running("") {
			t.crash()
			pause.For(ctx, d.length/3)
			d.n.startTarget(ctx, t.version)
			return
		}
	}},
	{"drain", func(ctx context.Context, _ *world, d draw) {
		for _, t := range d.n.running("") {
			d.n.startTarget(ctx, t.version)
			t.leave(ctx)
			return
		}
	}},
	{"drain", func(ctx context.Context, _ *world, d draw) {
		// The node is stopped or killed while its target leaves.
		for _, t := range d.n.running("") {
			d.n.startTarget(ctx, t.version)
			go t.leave(ctx)
			pause.For(ctx, d.length/10)
			d.n.signalled(map[bool]syscall.Signal{true: syscall.SIGKILL, false: syscall.SIGTERM}[d.odd])
			return
		}
	}},
	{"target-slow", func(ctx context.Context, _ *world, d draw) {
		d.n.eachTarget(func(t *target) { t.slow.Store(6) })
		pause.For(ctx, d.length)
		d.n.eachTarget(func(t *target) { t.slow.Store(1) })
	}},
	{"target-lose", func(ctx context.Context, _ *world, d draw) {
		d.n.eachTarget(func(t *target) { t.lose.Store(d.odd); t.garble.Store(!d.odd) })
		pause.For(ctx, d.length)
		d.n.eachTarget(func(t *target) { t.lose.Store(false); t.garble.Store(false) })
	}},
	{"rollout", func(ctx context.Context, w *world, d draw) { w.rollOut(ctx, d) }},
}

func (n *node) eachTarget(f func(*target)) {
	for _, t := range n.running("") {
		f(t)
	}
}

// signalled sends a signal that ends the process; the supervisor starts the
// next one.
func (n *node) signalled(s syscall.Signal) {
	n.mu.Lock()
	n.ordered = time.Now()
	n.killed = n.killed || s == syscall.SIGKILL
	n.mu.Unlock()
	n.signal(s)
}

// inject starts faults at random times until the duration is over. They come
// in series and overlap.
func (w *world) inject(ctx context.Context, wg *sync.WaitGroup) {
	end := time.Now().Add(w.o.Duration)
	for time.Now().Before(end) && ctx.Err() == nil {
		kind := kinds[w.rng.IntN(len(kinds))]
		d := draw{
			n: w.nodes[w.rng.IntN(len(w.nodes))], other: w.nodes[w.rng.IntN(len(w.nodes))],
			length: time.Duration(300+w.rng.IntN(3000)) * time.Millisecond, odd: w.rng.IntN(2) == 0,
		}
		gap := time.Duration(100+w.rng.IntN(900)) * time.Millisecond
		f := w.journal.begin(kind.name, d.n, d.other)
		wg.Go(func() {
			kind.run(ctx, w, d)
			w.journal.end(f)
		})
		pause.For(ctx, gap)
	}
}

// heal ends every fault that lasts.
func (w *world) heal() {
	w.store.SetFaults(platformtest.Faults{})
	for _, a := range w.nodes {
		a.signal(syscall.SIGCONT)
		a.storeWay.Heal(zone(a.index), storeZone)
		a.eachTarget(func(t *target) { t.slow.Store(1); t.lose.Store(false); t.garble.Store(false) })
		for _, b := range w.nodes {
			w.relay.Delay(zone(a.index), zone(b.index), 0)
			w.relay.Heal(zone(a.index), zone(b.index))
		}
	}
}

// rolloutTime is the time that operators give a rollout.
const rolloutTime = 8 * time.Second

// rollOut starts a new version beside the old one and lets the system move the
// service to it. Each service is moved once in a run.
func (w *world) rollOut(ctx context.Context, d draw) {
	service := d.n.service
	if !w.journal.claimRollout(service) {
		return
	}
	for _, n := range w.nodes {
		if n.service == service {
			n.startTarget(ctx, "v2").bad.Store(d.odd)
		}
	}
	pause.For(ctx, time.Second)
	key, value := platformwire.EncodeOrder(rollout.Order{Service: service, To: "v2", Within: rolloutTime})
	began := time.Now()
	for w.store.Commit(ctx, platform.Txn{Writes: []platform.Write{{Key: key, Value: value}}}) != nil && ctx.Err() == nil {
		pause.For(ctx, 200*time.Millisecond)
	}
	state := rollout.Running
	for time.Since(began) < 2*rolloutTime && !state.IsFinal() && ctx.Err() == nil {
		pause.For(ctx, 50*time.Millisecond)
		if row, err := w.store.Get(ctx, platformwire.StatusKey(service)); err == nil {
			if _, s, ok := platformwire.DecodeStatus(row.Value); ok {
				state = s
			}
		}
	}
	w.journal.rolledOut(service, d.odd, state, began)
	for _, n := range w.nodes {
		if n.service != service {
			continue
		}
		switch state {
		case rollout.Completed:
			for _, t := range n.running("v1") {
				t.crash() // the old targets stop at once
			}
		case rollout.RolledBack:
			for _, t := range n.running("v2") {
				go t.leave(ctx)
			}
		}
	}
}

// configWriter is the operator: it writes configurations in uneven steps.
type configWriter struct {
	w *world

	mu      sync.Mutex
	version uint64               // the newest that was acknowledged
	acked   map[uint64]time.Time // when each was
	written uint64               // the newest that may have taken effect
}

func (c *configWriter) newest() uint64 {
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
			continue // the store is away; the next version comes later
		}
	}
}

// write writes the next version. Its added route is kept for some versions, so
// that calls under way find it.
func (c *configWriter) write(ctx context.Context) error {
	c.mu.Lock()
	c.written += 1 + c.written%3
	version := c.written
	c.mu.Unlock()
	err := c.w.store.Commit(ctx, platform.Txn{Writes: []platform.Write{{
		Key: platformwire.ConfigKey, Value: platformwire.EncodeConfig(configOf(version)),
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

// keptRoutes is how many versions an added route stays.
const keptRoutes = 40

var servedBy = map[string]mesh.ServiceName{"/orders/": services[0], "/lookups/": services[1]}
