// Package owner controls access to the target of this host. Every call to the
// target passes through it: it admits calls by slots and deadline, also refuses
// them once the target drains, and forwards the others. A refused call is
// reported as not run.
package owner

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"nutmeghoist.example/nutmeghoist/internal/bounded"
	"nutmeghoist.example/nutmeghoist/internal/exchange"
	"nutmeghoist.example/nutmeghoist/internal/guard"
	"nutmeghoist.example/nutmeghoist/pkg/admission"
	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/pause"
	"nutmeghoist.example/nutmeghoist/pkg/suspect"
	"nutmeghoist.example/nutmeghoist/pkg/traffic"
)

// Heartbeat is the state that a target reports.
type Heartbeat struct {
	ID       mesh.TargetID
	Address  string // IP:port
	Service  mesh.ServiceName
	Version  mesh.TargetVersion
	Slots    int
	Draining bool
	Sequence uint64        // increases with each heartbeat until the target restarts
	Started  int64         // Unix milliseconds of its start; 0 when not reported
	WarmUp   time.Duration // remaining time in which it is cold
}

const (
	// admissionShare is the share of the drain time in which calls are still
	// admitted. They may have been on their way when the target announced its
	// drain.
	admissionShare = 0.4
	// sendShare is the share of the drain time after which no call is sent, not
	// even one that was admitted before.
	sendShare = 0.75
	// maxMissedHeartbeats is the number of missed heartbeats after which a target
	// gets no more calls.
	maxMissedHeartbeats = 3
	// maxTargets bounds the targets of a host, whose record holds them all.
	maxTargets = 32
	// maxDeparted bounds the targets that are remembered after they have left.
	maxDeparted = 64
	// A target that may have left unnoticed is used once verifyHeartbeats heartbeats, each
	// newer than the one before, have arrived over verifyIntervals of their intervals. A
	// target that has left sends none, and delayed ones arrive once.
	verifyHeartbeats = 3
	verifyIntervals  = 1.5
)

// ErrNotStored means that the departure of a target is in force and is not in the store
// yet, where a process that starts anew finds it. The departure must not be acknowledged.
var ErrNotStored = errors.New("departure is not stored yet")

// Config holds the settings and dependencies of an Owner.
type Config struct {
	HeaderNames traffic.Headers
	Bounds      Bounds // in force until SetBounds
	// MaxConnections returns the number of connections that a target of a service
	// accepts.
	MaxConnections func(mesh.ServiceName) int
	// KnowsService reports whether the configuration has a service, or there is none yet.
	// Without it, all services are known.
	KnowsService func(mesh.ServiceName) bool
	// ColdRate returns what a cold target of a service takes, and false while it is not
	// known. Without it, they take any rate.
	ColdRate func(mesh.ServiceName) (rate admission.ColdRate, known bool)
	// OnChange is called with the targets of this host after each change.
	OnChange func([]membership.Target)
	// Suspects are the requests under which targets have ended. Without it, the owner
	// keeps its own.
	Suspects *suspect.Table
	// Evacuated reports whether the data centre of this host is evacuated. Without it, it
	// never is.
	Evacuated func() bool
	// Stale reports whether an evacuation may have been missed while the process was
	// paused. Without it, none is.
	Stale func() bool
	// DeparturesUnknown means that an earlier process of this node may have acknowledged
	// the departures of targets, until LoadDepartures.
	DeparturesUnknown bool
	// Buffers is the memory for responses that are being read.
	Buffers *bounded.Budget
	Guard   *guard.Guard
	Metrics metrics.Registry
	Log     *log.Logger
}

// Bounds are the times that the owner guarantees to targets and callers. They
// can change while the owner runs.
type Bounds struct {
	Drain             time.Duration // a draining target gets no call later than this
	HeartbeatInterval time.Duration // of the targets' heartbeats
}

// Owner controls access to the targets of this host. It is safe for concurrent
// use.
type Owner struct {
	cfg Config

	wasEvacuated atomic.Bool // whether the data centre was evacuated at the last change

	mu       sync.Mutex
	bounds   Bounds // in force
	targets  map[mesh.TargetID]*target
	departed map[mesh.TargetID]int64 // start times of the targets that have left
	// unverified means that targets may have left whose departures this process does not
	// know.
	unverified bool
	running    map[string]runningCalls // by request ID
}

// runningCalls are the attempts of a request that run at the targets.
type runningCalls struct {
	attempts     int
	repeat       bool // one of the attempts is a repeat
	nestedFailed bool // a call failed that a target made for the request
}

// target is the state of a target since its last start. A restart replaces it.
type target struct {
	// These fields do not change, and calls use them without a lock.
	id      mesh.TargetID
	started int64 // Unix milliseconds; 0 when not reported
	limiter *admission.Limiter
	client  *exchange.Client
	running suspect.Running
	trials  suspect.TrialSlot

	// The fields below are guarded by Owner.mu.
	reported      Heartbeat // the newest one
	lastHeartbeat time.Time
	drainStart    time.Time     // when the drain was acknowledged; zero before
	drainTime     time.Duration // from drainStart until no call may reach it
	silent        bool          // heartbeats stopped
	saidLeaving   bool          // in an answer
	verification  *verification // not nil while the target may have left unnoticed
	rate          rateAccount
	cold          coldAccount
}

// verification counts the heartbeats of a target that may have left unnoticed.
type verification struct {
	since      time.Time // when the first heartbeat arrived
	heartbeats int       // that were newer than the one before
}

// New returns an owner without targets.
func New(cfg Config) *Owner {
	if cfg.Suspects == nil {
		cfg.Suspects = suspect.NewTable()
	}
	return &Owner{
		cfg: cfg, bounds: cfg.Bounds, targets: make(map[mesh.TargetID]*target), departed: make(map[mesh.TargetID]int64),
		unverified: cfg.DeparturesUnknown, running: make(map[string]runningCalls),
	}
}

// SetBounds replaces the bounds. A target that is already draining keeps the
// shorter of the two drain times.
func (o *Owner) SetBounds(b Bounds) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, t := range o.targets {
		if !t.drainStart.IsZero() {
			t.drainTime = min(t.drainTime, b.Drain)
			o.scheduleAdmissionEnd(t)
		}
	}
	o.bounds = b
}

// Heartbeat processes a heartbeat. When it returns nil, the reported state or a
// newer one is in force.
func (o *Owner) Heartbeat(h Heartbeat) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if started, ok := o.departed[h.ID]; ok && h.Started <= started {
		return nil // a delayed heartbeat; the target has left
	}
	t := o.targets[h.ID]
	if err := o.checkNew(t, h); err != nil {
		return err
	}
	switch {
	case t != nil && h.Started < t.started:
		return nil
	case t != nil && h.Started > t.started:
		o.recordUnseenEnd(t)
		o.remove(t, "restarted")
		t = nil
	case t != nil && h.Sequence < t.reported.Sequence:
		return nil
	}
	isNew := t == nil
	if isNew {
		if !o.removeOlderAt(h) {
			return nil
		}
		t = o.addTarget(h)
	}
	before, wasSilent := t.reported, t.silent
	verified := o.verify(t, h, isNew)
	t.reported, t.lastHeartbeat, t.silent = h, time.Now(), false
	if !t.drainStart.IsZero() {
		t.reported.Draining = true // a draining target does not become ready again in the same start
	}
	if t.reported.Draining && t.drainStart.IsZero() {
		o.startDrain(t, "draining")
	}
	t.limiter.Resize(o.limiterConfig(h)) // the configuration can change the limits too
	if coldEndMoved := o.hearCold(t); isNew || coldEndMoved || verified || t.reported.Draining != before.Draining || wasSilent || before.Slots != h.Slots || before.Version != h.Version {
		o.publish()
	}
	return nil
}

// checkNew rejects the heartbeat of another start of a target, t, or of a new target that
// may be of another writer: it names a service that is not configured, and would take the
// place of a target of one that is, or there are too many targets.
func (o *Owner) checkNew(t *target, h Heartbeat) error {
	if t != nil && h.Started <= t.started {
		return nil
	}
	if !o.knowsService(h.Service) {
		for _, other := range o.targets {
			if (other.id == h.ID || other.reported.Address == h.Address) && o.knowsService(other.reported.Service) {
				return fmt.Errorf("target %s at %s: service %q is not configured", h.ID, h.Address, h.Service)
			}
		}
	}
	if t != nil || len(o.targets) < maxTargets {
		return nil
	}
	for _, other := range o.targets {
		if other.silent || !o.knowsService(other.reported.Service) {
			o.remove(other, "too many")
			return nil
		}
	}
	return fmt.Errorf("target %s: the host has %d targets already", h.ID, len(o.targets))
}

func (o *Owner) knowsService(s mesh.ServiceName) bool {
	return o.cfg.KnowsService == nil || o.cfg.KnowsService(s)
}

// verify counts a heartbeat of a target that may have left unnoticed, and reports
// whether the target may be used from now on.
func (o *Owner) verify(t *target, h Heartbeat, isNew bool) bool {
	switch {
	case isNew && o.unverified:
		t.verification = &verification{since: time.Now(), heartbeats: 1}
		o.count("targets.unverified")
		return false
	case t.verification == nil:
		return false
	case h.Sequence > t.reported.Sequence:
		t.verification.heartbeats++
	}
	span := time.Duration(verifyIntervals * float64(o.bounds.HeartbeatInterval))
	if t.verification.heartbeats < verifyHeartbeats || time.Since(t.verification.since) < span {
		return false
	}
	o.cfg.Log.Info().Str("target", string(t.id)).Str("by", "heartbeats").Msg("target verified")
	t.verification = nil
	return true
}

// removeOlderAt removes an older target with the address of the heartbeat. It
// reports false when the target there is newer than that of the heartbeat.
func (o *Owner) removeOlderAt(h Heartbeat) bool {
	for _, other := range o.targets {
		if other.reported.Address != h.Address {
			continue
		}
		if other.started > h.Started {
			return false
		}
		o.recordUnseenEnd(other)
		o.remove(other, "replaced")
	}
	return true
}

func (o *Owner) limiterConfig(h Heartbeat) admission.Config {
	return admission.Config{
		Slots: h.Slots, Connections: o.cfg.MaxConnections(h.Service), FixedLimit: true, NamesRate: true, ColdRate: o.coldRate(h.Service),
	}
}

func (o *Owner) addTarget(h Heartbeat) *target {
	t := &target{id: h.ID, started: h.Started, reported: h, limiter: admission.New(o.limiterConfig(h)), client: exchange.NewClient(h.Address, o.cfg.HeaderNames)}
	t.client.Buffers = o.cfg.Buffers
	o.targets[h.ID] = t
	o.cfg.Log.Info().Str("target", string(h.ID)).Str("service", string(h.Service)).Str("version", string(h.Version)).
		Int("slots", h.Slots).Bool("draining", h.Draining).Uint64("sequence", h.Sequence).Msg("target joined")
	return t
}

// startDrain starts the drain of a target: new calls are admitted for a share
// of the drain time, and admitted ones are sent for a little longer.
func (o *Owner) startDrain(t *target, cause string) {
	t.drainStart, t.drainTime = time.Now(), o.bounds.Drain
	t.reported.Draining = true
	o.scheduleAdmissionEnd(t)
	o.cfg.Log.Info().Str("target", string(t.id)).Str("cause", cause).Int("in_flight", t.limiter.Load().InFlight).
		Uint64("sequence", t.reported.Sequence).Msg("target leaves")
	o.count("targets.leaving")
}

// scheduleAdmissionEnd stops the admission of calls to a draining target when
// admissionShare of its drain time has passed.
func (o *Owner) scheduleAdmissionEnd(t *target) {
	time.AfterFunc(time.Duration(admissionShare*float64(t.drainTime))-time.Since(t.drainStart), t.limiter.Drain)
}

// hasDrainedFor reports whether a target has been draining for longer than a
// share of its drain time.
func (t *target) hasDrainedFor(share float64) bool {
	return !t.drainStart.IsZero() && time.Since(t.drainStart) > time.Duration(share*float64(t.drainTime))
}

// Leave drains a target for good: later heartbeats of the same start are ignored. The
// start that the target names is 0 when it names none. It returns the start that leaves,
// which may be an earlier one than that of the target in use.
func (o *Owner) Leave(id mesh.TargetID, started int64) int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.targets[id]
	switch {
	case t == nil && started == 0:
		started = time.Now().UnixMilli()
	case t != nil && started == 0:
		started = t.started
	}
	o.recordDeparture(id, started)
	if t == nil || t.started > started {
		return started
	}
	if t.drainStart.IsZero() {
		o.startDrain(t, "left")
	}
	o.publish()
	return started
}

// LoadDepartures records departures that earlier processes of this node have
// acknowledged. complete means that there are no others.
func (o *Owner) LoadDepartures(departed map[mesh.TargetID]int64, complete bool) {
	for id, started := range departed {
		o.RestoreDeparture(id, started)
	}
	if !complete {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.unverified = false
	changed := false
	for _, t := range o.targets {
		changed = changed || t.verification != nil
		t.verification = nil
	}
	if changed {
		o.publish()
	}
}

// RestoreDeparture records that a target was leaving when an earlier process of this
// node acknowledged it. Heartbeats of that start, which may be delayed, do not make
// it usable again. Its drain time may have passed, so that it gets no call from now on.
func (o *Owner) RestoreDeparture(id mesh.TargetID, started int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if old, ok := o.departed[id]; ok && old >= started {
		return
	}
	o.recordDeparture(id, started)
	o.cfg.Log.Info().Str("target", string(id)).Int64("started", started).Msg("target had left before the node started")
	if t := o.targets[id]; t != nil && t.started <= started && !t.hasDrainedFor(sendShare) {
		o.startDrain(t, "left before")
		t.drainStart = t.drainStart.Add(-t.drainTime)
		t.limiter.Drain()
		o.publish()
	}
}

// recordDeparture remembers that a target has left, so that a delayed heartbeat
// does not add it again. That which started first is forgotten first.
func (o *Owner) recordDeparture(id mesh.TargetID, started int64) {
	if _, known := o.departed[id]; !known && len(o.departed) >= maxDeparted {
		oldest := id
		for other, at := range o.departed {
			if oldest == id || at < o.departed[oldest] {
				oldest = other
			}
		}
		delete(o.departed, oldest)
	}
	o.departed[id] = max(started, o.departed[id])
}

func (o *Owner) remove(t *target, cause string) {
	delete(o.targets, t.id)
	t.limiter.Drain()
	t.client.Close()
	o.cfg.Log.Info().Str("target", string(t.id)).Str("cause", cause).Msg("target removed")
	o.publish()
}

// Run checks the heartbeats of the targets until the context ends.
func (o *Owner) Run(ctx context.Context) {
	for pause.For(ctx, max(minHeartbeatCheck, time.Until(o.checkHeartbeats(time.Now())))) {
	}
}

// minHeartbeatCheck is the shortest time between two checks.
const minHeartbeatCheck = 20 * time.Millisecond

// checkHeartbeats marks the targets without recent heartbeats as silent and
// removes those that have been draining for over a minute. It returns when the next
// check is due.
func (o *Owner) checkHeartbeats(now time.Time) time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	limit := maxMissedHeartbeats*o.bounds.HeartbeatInterval + o.bounds.HeartbeatInterval/2
	next := now.Add(limit)
	for _, t := range o.targets {
		silence := now.Sub(t.lastHeartbeat)
		switch {
		case !t.drainStart.IsZero() && now.Sub(t.drainStart) > time.Minute:
			o.remove(t, "left")
		case t.silent:
		case silence > limit:
			t.silent = true
			o.cfg.Log.Warn().Str("target", string(t.id)).Dur("quiet", silence).Msg("heartbeats stopped")
			o.count("targets.silent")
			o.publish()
		default:
			if due := t.lastHeartbeat.Add(limit); due.Before(next) {
				next = due
			}
		}
	}
	return next
}

// publish passes the state of the targets to OnChange; o.mu must be held.
func (o *Owner) publish() {
	var list []membership.Target
	for _, t := range o.targets {
		state := membership.TargetReady
		switch {
		case t.reported.Draining:
			state = membership.TargetDraining
		case t.silent, t.verification != nil:
			state = membership.TargetStarting
		}
		// Heartbeats report only when the target started, not when it became ready.
		list = append(list, membership.Target{
			ID: t.id, Service: t.reported.Service, Version: t.reported.Version, Address: t.reported.Address, Slots: t.reported.Slots,
			Connections: o.cfg.MaxConnections(t.reported.Service), State: state, ReadySince: time.UnixMilli(t.started).UTC(),
			ColdUntil: o.coldUntil(t),
		})
	}
	o.cfg.OnChange(list)
}

func (o *Owner) count(name string) { metrics.GetOrRegisterCounter(name, o.cfg.Metrics).Inc(1) }
