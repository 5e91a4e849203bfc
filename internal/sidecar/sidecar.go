// Package sidecar assembles the node that runs beside a target on the users'
// platform.
package sidecar

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"nutmeghoist.example/nutmeghoist/internal/bounded"
	"nutmeghoist.example/nutmeghoist/internal/control"
	"nutmeghoist.example/nutmeghoist/internal/entry"
	"nutmeghoist.example/nutmeghoist/internal/guard"
	"nutmeghoist.example/nutmeghoist/internal/hop"
	"nutmeghoist.example/nutmeghoist/internal/linger"
	"nutmeghoist.example/nutmeghoist/internal/owner"
	"nutmeghoist.example/nutmeghoist/internal/telemetry"
	"nutmeghoist.example/nutmeghoist/pkg/admission"
	"nutmeghoist.example/nutmeghoist/pkg/evacuation"
	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/retry"
	"nutmeghoist.example/nutmeghoist/pkg/routing"
	"nutmeghoist.example/nutmeghoist/pkg/suspect"
	"nutmeghoist.example/nutmeghoist/pkg/traffic"
)

// Config holds the settings and dependencies of a Sidecar.
type Config struct {
	Host       mesh.HostID
	DataCentre mesh.DataCentre
	IP         netip.Addr
	Service    mesh.ServiceName

	CallerAddress   netip.AddrPort
	CallAddress     netip.AddrPort
	ReadyAddress    netip.AddrPort
	AnnounceAddress netip.AddrPort
	MetricsAddress  netip.AddrPort
	// AdvertiseAddress is the address at which other nodes reach this one. It is
	// CallAddress when not set.
	AdvertiseAddress netip.AddrPort

	HeaderNames traffic.Headers
	ParentID    func(requestID string) string // see entry.Config
	Bounds      Bounds                        // in force until SetBounds

	// FirstStart means that the whole system starts for the first time.
	FirstStart bool
	Store      control.Store
	Codec      control.RowCodec
	// AnnounceHandler serves the targets' heartbeats, ReadyHandler the platform's
	// readiness checks.
	AnnounceHandler func(Announcements) http.Handler
	ReadyHandler    func(ready func() bool) http.Handler

	// BufferBytes is the memory for the bodies of calls and responses in progress.
	// It is defaultBufferBytes when not set.
	BufferBytes int64

	Metrics metrics.Registry
	Log     *log.Logger
}

// Bounds are the time limits, the interval and the retry allowance that
// operators set. They can change while the node runs.
type Bounds struct {
	owner.Bounds
	Grace      time.Duration // time from SIGTERM to SIGKILL
	RetrySlack int           // retries above the budget's ratio, shared by all hosts
	// Evacuation is the time after which the targets of an evacuated data centre get no
	// calls. When it is not set, operators evacuate none.
	Evacuation time.Duration
	// In any second a cold target gets ColdFactor times the cold rate of its service and
	// ColdSlack calls at most. Both are 0 when not set.
	ColdFactor, ColdSlack float64
}

// Announcements receives the announcements of the target on this host.
type Announcements interface {
	Heartbeat(owner.Heartbeat) error
	Leave(id mesh.TargetID, started int64) error
	RecordInvalid(error)
}

const (
	// minStopTime is the shortest time for which a stopping node continues to
	// serve. Callers learn that it is not ready from two checks, one second apart.
	minStopTime = 2200 * time.Millisecond
	// graceMargin is the part of the grace time that is reserved for closing the
	// node after it has stopped serving: hopDrainTimeout and entry.LastAnswerTime, which
	// run at the same time, closeTimeout, the last log lines, and what a busy host takes
	// longer.
	graceMargin      = 950 * time.Millisecond
	stopPollInterval = 20 * time.Millisecond
	// closeTimeout bounds the wait for the node's goroutines, within graceMargin.
	// A request to the store or a dial can wait for a peer that does not respond.
	closeTimeout = 300 * time.Millisecond
	// announceTimeout bounds the wait for answers to announcements in progress, within
	// closeTimeout.
	announceTimeout = 200 * time.Millisecond
	// hopDrainTimeout bounds the wait for other nodes to close their connections
	// after the last response, within graceMargin.
	hopDrainTimeout = 200 * time.Millisecond
	// defaultBufferBytes is used when the memory of the host is not known.
	defaultBufferBytes = 32 << 20
	// discoveryTime is how long a new node waits for targets before it is ready
	// without any.
	discoveryTime = time.Second
	pruneInterval = 5 * time.Second
	// remoteCost is the cost of a call to another data centre for
	// routing.CostParams: the round-trip time, and the load on the links between
	// data centres. remoteByteCost is the cost per byte of the response.
	remoteCost     = 25 * time.Millisecond
	remoteByteCost = 10 * time.Microsecond
	// storeDepartureTimeout bounds the wait for the store before an acknowledgement. A
	// target waits for an answer for a second.
	storeDepartureTimeout = 800 * time.Millisecond
	// warmUp is how long a target is slow after it became ready.
	warmUp = 3 * time.Second
)

// Sidecar is a node, created by New and run by Run.
type Sidecar struct {
	cfg     Config
	control *control.Agent
	owner   *owner.Owner
	entry   *entry.Entry
	callers *entry.Server
	peers   *hop.Server

	guard    *guard.Guard
	buffers  *bounded.Budget
	bounds   atomic.Pointer[Bounds] // in force
	stopping atomic.Bool
	started  time.Time
}

// New returns a node and opens its listeners for calls.
func New(cfg Config) (*Sidecar, error) {
	if cfg.BufferBytes == 0 {
		cfg.BufferBytes = defaultBufferBytes
	}
	s := &Sidecar{
		cfg: cfg, started: time.Now(), guard: guard.New(cfg.Metrics, cfg.Log), buffers: bounded.NewBudget(cfg.BufferBytes),
	}
	s.bounds.Store(&cfg.Bounds)
	suspects, evacuations := suspect.NewTable(), evacuation.NewTable()
	calls, err := listen(cfg.CallAddress)
	if err != nil {
		return nil, err
	}
	callers, err := listen(cfg.CallerAddress)
	if err != nil {
		return nil, err
	}
	ip := net.IP(cfg.IP.AsSlice())
	advertised := cfg.CallAddress
	if cfg.AdvertiseAddress.IsValid() {
		advertised = cfg.AdvertiseAddress
	}
	s.peers = hop.NewServer(calls, s)
	s.peers.Guard, s.peers.Buffers, s.peers.OnRefusal, s.peers.Log = s.guard, s.buffers, s.countRefusal, cfg.Log
	s.control, err = control.New(control.Config{
		Self: membership.Host{
			ID: cfg.Host, DataCentre: cfg.DataCentre, Incarnation: uint64(time.Now().UnixMilli()),
			PeerAddress: advertised.String(), CallAddress: advertised.String(), Status: membership.StatusAlive,
		},
		Transport: hop.NewTransport(cfg.Host, ip, s.peers),
		Store:     cfg.Store, Codec: cfg.Codec, FirstStart: cfg.FirstStart,
		Load: s.load, OnFormer: s.restoreDepartures, OnDepartures: func(departed map[mesh.TargetID]int64, complete bool) {
			s.owner.LoadDepartures(departed, complete)
		},
		Suspects:    suspects,
		FollowAlone: func() bool { return s.bounds.Load().Evacuation > 0 },
		Evacuations: evacuations, OnEvacuation: func() { s.owner.ApplyEvacuation() },
		Send: func(ctx context.Context, address string, message []byte) error {
			return s.entry.Pool(address).Notify(ctx, message)
		},
		Guard:   s.guard,
		Metrics: cfg.Metrics, Log: cfg.Log,
	})
	if err != nil {
		return nil, err
	}
	s.owner = owner.New(owner.Config{
		HeaderNames: cfg.HeaderNames, Bounds: cfg.Bounds.Bounds,
		MaxConnections: s.maxConnections, KnowsService: s.knowsService, ColdRate: s.coldRate, OnChange: s.control.SetTargets,
		Evacuated:         func() bool { return evacuations.IsActive(cfg.DataCentre) },
		Stale:             s.isStale,
		DeparturesUnknown: !cfg.FirstStart,
		Suspects:          suspects, Buffers: s.buffers, Guard: s.guard, Metrics: cfg.Metrics, Log: cfg.Log,
	})
	s.entry = entry.New(entry.Config{
		Self: cfg.Host, IP: ip, Service: cfg.Service, HeaderNames: cfg.HeaderNames, ParentID: cfg.ParentID, Snapshot: s.control.Snapshot,
		Local: s.owner, Observer: s.control.Observer(), Suspects: suspects, Evacuations: evacuations, RetryBurst: s.retryBurst, MayExpose: s.control.MayExpose,
		TeamLimits: s.control.TeamLimits(),
		DrainTime:  func() time.Duration { return s.bounds.Load().Drain },
		RemoteCost: remoteCost, RemoteByteCost: remoteByteCost, WarmUp: warmUp,
		Guard: s.guard, Metrics: cfg.Metrics, Log: cfg.Log,
	})
	s.callers = entry.NewServer(callers, s.entry.Handle, s.limits)
	s.callers.Screen, s.callers.OnUnread = s.entry.Screen, s.entry.ReturnToLimit
	s.callers.Log, s.callers.Metrics, s.callers.IDHeader = cfg.Log, cfg.Metrics, cfg.HeaderNames.RequestID
	s.callers.Guard, s.callers.Buffers, s.callers.OnRefusal = s.guard, s.buffers, s.countRefusal
	telemetry.RegisterProcess(cfg.Metrics)
	s.registerGauges()
	cfg.Metrics.GetOrRegister("evacuations.active", metrics.NewFunctionalGauge(func() int64 { return int64(evacuations.ActiveCount()) }))
	cfg.Metrics.GetOrRegister("targets.in_flight", metrics.NewFunctionalGauge(func() int64 { return int64(s.owner.InFlight()) }))
	cfg.Metrics.GetOrRegister("suspects.known", metrics.NewFunctionalGauge(func() int64 { return int64(suspects.Len()) }))
	return s, nil
}

func (s *Sidecar) countRefusal(reason string) {
	metrics.GetOrRegisterCounter("refused."+reason, s.cfg.Metrics).Inc(1)
}

// registerGauges registers gauges of the node's state, for operators without
// access to its logs.
func (s *Sidecar) registerGauges() {
	gauge := func(name string, value func() int64) {
		s.cfg.Metrics.GetOrRegister(name, metrics.NewFunctionalGauge(value))
	}
	gauge("node.ready", func() int64 {
		if s.Ready() {
			return 1
		}
		return 0
	})
	gauge("buffers.bytes", s.buffers.Used)
	gauge("targets.cold", func() int64 { return int64(s.owner.ColdTargets()) })
	gauge("hosts.live", func() int64 { return int64(s.control.LiveHosts()) })
	gauge("hosts.unconfirmed", func() int64 { return int64(s.control.UnconfirmedHosts()) })
	gauge("hosts.sharing", func() int64 {
		hosts, learned := s.control.SharingHosts()
		if !learned {
			return 0
		}
		return int64(hosts)
	})
	gauge("targets.usable", func() int64 {
		n := 0
		if v := s.control.Snapshot(); v != nil {
			for _, service := range v.Services {
				for _, set := range []*routing.Set{service.Stable, service.Next} {
					if set != nil {
						n += set.Len()
					}
				}
			}
		}
		return int64(n)
	})
}

func listen(address netip.AddrPort) (net.Listener, error) {
	l, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, fmt.Errorf("listen at %s: %w", address, err)
	}
	return l, nil
}

// defaultMaxConnections is used until the configuration sets the number of
// connections that a target accepts.
const defaultMaxConnections = 64

func (s *Sidecar) maxConnections(service mesh.ServiceName) int {
	if v := s.control.Snapshot(); v != nil {
		if n := v.Config.Services[service].MaxConnections; n > 0 {
			return n
		}
	}
	return defaultMaxConnections
}

// knowsService reports whether the configuration has a service, or there is none yet.
func (s *Sidecar) knowsService(service mesh.ServiceName) bool {
	v := s.control.Snapshot()
	if v == nil {
		return true
	}
	_, ok := v.Config.Services[service]
	return ok
}

// coldRate returns what a cold target takes, and false before the first configuration.
func (s *Sidecar) coldRate(service mesh.ServiceName) (admission.ColdRate, bool) {
	v, b := s.control.Snapshot(), s.bounds.Load()
	if v == nil {
		return admission.ColdRate{}, false
	}
	rate := admission.ColdRate{PerSecond: v.Config.Services[service].ColdRate, Slack: b.ColdSlack}
	if b.ColdSlack > 0 { // without it, a burst takes the room that the factor leaves
		rate.PerSecond *= max(1, b.ColdFactor)
	}
	return rate, true
}

// TakesLargeBodies reports whether the configuration in force has routes with large
// bodies.
func (s *Sidecar) TakesLargeBodies() bool {
	v := s.control.Snapshot()
	return v != nil && v.Config.TakesLargeBodies()
}

func (s *Sidecar) limits() (traffic.Limits, bool) {
	v := s.control.Snapshot()
	if v == nil {
		return traffic.Limits{}, false
	}
	return v.Config.Limits, true
}

func (s *Sidecar) load(id mesh.TargetID) (routing.Load, bool) {
	l, ok := s.owner.Load(id)
	return routing.Load(l), ok
}

// Call implements hop.Handler.
func (s *Sidecar) Call(ctx context.Context, r *hop.Request) *hop.Response {
	return s.owner.Call(ctx, r)
}

// HandleNotification implements hop.Handler.
func (s *Sidecar) HandleNotification(message []byte) { s.control.HandleMessage(message) }

// Heartbeat implements Announcements.
func (s *Sidecar) Heartbeat(h owner.Heartbeat) error {
	if err := s.owner.Heartbeat(h); err != nil {
		return err
	}
	if !h.Draining {
		return nil
	}
	return s.storeDeparture(h.ID, h.Started)
}

// Leave implements Announcements.
func (s *Sidecar) Leave(id mesh.TargetID, started int64) error {
	return s.storeDeparture(id, s.owner.Leave(id, started))
}

// storeDeparture writes a departure to the store, without which a process that starts
// anew could send calls to the target.
func (s *Sidecar) storeDeparture(id mesh.TargetID, started int64) error {
	ctx, cancel := context.WithTimeout(context.Background(), storeDepartureTimeout)
	defer cancel()
	if err := s.control.StoreDeparture(ctx, id, started); err != nil {
		return fmt.Errorf("target %s: %w", id, owner.ErrNotStored)
	}
	return nil
}

// restoreDepartures reads from the record of an earlier process of this node which
// targets were leaving.
func (s *Sidecar) restoreDepartures(former membership.Host) {
	for _, t := range former.Targets {
		if t.State == membership.TargetDraining {
			s.owner.RestoreDeparture(t.ID, t.ReadySince.UnixMilli())
		}
	}
}

// RecordInvalid implements Announcements.
func (s *Sidecar) RecordInvalid(err error) {
	metrics.GetOrRegisterCounter("heartbeats.invalid", s.cfg.Metrics).Inc(1)
	s.cfg.Log.Warn().Err(err).Msg("heartbeat cannot be read")
}

// SetBounds replaces the bounds without interrupting calls in flight.
func (s *Sidecar) SetBounds(b Bounds) {
	s.bounds.Store(&b)
	s.owner.SetBounds(b.Bounds)
}

// SetBufferBytes changes the memory for bodies in progress.
func (s *Sidecar) SetBufferBytes(n int64) { s.buffers.SetLimit(n) }

// Ready reports whether the node serves calls: it is not stopping, has a
// configuration, and either has targets or has waited discoveryTime for them.
func (s *Sidecar) Ready() bool {
	v := s.control.Snapshot()
	if s.stopping.Load() || v == nil {
		return false
	}
	for _, service := range v.Services {
		if service.Stable.Len() > 0 {
			return true
		}
	}
	return time.Since(s.started) > discoveryTime
}

// Run runs the node until the context ends, and then stops it gracefully.
func (s *Sidecar) Run(ctx context.Context) error {
	runCtx, cancelRun := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelRun()
	failed := make(chan error, 8)
	var wg sync.WaitGroup
	run := func(name string, f func() error) {
		wg.Go(func() {
			if err := f(); err != nil && !errors.Is(err, http.ErrServerClosed) {
				failed <- fmt.Errorf("%s: %w", name, err)
			}
		})
	}
	servers, err := s.httpServers()
	if err != nil {
		return err
	}
	for name, h := range servers {
		run(name, h.run)
	}
	run("calls", s.peers.Run)
	run("callers", s.callers.Run)
	run("control", func() error { return s.control.Run(runCtx) })
	run("owner", func() error { s.owner.Run(runCtx); return nil })
	run("connection pools", func() error { s.prunePools(runCtx); return nil })
	s.cfg.Log.Info().Str("data_centre", string(s.cfg.DataCentre)).Str("service", string(s.cfg.Service)).Msg("node started")
	select {
	case <-ctx.Done():
		s.stop()
	case err = <-failed:
		s.cfg.Log.Error().Err(err).Msg("node failed")
	}
	cancelRun()
	s.callers.Close()
	s.peers.Close()
	closing, cancelClosing := context.WithTimeout(context.Background(), announceTimeout)
	defer cancelClosing()
	for _, h := range servers {
		wg.Go(func() { h.listener.Stop(closing, h.server) })
	}
	if !waitAtMost(&wg, closeTimeout) {
		s.cfg.Log.Warn().Msg("parts of the node did not end in time")
	}
	s.cfg.Log.Info().Msg("node stopped")
	return err
}

// waitAtMost waits for a group and reports whether it finished within the
// limit.
func waitAtMost(wg *sync.WaitGroup, limit time.Duration) bool {
	ended := make(chan struct{})
	go func() {
		wg.Wait()
		close(ended)
	}()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-ended:
		return true
	case <-timer.C:
		return false
	}
}

// stop drains the node: callers and other nodes stop sending calls, and the
// calls in flight finish. It returns graceMargin before the end of the grace
// time at the latest, unless the last connections take hopDrainTimeout more.
func (s *Sidecar) stop() {
	begun := time.Now()
	timeLeft := func() time.Duration { return s.bounds.Load().Grace - graceMargin - time.Since(begun) }
	s.stopping.Store(true)
	s.cfg.Log.Info().Int("in_flight", s.callers.PendingCalls()).Msg("node stops")
	s.control.Leave()
	s.callers.Drain()
	for timeLeft() > 0 && time.Since(begun) < minStopTime {
		time.Sleep(stopPollInterval)
	}
	s.entry.Stop()
	// Other nodes go on sending calls when a target here is the only one of its
	// service. They are told to stop while there is time for the calls in flight, however
	// long those of this node's callers take.
	var drained sync.WaitGroup
	drained.Go(func() { s.peers.Drain(timeLeft(), hopDrainTimeout) })
	s.callers.Shutdown(timeLeft())
	drained.Wait()
	if callers, nodes := s.callers.PendingCalls(), s.peers.PendingCalls(); callers+nodes > 0 {
		s.cfg.Log.Warn().Int("of_callers", callers).Int("of_nodes", nodes).Msg("calls were cut at the end of the grace time")
	}
}

// retryBurst returns this host's equal share of RetrySlack, from 1 to
// retry.DefaultBurst, and 1 while it does not know how many hosts share it.
func (s *Sidecar) retryBurst() int {
	hosts, learned := s.control.SharingHosts()
	if !learned {
		return 1
	}
	return max(1, min(retry.DefaultBurst, s.bounds.Load().RetrySlack/hosts))
}

// isStale reports whether an evacuation may have been missed during a pause of the
// process.
func (s *Sidecar) isStale() bool {
	bound := s.bounds.Load().Evacuation
	return bound > 0 && evacuation.IsStale(bound, s.control.LastHeard(), time.Now())
}

// prunePools closes connections to nodes that have failed or left, at regular
// intervals.
func (s *Sidecar) prunePools(ctx context.Context) {
	t := time.NewTicker(pruneInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			s.entry.PrunePools(s.control.CallAddresses())
		}
	}
}

// httpServer is one of the node's own HTTP interfaces.
type httpServer struct {
	server   *http.Server
	listener *linger.Listener
}

func (h *httpServer) run() error {
	if err := h.server.Serve(h.listener); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return http.ErrServerClosed
}

func (s *Sidecar) httpServers() (map[string]*httpServer, error) {
	out := make(map[string]*httpServer)
	for name, h := range map[string]struct {
		address netip.AddrPort
		handler http.Handler
	}{
		"ready":         {s.cfg.ReadyAddress, s.cfg.ReadyHandler(s.Ready)},
		"announcements": {s.cfg.AnnounceAddress, s.cfg.AnnounceHandler(s)},
		"metrics":       {s.cfg.MetricsAddress, telemetry.Handler(s.cfg.Metrics)},
	} {
		l, err := listen(h.address)
		if err != nil {
			return nil, err
		}
		lingering := linger.NewListener(l)
		out[name] = &httpServer{listener: lingering, server: &http.Server{Handler: h.handler, ReadHeaderTimeout: 5 * time.Second, ConnState: lingering.ConnState}}
	}
	return out, nil
}
