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

// upstream is the connection pool to one local target. Each target has its
// own, so that its connections are counted exactly.
type upstream struct {
	address     string
	connections int
	transport   *http.Transport
}

func (p *Proxy) upstream(t *membership.Target) *upstream {
	if v, ok := p.local.Load(t.ID); ok {
		if u := v.(*upstream); u.address == t.Address && u.connections == t.Connections {
			return u
		}
	}
	u := &upstream{address: t.Address, connections: t.Connections}
	u.transport = newTransport(dialer.DialContext, t.Connections, t.Connections)
	if old, ok := p.local.Swap(t.ID, u); ok {
		old.(*upstream).transport.CloseIdleConnections()
	}
	p.dropUpstreams()
	return u
}

// dropUpstreams forgets the pools of targets that have left.
func (p *Proxy) dropUpstreams() {
	p.local.Range(func(id, u any) bool {
		if _, _, ok := p.cfg.Targets.Lookup(id.(mesh.TargetID)); !ok {
			p.local.Delete(id)
			u.(*upstream).transport.CloseIdleConnections()
		}
		return true
	})
}

// tryLocal runs a call at a target of this host: admission, then one request.
// After an answer the caller ends the call with result.done.
func (p *Proxy) tryLocal(ctx context.Context, o *order, id mesh.TargetID, sv mesh.ServiceVersion, dispatch func() bool) result {
	arrived := time.Now()
	t, limiter, ok := p.cfg.Targets.Lookup(id)
	if !ok || t.Service != sv.Service || t.Version != sv.Version {
		return result{kind: resultNotRun, reason: ReasonTargetGone}
	}
	if t.State == membership.TargetDraining {
		return result{kind: resultNotRun, reason: ReasonDraining}
	}
	if err := limiter.Admit(ctx, admission.Request{Class: o.class, SoftDeadline: o.aim, Deadline: o.deadline}); err != nil {
		return refusedBy(err)
	}
	started := time.Now()
	req, ok := o.request(ctx, t.Address)
	if !ok || !dispatch() {
		limiter.Release(admission.Result{})
		return result{kind: resultNotRun, reason: ReasonDeadline}
	}
	resp, res := roundTrip(p.upstream(&t).transport, req)
	res.limiter, res.started, res.wait = limiter, started, started.Sub(arrived)
	if resp == nil {
		res.done(admission.Result{})
		return res
	}
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(headerTargetNotRun) == "true" {
		res.kind, res.reason, res.retryAfter = resultNotRun, ReasonShed, retryAfterOf(resp.Header)
		discard(resp)
		res.done(admission.Result{Shed: true})
		return res
	}
	res.kind, res.resp = resultAnswer, resp
	return res
}

func refusedBy(err error) result {
	var refusal *admission.Refusal
	if !errors.As(err, &refusal) {
		return result{kind: resultNotRun, reason: ReasonQueueFull}
	}
	return result{kind: resultNotRun, reason: fromAdmission(refusal.Reason), retryAfter: refusal.RetryAfter}
}

// done ends the admission of a call at a local target.
func (r *result) done(d admission.Result) {
	if r.limiter == nil {
		return
	}
	d.ServiceTime = time.Since(r.started)
	r.limiter.Release(d)
	r.limiter = nil
}
