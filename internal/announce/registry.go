// Package announce is the registry of the targets on this host: it accepts
// their announcements, expires their leases and probes their health.
package announce

import (
	"cmp"
	_ "embed"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"nutmeghoist.example/nutmeghoist/pkg/admission"
	"nutmeghoist.example/nutmeghoist/pkg/chart"
	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/rules"
)

//go:embed target.toml
var targetChartText []byte

const (
	eventHealthy   chart.Event = "healthy"    // the health probe succeeded
	eventGraceOver chart.Event = "grace-over" // no successful health probe within startGrace
	eventLeave     chart.Event = "leave"      // the target was withdrawn
	eventExpire    chart.Event = "expire"     // the lease expired
	eventIdle      chart.Event = "idle"       // the target has no calls in flight

	actionStampReady chart.Action = "stamp-ready"
	actionDrain      chart.Action = "drain"
	actionForget     chart.Action = "forget"
	actionPublish    chart.Action = "publish"
)

var targetChart = chart.MustLoad("target.toml", targetChartText, chart.Vocabulary{
	Events:  []chart.Event{eventHealthy, eventGraceOver, eventLeave, eventExpire, eventIdle},
	Actions: []chart.Action{actionStampReady, actionDrain, actionForget, actionPublish},
})

var targetStates = map[chart.State]membership.TargetState{
	"starting": membership.TargetStarting,
	"ready":    membership.TargetReady,
	"draining": membership.TargetDraining,
}

const (
	leaseTime = 3 * time.Second
	// startGrace is how long a target gets no calls while its health probes fail.
	// It is bounded because health reports can be wrong.
	startGrace = 10 * time.Second
	// checkInterval is how often leases, start graces and draining targets are
	// checked.
	checkInterval = 100 * time.Millisecond
	probeInterval = time.Second
	probeTimeout  = 500 * time.Millisecond
	maxTargets    = 256
)

// Config configures a Registry. All fields are optional.
type Config struct {
	// OnChange is called after the targets or their states have changed. It must
	// not block and must not call the registry.
	OnChange func()
	// OnProbe is called with the health that each probe returns. It must not
	// block.
	OnProbe func(id mesh.TargetID, healthy bool)
	Probe   Probe // nil probes the target over HTTP
	Metrics metrics.Registry
	Log     *log.Logger
}

// Registry holds the targets of this host. It is safe for concurrent use.
type Registry struct {
	cfg Config

	mu          sync.RWMutex
	targets     map[mesh.TargetID]*entry
	services    map[mesh.ServiceName]rules.Service
	withdrawals map[mesh.TargetID]withdrawal
}

type entry struct {
	target               membership.Target
	announcedConnections int // before the limit of the rules
	state                chart.State
	limiter              *admission.Limiter
	firstAnnouncedAt     time.Time
	renewedAt            time.Time
	probedAt             time.Time
	probing              bool
	probeResult          ProbeResult
}

// withdrawal records a withdrawn target, so that an announcement that was sent
// before the withdrawal does not add the target again.
type withdrawal struct {
	address string
	at      time.Time
}

// New returns an empty registry. Leases expire only while Run is running.
func New(cfg Config) *Registry {
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	if cfg.Log == nil {
		cfg.Log = &log.Logger{Level: log.PanicLevel + 1}
	}
	if cfg.Probe == nil {
		cfg.Probe = newHTTPProbe()
	}
	return &Registry{cfg: cfg, targets: make(map[mesh.TargetID]*entry), withdrawals: make(map[mesh.TargetID]withdrawal)}
}

// Targets returns the targets, sorted by ID.
func (r *Registry) Targets() []membership.Target {
	r.mu.RLock()
	defer r.mu.RUnlock()
	list := make([]membership.Target, 0, len(r.targets))
	for _, e := range r.targets {
		list = append(list, e.target)
	}
	slices.SortFunc(list, func(a, b membership.Target) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return list
}

// Lookup returns a target and its limiter.
func (r *Registry) Lookup(id mesh.TargetID) (membership.Target, *admission.Limiter, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	e := r.targets[id]
	if e == nil {
		return membership.Target{}, nil, false
	}
	return e.target, e.limiter, true
}

// put adds the announced target or renews its lease. It returns putLeaving when
// the target is draining or was just withdrawn, and putFull when the registry
// is full.
func (r *Registry) put(t membership.Target, now time.Time) putResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.targets[t.ID]
	switch {
	case e != nil && e.target.Address == t.Address && e.target.Service == t.Service && e.target.Version == t.Version:
		return r.renew(e, t, now)
	case r.withdrawals[t.ID].address == t.Address && now.Sub(r.withdrawals[t.ID].at) < leaseTime:
		return putLeaving
	case e == nil && len(r.targets) >= maxTargets:
		return putFull
	case e != nil:
		// Another process uses the ID now. Calls in flight at the previous process
		// release their slots in its own limiter.
		e.limiter.Drain()
		r.count("announce.replaced")
	}
	r.add(t, now)
	return putOK
}

func (r *Registry) renew(e *entry, t membership.Target, now time.Time) putResult {
	if e.target.State == membership.TargetDraining {
		return putLeaving
	}
	e.renewedAt, e.announcedConnections = now, t.Connections
	r.resize(e, t.Slots)
	return putOK
}

// resize sets the slots of a target, and its connections to the announced ones
// or to the limit of the rules, whichever is lower.
func (r *Registry) resize(e *entry, slots int) {
	connections := r.connectionLimit(e.target.Service, e.announcedConnections)
	if e.target.Slots == slots && e.target.Connections == connections {
		return
	}
	e.target.Slots, e.target.Connections = slots, connections
	e.limiter.Resize(admission.Config{Slots: slots, Connections: connections})
	r.notifyChange()
}

func (r *Registry) connectionLimit(service mesh.ServiceName, announced int) int {
	if n := r.services[service].Connections; n > 0 {
		return min(n, announced)
	}
	return announced
}

// defaultHealthPath is probed unless the rules name another path.
const defaultHealthPath = "/health"

func (r *Registry) healthPath(service mesh.ServiceName) string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return cmp.Or(r.services[service].HealthPath, defaultHealthPath)
}

// SetServices applies the service settings of the rules in force.
func (r *Registry) SetServices(list []rules.Service) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.services = make(map[mesh.ServiceName]rules.Service, len(list))
	for _, s := range list {
		r.services[s.Name] = s
	}
	for _, e := range r.targets {
		r.resize(e, e.target.Slots)
	}
}

func (r *Registry) add(t membership.Target, now time.Time) {
	t.State = membership.TargetStarting
	announced := t.Connections
	t.Connections = r.connectionLimit(t.Service, announced)
	delete(r.withdrawals, t.ID)
	r.targets[t.ID] = &entry{
		target: t, announcedConnections: announced, state: targetChart.Initial(), firstAnnouncedAt: now, renewedAt: now,
		limiter: admission.New(admission.Config{Slots: t.Slots, Connections: t.Connections}),
	}
	r.count("announce.added")
	r.cfg.Log.Info().Str("target", string(t.ID)).Str("service", string(t.Service)).
		Str("version", string(t.Version)).Str("address", t.Address).Msg("target announced")
	r.notifyChange()
}

// withdraw starts to drain a target. It reports false when the target is neither
// announced nor recently withdrawn.
func (r *Registry) withdraw(id mesh.TargetID, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.targets[id]
	if e == nil {
		_, known := r.withdrawals[id]
		return known
	}
	r.withdrawals[id] = withdrawal{address: e.target.Address, at: now}
	r.applyEvent(e, eventLeave, now)
	return true
}

// applyEvent moves a target to its next state and runs the chart's actions.
func (r *Registry) applyEvent(e *entry, ev chart.Event, now time.Time) {
	t, err := targetChart.Next(e.state, ev)
	if err != nil || t.To == e.state {
		return
	}
	r.cfg.Log.Info().Str("target", string(e.target.ID)).Str("event", string(ev)).
		Str("from", string(e.state)).Str("to", string(t.To)).Msg("target state changed")
	e.state = t.To
	if s, ok := targetStates[t.To]; ok {
		e.target.State = s
	}
	for _, a := range t.Actions {
		switch a {
		case actionStampReady:
			e.target.ReadySince = now
		case actionDrain:
			e.limiter.Drain()
		case actionForget:
			delete(r.targets, e.target.ID)
		case actionPublish:
			r.count("announce." + string(ev))
			r.notifyChange()
		}
	}
}

func (r *Registry) notifyChange() {
	if r.cfg.OnChange != nil {
		r.cfg.OnChange()
	}
}

func (r *Registry) count(name string) { metrics.GetOrRegisterCounter(name, r.cfg.Metrics).Inc(1) }
