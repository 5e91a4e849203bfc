package proxy

import (
	"context"
	"errors"
	"net/http"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/admission"
	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// upstream is the connection pool of one local target. Each target has its own
// pool, so that its connections are counted exactly.
type upstream struct {
	address     string
	connections int
	transport   *http.Transport
}

func (p *Proxy) upstreamFor(t *membership.Target) *upstream {
	if v, ok := p.upstreams.Load(t.ID); ok {
		if u := v.(*upstream); u.address == t.Address && u.connections == t.Connections {
			return u
		}
	}
	u := &upstream{address: t.Address, connections: t.Connections}
	u.transport = newTransport(dialer.DialContext, t.Connections, t.Connections)
	if old, ok := p.upstreams.Swap(t.ID, u); ok {
		old.(*upstream).transport.CloseIdleConnections()
	}
	p.pruneUpstreams()
	return u
}

// pruneUpstreams removes the pools of targets that are no longer registered.
func (p *Proxy) pruneUpstreams() {
	p.upstreams.Range(func(id, u any) bool {
		if _, _, ok := p.cfg.Targets.Lookup(id.(mesh.TargetID)); !ok {
			p.upstreams.Delete(id)
			u.(*upstream).transport.CloseIdleConnections()
		}
		return true
	})
	p.runs.Range(func(id, _ any) bool {
		if _, _, ok := p.cfg.Targets.Lookup(id.(mesh.TargetID)); !ok {
			p.runs.Delete(id)
		}
		return true
	})
}

// tryLocal admits a call to a target of this host and sends it once. After
// resultAnswer the caller must call result.release.
func (p *Proxy) tryLocal(ctx context.Context, o *outboundCall, id mesh.TargetID, sv mesh.ServiceVersion, dispatch func() bool) result {
	arrived := time.Now()
	t, limiter, ok := p.cfg.Targets.Lookup(id)
	if !ok || t.Service != sv.Service || t.Version != sv.Version {
		return result{kind: resultNotRun, reason: ReasonTargetGone}
	}
	if t.State == membership.TargetDraining {
		return result{kind: resultNotRun, reason: ReasonDraining}
	}
	runs := p.runsOf(&t)
	isTrial, refusal := p.admitSuspect(o, runs)
	if refusal != nil {
		return *refusal
	}
	endTrial := func() {
		if isTrial {
			runs.trials.End()
		}
	}
	if err := limiter.Admit(ctx, admission.Request{Class: o.class, SoftDeadline: o.softDeadline, Deadline: o.deadline}); err != nil {
		endTrial()
		return refusalResult(err)
	}
	started := time.Now()
	req, ok := o.request(ctx, t.Address)
	if !p.mayStillSend(o, isTrial) {
		limiter.Release(admission.Result{})
		return result{kind: resultNotRun, reason: ReasonSuspectBusy, retryAfter: trialRetryAfter}
	}
	if !ok || !dispatch() {
		endTrial()
		limiter.Release(admission.Result{})
		return result{kind: resultNotRun, reason: ReasonDeadline}
	}
	run := p.beginRun(o, runs, isTrial)
	resp, res := roundTrip(p.upstreamFor(&t).transport, req)
	res.limiter, res.dispatchedAt, res.queueTime = limiter, started, started.Sub(arrived)
	if resp == nil {
		run.endFailed(&res)
		res.release(admission.Result{})
		return res
	}
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(headerTargetNotRun) == "true" {
		res.kind, res.reason, res.retryAfter = resultNotRun, ReasonShed, retryAfterOf(resp.Header)
		run.endFailed(&res)
		// A second copy of the refusal would be taken for the answer to the next call.
		_ = res.conn.Close()
		discard(resp)
		res.release(admission.Result{Shed: true})
		return res
	}
	res.kind, res.resp, res.run = resultAnswer, resp, run
	return res
}

func refusalResult(err error) result {
	var refusal *admission.Refusal
	if !errors.As(err, &refusal) {
		return result{kind: resultNotRun, reason: ReasonQueueFull}
	}
	return result{kind: resultNotRun, reason: fromAdmission(refusal.Reason), retryAfter: refusal.RetryAfter}
}

// release releases the call's slot at a local target. It has no effect on calls
// that were sent to another node.
func (r *result) release(res admission.Result) {
	if r.limiter == nil {
		return
	}
	res.ServiceTime = time.Since(r.dispatchedAt)
	r.limiter.Release(res)
	r.limiter = nil
}
