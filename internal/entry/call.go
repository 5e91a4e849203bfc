package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"nutmeghoist.example/nutmeghoist/internal/header"
	"nutmeghoist.example/nutmeghoist/internal/hop"
	"nutmeghoist.example/nutmeghoist/internal/view"
	"nutmeghoist.example/nutmeghoist/pkg/admission"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/retry"
	"nutmeghoist.example/nutmeghoist/pkg/routing"
	"nutmeghoist.example/nutmeghoist/pkg/traffic"
)

const (
	// maxPlaces bounds the targets that are asked for one call. Asking one that
	// refuses costs a round trip, not an attempt.
	maxPlaces = 3
	// defaultRetryAfter is told when nothing is known of when there will be room.
	defaultRetryAfter = 250 * time.Millisecond
	// stopRetryAfter is told by a node that stops: the time in which another
	// process or another node takes the calls.
	stopRetryAfter = time.Second
	// startHold is how long after its start a node lets calls wait for the
	// configuration and for targets. Nodes that start together know both within
	// 0.2 to 0.5 s (journal, days that end with a loss of power); a caller that is
	// refused comes back later than that.
	startHold = 600 * time.Millisecond
	startPoll = 10 * time.Millisecond
	// maxDeadline bounds the time of a call whose caller names none.
	maxDeadline = time.Minute
)

// The reasons for an answer of the node's own.
const (
	reasonNotReady   = "not_ready"
	reasonStopping   = "stopping" // the node stops too soon for a whole call
	reasonBadRequest = "bad_request"
	reasonNoRoute    = "no_route"
	reasonNoTarget   = "no_target"
	reasonDeadline   = "deadline"
	reasonCancelled  = "cancelled" // the caller left
	reasonNodeDown   = "node_unreachable"
	reasonNodeLost   = "node_lost"
)

// Local runs calls at the target of this host.
type Local interface {
	Call(ctx context.Context, r *hop.Request) *hop.Response
}

// Observer sees each attempt that reached a target, for rollouts.
type Observer interface {
	Begin(s *view.Service, isNew bool)
	End(s *view.Service, isNew bool, route string, failed bool, took time.Duration)
}

// Config holds what an entry needs.
type Config struct {
	Self        mesh.HostID
	IP          net.IP
	Service     mesh.ServiceName // of this host; calls that begin here are sent in its name
	HeaderNames traffic.Headers
	// Snapshot returns the snapshot in force, or nil.
	Snapshot func() *view.Snapshot
	Local    Local
	Observer Observer
	// RetryBurst returns the repeats that this node may save up for a service.
	RetryBurst func() int
	// RemoteCost and RemoteByteCost are what a call to another data centre costs,
	// see routing.CostParams: for each call, and for each byte of its answer.
	RemoteCost     time.Duration
	RemoteByteCost time.Duration
	WarmUp         time.Duration // how long a target is slow after its start
	Metrics        metrics.Registry
	Log            *log.Logger
}

// Entry runs the calls that begin on this host. It is safe for concurrent use.
type Entry struct {
	cfg      Config
	started  time.Time
	stopping atomic.Bool
	splitter traffic.Splitter
	drawer   view.VersionSplitter
	rng      *rand.Rand
	routes   routeStats
	repeats  repeats

	mu      sync.Mutex
	pools   map[string]*hop.Pool
	budgets map[mesh.ServiceName]*retry.Budget // each service bears only a share of its own calls again
}

// globalSource draws from the process-wide generator, which is safe for
// concurrent use.
type globalSource struct{}

func (globalSource) Uint64() uint64 { return rand.Uint64() }

// New returns an entry.
func New(cfg Config) *Entry {
	return &Entry{cfg: cfg, started: time.Now(), rng: rand.New(globalSource{}), pools: make(map[string]*hop.Pool), budgets: make(map[mesh.ServiceName]*retry.Budget)}
}

// budget returns the repeats that are left for a service.
func (e *Entry) budget(service mesh.ServiceName) *retry.Budget {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := e.budgets[service]
	if b == nil {
		b = retry.NewBudget()
		e.budgets[service] = b
	}
	b.SetBurst(e.cfg.RetryBurst())
	return b
}

// Pool returns the connections to a node.
func (e *Entry) Pool(address string) *hop.Pool {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.pools[address]
	if p == nil {
		p = hop.NewPool(e.cfg.IP, address)
		e.pools[address] = p
	}
	return p
}

// PrunePools closes the connections to nodes that are gone.
func (e *Entry) PrunePools(keep map[string]bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for address, p := range e.pools {
		if !keep[address] {
			p.Close()
			delete(e.pools, address)
		}
	}
}

// Stop refuses new calls; those that were taken go on.
func (e *Entry) Stop() { e.stopping.Store(true) }

// call is one call of a caller.
type call struct {
	e        *Entry
	ctx      context.Context
	caller   context.Context // ends when the caller has left
	req      *Request
	id       string
	snapshot *view.Snapshot
	route    *traffic.Route
	budget   *retry.Budget
	deadline time.Time
	aim      time.Time

	places   int // targets that were asked
	attempts int // targets that the call was sent to
	sheds    int
	unknown  bool // the call may have run
	tried    routing.PreviousAttempts
	failed   *hop.Response // a server error that is given when nothing better comes
	reason   string
	after    time.Duration
	target   mesh.TargetID // the last one
}

// Handle runs a call and returns the answer for the caller.
func (e *Entry) Handle(ctx context.Context, req *Request) *Response {
	c := &call{e: e, caller: ctx, req: req, id: req.Header.Get(e.cfg.HeaderNames.RequestID), snapshot: e.cfg.Snapshot()}
	e.count("calls.received")
	c.awaitStart()
	a := c.prepare()
	if a == nil {
		var cancel context.CancelFunc
		c.ctx, cancel = context.WithDeadline(ctx, c.deadline)
		defer cancel()
		a = c.run()
	}
	c.report(a)
	return a
}

// awaitStart lets a call wait while the node has just started and does not know
// yet where the call can go, for at most half of the call's time.
func (c *call) awaitStart() {
	until := c.e.started.Add(startHold)
	if time.Now().After(until) {
		return
	}
	if named, ok := c.named(); ok && c.req.Arrived.Add(named/2).Before(until) {
		until = c.req.Arrived.Add(named / 2)
	}
	for !c.placeable() && time.Now().Before(until) && c.caller.Err() == nil && !c.e.stopping.Load() {
		time.Sleep(startPoll)
		c.snapshot = c.e.cfg.Snapshot()
	}
}

// named returns the time that the caller says it waits.
func (c *call) named() (time.Duration, bool) {
	ms, err := strconv.ParseInt(c.req.Header.Get(c.e.cfg.HeaderNames.DeadlineMs), 10, 64)
	return time.Duration(ms) * time.Millisecond, err == nil
}

// placeable reports whether the node knows a target for the call, or that the
// call has no route.
func (c *call) placeable() bool {
	if c.snapshot == nil {
		return false
	}
	route := c.snapshot.Matcher.Match(c.req.Host, c.req.Path)
	if route == nil {
		return true
	}
	for _, part := range route.Split {
		if s := c.snapshot.Services[part.Service]; s != nil && s.Stable != nil && s.Stable.Len() > 0 {
			return true
		}
	}
	return false
}

// prepare finds the route and the deadline; it returns the answer to a call
// that cannot be placed.
func (c *call) prepare() *Response {
	if c.snapshot == nil {
		return c.refuse(http.StatusServiceUnavailable, reasonNotReady, defaultRetryAfter)
	}
	if c.e.stopping.Load() {
		return c.refuse(http.StatusServiceUnavailable, reasonStopping, stopRetryAfter)
	}
	if c.id == "" {
		return c.refuse(http.StatusBadRequest, reasonBadRequest, 0)
	}
	c.route = c.snapshot.Matcher.Match(c.req.Host, c.req.Path)
	if c.route == nil {
		return c.refuse(http.StatusNotFound, reasonNoRoute, 0)
	}
	limit, spent := min(c.route.Timeout, maxDeadline), time.Duration(0)
	if named, ok := c.named(); ok {
		limit = min(limit, named)
		spent = c.e.repeats.spent(c.route.Name, named, c.req.Arrived)
	}
	c.deadline = c.req.Arrived.Add(limit)
	c.aim = c.req.Arrived.Add(c.route.LatencyTarget - spent)
	if limit <= 0 {
		return c.refuse(http.StatusServiceUnavailable, reasonDeadline, 0)
	}
	return nil
}

// run places the call at targets until one answers or it is given up.
func (c *call) run() *Response {
	service := c.snapshot.Services[c.e.splitter.Pick(c.route)]
	if service == nil {
		return c.refuse(http.StatusServiceUnavailable, reasonNoTarget, defaultRetryAfter)
	}
	c.budget = c.e.budget(service.Name)
	c.budget.Deposit()
	set, isNew := c.e.drawer.Pick(service)
	for {
		var t *routing.Candidate
		if set != nil {
			t = set.PickCheapest(time.Now(), c.e.rng, &c.tried, c.placement())
		}
		if t == nil {
			break
		}
		t, resp := c.tryWatched(service, set, t, isNew)
		if resp.Outcome == hop.Answered && !c.repeatable(resp) {
			return c.pass(resp)
		}
		if !c.again(resp) {
			break
		}
		c.tried.Targets = append(c.tried.Targets, t)
	}
	return c.giveUp()
}

// placement says how the call is to be placed, by what calls of its route took
// so far.
func (c *call) placement() routing.CostParams {
	takes, size := c.e.routes.expect(c.route.Name)
	return routing.CostParams{
		TimeLeft: time.Until(c.aim), MeanServiceTime: takes, WarmUp: c.e.cfg.WarmUp,
		RemoteCost: c.e.cfg.RemoteCost + time.Duration(size)*c.e.cfg.RemoteByteCost,
	}
}

// try asks one target. It changes nothing of the call, since two attempts can
// run at the same time.
func (c *call) try(ctx context.Context, service *view.Service, t *routing.Candidate, isNew bool) *hop.Response {
	r := hop.Request{
		Target: t.ID, Service: t.Service, Version: t.Version, Caller: c.e.cfg.Service, ID: c.id,
		Method: c.req.Method, URI: c.req.URI, Host: c.req.Host, Header: c.header(), Body: c.req.Body,
		Priority: c.route.Priority, Idempotent: c.route.Idempotent, Route: c.route.Name,
	}
	t.Stat.Begin()
	c.e.cfg.Observer.Begin(service, isNew)
	started := time.Now()
	resp := c.send(ctx, t, &r)
	t.Stat.End()
	// An attempt that was given up for another counts by the time that it took.
	abandoned := ctx.Err() != nil && c.ctx.Err() == nil
	failed := resp.Outcome == hop.Unknown && !abandoned && c.caller.Err() == nil ||
		resp.Outcome == hop.Answered && resp.Status >= http.StatusInternalServerError
	route := ""
	if resp.SentToTarget && (resp.Outcome != hop.Unknown || failed || abandoned) {
		route = c.route.Name
	}
	took := time.Duration(resp.ServiceUs) * time.Microsecond
	if took == 0 {
		took = time.Since(started)
	}
	c.e.cfg.Observer.End(service, isNew, route, failed, took)
	if resp.Outcome == hop.Answered && resp.Status < http.StatusBadRequest {
		c.e.routes.learn(c.route.Name, took, len(resp.Body))
	}
	if resp.Load != nil {
		t.Stat.ReportLoad(routing.Load{
			InFlight: resp.Load.InFlight, Queued: resp.Load.Queued, Limit: resp.Load.Limit,
			Mean: time.Duration(resp.Load.MeanUs) * time.Microsecond,
		}, time.Now())
	}
	c.learn(t, resp)
	return resp
}

// send sends the call to the owner of a target, on this host or another.
func (c *call) send(ctx context.Context, t *routing.Candidate, r *hop.Request) *hop.Response {
	if t.Host == c.e.cfg.Self {
		r.DeadlineAt = c.deadline.Sub(hop.TimeAt(0)).Microseconds()
		r.SoftDeadlineAt = c.aim.Sub(hop.TimeAt(0)).Microseconds()
		return c.e.cfg.Local.Call(ctx, r)
	}
	resp, err := c.e.Pool(t.CallAddress).Call(ctx, *r, c.deadline, c.aim)
	if err == nil {
		return resp
	}
	if isNotSent(err) {
		return &hop.Response{Outcome: hop.NotRun, Reason: reasonNodeDown}
	}
	reason := reasonNodeLost
	if c.ctx.Err() != nil {
		reason = reasonDeadline
	}
	return &hop.Response{Outcome: hop.Unknown, Reason: reason, SentToTarget: true}
}

// learn keeps what an attempt showed about the target.
func (c *call) learn(t *routing.Candidate, resp *hop.Response) {
	if c.caller.Err() != nil {
		return
	}
	now := time.Now()
	switch {
	case resp.Outcome == hop.Answered && resp.Status >= http.StatusInternalServerError:
		t.Stat.Record(routing.SignalServerError, 0, now)
	case resp.Outcome == hop.Answered:
		t.Stat.Record(routing.SignalAnswer, 0, now)
	case resp.Outcome == hop.Unknown:
		t.Stat.Record(routing.SignalNoAnswer, 0, now)
	case resp.Reason == reasonNodeDown, resp.Reason == "target_unreachable":
		t.Stat.Record(routing.SignalUnreachable, 0, now)
	default:
		t.Stat.Record(routing.SignalShed, time.Duration(resp.RetryAfterMs)*time.Millisecond, now)
	}
}

// repeatable reports whether an answer is a failure that another target may
// make good.
func (c *call) repeatable(resp *hop.Response) bool {
	return resp.Status >= http.StatusInternalServerError && c.route.Idempotent
}

// again decides whether the call is placed once more after an attempt that
// gave no good answer.
func (c *call) again(resp *hop.Response) bool {
	c.reason, c.after = resp.Reason, time.Duration(resp.RetryAfterMs)*time.Millisecond
	if resp.Outcome == hop.Answered {
		c.failed, c.reason = resp, "server_error"
	}
	if resp.Outcome == hop.Unknown {
		c.unknown = true
	}
	if resp.SentToTarget {
		c.attempts++
	}
	if c.caller.Err() != nil || c.ctx.Err() != nil {
		return false
	}
	if resp.Outcome == hop.NotRun && isLoad(resp.Reason) {
		c.tried.Shed = true
	}
	if !resp.SentToTarget {
		return c.places < maxPlaces
	}
	if resp.Outcome == hop.NotRun {
		c.sheds++
	}
	if c.attempts >= c.route.MaxAttempts {
		c.e.count("noretry.attempts")
		return false
	}
	d := retry.Decide(retry.Attempt{
		NotRun: !c.unknown && c.failed == nil, Shed: resp.Outcome == hop.NotRun, Idempotent: c.route.Idempotent, Replayable: true,
		Attempts: c.attempts, ShedAttempts: c.sheds, TimeLeft: time.Until(c.deadline), PathBudget: 1,
	}, c.budget, c.e.rng)
	if !d.Retry {
		c.e.count("noretry." + string(d.Reason))
		return false
	}
	c.e.count("retried." + string(d.Reason))
	return true
}

// pass gives the target's answer to the caller.
func (c *call) pass(resp *hop.Response) *Response {
	c.reason = ""
	h := resp.Header
	if h == nil {
		h = make(http.Header, 2)
	}
	h.Set(c.e.cfg.HeaderNames.RequestID, c.id)
	if resp.Stamp != "" {
		h.Set(c.e.cfg.HeaderNames.Stamp, resp.Stamp)
	}
	return &Response{Status: resp.Status, Header: h, Body: resp.Body}
}

// header returns the headers of the call but for those that nodes set.
func (c *call) header() http.Header {
	h := header.EndToEnd(c.req.Header)
	n := &c.e.cfg.HeaderNames
	for _, name := range [...]string{n.RequestID, n.DeadlineMs, n.CallerService, n.ExpectInstance} {
		delete(h, name)
	}
	return h
}

// giveUp returns the answer to a call that no target answered well.
func (c *call) giveUp() *Response {
	switch {
	case c.caller.Err() != nil:
		return c.refuse(http.StatusBadGateway, reasonCancelled, 0) // nobody reads it
	case c.failed != nil:
		return c.pass(c.failed)
	case c.unknown && c.ctx.Err() != nil:
		return c.refuse(http.StatusGatewayTimeout, reasonDeadline, 0)
	case c.unknown:
		return c.refuse(http.StatusBadGateway, c.reason, 0)
	}
	reason := c.reason
	if reason == "" {
		reason = reasonNoTarget
	}
	return c.refuse(http.StatusServiceUnavailable, reason, max(c.after, admission.MinRetryAfter))
}

// refuse returns an answer of the node's own.
func (c *call) refuse(status int, reason string, after time.Duration) *Response {
	c.reason = reason
	kind := "refused."
	if c.unknown {
		kind = "unknown."
	}
	c.e.count(kind + reason)
	h := http.Header{}
	if c.id != "" {
		h.Set(c.e.cfg.HeaderNames.RequestID, c.id)
	}
	if after > 0 {
		h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	return &Response{Status: status, Header: h}
}

// report logs how the call ended.
func (c *call) report(a *Response) {
	took := time.Since(c.req.Arrived)
	metrics.GetOrRegisterTimer("calls.time", c.e.cfg.Metrics).Update(took)
	line := c.e.cfg.Log.Info().Str("id", c.id).Int("status", a.Status).Str("reason", c.reason).
		Str("target", string(c.target)).Int("places", c.places).Int("attempts", c.attempts).Dur("took", took)
	if c.route != nil {
		line = line.Str("route", c.route.Name).Dur("left", time.Until(c.deadline)).Uint64("config", c.snapshot.Config.Version)
	}
	if after := a.Header.Get("Retry-After"); after != "" {
		line = line.Str("retry_after", after)
	}
	line.Bool("caller_left", c.caller.Err() != nil).Msg("call ended")
}

func (e *Entry) count(name string) { metrics.GetOrRegisterCounter(name, e.cfg.Metrics).Inc(1) }

func isNotSent(err error) bool { return errors.Is(err, hop.ErrNotSent) }

// isLoad reports whether an owner refused a call since it has too much to do.
func isLoad(reason string) bool {
	switch admission.Reason(reason) {
	case admission.ReasonQueueFull, admission.ReasonDeadline, admission.ReasonLate, admission.ReasonQueueWait:
		return true
	}
	return false
}
