// Package control keeps what a node knows of the mesh: the configuration in
// force, the other hosts and their targets, and the rollouts. It follows the
// platform's store where that is this host's duty and gossips with the other
// nodes, so that the mesh goes on when the store is away.
package control

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"nutmeghoist.example/nutmeghoist/internal/view"
	"nutmeghoist.example/nutmeghoist/pkg/distribution"
	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/platform"
	"nutmeghoist.example/nutmeghoist/pkg/rollout"
	"nutmeghoist.example/nutmeghoist/pkg/routing"
	"nutmeghoist.example/nutmeghoist/pkg/source"
	"nutmeghoist.example/nutmeghoist/pkg/traffic"
)

// Store is the platform's store.
type Store interface {
	platform.Table
	platform.Feed
}

// RowCodec translates the operators' rows.
type RowCodec struct {
	Table        string // the operators' table
	ConfigKey    string // row of the configuration
	DecodeConfig func(value []byte) (*traffic.Config, error)
	DecodeOrder  func(key string, value []byte, version uint64) (rollout.Order, bool, error)
	StatusKey    func(mesh.ServiceName) string
	EncodeStatus func(mesh.TargetVersion, rollout.State) []byte
}

// Config holds what a control needs.
type Config struct {
	Self      membership.Host
	Transport distribution.Transport
	Store     Store
	Codec     RowCodec
	// FirstStart means that the whole system starts for the first time, so that no
	// host has a row yet.
	FirstStart bool
	// Load returns the load of a target of this host.
	Load func(mesh.TargetID) (routing.Load, bool)
	// Send passes a note to the node at an address.
	Send    func(ctx context.Context, address string, note []byte) error
	Metrics metrics.Registry
	Log     *log.Logger
}

// Agent is made by New and operated by Run. It is safe for concurrent use.
type Agent struct {
	cfg     Config
	members *membership.Table
	gossip  *distribution.Gossip
	tracker *routing.Tracker
	current atomic.Pointer[view.Snapshot]
	alive   atomic.Int64 // hosts that are alive

	mu      sync.Mutex
	config  *traffic.Config
	matcher *traffic.Matcher
	orders  map[mesh.ServiceName]seenOrder
	vetoes  map[rolloutID]string // the evidence

	watcher     *RolloutMonitor
	coordinator *coordinator
}

// rolloutID names a rollout.
type rolloutID struct {
	service  mesh.ServiceName
	revision uint64
}

// seenOrder is an order with the time when this node first saw it.
type seenOrder struct {
	rollout.Order
	at time.Time
}

// New returns a control that does not run yet.
func New(cfg Config) (*Agent, error) {
	c := &Agent{
		cfg: cfg, tracker: routing.NewTracker(),
		members: membership.NewTable(cfg.Self, membership.Options{}),
		orders:  make(map[mesh.ServiceName]seenOrder), vetoes: make(map[rolloutID]string),
	}
	var err error
	c.gossip, err = distribution.New(distribution.Config{
		Members: c.members, Transport: cfg.Transport, ActiveVersion: c.active, OnHead: c.takeHead, OnVeto: c.takeVeto,
		OnFault: c.gossipFault, Counters: counters{cfg.Metrics}, Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	if err != nil {
		return nil, err
	}
	c.watcher = newWatcher(c)
	c.coordinator = newCoordinator(c)
	return c, nil
}

type counters struct{ registry metrics.Registry }

func (c counters) Count(name string, n int64) { metrics.GetOrRegisterCounter(name, c.registry).Inc(n) }

func (c *Agent) count(name string) { metrics.GetOrRegisterCounter(name, c.cfg.Metrics).Inc(1) }

// Run operates the control until the context ends.
func (c *Agent) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){c.buildLoop, c.followStore, c.watcher.run, c.coordinator.run} {
		wg.Go(func() { loop(ctx) })
	}
	err := c.gossip.Run(ctx)
	wg.Wait()
	return err
}

// Snapshot returns the snapshot in force, or nil before the first configuration.
func (c *Agent) Snapshot() *view.Snapshot { return c.current.Load() }

// Observer returns the one that counts calls for rollouts.
func (c *Agent) Observer() *RolloutMonitor { return c.watcher }

// LiveHosts returns the number of hosts that are alive.
func (c *Agent) LiveHosts() int { return max(1, int(c.alive.Load())) }

// SetTargets tells the mesh the targets of this host.
func (c *Agent) SetTargets(list []membership.Target) {
	c.members.UpdateSelf(func(h *membership.Host) { h.Targets = list })
}

// Leave tells the mesh that this host stops.
func (c *Agent) Leave() {
	c.members.UpdateSelf(func(h *membership.Host) { h.Status = membership.StatusLeaving })
}

// CallAddresses returns the call addresses of all hosts that are not gone.
func (c *Agent) CallAddresses() map[string]bool {
	out := make(map[string]bool)
	for _, h := range c.members.Hosts() {
		if h.Status < membership.StatusFailed {
			out[h.CallAddress] = true
		}
	}
	return out
}

func (c *Agent) active() mesh.ConfigVersion {
	s := c.current.Load()
	if s == nil {
		return mesh.ConfigVersion{}
	}
	return mesh.ConfigVersion{Revision: s.Config.Version}
}

// offerConfig takes the operators' configuration row. It is in force here at
// once and then spread.
func (c *Agent) offerConfig(value []byte) {
	config, ok := c.decode(value)
	if !ok {
		return
	}
	c.enforce(config)
	sum := sha256.Sum256(value)
	head := source.Head{Revision: config.Version, Hash: hex.EncodeToString(sum[:])}
	if err := c.gossip.AnnounceHead(head, value); err != nil {
		c.cfg.Log.Error().Err(err).Uint64("version", config.Version).Msg("configuration not announced")
	}
}

// takeHead takes a configuration that another host has spread.
func (c *Agent) takeHead(head source.Head, text []byte) {
	if head.Revision <= c.active().Revision {
		return
	}
	if config, ok := c.decode(text); ok {
		c.enforce(config)
	}
}

func (c *Agent) decode(value []byte) (*traffic.Config, bool) {
	config, err := c.cfg.Codec.DecodeConfig(value)
	if err != nil {
		c.count("config.rejected")
		c.cfg.Log.Error().Err(err).Msg("configuration rejected; the last good one stays")
	}
	return config, err == nil
}

// enforce puts a configuration in force unless a newer one is.
func (c *Agent) enforce(config *traffic.Config) {
	matcher := traffic.NewMatcher(config)
	c.mu.Lock()
	newer := c.config == nil || config.Version > c.config.Version
	if newer {
		c.config, c.matcher = config, matcher
	}
	c.mu.Unlock()
	if !newer {
		return
	}
	c.build()
	c.count("config.applied")
	c.cfg.Log.Info().Uint64("version", config.Version).Int("routes", len(config.Routes)).Msg("configuration in force")
}

func (c *Agent) takeVeto(v source.Veto) {
	c.mu.Lock()
	c.vetoes[rolloutID{v.Service, uint64(v.Attempt)}] = v.Evidence
	c.mu.Unlock()
	c.cfg.Log.Warn().Str("service", string(v.Service)).Str("version", string(v.Version)).Int("order", v.Attempt).
		Str("evidence", v.Evidence).Str("by", string(v.Host)).Msg("version is bad; it gets no calls")
	c.build()
	wake(c.coordinator.wakeup)
}

func (c *Agent) gossipFault(f distribution.Fault, peer mesh.HostID, err error) {
	c.cfg.Log.Warn().Str("fault", string(f)).Str("peer", string(peer)).Err(err).Msg("link fault")
}

// takeOrder takes a rollout order of the operators.
func (c *Agent) takeOrder(o rollout.Order) {
	c.mu.Lock()
	old, known := c.orders[o.Service]
	newer := !known || o.Revision > old.Revision
	if newer {
		c.orders[o.Service] = seenOrder{o, time.Now()}
	}
	c.mu.Unlock()
	if !newer {
		return
	}
	c.cfg.Log.Info().Str("service", string(o.Service)).Str("to", string(o.To)).Dur("within", o.Within).
		Uint64("order", o.Revision).Msg("rollout ordered")
	c.build()
	wake(c.coordinator.wakeup)
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
