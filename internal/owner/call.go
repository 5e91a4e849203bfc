package owner

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"nutmeghoist.example/nutmeghoist/internal/exchange"
	"nutmeghoist.example/nutmeghoist/internal/header"
	"nutmeghoist.example/nutmeghoist/internal/hop"
	"nutmeghoist.example/nutmeghoist/pkg/admission"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/suspect"
)

// The reasons for the owner's own refusals.
const (
	reasonTargetUnknown = "target_unknown"    // no such target here, or no heartbeat from it yet
	reasonDraining      = "target_draining"   // the target is draining
	reasonSilent        = "target_silent"     // its heartbeats stopped
	reasonUnverified    = "target_unverified" // it may have left unnoticed
	reasonEvacuated     = "evacuated"         // the data centre of this host is evacuated
	reasonPaused        = "node_paused"       // the node was paused and has not heard its neighbours since
)

// reasonInternal is the reason of a call that failed by an unexpected error and
// may have run.
const reasonInternal = "internal_error"

// waitedTime is longer than the admission of a call that finds a free slot takes.
const waitedTime = time.Millisecond

// Call runs a call at a target of this host.
func (o *Owner) Call(ctx context.Context, r *hop.Request) (resp *hop.Response) {
	if o.cfg.Guard.Run("target_call", func() { resp = o.call(ctx, r) }) {
		return &hop.Response{Outcome: hop.Unknown, Reason: reasonInternal, SentToTarget: true}
	}
	return resp
}

func (o *Owner) call(ctx context.Context, r *hop.Request) *hop.Response {
	t, reason := o.find(r)
	if t != nil {
		if reason = o.sendBan(); reason != "" {
			t = nil
		}
	}
	if t == nil {
		o.count("refused." + reason)
		return &hop.Response{Outcome: hop.NotRun, Reason: reason}
	}
	o.applySignals(t, r.Signals)
	t.limiter.SetColdRate(o.coldRate(r.Service)) // the first configuration can have arrived since the heartbeat
	key := sync.OnceValue(func() suspect.Key { return keyOf(r) })
	endTrial, refusal := o.admitSuspect(ctx, t, r, key)
	if refusal != nil {
		return o.withLoad(t, refusal)
	}
	if endTrial != nil {
		defer endTrial()
	}
	deadline := hop.TimeAt(r.DeadlineAt)
	arrived := time.Now()
	err := t.limiter.Admit(ctx, admission.Request{
		Class: mesh.ClassOfPriority(r.Priority), Team: r.Team, Nested: r.Nested, Kind: r.Route, SoftDeadline: hop.TimeAt(r.SoftDeadlineAt), Deadline: deadline,
	})
	if err != nil {
		return o.refusalResponse(t, r, err, arrived)
	}
	if time.Since(arrived) > waitedTime {
		o.count("target.waited")
	}
	out := o.runAdmitted(ctx, t, r, key, deadline, endTrial != nil)
	res := &out.Result
	if res.Reason == exchange.Withdrawn && !o.mayStillSend(key, endTrial != nil, 0) {
		return o.withLoad(t, o.refuseSuspect(r, key(), reasonSuspectBusy, suspect.Decision{RetryAfter: trialRetryAfter}))
	}
	if res.Reason == exchange.Withdrawn && out.unsent != nil {
		return o.refuseUnsent(t, out.unsent)
	}
	if res.Reason == exchange.Withdrawn {
		reason := cmp.Or(o.sendBan(), reasonDraining)
		o.count("refused." + reason)
		return o.withLoad(t, &hop.Response{Outcome: hop.NotRun, Reason: reason})
	}
	metrics.GetOrRegisterTimer("target.time", o.cfg.Metrics).Update(out.took)
	resp := o.response(res)
	resp.ServiceUs, resp.Ended, resp.Resent = out.took.Microseconds(), out.ended, out.sends > 1
	resp.NestedFailed = out.nestedFailed
	if res.Kind != exchange.Answered {
		o.count("target." + string(res.Reason))
		o.cfg.Log.Info().Str("id", r.ID).Str("request", key().String()).Str("target", string(r.Target)).Str("route", r.Route).Str("reason", string(res.Reason)).
			Bool("sent", res.Sent).Dur("took", out.took).Dur("left", time.Until(deadline)).AnErr("cause", res.Err).Msg("target gave no answer")
	}
	return o.withLoad(t, resp)
}

// outcome is the outcome of a call that was admitted.
type outcome struct {
	exchange.Result
	sends  int
	unsent *admission.Refusal // why the call was not sent after all, if the target is cold
	ended  suspect.EndID      // of the target, if it ended while it ran the call
	took   time.Duration      // at the target

	nestedFailed bool // a call failed that the target made for this one
}

// runAdmitted sends an admitted call to its target and releases its slot.
func (o *Owner) runAdmitted(ctx context.Context, t *target, r *hop.Request, key func() suspect.Key, deadline time.Time, isTrial bool) (out outcome) {
	sent := time.Now()
	o.beginRunning(r)
	endWatch := t.limiter.Watch(r.Route)
	defer func() {
		out.took = time.Since(sent)
		if endWatch() {
			o.count("target.overdue")
		}
		out.nestedFailed = o.endRunning(r.ID)
		t.limiter.Release(admission.Result{
			Kind: r.Route, Shed: out.Reason == exchange.Shed, Answered: out.Kind == exchange.Answered, ServiceTime: out.took,
			NotSent: !out.Sent, Rate: rateNotice(&out.Result),
		})
	}()
	call := t.running.Begin(func() (suspect.Key, bool) { return key(), true })
	out.Result = t.client.Do(ctx, &exchange.Call{
		ID: r.ID, Method: r.Method, URI: r.URI, Host: r.Host, Header: r.Header, Body: r.Body,
		Caller: r.Caller, Team: r.Team, Expect: r.Target, Idempotent: r.Idempotent, Deadline: deadline,
		MaySend: func() bool {
			if o.sendBan() != "" || o.pastSendLimit(t) || !o.mayStillSend(key, isTrial, out.sends) || out.sends > 0 && !r.MayResend {
				return false
			}
			if out.sends > 0 && !t.limiter.CountResend() {
				return false
			}
			if err := t.limiter.Send(); err != nil {
				errors.As(err, &out.unsent)
				return false
			}
			out.sends++
			o.countSend(t)
			return true
		},
	})
	o.observe(t, r.ID, &out.Result)
	o.doubtWarmth(t, &out.Result)
	out.ended = o.endCall(ctx, t, call, key, len(r.Body), &out.Result)
	return out
}

// IsRunning reports whether a call with the request ID runs at a target of this
// host.
func (o *Owner) IsRunning(id string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.running[id].attempts > 0
}

// RecordNestedFailure records that a call failed which a target of this host made for
// the running one with the request ID.
func (o *Owner) RecordNestedFailure(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if r := o.running[id]; r.attempts > 0 {
		r.nestedFailed = true
		o.running[id] = r
	}
}

func (o *Owner) beginRunning(request *hop.Request) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := o.running[request.ID]
	r.repeat = r.repeat || request.Repeat || r.attempts > 0
	r.attempts++
	o.running[request.ID] = r
}

// IsRepeat reports whether the run of a request at a target of this host is a repeat.
func (o *Owner) IsRepeat(id string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.running[id].repeat
}

// endRunning ends an attempt and reports whether a call failed that was made for the
// request meanwhile.
func (o *Owner) endRunning(id string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := o.running[id]
	if r.attempts--; r.attempts > 0 {
		o.running[id] = r
	} else {
		delete(o.running, id)
	}
	return r.nestedFailed
}

// find returns the target of a call, or the reason for a refusal.
func (o *Owner) find(r *hop.Request) (*target, string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.targets[r.Target]
	switch {
	case t == nil || t.reported.Service != r.Service || t.reported.Version != r.Version:
		return nil, reasonTargetUnknown
	case t.hasDrainedFor(admissionShare):
		return nil, reasonDraining
	case t.silent:
		return nil, reasonSilent
	case t.verification != nil:
		return nil, reasonUnverified
	}
	return t, ""
}

// pastSendLimit reports whether the target has been draining for too long for a
// call to be sent. It is checked right before the send, after every wait for a slot
// or a connection, since the process may also have been paused meanwhile.
func (o *Owner) pastSendLimit(t *target) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return t.hasDrainedFor(sendShare)
}

func (o *Owner) refusalResponse(t *target, r *hop.Request, err error, arrived time.Time) *hop.Response {
	resp := &hop.Response{Outcome: hop.NotRun}
	var refusal *admission.Refusal
	if errors.As(err, &refusal) {
		resp.Reason = string(refusal.Reason)
		resp.RetryAfterMs = refusal.RetryAfter.Milliseconds()
	}
	o.count("refused." + resp.Reason)
	load := t.limiter.Load()
	o.cfg.Log.Info().Str("id", r.ID).Str("target", string(r.Target)).Str("route", r.Route).Str("reason", resp.Reason).
		Dur("waited", time.Since(arrived)).Dur("left", time.Until(hop.TimeAt(r.DeadlineAt))).
		Int("in_flight", load.InFlight).Int("queued", load.Queued).Int("limit", load.Limit).Dur("mean", load.Mean).Msg("call not admitted")
	return o.withLoad(t, resp)
}

func (o *Owner) response(res *exchange.Result) *hop.Response {
	resp := &hop.Response{Reason: string(res.Reason), SentToTarget: res.Sent}
	switch res.Kind {
	case exchange.Answered:
		resp.Outcome, resp.Status, resp.Body = hop.Answered, res.Status, res.Body
		resp.Stamp, resp.Header = res.Header.Get(o.cfg.HeaderNames.Stamp), o.forwardedHeader(res.Header)
	case exchange.NotRun:
		resp.Outcome = hop.NotRun
	default:
		resp.Outcome = hop.Unknown
	}
	return resp
}

// forwardedHeader returns the headers of a response without those that the
// caller's node sets itself.
func (o *Owner) forwardedHeader(h http.Header) http.Header {
	out := header.EndToEnd(h)
	delete(out, o.cfg.HeaderNames.Stamp)
	delete(out, o.cfg.HeaderNames.RequestID)
	return out
}

func (o *Owner) withLoad(t *target, resp *hop.Response) *hop.Response {
	l := t.limiter.Load()
	resp.Load = &hop.Load{
		InFlight: l.InFlight, Queued: l.Queued, Limit: l.Limit, MeanUs: l.Mean.Microseconds(),
		RateLimit: l.RateLimit, RateWaitUs: l.RateWait.Microseconds(),
	}
	resp.Signals = o.signals(t)
	return resp
}

// Load returns the load of a target of this host.
func (o *Owner) Load(id mesh.TargetID) (admission.Load, bool) {
	o.mu.Lock()
	t := o.targets[id]
	o.mu.Unlock()
	if t == nil {
		return admission.Load{}, false
	}
	return t.limiter.Load(), true
}
