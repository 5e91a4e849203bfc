// Package proxy is the call path of a node: it takes calls from callers and
// from other nodes, admits them, forwards them to targets and passes the
// answers back. It says that a call was not run only when that is certain.
package proxy

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
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
)

// Targets finds the targets of this host. Implementations are safe for
// concurrent use and fast: every call asks them.
type Targets interface {
	// Lookup returns a target that runs calls, also while it drains, and its
	// limiter.
	Lookup(id mesh.TargetID) (membership.Target, *admission.Limiter, bool)
}

// Config holds what a proxy needs.
type Config struct {
	Self       mesh.HostID
	DataCentre mesh.DataCentre
	// Snapshot returns the snapshot in force; nil means that the node is not
	// ready and refuses calls.
	Snapshot func() *snapshot.Snapshot
	Chooser  move.Chooser  // nil gives every call to the rule's version
	Observer move.Observer // may be nil
	Targets  Targets
	PeerTLS  *tls.Config // client side of node-to-node calls; nil means plain connections
	// PeerSource is the IP that calls to other nodes come from; the zero value
	// leaves the choice to the system.
	PeerSource netip.Addr
	Metrics    metrics.Registry // nil means a registry of its own
	Log        *log.Logger      // nil discards
}

// Proxy is the call path of one node.
type Proxy struct {
	cfg      Config
	tracker  *routing.Tracker
	routes   atomic.Pointer[routeTable]
	routesMu sync.Mutex
	peers    sync.Map // call address to *http.Transport
	local    sync.Map // mesh.TargetID to *upstream
	counters counters
	rng      *rand.Rand
	retries  *retry.Budget
	flight   flight
}

// globalSource draws from the process-wide generator, which is safe for
// concurrent use.
type globalSource struct{}

func (globalSource) Uint64() uint64 { return rand.Uint64() }

// New returns a proxy.
func New(cfg Config) *Proxy {
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	if cfg.Log == nil {
		cfg.Log = &log.Logger{Level: log.PanicLevel + 1}
	}
	return &Proxy{
		cfg:      cfg,
		tracker:  routing.NewTracker(),
		counters: newCounters(cfg.Metrics),
		rng:      rand.New(globalSource{}),
		retries:  retry.NewBudget(),
		flight:   flight{idle: make(chan struct{}, 1)},
	}
}

// ReportHealth takes what a target of this host says about its own health.
func (p *Proxy) ReportHealth(id mesh.TargetID, healthy bool) {
	p.tracker.Stat(routing.Key{Host: p.cfg.Self, ID: id}).ReportHealth(healthy, time.Now())
}

// Drain refuses new calls as not run and returns when no call is in flight, or
// with the context's error.
func (p *Proxy) Drain(ctx context.Context) error { return p.flight.drain(ctx) }

// InFlight returns the number of calls on this node.
func (p *Proxy) InFlight() int { return int(p.flight.count.Load()) }

// flight counts the calls in flight for the graceful shutdown.
type flight struct {
	count    atomic.Int64
	draining atomic.Bool
	idle     chan struct{}
}

// enter counts a call; it reports false when the node drains. leave must be
// called in both cases.
func (f *flight) enter() bool {
	f.count.Add(1)
	return !f.draining.Load()
}

func (f *flight) leave() {
	if f.count.Add(-1) == 0 && f.draining.Load() {
		select {
		case f.idle <- struct{}{}:
		default:
		}
	}
}

func (f *flight) drain(ctx context.Context) error {
	f.draining.Store(true)
	for f.count.Load() != 0 {
		select {
		case <-f.idle:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
