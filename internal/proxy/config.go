// Package proxy implements the call path of a node: it receives calls from
// callers and from other nodes, admits them, forwards them to targets and
// returns the answers. It reports a call as not run only when that is certain.
package proxy

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"nutmeghoist.example/nutmeghoist/pkg/admission"
	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/move"
	"nutmeghoist.example/nutmeghoist/pkg/retry"
	"nutmeghoist.example/nutmeghoist/pkg/routing"
	"nutmeghoist.example/nutmeghoist/pkg/snapshot"
	"nutmeghoist.example/nutmeghoist/pkg/suspect"
)

// Targets looks up the targets of this host. Implementations must be safe for
// concurrent use and fast, as every call uses them.
type Targets interface {
	// Lookup returns a target, which may be draining, and its limiter.
	Lookup(id mesh.TargetID) (membership.Target, *admission.Limiter, bool)
}

// Config configures a Proxy.
type Config struct {
	Self       mesh.HostID
	DataCentre mesh.DataCentre
	// Snapshot returns the snapshot in force; nil means that the node is not
	// ready and refuses calls.
	Snapshot func() *snapshot.Snapshot
	Chooser  move.Chooser  // nil routes every call to the rule's version
	Observer move.Observer // may be nil
	Targets  Targets
	// Suspects are the requests under which targets have ended; nil means that the proxy
	// keeps its own.
	Suspects *suspect.Table
	PeerTLS  *tls.Config // client side of node-to-node calls; nil means plain connections
	// TrackPeer, if set, returns a connection to another node that is closed when the
	// certificate of that node is revoked.
	TrackPeer func(*tls.Conn) net.Conn
	// PeerSource is the local IP address of connections to other nodes; the zero
	// value leaves the choice to the operating system.
	PeerSource netip.Addr
	Metrics    metrics.Registry // nil means a new registry
	Log        *log.Logger      // nil discards all messages
}

// Proxy is the call path of one node.
type Proxy struct {
	cfg            Config
	tracker        *routing.Tracker
	routes         atomic.Pointer[routeTable]
	routesMu       sync.Mutex
	peerTransports sync.Map // call address to *http.Transport
	upstreams      sync.Map // mesh.TargetID to *upstream
	runs           sync.Map // mesh.TargetID to *targetRuns
	counters       counters
	rng            *rand.Rand
	retries        *retry.Budget
	inFlight       callGauge
}

// globalSource draws from the process-wide generator, which is safe for
// concurrent use.
type globalSource struct{}

func (globalSource) Uint64() uint64 { return rand.Uint64() }

// New returns a Proxy.
func New(cfg Config) *Proxy {
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	if cfg.Log == nil {
		cfg.Log = &log.Logger{Level: log.PanicLevel + 1}
	}
	if cfg.Suspects == nil {
		cfg.Suspects = suspect.NewTable()
	}
	return &Proxy{
		cfg:      cfg,
		tracker:  routing.NewTracker(),
		counters: newCounters(cfg.Metrics),
		rng:      rand.New(globalSource{}),
		retries:  retry.NewBudget(),
		inFlight: callGauge{idle: make(chan struct{}, 1)},
	}
}

// ReportHealth records the health that a target of this host reports.
func (p *Proxy) ReportHealth(id mesh.TargetID, healthy bool) {
	p.tracker.Stat(routing.Key{Host: p.cfg.Self, ID: id}).ReportHealth(healthy, time.Now())
}

// Drain refuses new calls as not run and waits until no call is in flight. It
// returns the context's error when the context is done first.
func (p *Proxy) Drain(ctx context.Context) error { return p.inFlight.drain(ctx) }

// InFlight returns the number of calls in flight on this node.
func (p *Proxy) InFlight() int { return int(p.inFlight.count.Load()) }

// callGauge counts the calls in flight, for the graceful shutdown.
type callGauge struct {
	count    atomic.Int64
	draining atomic.Bool
	idle     chan struct{}
}

// begin counts a call. It reports false when the node is draining; end must be
// called in that case too.
func (g *callGauge) begin() bool {
	g.count.Add(1)
	return !g.draining.Load()
}

func (g *callGauge) end() {
	if g.count.Add(-1) == 0 && g.draining.Load() {
		select {
		case g.idle <- struct{}{}:
		default:
		}
	}
}

func (g *callGauge) drain(ctx context.Context) error {
	g.draining.Store(true)
	for g.count.Load() != 0 {
		select {
		case <-g.idle:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
