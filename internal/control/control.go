// Package control maintains a node's state of the mesh: the configuration in
// force, the other hosts and their targets, and the rollouts. Two hosts of each
// data centre follow the platform's store. The nodes gossip with each other, so
// that the mesh keeps working while the store is unavailable.
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

	"nutmeghoist.example/nutmeghoist/internal/departures"
	"nutmeghoist.example/nutmeghoist/internal/guard"
	"nutmeghoist.example/nutmeghoist/internal/suspectstore"
	"nutmeghoist.example/nutmeghoist/internal/view"
	"nutmeghoist.example/nutmeghoist/pkg/distribution"
	"nutmeghoist.example/nutmeghoist/pkg/evacuation"
	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/platform"
	"nutmeghoist.example/nutmeghoist/pkg/rollout"
	"nutmeghoist.example/nutmeghoist/pkg/routing"
	"nutmeghoist.example/nutmeghoist/pkg/source"
	"nutmeghoist.example/nutmeghoist/pkg/suspect"
	"nutmeghoist.example/nutmeghoist/pkg/traffic"
)

// Store is the platform's store.
type Store interface {
	platform.Table
	platform.Feed
}

// RowCodec defines where the operators' rows are stored, and decodes and encodes
// them.
type RowCodec struct {
	Table        string // the operators' table
	ConfigKey    string // key of the configuration row
	DecodeConfig func(value []byte) (*traffic.Config, error)
	DecodeOrder  func(key string, value []byte, version uint64) (rollout.Order, bool, error)
	// DecodeEvacuation returns the data centre that a row of the operators' table
	// evacuates, or false for other rows. Without it, no row does.
	DecodeEvacuation func(key string) (mesh.DataCentre, bool)
	StatusKey        func(mesh.ServiceName) string
	EncodeStatus     func(mesh.TargetVersion, rollout.State) []byte
}

// Config holds the settings and dependencies of an Agent.
type Config struct {
	Self      membership.Host
	Transport distribution.Transport
	Store     Store
	Codec     RowCodec
	// FirstStart means that the whole system starts for the first time, and no
	// host has a row yet.
	FirstStart bool
	// Load returns the load of a target of this host.
	Load func(mesh.TargetID) (routing.Load, bool)
	// OnFormer is called with the newest record that an earlier process of this host
	// has made, when other hosts send it.
	OnFormer func(membership.Host)
	// OnDepartures is called with the departures of targets of this host, by their starts,
	// that earlier processes of it have written to the store. complete means that they are
	// all that were acknowledged.
	OnDepartures func(departed map[mesh.TargetID]int64, complete bool)
	// Suspects are the requests under which targets have ended, which hosts tell each
	// other.
	Suspects *suspect.Table
	// Evacuations are the evacuated data centres, which hosts tell each other.
	// OnEvacuation is called when an evacuation has started or ended.
	Evacuations  *evacuation.Table
	OnEvacuation func()
	// FollowAlone reports whether a host that has no link to another one follows the
	// store, since evacuations reach it in no other way. Without it, it does not.
	FollowAlone func() bool
	// Send sends a one-way message to the node at a call address.
	Send    func(ctx context.Context, address string, message []byte) error
	Guard   *guard.Guard
	Metrics metrics.Registry
	Log     *log.Logger
}

// Agent is the control plane of one node. It is created by New and operated by
// Run. It is safe for concurrent use.
type Agent struct {
	cfg       Config
	members   *membership.Table
	gossip    *distribution.Gossip
	tracker   *routing.Tracker
	current   atomic.Pointer[view.Snapshot]
	liveHosts atomic.Int64
	// sharingHosts is the number of hosts that share what is allowed to all of them
	// together; see SharingHosts.
	sharingHosts atomic.Int64
	hostsLearned atomic.Bool // from the store or from another host
	storeDoubted atomic.Bool // see doubtStore
	// decisionsRead means that the rows of decisions have been read, and ordersDoubted that
	// the orders that this host knows are out of date.
	decisionsRead, ordersDoubted atomic.Bool

	mu      sync.Mutex
	config  *traffic.Config
	matcher *traffic.Matcher
	orders  map[mesh.ServiceName]*rollout.OrderLog
	vetoes  map[rolloutID]veto
	decided decisions

	evacuationRows evacuationRows

	history     *storeHistory
	monitor     *RolloutMonitor
	coordinator *coordinator
	stall       stallGuard
	guilty      *suspectstore.Keeper
	departures  *departures.Keeper
	teamLimits  *TeamLimits
}

// rolloutID identifies a rollout.
type rolloutID struct {
	service  mesh.ServiceName
	revision uint64
}

// veto is why a version gets no more calls.
type veto struct {
	version  mesh.TargetVersion
	evidence string
}

// New returns an agent that does not run yet.
func New(cfg Config) (*Agent, error) {
	if cfg.Suspects == nil {
		cfg.Suspects = suspect.NewTable()
	}
	if cfg.Evacuations == nil {
		cfg.Evacuations = evacuation.NewTable()
	}
	a := &Agent{
		cfg: cfg, tracker: routing.NewTracker(),
		members: membership.NewTable(cfg.Self, membership.Options{}),
		orders:  make(map[mesh.ServiceName]*rollout.OrderLog), vetoes: make(map[rolloutID]veto), decided: make(decisions),
	}
	a.history = newStoreHistory(a)
	a.guilty = suspectstore.New(cfg.Store, guiltyPrefix, cfg.Suspects, cfg.Log)
	a.departures = departures.New(cfg.Store, departurePrefix, cfg.Self.ID, cfg.Metrics, cfg.Log)
	var err error
	a.gossip, err = distribution.New(distribution.Config{
		Members: a.members, Transport: cfg.Transport, ActiveVersion: a.activeVersion, OnHead: a.handleHead, OnVeto: a.handleVeto,
		Suspects: cfg.Suspects, Evacuations: cfg.Evacuations,
		OnFault: a.logLinkFault, Guard: a.cfg.Guard.Run, Counters: counters{cfg.Metrics}, Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	if err != nil {
		return nil, err
	}
	a.monitor = newRolloutMonitor(a)
	a.coordinator = newCoordinator(a)
	a.teamLimits = newTeamLimits(a)
	cfg.Evacuations.OnChange(a.handleEvacuations)
	return a, nil
}

type counters struct{ registry metrics.Registry }

func (c counters) Count(name string, n int64) { metrics.GetOrRegisterCounter(name, c.registry).Inc(n) }

func (a *Agent) count(name string) { metrics.GetOrRegisterCounter(name, a.cfg.Metrics).Inc(1) }

// Run operates the agent until the context ends.
func (a *Agent) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	for name, loop := range map[string]func(context.Context){
		"build_loop": a.buildLoop, "store_loop": a.storeLoop, "monitor_loop": a.monitor.run, "coordinator_loop": a.coordinator.run,
		"guilty_requests_loop": a.guilty.Run, "departures_loop": a.departures.Run, "team_limits_loop": a.teamLimits.run,
	} {
		wg.Go(func() { a.cfg.Guard.Loop(ctx, name, loop) })
	}
	err := a.gossip.Run(ctx)
	wg.Wait()
	return err
}

// Snapshot returns the snapshot in force, or nil before the first configuration.
func (a *Agent) Snapshot() *view.Snapshot { return a.current.Load() }

// Observer returns the monitor that counts calls for rollouts.
func (a *Agent) Observer() *RolloutMonitor { return a.monitor }

// TeamLimits returns the limits of teams.
func (a *Agent) TeamLimits() *TeamLimits { return a.teamLimits }

// MayExpose reports whether calls may be sent to versions that are being rolled out,
// as the snapshot in force says.
func (a *Agent) MayExpose() bool { return a.stall.mayExpose(time.Now(), a.gossip.LastReceived()) }

// LastHeard returns when this host last received something from a neighbour, or zero
// without a link.
func (a *Agent) LastHeard() time.Time { return a.gossip.LastReceived() }

// LiveHosts returns the number of hosts that are alive, at least 1.
func (a *Agent) LiveHosts() int { return max(1, int(a.liveHosts.Load())) }

// SharingHosts returns the number of hosts among which an allowance for all of them is
// divided, and false while this host has not learned it. Hosts that have failed count:
// seen from the other side of a cut, this one has. So do those that this host knows by
// their rows alone, while they may be alive. Hosts that have stopped do not.
func (a *Agent) SharingHosts() (int, bool) {
	return max(1, int(a.sharingHosts.Load())+a.UnconfirmedHosts()), a.hostsLearned.Load() || a.gossip.LinkCount() > 0
}

// UnconfirmedHosts returns the number of hosts that this one knows by their rows alone and
// that may be alive.
func (a *Agent) UnconfirmedHosts() int { return a.gossip.UnconfirmedHosts() }

// SetTargets publishes the targets of this host to the mesh.
func (a *Agent) SetTargets(list []membership.Target) {
	a.members.UpdateSelf(func(h *membership.Host) { h.Targets = list })
}

// StoreDeparture writes to the store that a target of this host has left, and waits for
// the answer until the context ends. The row is written later then.
func (a *Agent) StoreDeparture(ctx context.Context, id mesh.TargetID, started int64) error {
	return a.departures.Store(ctx, id, started)
}

// Leave announces to the mesh that this host stops.
func (a *Agent) Leave() {
	a.members.UpdateSelf(func(h *membership.Host) { h.Status = membership.StatusLeaving })
}

// CallAddresses returns the call addresses of all hosts that have neither failed
// nor left.
func (a *Agent) CallAddresses() map[string]bool {
	out := make(map[string]bool)
	for _, h := range a.members.Hosts() {
		if h.Status < membership.StatusFailed {
			out[h.CallAddress] = true
		}
	}
	return out
}

func (a *Agent) activeVersion() mesh.ConfigVersion {
	s := a.current.Load()
	if s == nil {
		return mesh.ConfigVersion{}
	}
	return mesh.ConfigVersion{Revision: s.Config.Version}
}

// handleConfigRow applies the operators' configuration row on this host and then
// announces it to the other hosts.
func (a *Agent) handleConfigRow(value []byte) {
	config, ok := a.decodeConfig(value)
	if !ok {
		return
	}
	a.applyConfig(config)
	sum := sha256.Sum256(value)
	head := source.Head{Revision: config.Version, Hash: hex.EncodeToString(sum[:])}
	if err := a.gossip.AnnounceHead(head, value); err != nil {
		a.cfg.Log.Error().Err(err).Uint64("version", config.Version).Msg("configuration not announced")
	}
}

// handleHead applies a configuration received by gossip.
func (a *Agent) handleHead(head source.Head, text []byte) {
	if head.Revision <= a.activeVersion().Revision {
		return
	}
	if config, ok := a.decodeConfig(text); ok {
		a.applyConfig(config)
	}
}

func (a *Agent) decodeConfig(value []byte) (*traffic.Config, bool) {
	config, err := a.cfg.Codec.DecodeConfig(value)
	if err != nil {
		a.count("config.rejected")
		a.cfg.Log.Error().Err(err).Msg("configuration rejected; the last good one stays")
	}
	return config, err == nil
}

// applyConfig puts a configuration in force, unless this version or a newer one
// already is.
func (a *Agent) applyConfig(config *traffic.Config) {
	matcher := traffic.NewMatcher(config)
	a.mu.Lock()
	newer := a.config == nil || config.Version > a.config.Version
	if newer {
		a.config, a.matcher = config, matcher
	}
	a.mu.Unlock()
	if !newer {
		return
	}
	a.buildSnapshot()
	a.count("config.applied")
	a.cfg.Log.Info().Uint64("version", config.Version).Int("routes", len(config.Routes)).Msg("configuration in force")
}

func (a *Agent) handleVeto(v source.Veto) {
	a.mu.Lock()
	a.vetoes[rolloutID{v.Service, uint64(v.Attempt)}] = veto{v.Version, v.Evidence}
	a.mu.Unlock()
	a.cfg.Log.Warn().Str("service", string(v.Service)).Str("version", string(v.Version)).
		Uint64("era", platform.EraOf(uint64(v.Attempt))).Uint64("order", platform.CounterOf(uint64(v.Attempt))).
		Str("evidence", v.Evidence).Str("by", string(v.Host)).Msg("version is bad; it gets no calls")
	a.buildSnapshot()
	wake(a.coordinator.wakeup)
}

func (a *Agent) logLinkFault(f distribution.Fault, peer mesh.HostID, err error) {
	a.cfg.Log.Warn().Str("fault", string(f)).Str("peer", string(peer)).Err(err).Msg("link fault")
}

// handleOrder applies an operators' rollout order that was read from the store.
func (a *Agent) handleOrder(o rollout.Order) {
	settled := a.history.settled()
	a.mu.Lock()
	l := a.orders[o.Service]
	if l == nil {
		l = &rollout.OrderLog{}
		a.orders[o.Service] = l
	}
	verdict := l.Observe(o, settled, time.Now())
	a.mu.Unlock()
	switch verdict {
	case rollout.OrderUnclear:
		if !a.history.hold(o) {
			a.handleOrder(o) // the store has settled meanwhile
		}
	case rollout.OrderNew:
		a.cfg.Log.Info().Str("service", string(o.Service)).Str("to", string(o.To)).Dur("within", o.Within).
			Uint64("era", platform.EraOf(o.Revision)).Uint64("order", platform.CounterOf(o.Revision)).Msg("rollout ordered")
		a.buildSnapshot()
		wake(a.coordinator.wakeup)
	}
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
