package soak

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/rollout"
	"nutmeghoist.example/nutmeghoist/pkg/traffic"
)

// buildConfig returns the configuration with the given version.
func buildConfig(version uint64) *traffic.Config {
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
			Timeout: callTimeout, LatencyTarget: 400 * time.Millisecond, Priority: 1, MaxAttempts: 2,
			Split: []traffic.WeightedService{{Service: s, Weight: 1}},
		})
	}
	add("/orders/", serviceByPrefix["/orders/"], false)
	add("/lookups/", serviceByPrefix["/lookups/"], true)
	for v := version; v > 1 && v+addedRouteVersions > version; v-- {
		add(fmt.Sprintf("/added%d/", v), services[1], true)
	}
	return c
}

// run is one call that a target ran.
type run struct {
	id     string
	target *target
	at     time.Time
	acked  time.Time // when the target's drain was acknowledged; zero if it was not yet
	path   string
	caller string
	// Of an upload: when its target no longer worked on it, zero if it did to the end, and
	// whether it stopped since the other side closed its connection before the deadline that
	// the target had received.
	end       time.Time
	brokenOff bool
}

// outcome is the result of a call as seen by its caller.
type outcome struct {
	id, path      string
	node          *node
	processNumber int // of the node's processes, from 1
	begin, end    time.Time
	unsafe        bool // not idempotent: must not run twice
	crashing      bool // ends each target that runs it
	reused        bool // the connection had been used before
	addedRoute    bool // uses a route added by version
	version       uint64
	status        int // HTTP status; 0 if the connection ended without an answer
	timeout       bool
	complete      bool // the answer is complete and belongs to the call
	malformed     bool // what came is no answer; status is 0
	// What the answer says of its target, with status 200.
	target                 mesh.TargetID
	saysLimit, saysLeaving bool
	upload                 *upload // nil for other calls
	cause                  error   // why there is no answer; only in reports
}

// fault is one injected fault.
type fault struct {
	kind        string
	node, other *node
	begin, end  time.Time // end is zero while the fault is active
}

// rolloutResult is the result of a rollout.
type rolloutResult struct {
	service mesh.ServiceName
	bad     bool // the new version fails half of its calls
	state   rollout.State
	began   time.Time
}

// journal records outcomes, runs, injected faults and rollouts.
type journal struct {
	mu       sync.Mutex
	runs     []run
	crashes  []crash
	retired  map[mesh.ServiceVersion]bool
	outcomes []outcome
	faults   []*fault
	rollouts []rolloutResult
	limits   []*rateLimitSpan
	// evacuations are the times in which data centres were evacuated.
	evacuations []*evacuationSpan
	claimed     map[mesh.ServiceName]bool // services whose rollout has begun
	stops       map[process]time.Time     // first SIGTERM to each process
	kills       map[*node][]time.Time
	explain     func(*outcome) string // what the node's log says of a call
	violations  []string
}

func newJournal() *journal {
	return &journal{claimed: make(map[mesh.ServiceName]bool), retired: make(map[mesh.ServiceVersion]bool), stops: make(map[process]time.Time), kills: make(map[*node][]time.Time)}
}

func (j *journal) addViolation(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.violations = append(j.violations, fmt.Sprintf(format, args...))
}

// recordRun records a run and returns its number.
func (j *journal) recordRun(r run) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs = append(j.runs, r)
	return len(j.runs) - 1
}

// endRun records that a target no longer works on a call.
func (j *journal) endRun(number int, brokenOff bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs[number].end, j.runs[number].brokenOff = time.Now(), brokenOff
}

// recordStop records a signal that ends a process.
func (j *journal) recordStop(p process, s syscall.Signal) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if s == syscall.SIGKILL {
		j.kills[p.node] = append(j.kills[p.node], time.Now())
		return
	}
	if _, ok := j.stops[p]; !ok {
		j.stops[p] = time.Now()
	}
}

func (j *journal) recordOutcome(o outcome) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.outcomes = append(j.outcomes, o)
}

func (j *journal) beginFault(kind string, n, other *node) *fault {
	j.mu.Lock()
	defer j.mu.Unlock()
	f := &fault{kind: kind, node: n, other: other, begin: time.Now()}
	j.faults = append(j.faults, f)
	return f
}

func (j *journal) endFault(f *fault) {
	j.mu.Lock()
	defer j.mu.Unlock()
	f.end = time.Now()
}

func (j *journal) claimRollout(s mesh.ServiceName) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	free := !j.claimed[s]
	j.claimed[s] = true
	return free
}

func (j *journal) recordRollout(s mesh.ServiceName, bad bool, state rollout.State, began time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.rollouts = append(j.rollouts, rolloutResult{s, bad, state, began})
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
