package moves

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/move"
	"nutmeghoist.example/nutmeghoist/pkg/source"
)

// policy decides what takes a version back.
type policy int

const (
	policyJudged    policy = iota // pkg/move with its evidence
	policyThreshold               // fixed steps and a plain error threshold
	policyNone                    // fixed steps only
	policies
)

// Time of the simulation.
const (
	step          = 100 * time.Millisecond
	slowTick      = time.Second // the same where only the schedule matters, to bound the run time
	reportPeriod  = time.Second
	callTimeout   = 2 * time.Second
	medianLatency = 5 * time.Millisecond
	latencySpread = 0.4 // sigma of the logarithm
)

// spread of a veto to another node: a stand-in for the gossip, whose own
// measurement is made elsewhere.
const (
	spreadMin  = 5 * time.Millisecond
	spreadMax  = 300 * time.Millisecond
	spreadLate = 1500 * time.Millisecond // one message in a hundred takes the repair path
)

// run is one simulated move.
type run struct {
	kind     *kind
	size     *size
	policy   policy
	rate     float64 // calls of the moved service per second and data centre
	window   time.Duration
	tickEach time.Duration
	entry    int     // nodes in each data centre that callers use; 0 means all
	until    float64 // end as a part of the window
	rng      *rand.Rand
	roll     roll

	nodes    []*node
	byID     map[mesh.HostID]*node
	byDC     [][]*node // nodes by data centre
	liveIDs  [][]mesh.HostID
	allIDs   []mesh.HostID
	routes   [2]*ruleRef
	now      time.Duration
	silent   []pendingCall
	vetoes   []delivery
	plain    plainThreshold
	reports  []source.Report
	onStep   func(r *run)
	result   result
	reported time.Duration
}

type node struct {
	host
	c      *move.Controller
	vetoed bool
}

type pendingCall struct {
	at time.Duration
	n  *node
	o  move.Outcome
}

type delivery struct {
	at time.Duration
	n  *node
	v  source.Veto
}

// result is what a run is judged by.
type result struct {
	kind         *kind
	decided      time.Duration // first veto; negative without one
	zero         time.Duration // share zero on all nodes; negative when never
	done         time.Duration // done report; negative without one
	takenBack    time.Duration // taken-back report; negative without one
	badCalls     int           // calls that reached the bad version from the first fault on
	calls        int           // calls of the routes in the window
	untrue, rose int
	evidence     int // largest evidence message in bytes
	text         string
}

// simulate runs one move to its end.
func (r *run) simulate() result {
	r.setUp()
	end := time.Duration(float64(r.window) * max(r.until, r.kind.watchUntil))
	next := make([]time.Duration, r.size.dataCentres)
	for r.now < end {
		r.stepCalls(next)
		r.now += step
		r.deliver()
		r.tick()
		if r.onStep != nil {
			r.onStep(r)
		}
		if r.result.takenBack >= 0 {
			break
		}
	}
	r.countRest()
	return r.result
}

// countRest adds the expected calls of the rest of the window after an early end.
func (r *run) countRest() {
	if rest := r.window - r.now; rest > 0 {
		calls := rest.Seconds() * r.rate * float64(r.size.dataCentres)
		if r.kind.route >= 0 {
			calls /= 2 // both routes get as many calls
		}
		r.result.calls += int(calls)
	}
}

func (r *run) setUp() {
	r.result = result{kind: r.kind, decided: -1, zero: -1, done: -1, takenBack: -1}
	r.roll = roll{dc: r.rng.IntN(r.size.dataCentres), host: r.rng.IntN(r.size.movedHosts), from: r.rng.Float64() * 0.9}
	r.byID = map[mesh.HostID]*node{}
	r.byDC = make([][]*node, r.size.dataCentres)
	r.liveIDs = make([][]mesh.HostID, r.size.dataCentres)
	sn := r.size.snapshot(r.window)
	for i := range r.routes {
		r.routes[i] = &ruleRef{rule: &sn.Rules[i], route: sn.Rules[i].Route()}
	}
	for _, h := range r.size.hosts() {
		n := &node{host: h}
		n.c = move.NewController(move.Config{
			Self: h.id, DataCentre: dcNames[h.dc], Instance: 1,
			Hosts:     func() []mesh.HostID { return r.liveIDs[h.dc] },
			MeshHosts: func() []mesh.HostID { return r.allIDs },
			OnVeto:    func(v source.Veto) { r.spread(n, v) },
		})
		n.c.Apply(sn)
		r.nodes = append(r.nodes, n)
		r.byID[h.id] = n
		r.allIDs = append(r.allIDs, h.id)
		r.byDC[h.dc] = append(r.byDC[h.dc], n)
		r.liveIDs[h.dc] = append(r.liveIDs[h.dc], h.id)
	}
}

// at returns the part of the window that has passed.
func (r *run) at() float64 { return float64(r.now) / float64(r.window) }

func (r *run) wall() time.Time { return epoch.Add(r.now) }

// spread sends a veto to all nodes that do not know it yet.
func (r *run) spread(from *node, v source.Veto) {
	if r.result.decided < 0 {
		r.result.decided, r.result.text = r.now, v.Evidence
	}
	from.vetoed = true
	for _, n := range r.nodes {
		if n == from {
			continue
		}
		d := spreadMin + time.Duration(r.rng.Int64N(int64(spreadMax-spreadMin)))
		if r.rng.IntN(100) == 0 {
			d = spreadLate
		}
		r.vetoes = append(r.vetoes, delivery{r.now + d, n, v})
	}
}

// deliver hands over vetoes and outcomes that are due.
func (r *run) deliver() {
	rest := r.vetoes[:0]
	for _, d := range r.vetoes {
		if d.at > r.now {
			rest = append(rest, d)
			continue
		}
		d.n.vetoed = true
		d.n.c.ApplyVeto(d.v)
	}
	r.vetoes = rest
	i := 0
	for ; i < len(r.silent) && r.silent[i].at <= r.now; i++ {
		r.observe(r.silent[i].n, r.silent[i].o)
	}
	r.silent = r.silent[i:]
}

func (r *run) observe(n *node, o move.Outcome) {
	switch r.policy {
	case policyJudged:
		n.c.Observe(o)
	case policyThreshold:
		r.plain.observe(r.now, &o)
	}
}

// tick advances the controllers, exchanges evidence and decides reports.
func (r *run) tick() {
	period := r.tickEach
	if r.policy != policyJudged || (r.now > r.window && !r.kind.bad) {
		period = slowTick // nothing happens between two steps of the schedule
	}
	if r.now%period == 0 {
		for _, n := range r.nodes {
			n.c.Tick(r.wall())
		}
	}
	if r.policy == policyJudged {
		r.exchange()
	}
	if r.policy == policyThreshold && r.result.decided < 0 && r.now%time.Second == 0 && r.plain.exceeded(r.now) {
		v := source.Veto{Service: r.size.moved, Version: newVersion, Attempt: 1, Evidence: "error rate above the threshold"}
		r.spread(r.nodes[0], v)
		r.nodes[0].c.ApplyVeto(v)
	}
	r.check()
}

// exchange sends the evidence of each node to the evaluators.
func (r *run) exchange() {
	for _, n := range r.nodes {
		if !n.c.EvidenceDue() {
			continue
		}
		out := n.c.OutgoingEvidence()
		for _, to := range slices.Sorted(maps.Keys(out)) {
			list := out[to]
			if r.now > r.window/2 && r.now < r.window/2+2*time.Second {
				if b, err := move.EncodeEvidence(list); err == nil {
					r.result.evidence = max(r.result.evidence, len(b))
				}
			}
			r.byID[to].c.MergeEvidence(n.id, list)
		}
	}
}

// stepCalls runs the calls of one step; next holds the next arrival by data centre.
func (r *run) stepCalls(next []time.Duration) {
	if r.rate == 0 {
		return
	}
	load := 1.0
	if r.kind.load != nil {
		load = r.kind.load(r.at())
	}
	for dc := range next {
		// Two thirds of the calls go to the moved service, a third to the other one.
		mean := float64(time.Second) / (r.rate * load * 1.5)
		for next[dc] < r.now+step {
			if next[dc] >= r.now {
				r.call(dc, load)
			}
			next[dc] += time.Duration(r.rng.ExpFloat64() * mean)
		}
	}
}

func (r *run) latency(e effect) time.Duration {
	return time.Duration(float64(medianLatency) * math.Exp(latencySpread*r.rng.NormFloat64()) * max(1, e.slow))
}
