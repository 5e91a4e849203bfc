package move

import (
	"sync"
	"sync/atomic"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/chart"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/rules"
	"nutmeghoist.example/nutmeghoist/pkg/source"
)

// Config configures a Controller.
type Config struct {
	Self       mesh.HostID
	DataCentre mesh.DataCentre
	// Instance must be larger than in any earlier process on this host, for
	// example the start time in nanoseconds.
	Instance uint64
	// Hosts returns the live hosts of the data centre; nil means this host only.
	Hosts func() []mesh.HostID
	// MeshHosts returns the live hosts of all data centres. If it is nil, versions
	// are evaluated by data centre only.
	MeshHosts func() []mesh.HostID
	// OnVeto is called once for each version that this node rolls back. It is
	// called by Observe and Tick and must not block.
	OnVeto func(source.Veto)
	// OnFault is called once for each move whose version fails after the watch
	// period. It must not block.
	OnFault func(move mesh.MoveID, evidence string)
	// Monotonic returns the time since any fixed moment, unaffected by changes of
	// the wall clock. If it is nil, the monotonic part of the times given to Tick
	// is used.
	Monotonic func() time.Duration
}

// Status is the state of one move on this node.
type Status struct {
	Move     mesh.MoveID
	Service  mesh.ServiceName
	Version  mesh.TargetVersion
	From     mesh.TargetVersion
	Attempt  int
	Route    string
	Schedule Schedule
	Share    Share
	State    chart.State
	Veto     *source.Veto // reason for the rollback, nil without one
	Fault    string       // evidence of a fault after the watch period
}

// Controller decides the share of each move on one node. It is safe for
// concurrent use.
type Controller struct {
	cfg     Config
	choices atomic.Pointer[choiceTable]

	mu           sync.Mutex
	applied      bool
	version      mesh.ConfigVersion
	now          time.Time
	mono         time.Duration // monotonic time
	firstTime    time.Time     // of the first call of setTime, the origin of mono
	movesStarted uint64        // part of the instance of each move
	order        []mesh.MoveID // keys of moves, sorted
	allSentAt    time.Duration // when OutgoingEvidence last sent all evidence
	moves        map[mesh.MoveID]*progress
	vetoes       map[mesh.ServiceVersion]source.Veto // the one with the highest attempt
	moveSides    map[callKey]moveSide
	ruleIDs      map[*rules.Rule]mesh.MoveID // rules of the applied snapshot
	rulesChanged bool                        // since the table was published
	ownCounters  *counterStore               // calls of this node
	peerCounters *counterStore               // received from other nodes
	centreSums   *counterStore               // received from the evaluators of the data centres
	pooledTests  map[versionAttempt]*pooledTest
	control      *controlGroup
	pacer        evidencePacer
	callbacks    []func() // to run after unlocking
}

// progress is the internal state of one move on this node.
type progress struct {
	id             mesh.MoveID
	rule           rules.Rule
	schedule       Schedule
	state          chart.State
	step           int           // -1 before the first step
	stepAt         time.Duration // monotonic
	instance       uint64
	onlyNewTargets bool // the new version has targets, the old one has none
	noNewTargets   bool // the old version has targets, the new one has none
	hosts          map[mesh.DataCentre]hostCount
	veto           *source.Veto
	fault          string
	byCentre       map[mesh.DataCentre]*centreState
	centres        []mesh.DataCentre // sorted keys of byCentre, for a deterministic order
	role           evaluatorRole

	controlBase map[mesh.DataCentre]*Counters // calls to other services before their counting began

	ownChanged  bool // own counters changed since the last OutgoingEvidence
	peerChanged bool // peers' counters changed since the last OutgoingEvidence
}

// hostCount is the number of target hosts of each version in a data centre.
type hostCount struct{ newVersion, oldVersion int }

type callKey struct {
	service mesh.ServiceName
	version mesh.TargetVersion
	route   string
}

type moveSide struct {
	move *progress
	side Side
}

// NewController returns a controller without moves.
func NewController(cfg Config) *Controller {
	c := &Controller{
		cfg:          cfg,
		moves:        map[mesh.MoveID]*progress{},
		vetoes:       map[mesh.ServiceVersion]source.Veto{},
		moveSides:    map[callKey]moveSide{},
		ownCounters:  newCounterStore(),
		peerCounters: newCounterStore(),
		centreSums:   newCounterStore(),
		pooledTests:  map[versionAttempt]*pooledTest{},
		control:      newControlGroup(),
		pacer:        evidencePacer{tokens: maxEarlyTokens},
	}
	c.choices.Store(&choiceTable{})
	return c
}

// Moves returns the state of all moves, ordered by ID.
func (c *Controller) Moves() []Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]Status, 0, len(c.moves))
	for _, id := range c.order {
		p := c.moves[id]
		list = append(list, Status{
			Move: id, Service: p.rule.Service, Version: p.rule.Version, From: p.rule.From,
			Attempt: p.rule.Attempt, Route: p.rule.Route(), Schedule: p.schedule,
			Share: p.share(c.now), State: p.state, Veto: p.veto, Fault: p.fault,
		})
	}
	return list
}

// Version returns the newest configuration version that was applied.
func (c *Controller) Version() mesh.ConfigVersion {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version
}

// Evidence returns this node's counters of all moves. They are cumulative, so a
// lost or repeated message does no harm. OutgoingEvidence also returns where to
// send them.
func (c *Controller) Evidence() []Evidence {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []Evidence
	for _, id := range c.order {
		p := c.moves[id]
		if p.needsEvaluation() {
			c.updateControl(p)
			list = append(list, c.ownCounters.evidence(id)...)
		}
	}
	return list
}

// MergeEvidence merges the evidence of another node. It ignores evidence of
// moves that this node does not have yet, since the sender repeats it.
func (c *Controller) MergeEvidence(from mesh.HostID, list []Evidence) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if from == c.cfg.Self {
		return // this node's calls are already counted
	}
	for i := range list {
		e := &list[i]
		if p, ok := c.moves[e.Move]; ok && p.needsEvaluation() {
			c.mergeMoveEvidence(p, from, e)
		}
	}
}

// Observe counts the outcome of a call. It implements Observer.
func (c *Controller) Observe(o Outcome) {
	c.mu.Lock()
	if ref, ok := c.moveSides[callKey{o.Service, o.Version, o.Route}]; ok {
		c.recordOutcome(ref.move, ref.side, &o)
	}
	c.control.add(&o)
	c.unlock()
}

// Tick advances the moves and evaluates the evidence. It must be called several
// times a second with the wall clock time.
func (c *Controller) Tick(now time.Time) {
	c.mu.Lock()
	c.setTime(now)
	c.refreshSlowBuckets()
	for _, id := range c.order {
		p := c.moves[id]
		c.evaluate(p)
		c.advance(p)
	}
	c.removeWithdrawn()
	c.publish()
	c.unlock()
}

func (c *Controller) setTime(now time.Time) {
	if c.firstTime.IsZero() {
		c.firstTime = now
	}
	c.now = now
	if c.cfg.Monotonic != nil {
		c.mono = c.cfg.Monotonic()
		return
	}
	c.mono = max(c.mono, now.Sub(c.firstTime))
}

// unlock releases the lock and then runs the callbacks that were added while it
// was held.
func (c *Controller) unlock() {
	callbacks := c.callbacks
	c.callbacks = nil
	c.mu.Unlock()
	for _, f := range callbacks {
		f()
	}
}
