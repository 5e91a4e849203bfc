// Package soak runs nodes as separate processes on loopback addresses, injects
// external faults on a schedule derived from a seed, and checks the guarantees
// of the system from the observations of callers and targets.
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

// Options are the settings of a run.
type Options struct {
	Seed     uint64
	Nodes    int           // number of node processes
	Duration time.Duration // of the fault injection, without the startup and cooldown times
	Program  string        // path of nutmeghoist-sidecar
	Dir      string        // for settings and logs; kept after a failure
	Slot     int           // 0 to 255; concurrent runs need different slots
	// AnswerFaults adds targets that send bytes without end, or an answer twice.
	AnswerFaults bool
	// BrokenAnswers adds targets that send bytes that are no answer, or a part of one, and
	// larger uploads.
	BrokenAnswers bool
	// StoreRestores adds a store that comes back from older copies.
	StoreRestores bool
	// RateLimits adds targets that name a rate limit for some time.
	RateLimits bool
	// ColdTargets adds targets that crash when they get many calls while they are cold.
	ColdTargets bool
	// CrashingRequests adds requests that end each target that runs them.
	CrashingRequests bool
	// Evacuations adds data centres that operators evacuate and take back.
	Evacuations bool
	// Departures adds targets that leave before all processes end at once.
	Departures bool
	// Uploads adds teams, callers that send large bodies, and many planned stops, in place
	// of most other faults.
	Uploads bool
}

const (
	// startupTime lets the nodes discover each other before callers start.
	startupTime = 3 * time.Second
	// cooldownTime is the fault-free end of a run, in which the mesh must recover.
	cooldownTime = 8 * time.Second
	// recoveryTime is the part of cooldownTime that the mesh may take to recover.
	recoveryTime = 5 * time.Second
	callsPerNode = 20 // per second
	callTimeout  = 1500 * time.Millisecond
	storeZone    = relay.Zone("store")
	maxNodes     = 250
)

// bounds are configured on all nodes, and the run is checked against them.
var bounds = platform.Bounds{Drain: 2 * time.Second, Grace: 6 * time.Second, HeartbeatInterval: 500 * time.Millisecond, RetrySlack: 60}

// Limits for applying configurations and for calls to bad versions.
const (
	configApplyTime = 2 * time.Second
	exposureShare   = 0.1 // of the calls to the service
	exposureSlack   = 50  // calls in addition to exposureShare
)

// services are the services of the mesh. Their targets start with version v1.
var services = []mesh.ServiceName{"orderdesk", "galley"}

// cluster is the mesh of one run with its callers, targets and relays.
type cluster struct {
	options Options
	ctx     context.Context // of the run
	rng     *rand.Rand      // used only for the fault schedule, so that the seed determines it
	store   *platformtest.Store
	relay   *relay.Relay
	nodes   []*node
	journal *journal
	config  configWriter
	started time.Time
}

// Run runs one seed and returns the violated guarantees.
func Run(ctx context.Context, o Options, out io.Writer) ([]string, error) {
	if o.Slot < 0 || o.Slot > 255 {
		return nil, fmt.Errorf("soak: slot %d is outside 0 to 255", o.Slot)
	}
	if o.Nodes < 2 || o.Nodes > maxNodes {
		return nil, fmt.Errorf("soak: number of nodes %d is outside 2 to %d", o.Nodes, maxNodes)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := &cluster{
		options: o, ctx: ctx, rng: rand.New(rand.NewPCG(o.Seed, 0)), store: platformtest.NewWithRates(-1, -1),
		journal: newJournal(), started: time.Now(),
	}
	c.relay = relay.New(c.zoneOf)
	defer c.relay.Close()
	if err := c.open(ctx); err != nil {
		return nil, err
	}
	defer c.stop()
	var wg, evacuations sync.WaitGroup
	pause.For(ctx, startupTime)
	callerCtx, stopCallers := context.WithCancel(ctx)
	for _, n := range c.nodes {
		wg.Go(func() { n.sendCalls(callerCtx) })
		if o.Uploads {
			wg.Go(func() { n.sendUploads(callerCtx) })
		}
	}
	wg.Go(func() { c.config.run(callerCtx) })
	if o.AnswerFaults {
		wg.Go(func() {
			c.injectAnswerFaults(ctx, 1, answerFaultNames, func(t *target, fault int32) { t.answers.Store(fault) })
		})
	}
	if o.BrokenAnswers {
		wg.Go(func() {
			c.injectAnswerFaults(ctx, 7, brokenAnswerNames, func(t *target, fault int32) { t.broken.Store(fault) })
		})
	}
	if o.StoreRestores {
		wg.Go(func() { c.injectRestores(ctx) })
	}
	if o.RateLimits {
		wg.Go(func() { c.injectRateLimits(ctx) })
	}
	if o.ColdTargets {
		wg.Go(func() { c.injectCold(ctx) })
	}
	if o.Departures {
		wg.Go(func() { c.injectDepartures(ctx) })
	}
	if o.Evacuations {
		evacuations.Go(func() { c.injectEvacuations(ctx) })
	}
	if o.CrashingRequests {
		wg.Go(func() { c.sendCrashing(callerCtx) })
	}
	c.inject(ctx, &wg)
	c.heal()
	evacuations.Wait() // the return of the last data centre is a disturbance too
	healedAt := time.Now()
	pause.For(ctx, cooldownTime)
	stopCallers()
	wg.Wait()
	for _, n := range c.nodes {
		n.checkMemory()
	}
	c.checkStatusRows(ctx)
	c.journal.explain = c.explain
	violations := c.journal.check(healedAt.Add(recoveryTime), time.Now())
	totals := c.journal.counts()
	fmt.Fprintf(out, "seed=%d nodes=%d calls=%d answered=%d refused=%d unknown=%d runs=%d faults=%d broken=%d\n",
		o.Seed, o.Nodes, totals.calls, totals.answered, totals.refused, totals.unknown, totals.runs, totals.faults, len(violations))
	if o.Uploads {
		c.journal.reportUploads(out, o.Seed)
	}
	return violations, ctx.Err()
}

// address returns the loopback address of a node. Other nodes connect to it
// through the relay at relayAddress.
func (c *cluster) address(i int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 30, byte(c.options.Slot), byte(i + 1)}), port)
}

func (c *cluster) relayAddress(i int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 31, byte(c.options.Slot), byte(i + 1)}), port)
}

// Ports of a node.
const (
	portReady = 18140 + iota
	portAnnounce
	portCall
	portCaller
	portMetrics
	portStore // of the relay to the store, at relayAddress
)

func zone(i int) relay.Zone { return relay.Zone(fmt.Sprint("node", i)) }

func (c *cluster) zoneOf(ip netip.Addr) relay.Zone {
	b := ip.As4()
	return zone(int(b[3]) - 1)
}

// open starts the store, the relays and the nodes.
func (c *cluster) open(ctx context.Context) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	server := &http.Server{Handler: platform.StoreHandler(c.store), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(l) }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	c.config = configWriter{cluster: c}
	if err := c.config.write(ctx); err != nil {
		return err
	}
	for i := range c.options.Nodes {
		n := &node{cluster: c, index: i, service: services[i%len(services)], dataCentre: mesh.DataCentre([]string{"north", "south", "west"}[i/2%3])}
		n.host = mesh.HostID(fmt.Sprint("node-", i))
		c.nodes = append(c.nodes, n)
		if err := c.relay.ForwardTCP(ctx, c.relayAddress(i, portCall).String(), c.address(i, portCall).String(), zone(i)); err != nil {
			return err
		}
		// Requests to the store do not come from the node's own address, so a
		// shared relay could not identify their zones. Each node has a store relay.
		if err := c.forwardStore(ctx, i, l.Addr().String()); err != nil {
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

// forwardStore opens a node's relay to the store, which can be cut separately.
func (c *cluster) forwardStore(ctx context.Context, i int, store string) error {
	r := relay.New(func(netip.Addr) relay.Zone { return zone(i) })
	c.nodes[i].storeRelay = r
	return r.ForwardTCP(ctx, c.relayAddress(i, portStore).String(), store, storeZone)
}

// stop ends the processes, relays and targets of the run.
func (c *cluster) stop() {
	for _, n := range c.nodes {
		n.kill()
		n.storeRelay.Close()
		n.stopTargets()
	}
}

// path returns the path of a file in the run's folder.
func (c *cluster) path(name string) string { return filepath.Join(c.options.Dir, name) }

func (c *cluster) openLog(name string) (*os.File, error) {
	return os.OpenFile(c.path(name), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
}
