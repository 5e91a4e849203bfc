// Package owner guards the target of this host. Every call to the target passes
// here: it admits calls by slots and deadline, refuses them truthfully once the
// target leaves, and sends them on.
package owner

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"nutmeghoist.example/nutmeghoist/internal/exchange"
	"nutmeghoist.example/nutmeghoist/pkg/admission"
	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/traffic"
)

// Heartbeat is what a target says about itself.
type Heartbeat struct {
	ID       mesh.TargetID
	Address  string // IP:port
	Service  mesh.ServiceName
	Version  mesh.TargetVersion
	Slots    int
	Draining bool
	Sequence uint64        // rises with each heartbeat of a start
	Started  int64         // Unix milliseconds of its start; 0 when not told
	WarmUp   time.Duration // how much longer it is slow after its start
}

const (
	// admitShare is the part of the drain time in which calls that were on their
	// way when the target announced its leaving are still admitted.
	admitShare = 0.4
	// sendShare is the part of the drain time after which no call is sent, also
	// when it was admitted before.
	sendShare = 0.75
	// missedBeats heartbeats that did not come take a target out.
	missedBeats = 3
	// maxLeft bounds the targets that are remembered after they left.
	maxLeft = 64
)

// Config holds what an owner needs.
type Config struct {
	HeaderNames traffic.Headers
	Bounds      Bounds // until SetBounds
	// MaxConnections returns the connections that a target of a service accepts.
	MaxConnections func(mesh.ServiceName) int
	// OnChange is called with the targets of this host after each change.
	OnChange func([]membership.Target)
	Metrics  metrics.Registry
	Log      *log.Logger
}

// Bounds are the times that targets and callers are promised. They can change
// while the owner runs.
type Bounds struct {
	Drain             time.Duration // a leaving target gets no call later than this
	HeartbeatInterval time.Duration // of the targets' heartbeats
}

// Owner guards the targets of this host. It is safe for concurrent use.
type Owner struct {
	cfg Config

	mu      sync.Mutex
	bounds  Bounds // in force
	targets map[mesh.TargetID]*target
	left    map[mesh.TargetID]int64 // start of the targets that have left
	stopped bool
}

// target is one start of a target.
type target struct {
	Heartbeat
	limiter *admission.Limiter
	client  *exchange.Client
	heard   time.Time
	leaving time.Time     // when its leaving was acknowledged; zero before
	drain   time.Duration // from leaving until no call may reach it
	silent  bool          // heartbeats stopped
}

// New returns an owner without targets.
func New(cfg Config) *Owner {
	return &Owner{cfg: cfg, bounds: cfg.Bounds, targets: make(map[mesh.TargetID]*target), left: make(map[mesh.TargetID]int64)}
}

// SetBounds replaces the bounds. A target that leaves already keeps the shorter
// of its drain times.
func (o *Owner) SetBounds(b Bounds) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, t := range o.targets {
		if !t.leaving.IsZero() {
			t.drain = min(t.drain, b.Drain)
			o.stopAdmission(t)
		}
	}
	o.bounds = b
}

// Heartbeat takes the state of a target. After it returns nil, the state is in
// force.
func (o *Owner) Heartbeat(h Heartbeat) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if started, ok := o.left[h.ID]; ok && h.Started <= started {
		return nil // a heartbeat that was held up; the target has left
	}
	t := o.targets[h.ID]
	switch {
	case t != nil && h.Started < t.Started:
		return nil
	case t != nil && h.Started > t.Started:
		o.remove(t, "restarted")
		t = nil
	case t != nil && h.Sequence < t.Sequence:
		return nil
	}
	joins := t == nil
	if joins {
		if !o.replaceAt(h) {
			return nil
		}
		t = o.add(h)
	}
	before, wasSilent := t.Heartbeat, t.silent
	t.Heartbeat, t.heard, t.silent = h, time.Now(), false
	if !t.leaving.IsZero() {
		t.Draining = true // a target that leaves does not return in the same start
	}
	if t.Draining && t.leaving.IsZero() {
		o.beginLeave(t, "draining")
	}
	t.limiter.Resize(o.limits(h)) // the configuration can have changed it too
	if joins || t.Draining != before.Draining || wasSilent || before.Slots != h.Slots || before.Version != h.Version {
		o.publish()
	}
	return nil
}

// replaceAt drops an older target that had the same address. It reports false
// when the target there is newer than the heartbeat's.
func (o *Owner) replaceAt(h Heartbeat) bool {
	for _, other := range o.targets {
		if other.Address != h.Address {
			continue
		}
		if other.Started > h.Started {
			return false
		}
		o.remove(other, "replaced")
	}
	return true
}

func (o *Owner) limits(h Heartbeat) admission.Config {
	return admission.Config{Slots: h.Slots, Connections: o.cfg.MaxConnections(h.Service), FixedLimit: true}
}

func (o *Owner) add(h Heartbeat) *target {
	t := &target{Heartbeat: h, limiter: admission.New(o.limits(h)), client: exchange.NewClient(h.Address, o.cfg.HeaderNames)}
	o.targets[h.ID] = t
	o.cfg.Log.Info().Str("target", string(h.ID)).Str("service", string(h.Service)).Str("version", string(h.Version)).
		Int("slots", h.Slots).Bool("draining", h.Draining).Uint64("sequence", h.Sequence).Msg("target joined")
	return t
}

// beginLeave starts the drain of a target: new calls are admitted for a part
// of the drain time, and sent for a little longer.
func (o *Owner) beginLeave(t *target, why string) {
	t.leaving, t.drain = time.Now(), o.bounds.Drain
	t.Draining = true
	o.stopAdmission(t)
	o.cfg.Log.Info().Str("target", string(t.ID)).Str("cause", why).Int("in_flight", t.limiter.Load().InFlight).
		Uint64("sequence", t.Sequence).Msg("target leaves")
	o.count("targets.leaving")
}

// stopAdmission ends the admission of calls to a target that leaves, in time.
func (o *Owner) stopAdmission(t *target) {
	time.AfterFunc(time.Duration(admitShare*float64(t.drain))-time.Since(t.leaving), t.limiter.Drain)
}

// leftFor reports whether a target has been leaving for longer than a part of
// its drain time.
func (t *target) leftFor(share float64) bool {
	return !t.leaving.IsZero() && time.Since(t.leaving) > time.Duration(share*float64(t.drain))
}

// Leave takes a target out for good.
func (o *Owner) Leave(id mesh.TargetID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.targets[id]
	if t == nil {
		o.remember(id, time.Now().UnixMilli())
		return
	}
	o.remember(id, t.Started)
	if t.leaving.IsZero() {
		o.beginLeave(t, "left")
	}
	o.publish()
}

// remember keeps that a target has left, so that a late heartbeat does not
// bring it back.
func (o *Owner) remember(id mesh.TargetID, started int64) {
	if len(o.left) >= maxLeft {
		for old := range o.left {
			delete(o.left, old)
			break
		}
	}
	o.left[id] = started
}

func (o *Owner) remove(t *target, why string) {
	delete(o.targets, t.ID)
	t.limiter.Drain()
	t.client.Close()
	o.cfg.Log.Info().Str("target", string(t.ID)).Str("cause", why).Msg("target removed")
	o.publish()
}

// Run takes out the targets whose heartbeats stopped, until the context ends.
func (o *Owner) Run(ctx context.Context) {
	for {
		tick := time.NewTimer(o.expire(time.Now()) / 2)
		select {
		case <-ctx.Done():
			tick.Stop()
			return
		case <-tick.C:
		}
	}
}

// expire returns the interval of the heartbeats.
func (o *Owner) expire(now time.Time) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	interval := o.bounds.HeartbeatInterval
	for _, t := range o.targets {
		quiet := now.Sub(t.heard)
		switch {
		case !t.leaving.IsZero() && now.Sub(t.leaving) > time.Minute:
			o.remove(t, "left")
		case !t.silent && quiet > missedBeats*interval+interval/2:
			t.silent = true
			o.cfg.Log.Warn().Str("target", string(t.ID)).Dur("quiet", quiet).Msg("heartbeats stopped")
			o.count("targets.silent")
			o.publish()
		}
	}
	return interval
}

// Stop makes all targets leave, as far as other nodes are concerned.
func (o *Owner) Stop() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stopped = true
	o.publish()
}

// publish tells what other nodes need to know; o.mu is held.
func (o *Owner) publish() {
	var list []membership.Target
	for _, t := range o.targets {
		state := membership.TargetReady
		switch {
		case t.Draining || o.stopped:
			state = membership.TargetDraining
		case t.silent:
			state = membership.TargetStarting
		}
		list = append(list, membership.Target{
			ID: t.ID, Service: t.Service, Version: t.Version, Address: t.Address, Slots: t.Slots,
			Connections: o.cfg.MaxConnections(t.Service), State: state, ReadySince: time.UnixMilli(t.Started).UTC(),
		})
	}
	o.cfg.OnChange(list)
}

func (o *Owner) count(name string) { metrics.GetOrRegisterCounter(name, o.cfg.Metrics).Inc(1) }
