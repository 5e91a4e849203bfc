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
	// Instance must be larger than in any earlier process of this host, for
	// example the start time in nanoseconds.
	Instance uint64
	// Hosts returns the live hosts of the data centre; nil means this host alone.
	Hosts func() []mesh.HostID
	// MeshHosts returns the live hosts of all data centres. With nil, versions are
	// judged by data centre only.
	MeshHosts func() []mesh.HostID
	// OnVeto is called once for each version that this node takes back. It is
	// called by Observe and Tick and must not block.
	OnVeto func(source.Veto)
	// OnFault is called once for each move whose version fails after the watch
	// period. It must not block.
	OnFault func(move mesh.MoveID, evidence string)
	// Monotonic returns the time since any fixed moment, unaffected by changes of
	// the wall clock; nil takes the monotonic part of the times given to Tick.
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
	Veto     *source.Veto // why it was taken back
	Fault    string       // fault seen after the watch period
}

// Controller decides the share of each move on one node. It is safe for
// concurrent use.
type Controller struct {
	cfg   Config
	table atomic.Pointer[chooseTable]

	mu           sync.Mutex
	applied      bool
	version      mesh.ConfigVersion
	now          time.Time
	mono         time.Duration
	first        time.Time
	made         uint64        // number of moves started, part of their instance
	order        []mesh.MoveID // keys of moves, sorted
	sentAll      time.Duration // when OutgoingEvidence last sent all evidence
	moves        map[mesh.MoveID]*progress
	vetoes       map[mesh.ServiceVersion]source.Veto // the one with the highest attempt
	calls        map[callKey]callRef
	ruleIDs      map[*rules.Rule]mesh.MoveID // rules of the applied snapshot
	rulesChanged bool                        // since the table was published
	own          *store                      // what this node saw
	merged       *store                      // what other nodes sent
	sums         *store                      // what the evaluators of data centres sent
	pools        map[poolKey]*pool
	control      *control
	pace         pace
	pending      []func() // callbacks to run after unlocking
}

// progress is one move on this node.
type progress struct {
	id       mesh.MoveID
	rule     rules.Rule
	schedule Schedule
	state    chart.State
	step     int           // -1 before the first step
	stepAt   time.Duration // monotonic
	instance uint64
	oldGone  bool // only the new version still has targets
	absent   bool // the new version has no target while the old one has
	hosts    map[mesh.DataCentre]hostCount
	veto     *source.Veto
	fault    string
	streams  map[mesh.DataCentre]*stream
	centres  []mesh.DataCentre // keys of streams, sorted, so that runs repeat exactly
	duty     duty

	controlBase map[mesh.DataCentre]*Counters // calls to other services before they were counted

	seenChanged   bool // since the last OutgoingEvidence, by this node's calls
	mergedChanged bool // the same by other nodes' evidence
}

// hostCount is the number of target hosts of each version in a data centre.
type hostCount struct{ fresh, old int }

type callKey struct {
	service mesh.ServiceName
	version mesh.TargetVersion
	route   string
}

type callRef struct {
	move *progress
	side Side
}

// NewController returns a controller without moves.
func NewController(cfg Config) *Controller {
	c := &Controller{
		cfg:     cfg,
		moves:   map[mesh.MoveID]*progress{},
		vetoes:  map[mesh.ServiceVersion]source.Veto{},
		calls:   map[callKey]callRef{},
		own:     newStore(),
		merged:  newStore(),
		sums:    newStore(),
		pools:   map[poolKey]*pool{},
		control: newControl(),
		pace:    pace{tokens: earlyTokens},
	}
	c.table.Store(&chooseTable{})
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

// Version returns the newest version that was applied.
func (c *Controller) Version() mesh.ConfigVersion {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version
}

// Evidence returns what this node has seen of all moves. The counters are
// cumulative, so a lost or repeated message does no harm. OutgoingEvidence says where it goes.
func (c *Controller) Evidence() []Evidence {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []Evidence
	for _, id := range c.order {
		p := c.moves[id]
		if p.judged() {
			c.countControl(p)
			list = append(list, c.own.list(id)...)
		}
	}
	return list
}

// MergeEvidence joins the evidence of another node. Evidence of moves that this
// node does not know is ignored; the sender repeats it.
func (c *Controller) MergeEvidence(from mesh.HostID, list []Evidence) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if from == c.cfg.Self {
		return // its own calls are counted already
	}
	for i := range list {
		e := &list[i]
		if p, ok := c.moves[e.Move]; ok && p.judged() {
			c.merge(p, from, e)
		}
	}
}

// Observe takes the outcome of a call. It implements Observer.
func (c *Controller) Observe(o Outcome) {
	c.mu.Lock()
	if ref, ok := c.calls[callKey{o.Service, o.Version, o.Route}]; ok {
		c.observeMove(ref.move, ref.side, &o)
	}
	c.control.add(&o)
	c.unlock()
}

// Tick advances the moves and judges the evidence. It is called several times a
// second with the wall clock time.
func (c *Controller) Tick(now time.Time) {
	c.mu.Lock()
	c.setTime(now)
	c.refreshControl()
	for _, id := range c.order {
		p := c.moves[id]
		c.judge(p)
		c.advance(p)
	}
	c.reap()
	c.publish()
	c.unlock()
}

func (c *Controller) setTime(now time.Time) {
	if c.first.IsZero() {
		c.first = now
	}
	c.now = now
	if c.cfg.Monotonic != nil {
		c.mono = c.cfg.Monotonic()
		return
	}
	c.mono = max(c.mono, now.Sub(c.first))
}

// unlock releases the lock and runs the callbacks that were collected under it.
func (c *Controller) unlock() {
	pending := c.pending
	c.pending = nil
	c.mu.Unlock()
	for _, f := range pending {
		f()
	}
}
