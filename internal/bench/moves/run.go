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

// policy is the rule by which a version is taken back.
type policy int

const (
	policyEvidence  policy = iota // the evidence of pkg/move
	policyThreshold               // fixed steps and a fixed error threshold
	policyNone                    // fixed steps only
	policyCount
)

// Times of the simulation.
const (
	stepLength    = 100 * time.Millisecond
	longTick      = time.Second // tick period where only the schedule matters, to bound the run time
	reportPeriod  = time.Second
	callTimeout   = 2 * time.Second
	medianLatency = 5 * time.Millisecond
	latencySpread = 0.4 // sigma of the logarithm
)

// Delays of a veto to another node. They simulate the gossip, which is measured
// elsewhere.
const (
	vetoDelayMin    = 5 * time.Millisecond
	vetoDelayMax    = 300 * time.Millisecond
	vetoDelayRepair = 1500 * time.Millisecond // for one message in a hundred, which takes the repair path
)

// run is one simulated move.
type run struct {
	scenario      *scenario
	size          *meshSize
	policy        policy
	rate          float64 // calls of the moved service per second and data centre
	window        time.Duration
	tickPeriod    time.Duration
	entryNodes    int     // nodes in each data centre that callers use; 0 means all
	simulateUntil float64 // end as a fraction of the window
	rng           *rand.Rand
	faultSite     faultSite

	nodes            []*node
	byID             map[mesh.HostID]*node
	byDC             [][]*node // nodes by data centre
	liveIDs          [][]mesh.HostID
	allIDs           []mesh.HostID
	routes           [2]*moveRoute
	now              time.Duration
	unanswered       []pendingCall
	vetoDeliveries   []vetoDelivery
	threshold        errorThreshold
	reports          []source.Report
	onStep           func(r *run)
	result           result
	reportsDecidedAt time.Duration
}

type node struct {
	host
	controller *move.Controller
	vetoed     bool
}

type pendingCall struct {
	at      time.Duration
	node    *node
	outcome move.Outcome
}

type vetoDelivery struct {
	at   time.Duration
	node *node
	veto source.Veto
}

// result holds the measurements of one run.
type result struct {
	scenario                  *scenario
	vetoedAt                  time.Duration // first veto; negative without one
	zeroShareAt               time.Duration // share zero on all nodes; negative if never
	doneAt                    time.Duration // done report; negative without one
	takenBackAt               time.Duration // taken-back report; negative without one
	badCalls                  int           // calls that reached the bad version from the first fault on
	calls                     int           // calls of the exposed routes in the window
	untrueReports, shareRises int
	maxEvidenceBytes          int // largest evidence message in bytes
	vetoEvidence              string
}

// simulate runs one move to its end.
func (r *run) simulate() result {
	r.setUp()
	end := time.Duration(float64(r.window) * max(r.simulateUntil, r.scenario.simulateUntil))
	nextArrival := make([]time.Duration, r.size.dataCentres)
	for r.now < end {
		r.simulateCalls(nextArrival)
		r.now += stepLength
		r.deliverDue()
		r.tick()
		if r.onStep != nil {
			r.onStep(r)
		}
		if r.result.takenBackAt >= 0 {
			break
		}
	}
	r.countRemainingCalls()
	return r.result
}

// countRemainingCalls adds the expected calls of the rest of the window after the
// simulation has ended early.
func (r *run) countRemainingCalls() {
	if remaining := r.window - r.now; remaining > 0 {
		calls := remaining.Seconds() * r.rate * float64(r.size.dataCentres)
		if r.scenario.exposedRoute >= 0 {
			calls /= 2 // both routes get equally many calls
		}
		r.result.calls += int(calls)
	}
}

func (r *run) setUp() {
	r.result = result{scenario: r.scenario, vetoedAt: -1, zeroShareAt: -1, doneAt: -1, takenBackAt: -1}
	r.faultSite = faultSite{dc: r.rng.IntN(r.size.dataCentres), host: r.rng.IntN(r.size.movedHosts), start: r.rng.Float64() * 0.9}
	r.byID = map[mesh.HostID]*node{}
	r.byDC = make([][]*node, r.size.dataCentres)
	r.liveIDs = make([][]mesh.HostID, r.size.dataCentres)
	snap := r.size.snapshot(r.window)
	for i := range r.routes {
		r.routes[i] = &moveRoute{rule: &snap.Rules[i], route: snap.Rules[i].Route()}
	}
	for _, h := range r.size.hosts() {
		n := &node{host: h}
		n.controller = move.NewController(move.Config{
			Self: h.id, DataCentre: dcNames[h.dc], Instance: 1,
			Hosts:     func() []mesh.HostID { return r.liveIDs[h.dc] },
			MeshHosts: func() []mesh.HostID { return r.allIDs },
			OnVeto:    func(v source.Veto) { r.spreadVeto(n, v) },
		})
		n.controller.Apply(snap)
		r.nodes = append(r.nodes, n)
		r.byID[h.id] = n
		r.allIDs = append(r.allIDs, h.id)
		r.byDC[h.dc] = append(r.byDC[h.dc], n)
		r.liveIDs[h.dc] = append(r.liveIDs[h.dc], h.id)
	}
}

// progress returns the elapsed fraction of the window.
func (r *run) progress() float64 { return float64(r.now) / float64(r.window) }

func (r *run) wallTime() time.Time { return startTime.Add(r.now) }

// spreadVeto schedules the delivery of a veto to all other nodes.
func (r *run) spreadVeto(from *node, v source.Veto) {
	if r.result.vetoedAt < 0 {
		r.result.vetoedAt, r.result.vetoEvidence = r.now, v.Evidence
	}
	from.vetoed = true
	for _, n := range r.nodes {
		if n == from {
			continue
		}
		delay := vetoDelayMin + time.Duration(r.rng.Int64N(int64(vetoDelayMax-vetoDelayMin)))
		if r.rng.IntN(100) == 0 {
			delay = vetoDelayRepair
		}
		r.vetoDeliveries = append(r.vetoDeliveries, vetoDelivery{r.now + delay, n, v})
	}
}

// deliverDue delivers the vetoes and the outcomes that are due.
func (r *run) deliverDue() {
	pending := r.vetoDeliveries[:0]
	for _, d := range r.vetoDeliveries {
		if d.at > r.now {
			pending = append(pending, d)
			continue
		}
		d.node.vetoed = true
		d.node.controller.ApplyVeto(d.veto)
	}
	r.vetoDeliveries = pending
	i := 0
	for ; i < len(r.unanswered) && r.unanswered[i].at <= r.now; i++ {
		r.observe(r.unanswered[i].node, r.unanswered[i].outcome)
	}
	r.unanswered = r.unanswered[i:]
}

func (r *run) observe(n *node, o move.Outcome) {
	switch r.policy {
	case policyEvidence:
		n.controller.Observe(o)
	case policyThreshold:
		r.threshold.observe(r.now, &o)
	}
}

// tick advances the controllers, exchanges evidence and decides reports.
func (r *run) tick() {
	period := r.tickPeriod
	if r.policy != policyEvidence || (r.now > r.window && !r.scenario.bad) {
		period = longTick // only the schedule changes the shares
	}
	if r.now%period == 0 {
		for _, n := range r.nodes {
			n.controller.Tick(r.wallTime())
		}
	}
	if r.policy == policyEvidence {
		r.exchangeEvidence()
	}
	if r.policy == policyThreshold && r.result.vetoedAt < 0 && r.now%time.Second == 0 && r.threshold.isExceeded(r.now) {
		v := source.Veto{Service: r.size.movedService, Version: newVersion, Attempt: 1, Evidence: "error rate above the threshold"}
		r.spreadVeto(r.nodes[0], v)
		r.nodes[0].controller.ApplyVeto(v)
	}
	r.checkShares()
}

// exchangeEvidence sends the evidence of each node to the evaluators.
func (r *run) exchangeEvidence() {
	for _, n := range r.nodes {
		if !n.controller.EvidenceDue() {
			continue
		}
		out := n.controller.OutgoingEvidence()
		for _, to := range slices.Sorted(maps.Keys(out)) {
			list := out[to]
			if r.now > r.window/2 && r.now < r.window/2+2*time.Second {
				if b, err := move.EncodeEvidence(list); err == nil {
					r.result.maxEvidenceBytes = max(r.result.maxEvidenceBytes, len(b))
				}
			}
			r.byID[to].controller.MergeEvidence(n.id, list)
		}
	}
}

// simulateCalls simulates the calls of one step. nextArrival holds the time of the
// next call by data centre.
func (r *run) simulateCalls(nextArrival []time.Duration) {
	if r.rate == 0 {
		return
	}
	load := 1.0
	if r.scenario.load != nil {
		load = r.scenario.load(r.progress())
	}
	for dc := range nextArrival {
		// Two thirds of the calls go to the moved service, a third to the other one.
		mean := float64(time.Second) / (r.rate * load * 1.5)
		for nextArrival[dc] < r.now+stepLength {
			if nextArrival[dc] >= r.now {
				r.simulateCall(dc, load)
			}
			nextArrival[dc] += time.Duration(r.rng.ExpFloat64() * mean)
		}
	}
}

func (r *run) latency(e effect) time.Duration {
	return time.Duration(float64(medianLatency) * math.Exp(latencySpread*r.rng.NormFloat64()) * max(1, e.slow))
}
