// Package soak runs nodes as separate processes on loopback addresses, injects
// faults from outside them in an order that a seed decides, and checks the
// promises of the system by what callers and targets see.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"

	"nutmeghoist.example/nutmeghoist/internal/bench/relay"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/pause"
	"nutmeghoist.example/nutmeghoist/pkg/platform/platformtest"
	"nutmeghoist.example/nutmeghoist/platform"
)

// Options say what a run does.
type Options struct {
	Seed     uint64
	Nodes    int           // processes
	Duration time.Duration // of the faults; a calm start and end are added
	Program  string        // path of nutmeghoist-sidecar
	Dir      string        // for settings and logs; kept after a failure
	Slot     int           // runs at the same time need different ones, from 0
}

const (
	// startTime lets the nodes find each other before callers begin.
	startTime = 3 * time.Second
	// endTime is the calm end, in which the mesh must recover.
	endTime = 8 * time.Second
	// recoverTime is the part of endTime that is left for the recovery.
	recoverTime  = 5 * time.Second
	callsPerNode = 20 // a second
	deadline     = 1500 * time.Millisecond
	storeZone    = relay.Zone("store")
	mostNodes    = 250
)

// bounds are those that the nodes are given and judged by.
var bounds = platform.Bounds{Drain: 2 * time.Second, Grace: 6 * time.Second, HeartbeatInterval: 500 * time.Millisecond, RetrySlack: 60}

// The bounds of configurations and of bad versions.
const (
	configApply = 2 * time.Second
	exposeShare = 0.1
	exposeSlack = 50
)

// services and the versions that their targets start with.
var services = []mesh.ServiceName{"orderdesk", "galley"}

// world is one run.
type world struct {
	o       Options
	rng     *rand.Rand // of the schedule alone, so that a seed decides it
	store   *platformtest.Store
	relay   *relay.Relay
	nodes   []*node
	journal *journal
	config  configWriter
	started time.Time
}

// Run plays one seed and returns the broken promises.
func Run(ctx context.Context, o Options, out io.Writer) ([]string, error) {
	if o.Slot < 0 || o.Slot > 255 {
		return nil, fmt.Errorf("soak: slot %d is not in 0 to 255", o.Slot)
	}
	if o.Nodes < 2 || o.Nodes > mostNodes {
		return nil, fmt.Errorf("soak: %d nodes are not in 2 to %d", o.Nodes, mostNodes)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := &world{
		o: o, rng: rand.New(rand.NewPCG(o.Seed, 0)), store: platformtest.NewWithRates(-1, -1),
		journal: newJournal(), started: time.Now(),
	}
	w.relay = relay.New(w.zoneOf)
	defer w.relay.Close()
	if err := w.open(ctx); err != nil {
		return nil, err
	}
	defer w.stop()
	var wg sync.WaitGroup
	pause.For(ctx, startTime)
	callers, endCallers := context.WithCancel(ctx)
	for _, n := range w.nodes {
		wg.Go(func() { n.call(callers) })
	}
	wg.Go(func() { w.config.run(callers) })
	w.inject(ctx, &wg)
	w.heal()
	calm := time.Now()
	pause.For(ctx, endTime)
	endCallers()
	wg.Wait()
	faults := w.journal.check(calm.Add(recoverTime), time.Now())
	c := w.journal.counts()
	fmt.Fprintf(out, "seed=%d nodes=%d calls=%d answered=%d refused=%d unknown=%d runs=%d faults=%d broken=%d\n",
		o.Seed, o.Nodes, c.calls, c.answered, c.refused, c.unknown, c.runs, c.faults, len(faults))
	return faults, ctx.Err()
}

// address returns the loopback address of a node; other nodes reach it through
// the relay at the shadow address.
func (w *world) address(i int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 30, byte(w.o.Slot), byte(i + 1)}), port)
}

func (w *world) shadow(i int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 31, byte(w.o.Slot), byte(i + 1)}), port)
}

// Ports of a node.
const (
	portReady = 18140 + iota
	portAnnounce
	portCall
	portCaller
	portMetrics
	portStore // of the relay to the store, at the shadow address
)

func zone(i int) relay.Zone { return relay.Zone(fmt.Sprint("node", i)) }

func (w *world) zoneOf(ip netip.Addr) relay.Zone {
	b := ip.As4()
	return zone(int(b[3]) - 1)
}

// open starts the store, the relays and the nodes.
func (w *world) open(ctx context.Context) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	server := &http.Server{Handler: platform.StoreHandler(w.store), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(l) }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	w.config = configWriter{w: w}
	if err := w.config.write(ctx); err != nil {
		return err
	}
	for i := range w.o.Nodes {
		n := &node{w: w, index: i, service: services[i%len(services)], dc: mesh.DataCentre([]string{"north", "south", "west"}[i/2%3])}
		n.host = mesh.HostID(fmt.Sprint("node-", i))
		w.nodes = append(w.nodes, n)
		if err := w.relay.ForwardTCP(ctx, w.shadow(i, portCall).String(), w.address(i, portCall).String(), zone(i)); err != nil {
			return err
		}
		// The source address of the store's calls is not the node's own, so each
		// node has a relay of its own.
		if err := w.forwardStore(ctx, i, l.Addr().String()); err != nil {
			return err
		}
		if err := n.writeSettings(bounds); err != nil {
			return err
		}
		if err := n.start(); err != nil {
			return err
		}
		n.startTarget(ctx, "v1")
	}
	return nil
}

// forwardStore opens a node's way to the store, which can be cut on its own.
func (w *world) forwardStore(ctx context.Context, i int, store string) error {
	r := relay.New(func(netip.Addr) relay.Zone { return zone(i) })
	w.nodes[i].storeWay = r
	return r.ForwardTCP(ctx, w.shadow(i, portStore).String(), store, storeZone)
}

// stop ends what the run has started.
func (w *world) stop() {
	for _, n := range w.nodes {
		n.kill()
		n.storeWay.Close()
		n.endTargets()
	}
}

// path returns a file of the run.
func (w *world) path(name string) string { return filepath.Join(w.o.Dir, name) }

func (w *world) openLog(name string) (*os.File, error) {
	return os.OpenFile(w.path(name), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
}
