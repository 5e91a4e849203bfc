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

	"nutmeghoist.example/nutmeghoist/internal/guard"
	"nutmeghoist.example/nutmeghoist/internal/header"
	"nutmeghoist.example/nutmeghoist/internal/hop"
	"nutmeghoist.example/nutmeghoist/internal/view"
	"nutmeghoist.example/nutmeghoist/pkg/admission"
	"nutmeghoist.example/nutmeghoist/pkg/evacuation"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/quota"
	"nutmeghoist.example/nutmeghoist/pkg/retry"
	"nutmeghoist.example/nutmeghoist/pkg/rollout"
	"nutmeghoist.example/nutmeghoist/pkg/routing"
	"nutmeghoist.example/nutmeghoist/pkg/suspect"
	"nutmeghoist.example/nutmeghoist/pkg/traffic"
)

const (
	// maxTargetsPerCall bounds the targets that one call is offered to. A refusal
	// by a target's owner costs a round trip but no attempt.
	maxTargetsPerCall = 3
	// defaultRetryAfter is sent when the time until capacity is free is unknown.
	defaultRetryAfter = 250 * time.Millisecond
	// stopRetryAfter is sent by a node that is shutting down: the time in which
	// another process or node takes over its calls.
	stopRetryAfter = time.Second
	// startupWait is how long after its start a node holds calls until it has a
	// configuration and targets. Nodes that start together, as after a loss of
	// power, have both within 0.2 to 0.5 s; a refused caller retries later than
	// that.
	startupWait         = 600 * time.Millisecond
	startupPollInterval = 10 * time.Millisecond
	// evacuationRetryAfter is sent while all targets of a service are evacuated: operators
	// take a data centre back after seconds at the earliest.
	evacuationRetryAfter = time.Second
	// maxTimeout bounds the timeout of every call, also when its route and caller
	// allow more.
	maxTimeout = time.Minute
)

// The reasons of responses that the node generates itself.
const (
	reasonNotReady        = "not_ready"
	reasonStopping        = "stopping" // the node is shutting down and could not finish the call
	reasonBadRequest      = "bad_request"
	reasonNoRoute         = "no_route"
	reasonNoTarget        = "no_target"
	reasonDeadline        = "deadline"
	reasonCancelled       = "cancelled" // the caller disconnected
	reasonNodeUnreachable = "node_unreachable"
	reasonNodeLost        = "node_lost"
	reasonInternal        = "internal_error"
	reasonNoMemory        = "memory"  // no room for the body of the call
	reasonSuspect         = "suspect" // targets have ended under the request
	// reasonEvacuated means that the data centre of the target, or those of all targets
	// of the service, are evacuated. Owners use it as well.
	reasonEvacuated = "evacuated"
	// reasonUnprovenRefusal means that the target's own status would promise the caller
	// that the call has not run.
	reasonUnprovenRefusal = "unproven_refusal"
)

// Local runs calls at the target of this host.
type Local interface {
	Call(ctx context.Context, r *hop.Request) *hop.Response
	// IsRunning reports whether a call with the request ID runs there.
	IsRunning(id string) bool
	// IsRepeat reports whether that run is a repeat.
	IsRepeat(id string) bool
	// RecordNestedFailure records that a call failed which a target made for that one.
	RecordNestedFailure(id string)
}

// Observer is notified of each attempt at a target. Rollouts use it. isNew means
// that the target runs the version of the rollout. End gets no route when the
// attempt does not count for the rollout, such as one that did not reach the
// target.
type Observer interface {
	Begin(s *view.Service, isNew bool)
	End(s *view.Service, isNew bool, route string, result rollout.Result, took time.Duration)
}

// TeamLimits limits the calls of teams at all hosts together.
type TeamLimits interface {
	// Take takes a token for one call of the team. When it reports false, the call
	// exceeds the limit, and may succeed after retryAfter.
	Take(ctx context.Context, team *traffic.Team) (token quota.Token, retryAfter time.Duration, ok bool)
	// Return gives back the token of a call that no target has run or will run.
	Return(token quota.Token)
}

// Config holds the settings and dependencies of an Entry.
type Config struct {
	Self        mesh.HostID
	IP          net.IP
	Service     mesh.ServiceName // of this host; sent as the caller of calls that begin here
	HeaderNames traffic.Headers
	// ParentID returns the request ID of the call for which a target makes the call
	// with the given one, or "". Without it, no call counts as nested.
	ParentID func(id string) string
	// Snapshot returns the snapshot in force, or nil.
	Snapshot func() *view.Snapshot
	Local    Local
	Observer Observer
	// MayExpose reports whether calls may be sent to a version that is being rolled
	// out. Without it, they may.
	MayExpose func() bool
	// DrainTime returns how long after a target has said that it leaves calls may reach it.
	DrainTime func() time.Duration
	// Suspects are the requests under which targets have ended. Without it, the entry
	// keeps its own.
	Suspects *suspect.Table
	// TeamLimits limits the calls of teams. Without it, no team is limited.
	TeamLimits TeamLimits
	// Evacuations are the evacuated data centres. Without it, none is.
	Evacuations *evacuation.Table
	// RetryBurst returns the retries that this node may save up for a service.
	RetryBurst func() int
	// RemoteCost and RemoteByteCost are the cost of a call to another data centre,
	// per call and per byte of its response; see routing.CostParams.
	RemoteCost     time.Duration
	RemoteByteCost time.Duration
	WarmUp         time.Duration // how long a target is slow after it became ready; see routing.CostParams
	Guard          *guard.Guard
	Metrics        metrics.Registry
	Log            *log.Logger
}

// Entry handles the calls that begin on this host. It is safe for concurrent
// use.
type Entry struct {
	cfg             Config
	started         time.Time
	stopping        atomic.Bool
	splitter        traffic.Splitter
	versionSplitter view.VersionSplitter
	rng             *rand.Rand
	routes          routeStats
	callerRetries   callerRetries
	signals         targetSignals
	teams           teamCounters

	mu      sync.Mutex
	pools   map[string]*hop.Pool
	budgets map[mesh.ServiceName]*retry.Budget // retries are limited to a share of the calls, per service
}

// globalSource draws from the process-wide generator, which is safe for
// concurrent use.
type globalSource struct{}

func (globalSource) Uint64() uint64 { return rand.Uint64() }

// New returns an entry.
func New(cfg Config) *Entry {
	if cfg.Suspects == nil {
		cfg.Suspects = suspect.NewTable()
	}
	if cfg.Evacuations == nil {
		cfg.Evacuations = evacuation.NewTable()
	}
	return &Entry{cfg: cfg, started: time.Now(), rng: rand.New(globalSource{}), pools: make(map[string]*hop.Pool), budgets: make(map[mesh.ServiceName]*retry.Budget)}
}

// retryBudget returns the retry budget of a service.
func (e *Entry) retryBudget(service mesh.ServiceName) *retry.Budget {
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
		p.Guard = e.cfg.Guard
		e.pools[address] = p
	}
	return p
}

// PrunePools closes the connections to nodes whose addresses are not in keep, and those
// to the others that have become superfluous.
func (e *Entry) PrunePools(keep map[string]bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for address, p := range e.pools {
		if !keep[address] {
			p.Close()
			delete(e.pools, address)
			continue
		}
		p.CloseSurplus()
	}
}

// Stop makes the node refuse new calls. Calls in progress continue.
func (e *Entry) Stop() { e.stopping.Store(true) }

// call is the state of one call while it is handled.
type call struct {
	entry        *Entry
	ctx          context.Context
	callerCtx    context.Context // ends when the caller disconnects, or with ErrStopping
	req          *Request
	id           string
	parent       string // request ID of the call at this host's target that waits for this one, or ""
	snapshot     *view.Snapshot
	route        *traffic.Route
	team         *traffic.Team // of the caller; nil without one
	coldRate     float64       // calls a second that a cold target of the service takes
	budget       *retry.Budget
	repeat       bool // see hop.Request.Repeat; of the next attempt
	deadline     time.Time
	softDeadline time.Time

	offers       int  // targets that the call was offered to
	attempts     int  // attempts that reached a target
	shedAttempts int  // attempts that a target refused without running the call
	mayHaveRun   bool // a target may have run the call
	answered     bool // the response is a target's
	tried        routing.PreviousAttempts
	serverError  *hop.Response // returned when no later attempt succeeds
	reason       string
	targetStatus int               // of the answer that was withheld for reasonUnprovenRefusal
	evacuated    []mesh.DataCentre // that an owner has named
	retryAfter   time.Duration     // the earliest that a target named; 0 when none did
	lastTarget   mesh.TargetID
	suspectKey   func() suspect.Key
}

// Handle routes a call and returns the response for the caller.
func (e *Entry) Handle(ctx context.Context, req *Request) *Response {
	c := e.newCall(ctx, req)
	e.count("calls.received")
	c.awaitStartup()
	response := c.prepare()
	if response == nil {
		var cancel context.CancelFunc
		c.ctx, cancel = context.WithDeadline(ctx, c.deadline)
		defer cancel()
		response = c.runWithinLimit()
	}
	if !c.answered && !c.mayHaveRun {
		e.ReturnToLimit(req)
	}
	if c.isNested() && response.Status >= http.StatusInternalServerError {
		e.cfg.Local.RecordNestedFailure(c.parent)
		e.count("calls.nested_failed")
	}
	response.PassedOn = c.answered || c.mayHaveRun || c.attempts > 0
	c.recordEnd(response)
	return response
}

func (e *Entry) newCall(ctx context.Context, req *Request) *call {
	c := &call{entry: e, callerCtx: ctx, req: req, id: req.Header.Get(e.cfg.HeaderNames.RequestID), snapshot: e.cfg.Snapshot()}
	c.parent, c.suspectKey = e.parent(c.id), sync.OnceValue(c.computeKey)
	return c
}

// parent returns the request ID of the call for which this host's target makes a call,
// or "".
func (e *Entry) parent(id string) string {
	if e.cfg.ParentID == nil {
		return ""
	}
	if parent := e.cfg.ParentID(id); parent != "" && e.cfg.Local.IsRunning(parent) {
		return parent
	}
	return ""
}

func (c *call) isNested() bool { return c.parent != "" }

// awaitStartup holds a call while the node has just started and has no target
// for it yet, for at most half of the caller's timeout.
func (c *call) awaitStartup() {
	until := c.entry.started.Add(startupWait)
	if time.Now().After(until) {
		return
	}
	if timeout, ok := c.callerTimeout(); ok && c.req.Arrived.Add(timeout/2).Before(until) {
		until = c.req.Arrived.Add(timeout / 2)
	}
	for !c.routable() && time.Now().Before(until) && c.callerCtx.Err() == nil && !c.entry.stopping.Load() {
		time.Sleep(startupPollInterval)
		c.snapshot = c.entry.cfg.Snapshot()
	}
}

// callerTimeout returns the timeout that the caller has set in its request.
func (c *call) callerTimeout() (time.Duration, bool) {
	ms, err := strconv.ParseInt(c.req.Header.Get(c.entry.cfg.HeaderNames.DeadlineMs), 10, 64)
	return time.Duration(ms) * time.Millisecond, err == nil
}

// routable reports whether the routing decision can be made: the node has a
// target for the call, or a configuration without a route for it.
func (c *call) routable() bool {
	if c.snapshot == nil {
		return false
	}
	route := c.snapshot.Matcher.Match(c.req.Host, c.req.Path)
	if route == nil {
		return true
	}
	for _, part := range route.Split {
		if s := c.snapshot.Services[part.Service]; s != nil && (s.Evacuated || s.Stable != nil && s.Stable.Len() > 0) {
			return true
		}
	}
	return false
}

// prepare sets the route and the deadlines of the call. It returns the response
// to a call that cannot be sent to a target, nil otherwise.
func (c *call) prepare() *Response {
	if c.snapshot == nil {
		return c.localResponse(http.StatusServiceUnavailable, reasonNotReady, defaultRetryAfter)
	}
	if c.entry.stopping.Load() {
		return c.localResponse(http.StatusServiceUnavailable, reasonStopping, stopRetryAfter)
	}
	if c.id == "" {
		return c.localResponse(http.StatusBadRequest, reasonBadRequest, 0)
	}
	c.route = c.snapshot.Matcher.Match(c.req.Host, c.req.Path)
	if c.route == nil {
		return c.localResponse(http.StatusNotFound, reasonNoRoute, 0)
	}
	if refusal := c.identify(); refusal != nil {
		return refusal
	}
	timeout, elapsed := min(c.route.Timeout, maxTimeout), time.Duration(0)
	if callerTimeout, ok := c.callerTimeout(); ok {
		timeout = min(timeout, callerTimeout)
		elapsed = c.entry.callerRetries.elapsed(c.route.Name, callerTimeout, c.req.Arrived)
	}
	c.deadline = c.req.Arrived.Add(timeout)
	c.softDeadline = c.req.Arrived.Add(c.route.LatencyTarget - elapsed)
	if timeout <= 0 {
		return c.localResponse(http.StatusServiceUnavailable, reasonDeadline, 0)
	}
	return nil
}

// run sends the call to targets, one after another, until one responds or no
// further attempt is allowed.
func (c *call) run() *Response {
	service := c.snapshot.Services[c.entry.splitter.Pick(c.route)]
	if service == nil {
		return c.localResponse(http.StatusServiceUnavailable, reasonNoTarget, defaultRetryAfter)
	}
	c.coldRate = c.snapshot.Config.Services[service.Name].ColdRate
	c.budget = c.entry.retryBudget(service.Name)
	if c.repeat = c.isNested() && c.entry.cfg.Local.IsRepeat(c.parent); c.repeat {
		c.budget.Charge() // the service gets the call beyond the first ones
		c.entry.count("retried.nested")
	} else {
		c.budget.Deposit()
	}
	set, isNew := c.entry.versionSplitter.Pick(service)
	if isNew && service.Stable != nil && service.Stable.Len() > 0 && c.entry.cfg.MayExpose != nil && !c.entry.cfg.MayExpose() {
		c.entry.count("rollouts.withheld")
		set, isNew = service.Stable, false
	}
	if service.Evacuated && set == service.Stable {
		return c.localResponse(http.StatusServiceUnavailable, reasonEvacuated, evacuationRetryAfter)
	}
	for {
		t := c.pick(set)
		if t == nil {
			break
		}
		t, resp := c.callWithHedge(service, set, t, isNew)
		c.repeat = c.repeat || resp.SentToTarget
		c.recordEvacuation(t, resp)
		if resp.Outcome == hop.Answered && !c.isRetryableFailure(resp) {
			return c.targetResponse(resp)
		}
		if !c.shouldRetry(resp) {
			break
		}
		c.tried.Targets = append(c.tried.Targets, t)
	}
	return c.failureResponse()
}

// costParams returns the parameters for choosing a target. They depend on the
// mean service time and response size of earlier calls of the route.
func (c *call) costParams() routing.CostParams {
	meanTime, meanBytes := c.entry.routes.means(c.route.Name)
	timeLeft := time.Until(c.softDeadline)
	return routing.CostParams{
		TimeLeft: timeLeft, MeanServiceTime: meanTime, WarmUp: c.entry.cfg.WarmUp,
		RemoteCost: c.entry.cfg.RemoteCost + time.Duration(meanBytes)*c.entry.cfg.RemoteByteCost + c.bodyCost(timeLeft),
		ColdRate:   c.coldRate,
		Exclude:    c.exclude(),
	}
}

// bodyCost returns the cost of sending the call's body to another data centre. It is at
// most half of the time left, so that a large body goes there rather than be late.
func (c *call) bodyCost(timeLeft time.Duration) time.Duration {
	if !c.route.LargeBodies {
		return 0 // RemoteCost covers small bodies
	}
	return max(0, min(time.Duration(len(c.req.Body))*c.entry.cfg.RemoteByteCost, timeLeft/2))
}

// callTarget makes one attempt at a target. It does not modify the call, since
// two attempts can run concurrently.
func (c *call) callTarget(ctx context.Context, service *view.Service, t *routing.Candidate, isNew, repeat bool) *hop.Response {
	r := hop.Request{
		Target: t.ID, Service: t.Service, Version: t.Version, Caller: c.entry.cfg.Service, ID: c.id,
		Method: c.req.Method, URI: c.req.URI, Host: c.req.Host, Header: c.forwardedHeader(), Body: c.req.Body,
		Priority: c.priority(), Team: c.teamName(), Nested: c.isNested(), Idempotent: c.route.Idempotent, Route: c.route.Name,
		Signals: c.entry.signals.get(t), Repeat: repeat, MayResend: c.route.Idempotent && c.budget.HasRetry(),
	}
	t.Stat.Begin()
	c.entry.cfg.Observer.Begin(service, isNew)
	started := time.Now()
	resp := c.send(ctx, t, &r)
	t.Stat.End()
	// An attempt that was abandoned for another still counts with its duration. The
	// call may have ended by now.
	abandoned := errors.Is(context.Cause(ctx), errAbandoned)
	failed := resp.Outcome == hop.Unknown && !abandoned && c.callerCtx.Err() == nil ||
		resp.Outcome == hop.Answered && resp.Status >= http.StatusInternalServerError
	route := ""
	if resp.SentToTarget && (resp.Outcome != hop.Unknown || failed || abandoned) {
		route = c.route.Name
	}
	took := time.Duration(resp.ServiceUs) * time.Microsecond
	if took == 0 {
		took = time.Since(started)
	}
	result := rollout.Succeeded
	switch {
	case failed:
		result = rollout.Failed
	case abandoned:
		result = rollout.Abandoned
	}
	c.entry.cfg.Observer.End(service, isNew, route, result, took)
	if resp.Outcome == hop.Answered && resp.Status < http.StatusBadRequest {
		c.entry.routes.record(c.route.Name, took, len(resp.Body))
	}
	if resp.Load != nil {
		t.Stat.ReportLoad(routing.Load{
			InFlight: resp.Load.InFlight, Queued: resp.Load.Queued, Limit: resp.Load.Limit,
			Mean: time.Duration(resp.Load.MeanUs) * time.Microsecond, RateLimit: resp.Load.RateLimit,
			RateWait: time.Duration(resp.Load.RateWaitUs) * time.Microsecond,
		}, time.Now())
	}
	c.recordTargetEnd(t, resp)
	if resp.Resent {
		c.budget.Charge()
		c.entry.count("retried.resent")
	}
	c.entry.signals.record(t, resp, c.entry.cfg.DrainTime())
	c.recordSignal(t, resp)
	return resp
}

// send sends the call to the node on the target's host, which may be this one. After
// an unexpected error the call may have run.
func (c *call) send(ctx context.Context, t *routing.Candidate, r *hop.Request) (resp *hop.Response) {
	if c.entry.cfg.Guard.Run("call_attempt", func() { resp = c.sendToOwner(ctx, t, r) }) {
		return &hop.Response{Outcome: hop.Unknown, Reason: reasonInternal, SentToTarget: true}
	}
	return resp
}

func (c *call) sendToOwner(ctx context.Context, t *routing.Candidate, r *hop.Request) *hop.Response {
	if t.Host == c.entry.cfg.Self {
		r.DeadlineAt = c.deadline.Sub(hop.TimeAt(0)).Microseconds()
		r.SoftDeadlineAt = c.softDeadline.Sub(hop.TimeAt(0)).Microseconds()
		return c.entry.cfg.Local.Call(ctx, r)
	}
	resp, err := c.entry.Pool(t.CallAddress).Call(ctx, *r, c.deadline, c.softDeadline)
	if err == nil {
		return resp
	}
	if ctx.Err() == nil {
		c.entry.cfg.Log.Info().Str("id", c.id).Str("peer", string(t.Host)).Str("target", string(t.ID)).Int("body", len(r.Body)).
			Bool("sent", !isNotSent(err)).Err(err).Msg("no answer from another node")
	}
	if isNotSent(err) {
		return &hop.Response{Outcome: hop.NotRun, Reason: reasonNodeUnreachable}
	}
	reason := reasonNodeLost
	if c.ctx.Err() != nil {
		reason = reasonDeadline
	}
	return &hop.Response{Outcome: hop.Unknown, Reason: reason, SentToTarget: true}
}

// recordSignal records the result of an attempt in the target's statistics. A target
// that failed because another one did is no worse than the others of its service.
func (c *call) recordSignal(t *routing.Candidate, resp *hop.Response) {
	if c.callerCtx.Err() != nil {
		return
	}
	now := time.Now()
	switch {
	case resp.Outcome == hop.NotRun && resp.Reason == reasonEvacuated: // says nothing about the target
	case resp.Outcome == hop.Answered && resp.Status >= http.StatusInternalServerError && !resp.NestedFailed:
		t.Stat.Record(routing.SignalServerError, 0, now)
	case resp.Outcome == hop.Answered:
		t.Stat.Record(routing.SignalAnswer, 0, now)
	case resp.Outcome == hop.Unknown:
		t.Stat.Record(routing.SignalNoAnswer, 0, now)
	case resp.Reason == reasonNodeUnreachable, resp.Reason == "target_unreachable":
		t.Stat.Record(routing.SignalUnreachable, 0, now)
	default:
		t.Stat.Record(routing.SignalShed, time.Duration(resp.RetryAfterMs)*time.Millisecond, now)
	}
}

// isRetryableFailure reports whether a response is a server error to an
// idempotent call, which another target may answer successfully.
func (c *call) isRetryableFailure(resp *hop.Response) bool {
	return resp.Status >= http.StatusInternalServerError && c.route.Idempotent
}

// shouldRetry records an attempt that failed and reports whether to try another
// target.
func (c *call) shouldRetry(resp *hop.Response) bool {
	c.reason = resp.Reason
	if at := time.Duration(resp.RetryAfterMs) * time.Millisecond; at > 0 && (c.retryAfter == 0 || at < c.retryAfter) {
		c.retryAfter = at
	}
	if resp.Outcome == hop.Answered {
		c.serverError, c.reason = resp, "server_error"
	}
	if resp.Outcome == hop.Unknown {
		c.mayHaveRun = true
	}
	if resp.SentToTarget {
		c.attempts++
	}
	if c.callerCtx.Err() != nil || c.ctx.Err() != nil {
		return false
	}
	if resp.Outcome == hop.NotRun && admission.Reason(resp.Reason).IsLoad() {
		c.tried.Shed = true
	}
	if !resp.SentToTarget {
		return c.offers < maxTargetsPerCall
	}
	if resp.Outcome == hop.NotRun {
		c.shedAttempts++
	}
	if c.attempts >= c.route.MaxAttempts {
		c.entry.count("noretry.attempts")
		return false
	}
	token, ok := c.takeRepeat()
	if !ok {
		c.entry.count("noretry.team_limit")
		return false
	}
	d := retry.Decide(retry.Attempt{
		NotRun: !c.mayHaveRun && c.serverError == nil, Shed: resp.Outcome == hop.NotRun, Idempotent: c.route.Idempotent, Replayable: true,
		Attempts: c.attempts, ShedAttempts: c.shedAttempts, TimeLeft: time.Until(c.deadline), PathBudget: 1,
	}, c.budget, c.entry.rng)
	if !d.Retry {
		c.returnToken(token)
		c.entry.count("noretry." + string(d.Reason))
		return false
	}
	c.entry.count("retried." + string(d.Reason))
	return true
}

// promisesNotRun reports whether a status promises the caller that its call has not run
// and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// targetResponse returns the target's response in the form for the caller. Owners report
// a target's refusals as not run, so that an answer with the status of one may have run.
// The caller of a non-idempotent call would repeat it; it gets a status that promises
// nothing instead, without the target's stamp and headers such as Retry-After.
func (c *call) targetResponse(resp *hop.Response) *Response {
	if !c.route.Idempotent && promisesNotRun(resp.Status) {
		c.mayHaveRun, c.targetStatus = true, resp.Status
		return c.localResponse(http.StatusBadGateway, reasonUnprovenRefusal, 0)
	}
	c.reason, c.answered = "", true
	h := resp.Header
	if h == nil {
		h = make(http.Header, 2)
	}
	h.Set(c.entry.cfg.HeaderNames.RequestID, c.id)
	if resp.Stamp != "" {
		h.Set(c.entry.cfg.HeaderNames.Stamp, resp.Stamp)
	}
	return &Response{Status: resp.Status, Header: h, Body: resp.Body}
}

// forwardedHeader returns the headers of the call without those that nodes set.
func (c *call) forwardedHeader() http.Header {
	h := header.EndToEnd(c.req.Header)
	n := &c.entry.cfg.HeaderNames
	for _, name := range [...]string{n.RequestID, n.DeadlineMs, n.CallerService, n.ExpectInstance, n.APIKey, n.Team} {
		delete(h, name)
	}
	return h
}

// failureResponse returns the response to a call that no target has answered
// successfully.
func (c *call) failureResponse() *Response {
	switch {
	case c.callerLeft():
		return c.localResponse(http.StatusBadGateway, reasonCancelled, 0)
	case c.serverError != nil:
		return c.targetResponse(c.serverError)
	case c.mayHaveRun && c.stopped():
		return c.localResponse(http.StatusBadGateway, reasonStopping, 0)
	case c.stopped():
		return c.localResponse(http.StatusServiceUnavailable, reasonStopping, stopRetryAfter)
	case c.mayHaveRun && c.ctx.Err() != nil:
		return c.localResponse(http.StatusGatewayTimeout, reasonDeadline, 0)
	case c.mayHaveRun:
		return c.localResponse(http.StatusBadGateway, c.reason, 0)
	}
	reason := c.reason
	if reason == "" {
		reason = reasonNoTarget
	}
	return c.localResponse(http.StatusServiceUnavailable, reason, max(c.retryAfter, admission.MinRetryAfter))
}

// stopped reports whether the node no longer waits for the call.
func (c *call) stopped() bool { return errors.Is(context.Cause(c.callerCtx), ErrStopping) }

// callerLeft reports whether the caller has disconnected.
func (c *call) callerLeft() bool {
	return c.callerCtx.Err() != nil && !c.stopped()
}

// localResponse returns a response that the node generates itself.
func (c *call) localResponse(status int, reason string, retryAfter time.Duration) *Response {
	c.reason = reason
	kind := "refused."
	if c.mayHaveRun {
		kind = "unknown."
	}
	c.entry.count(kind + reason)
	h := http.Header{}
	if c.id != "" {
		h.Set(c.entry.cfg.HeaderNames.RequestID, c.id)
	}
	if retryAfter > 0 {
		h.Set("Retry-After", formatSeconds(retryAfter))
	}
	return &Response{Status: status, Header: h}
}

// formatSeconds returns a duration as a Retry-After header gives it.
func formatSeconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }

// recordEnd records the duration of the call and logs its outcome.
func (c *call) recordEnd(response *Response) {
	took := time.Since(c.req.Arrived)
	metrics.GetOrRegisterTimer("calls.time", c.entry.cfg.Metrics).Update(took)
	line := c.entry.cfg.Log.Info().Str("id", c.id).Int("status", response.Status).Str("reason", c.reason).
		Str("target", string(c.lastTarget)).Int("places", c.offers).Int("attempts", c.attempts).Dur("took", took)
	if c.route != nil {
		line = line.Str("route", c.route.Name).Uint64("config", c.snapshot.Config.Version)
	}
	if !c.deadline.IsZero() {
		line = line.Dur("left", time.Until(c.deadline))
	}
	if c.team != nil {
		line = line.Str("team", string(c.team.Name))
		c.entry.countTeam(c.team.Name, response.Status)
	}
	if retryAfter := response.Header.Get("Retry-After"); retryAfter != "" {
		line = line.Str("retry_after", retryAfter)
	}
	if c.targetStatus != 0 {
		line = line.Int("target_status", c.targetStatus)
	}
	line.Bool("nested", c.isNested()).Bool("caller_left", c.callerLeft()).Msg("call ended")
}

func (e *Entry) count(name string) { metrics.GetOrRegisterCounter(name, e.cfg.Metrics).Inc(1) }

func isNotSent(err error) bool { return errors.Is(err, hop.ErrNotSent) }
