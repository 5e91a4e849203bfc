package soak

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/rollout"
	"nutmeghoist.example/nutmeghoist/pkg/traffic"
)

// configOf returns the configuration of a version.
func configOf(version uint64) *traffic.Config {
	c := &traffic.Config{
		Version: version, Services: map[mesh.ServiceName]traffic.Service{},
		Limits: traffic.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
	for _, s := range services {
		c.Services[s] = traffic.Service{HealthPath: "/health", MaxConnections: 60}
	}
	add := func(prefix string, s mesh.ServiceName, idempotent bool) {
		c.Routes = append(c.Routes, traffic.Route{
			Name: "r" + strings.Trim(prefix, "/"), Host: "mesh.example", Prefix: prefix, Idempotent: idempotent,
			Timeout: deadline, LatencyTarget: 400 * time.Millisecond, Priority: 1, MaxAttempts: 2,
			Split: []traffic.WeightedService{{Service: s, Weight: 1}},
		})
	}
	add("/orders/", servedBy["/orders/"], false)
	add("/lookups/", servedBy["/lookups/"], true)
	for v := version; v > 1 && v+keptRoutes > version; v-- {
		add(fmt.Sprintf("/added%d/", v), services[1], true)
	}
	return c
}

// run is one call that a target ran.
type run struct {
	id     string
	target *target
	at     time.Time
	acked  time.Time // when the target's leaving had been acknowledged
	path   string
	caller string
}

// outcome is what a caller got.
type outcome struct {
	id, path   string
	n          *node
	start      int // which process of the node, by its starts
	begin, end time.Time
	unsafe     bool
	kept       bool // the connection had been used before
	added      bool // by a route that came with version
	version    uint64
	status     int // 0: the connection ended without an answer
	timeout    bool
	whole      bool
}

// fault is one injected fault.
type fault struct {
	kind       string
	n, other   *node
	begin, end time.Time // end is zero while it lasts
}

// moved is how a rollout ended.
type moved struct {
	service mesh.ServiceName
	bad     bool
	state   rollout.State
	began   time.Time
}

// journal keeps what callers, targets and the schedule saw.
type journal struct {
	mu       sync.Mutex
	runs     []run
	outcomes []outcome
	faults   []*fault
	moves    []moved
	moving   map[mesh.ServiceName]bool
	found    []string
}

func newJournal() *journal { return &journal{moving: make(map[mesh.ServiceName]bool)} }

func (j *journal) broken(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.found = append(j.found, fmt.Sprintf(format, args...))
}

func (j *journal) ran(r run) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs = append(j.runs, r)
}

func (j *journal) ended(o outcome) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.outcomes = append(j.outcomes, o)
}

func (j *journal) begin(kind string, n, other *node) *fault {
	j.mu.Lock()
	defer j.mu.Unlock()
	f := &fault{kind: kind, n: n, other: other, begin: time.Now()}
	j.faults = append(j.faults, f)
	return f
}

func (j *journal) end(f *fault) {
	j.mu.Lock()
	defer j.mu.Unlock()
	f.end = time.Now()
}

func (j *journal) claimRollout(s mesh.ServiceName) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	free := !j.moving[s]
	j.moving[s] = true
	return free
}

func (j *journal) rolledOut(s mesh.ServiceName, bad bool, state rollout.State, began time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.moves = append(j.moves, moved{s, bad, state, began})
}

type counts struct{ calls, answered, refused, unknown, runs, faults int }

func (j *journal) counts() counts {
	j.mu.Lock()
	defer j.mu.Unlock()
	c := counts{calls: len(j.outcomes), runs: len(j.runs), faults: len(j.faults)}
	for _, o := range j.outcomes {
		switch o.status {
		case 200:
			c.answered++
		case 503:
			c.refused++
		default:
			c.unknown++
		}
	}
	return c
}
