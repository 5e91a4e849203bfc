package proxy

import (
	"context"
	"net/http"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/admission"
	"nutmeghoist.example/nutmeghoist/pkg/move"
	"nutmeghoist.example/nutmeghoist/pkg/retry"
	"nutmeghoist.example/nutmeghoist/pkg/routing"
)

// run tries the call at targets until one answers or the call is given up.
func (c *call) run() {
	c.p.retries.Deposit()
	t := c.set.Pick(time.Now(), c.p.rng, &c.tried)
	reason, after := ReasonNoTarget, time.Duration(0)
	for t != nil {
		c.state.on(eventQueue)
		t.Stat.Begin()
		res := c.tryWatched(t)
		if res.kind == resultAnswer {
			c.pass(t, &res)
			return
		}
		t.Stat.End()
		c.learn(t, &res)
		if c.settle(&res) {
			reason, after = res.reason, res.retryAfter
		}
		t = c.next(t, &res)
	}
	c.finish(reason, after)
}

// next decides whether the call is tried again, waits, and returns the target;
// nil means that the call is given up.
func (c *call) next(last *routing.Candidate, res *result) *routing.Candidate {
	c.tried.Targets = append(c.tried.Targets, last)
	if res.reason.isLoad() {
		c.tried.Shed = true
		c.loadTries++
	}
	t := c.set.Pick(time.Now(), c.p.rng, &c.tried)
	if t == nil {
		c.p.counters.inc(kindNotTried, ReasonNoTarget)
		return nil
	}
	d := retry.Decide(retry.Attempt{
		NotRun: c.state.in(stateReceived), Shed: res.reason.isLoad(), Idempotent: c.idempotent,
		Replayable: c.body.replayable(), Cancelled: c.r.Context().Err() != nil,
		Attempts: len(c.tried.Targets), ShedAttempts: c.loadTries, TimeLeft: time.Until(c.deadline), PathBudget: c.budget,
	}, c.p.retries, c.p.rng)
	if d.Retry && !c.pause(d.Backoff) {
		d = retry.Decision{Reason: retry.ReasonCancelled}
	}
	if !d.Retry {
		c.p.counters.inc(kindNotTried, Reason(d.Reason))
		return nil
	}
	c.budget = d.PathBudget
	c.p.counters.inc(kindRetried, Reason(d.Reason))
	return t
}

// pause waits; it reports false when the call has ended meanwhile.
func (c *call) pause(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.ctx.Done():
		return false
	}
}

// settle tells the call's state how an attempt without an answer ended. It
// reports whether the attempt's reason is the one to tell: a refusal that
// follows on a lost answer does not explain why the outcome is unknown.
func (c *call) settle(res *result) bool {
	if res.kind == resultNotRun {
		c.state.on(eventNotRun)
		return c.state.in(stateReceived)
	}
	c.state.on(eventLost)
	return true
}

// dispatch reports whether the call may be sent to a target now.
func (c *call) dispatch() bool {
	if !c.idempotent {
		return c.state.on(eventDispatch)
	}
	if c.giveUp != nil {
		patience := c.last.Stat.AttemptTimeout(time.Until(c.deadline))
		if patience > 0 {
			c.silence = time.AfterFunc(patience, func() { c.giveUp(errSilent) })
		}
	}
	return c.state.on(eventDispatchAgain)
}

// tryWatched is try for the first attempt of a call that may be tried again:
// it gives up early on a target that is silent, for example because something
// between the two ends has lost track of the connection.
func (c *call) tryWatched(t *routing.Candidate) result {
	if !c.idempotent || c.budget == 0 || len(c.tried.Targets) > 0 || c.set.Len() == 1 {
		return c.try(c.ctx, t)
	}
	ctx, cancel := context.WithCancelCause(c.ctx)
	c.giveUp, c.last = cancel, t
	res := c.try(ctx, t)
	c.giveUp = nil
	if c.silence == nil || c.silence.Stop() || res.kind != resultAnswer {
		return res
	}
	// The answer came as the attempt was given up, and its body is cut off.
	_ = res.resp.Body.Close()
	res.done(admission.Result{})
	return result{kind: resultLost, reason: ReasonTimeout, started: res.started}
}

// try sends the call to one target, directly or through its host's node.
func (c *call) try(ctx context.Context, t *routing.Candidate) result {
	o := order{
		r: c.r, body: c.body.open(), length: c.body.length,
		class: c.class, aim: c.aim, deadline: c.deadline, depth: c.depth, budget: c.budget, key: c.key,
	}
	if t.Host == c.p.cfg.Self {
		return c.p.tryLocal(ctx, &o, t.ID, c.target, c.dispatch)
	}
	return c.tryPeer(ctx, &o, t)
}

// tryPeer sends the call to the node of the target's host.
func (c *call) tryPeer(ctx context.Context, o *order, t *routing.Candidate) result {
	req, ok := o.request(ctx, t.CallAddress)
	if !ok || !c.dispatch() {
		return result{kind: resultNotRun, reason: ReasonDeadline}
	}
	req.Header[headerTarget] = []string{string(t.ID)}
	req.Header[headerVersion] = []string{c.target.String()}
	started := time.Now()
	resp, res := roundTrip(c.p.peer(t.CallAddress), req)
	res.started = started
	if res.reason == ReasonUnreachable {
		res.reason = ReasonNodeDown
	}
	if resp == nil {
		return res
	}
	if l, wait, ok := parseLoad(resp.Header); ok {
		t.Stat.ReportLoad(l, time.Now())
		res.wait = wait
	}
	readOutcome(resp, &res)
	return res
}

// readOutcome tells a target's answer from what the other node itself says.
func readOutcome(resp *http.Response, res *result) {
	outcome := resp.Header.Get(headerOutcome)
	if outcome == "" {
		res.kind, res.resp = resultAnswer, resp
		return
	}
	res.kind = resultLost
	if outcome == outcomeNotRun {
		res.kind = resultNotRun
	}
	res.reason, res.retryAfter = Reason(resp.Header.Get(headerReason)), retryAfterOf(resp.Header)
	discard(resp)
}

// pass gives the target's answer to the caller.
func (c *call) pass(t *routing.Candidate, res *result) {
	c.state.on(eventAnswer)
	err := passAnswer(c.w, res.resp)
	_ = res.resp.Body.Close()
	res.done(admission.Result{Answered: err == nil})
	t.Stat.End()
	now := time.Now()
	kind := move.OutcomeOK
	switch {
	case err == errCallerGone || (err != nil && c.r.Context().Err() != nil):
		kind = move.OutcomeCancelled
	case err != nil:
		kind = move.OutcomeEarlyEnd
		t.Stat.Record(routing.SignalNoAnswer, 0, now)
	case res.resp.StatusCode >= http.StatusInternalServerError:
		kind = move.OutcomeFailed
		t.Stat.Record(routing.SignalServerError, 0, now)
	default:
		t.Stat.Record(routing.SignalAnswer, 0, now)
		t.Stat.RecordLatency(now.Sub(res.started))
	}
	c.observe(t, kind, now.Sub(res.started)-res.wait)
	if err != nil {
		c.p.counters.inc(kindAborted, abortReason(kind))
		c.body.aborted.Store(true)
		panic(http.ErrAbortHandler)
	}
}

func abortReason(k move.OutcomeKind) Reason {
	if k == move.OutcomeCancelled {
		return ReasonCancelled
	}
	return ReasonEarlyEnd
}

// learn takes what an attempt without an answer shows about the target.
func (c *call) learn(t *routing.Candidate, res *result) {
	now := time.Now()
	switch {
	case res.reason == ReasonCancelled:
		c.observe(t, move.OutcomeCancelled, now.Sub(res.started))
	case res.kind == resultLost:
		t.Stat.Record(routing.SignalNoAnswer, 0, now)
		c.observe(t, move.OutcomeNoAnswer, now.Sub(res.started))
	case res.reason.isLoad():
		t.Stat.Record(routing.SignalShed, res.retryAfter, now)
		c.observe(t, move.OutcomeShed, 0)
	default:
		t.Stat.Record(routing.SignalUnreachable, 0, now)
		if res.reason == ReasonUnreachable {
			// A target that its own node cannot reach speaks against its version.
			c.observe(t, move.OutcomeNoAnswer, 0)
		}
	}
}

func (c *call) observe(t *routing.Candidate, kind move.OutcomeKind, latency time.Duration) {
	if c.p.cfg.Observer == nil {
		return
	}
	c.p.cfg.Observer.Observe(move.Outcome{
		Service: t.Service, Version: t.Version, Route: c.route, Host: t.Host, DataCentre: t.DataCentre,
		Kind: kind, Latency: max(0, latency), Cold: t.InSlowStart(time.Now()),
	})
}
