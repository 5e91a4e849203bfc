package proxy

import (
	"context"
	"net/http"
	"time"

	"nutmeghoist.example/nutmeghoist/internal/linger"
	"nutmeghoist.example/nutmeghoist/pkg/admission"
	"nutmeghoist.example/nutmeghoist/pkg/move"
	"nutmeghoist.example/nutmeghoist/pkg/retry"
	"nutmeghoist.example/nutmeghoist/pkg/routing"
	"nutmeghoist.example/nutmeghoist/pkg/suspect"
)

// run sends the call to targets until one answers or no retry is allowed.
func (c *call) run() {
	c.proxy.retries.Deposit()
	t, reason, retryAfter := c.pick()
	for t != nil {
		c.state.apply(eventQueue)
		t.Stat.Begin()
		res := c.tryWithAttemptTimeout(t)
		if res.kind == resultAnswer {
			c.forward(t, &res)
			return
		}
		t.Stat.End()
		c.recordTargetEnd(res.ended)
		c.recordFailure(t, &res)
		if c.applyFailure(&res) {
			reason, retryAfter = res.reason, res.retryAfter
		}
		t = c.nextTarget(t, &res)
	}
	c.fail(reason, retryAfter)
}

// nextTarget decides whether the call is retried, waits for the back-off and
// returns the target of the next attempt, or nil when there is none.
func (c *call) nextTarget(last *routing.Candidate, res *result) *routing.Candidate {
	c.tried.Targets = append(c.tried.Targets, last)
	if res.reason.isOverload() {
		c.tried.Shed = true
		c.shedAttempts++
	}
	t, reason, _ := c.pick()
	if t == nil {
		c.proxy.counters.inc(kindNotRetried, reason)
		return nil
	}
	d := retry.Decide(retry.Attempt{
		NotRun: c.state.is(stateReceived), Shed: res.reason.isOverload(), Idempotent: c.idempotent,
		Replayable: c.body.replayable(), Cancelled: c.r.Context().Err() != nil,
		Attempts: len(c.tried.Targets), ShedAttempts: c.shedAttempts, TimeLeft: time.Until(c.deadline), PathBudget: c.budget,
	}, c.proxy.retries, c.proxy.rng)
	if d.Retry && !c.wait(d.Backoff) {
		d = retry.Decision{Reason: retry.ReasonCancelled}
	}
	if !d.Retry {
		c.proxy.counters.inc(kindNotRetried, Reason(d.Reason))
		return nil
	}
	c.budget = d.PathBudget
	c.proxy.counters.inc(kindRetried, Reason(d.Reason))
	return t
}

// wait sleeps. It reports false when the call's context is done first.
func (c *call) wait(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.ctx.Done():
		return false
	}
}

// applyFailure applies the outcome of an attempt without an answer to the call's
// state. It reports whether the attempt's reason is the one to report to the
// caller: a refusal that follows a lost answer does not explain why the outcome
// is unknown.
func (c *call) applyFailure(res *result) bool {
	if res.kind == resultNotRun {
		c.state.apply(eventNotRun)
		return c.state.is(stateReceived)
	}
	c.state.apply(eventLost)
	return true
}

// dispatch moves the call to the dispatched state, and reports whether the call
// may be sent to a target. It starts the timer of tryWithAttemptTimeout.
func (c *call) dispatch() bool {
	if !c.idempotent {
		return c.state.apply(eventDispatch)
	}
	if c.cancelAttempt != nil {
		timeout := c.watched.Stat.AttemptTimeout(time.Until(c.deadline))
		if timeout > 0 {
			cancel := c.cancelAttempt // the attempt can end as the timer fires
			c.silenceTimer = time.AfterFunc(timeout, func() { cancel(errSilent) })
		}
	}
	return c.state.apply(eventDispatchAgain)
}

// tryWithAttemptTimeout is like try, but when the target is silent it cancels the
// first attempt of a call that may be retried. A target is silent, for example,
// when a middlebox has dropped the state of the connection.
func (c *call) tryWithAttemptTimeout(t *routing.Candidate) result {
	if !c.idempotent || c.budget == 0 || len(c.tried.Targets) > 0 || c.set.Len() == 1 {
		return c.try(c.ctx, t)
	}
	ctx, cancel := context.WithCancelCause(c.ctx)
	c.cancelAttempt, c.watched = cancel, t
	res := c.try(ctx, t)
	c.cancelAttempt = nil
	if c.silenceTimer == nil || c.silenceTimer.Stop() || res.kind != resultAnswer {
		return res
	}
	// The answer arrived as the attempt was cancelled, so its body is truncated.
	_ = res.resp.Body.Close()
	res.run.abandoned()
	res.release(admission.Result{})
	return result{kind: resultLost, reason: ReasonTimeout, dispatchedAt: res.dispatchedAt}
}

// try sends the call to one target, directly or through the node of its host.
func (c *call) try(ctx context.Context, t *routing.Candidate) result {
	o := outboundCall{
		in: c.r, body: c.body.open(), length: c.body.length,
		key:   func() (suspect.Key, bool) { return suspectKey(c.r, c.rule.Host, c.body) },
		class: c.class, softDeadline: c.softDeadline, deadline: c.deadline, depth: c.depth, budget: c.budget, callKey: c.callKey,
	}
	if t.Host == c.proxy.cfg.Self {
		return c.proxy.tryLocal(ctx, &o, t.ID, c.destination, c.dispatch)
	}
	return c.tryPeer(ctx, &o, t)
}

// tryPeer sends the call to the node of the target's host.
func (c *call) tryPeer(ctx context.Context, o *outboundCall, t *routing.Candidate) result {
	req, ok := o.request(ctx, t.CallAddress)
	if !ok || !c.dispatch() {
		return result{kind: resultNotRun, reason: ReasonDeadline}
	}
	if c.rule.Host != "" {
		req.Header[headerRuleHost] = []string{c.rule.Host}
	}
	req.Header[headerTarget] = []string{string(t.ID)}
	req.Header[headerVersion] = []string{c.destination.String()}
	started := time.Now()
	resp, res := roundTrip(c.proxy.peerTransport(t.CallAddress), req)
	res.dispatchedAt = started
	if res.reason == ReasonUnreachable {
		res.reason = ReasonNodeDown
	}
	if resp == nil {
		return res
	}
	if l, queueTime, ok := parseLoad(resp.Header); ok {
		t.Stat.ReportLoad(l, time.Now())
		res.queueTime = queueTime
	}
	readOutcome(resp, &res)
	return res
}

// readOutcome distinguishes a target's answer from an answer that the other node
// generated, and sets the result accordingly.
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
	res.reason, res.retryAfter, res.ended = Reason(resp.Header.Get(headerReason)), retryAfterOf(resp.Header), endedOf(resp.Header)
	discard(resp)
}

// forward streams the target's answer to the caller and records the outcome.
func (c *call) forward(t *routing.Candidate, res *result) {
	c.state.apply(eventAnswer)
	c.body.endConnection(c.w.Header())
	err := forwardAnswer(c.w, res.resp)
	_ = res.resp.Body.Close()
	res.run.endForwarded(res.resp.StatusCode, err)
	res.release(admission.Result{Answered: err == nil})
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
		t.Stat.RecordLatency(now.Sub(res.dispatchedAt))
	}
	c.observe(t, kind, now.Sub(res.dispatchedAt)-res.queueTime)
	if err != nil {
		c.proxy.counters.inc(kindAborted, abortReason(kind))
		c.body.aborted.Store(true)
		c.abort()
	}
}

// abort cuts the connection of a caller whose answer cannot be completed. It does not
// return.
func (c *call) abort() {
	if !c.r.ProtoAtLeast(1, 1) {
		// Without a length, an answer in HTTP/1.0 ends with the connection. Only a reset
		// tells a part of it from the whole.
		if conn, _, err := http.NewResponseController(c.w).Hijack(); err == nil {
			linger.Reset(conn)
		}
	}
	panic(http.ErrAbortHandler)
}

func abortReason(k move.OutcomeKind) Reason {
	if k == move.OutcomeCancelled {
		return ReasonCancelled
	}
	return ReasonEarlyEnd
}

// recordFailure records an attempt without an answer in the statistics of the
// target.
func (c *call) recordFailure(t *routing.Candidate, res *result) {
	now := time.Now()
	switch {
	case res.reason == ReasonCancelled:
		c.observe(t, move.OutcomeCancelled, now.Sub(res.dispatchedAt))
	case res.kind == resultLost:
		t.Stat.Record(routing.SignalNoAnswer, 0, now)
		c.observe(t, move.OutcomeNoAnswer, now.Sub(res.dispatchedAt))
	case res.reason.isOverload():
		t.Stat.Record(routing.SignalShed, res.retryAfter, now)
		c.observe(t, move.OutcomeShed, 0)
	default:
		t.Stat.Record(routing.SignalUnreachable, 0, now)
		if res.reason == ReasonUnreachable {
			// A target that its own node cannot reach counts against its version.
			c.observe(t, move.OutcomeNoAnswer, 0)
		}
	}
}

func (c *call) observe(t *routing.Candidate, kind move.OutcomeKind, latency time.Duration) {
	if c.proxy.cfg.Observer == nil {
		return
	}
	c.proxy.cfg.Observer.Observe(move.Outcome{
		Service: t.Service, Version: t.Version, Route: c.route, Host: t.Host, DataCentre: t.DataCentre,
		Kind: kind, Latency: max(0, latency), Cold: t.InSlowStart(time.Now()),
	})
}
