package proxy

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/admission"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/routing"
	"nutmeghoist.example/nutmeghoist/pkg/suspect"
)

// PeerHandler returns the handler for calls from other nodes to the targets of
// this host. It must be served over mutual TLS and only to nodes. The idle
// timeout of the server must exceed 90 s, after which other nodes close idle
// connections: a call that is sent on a connection as the server closes it has an
// unknown outcome. For the same reason a planned stop drains before it closes
// connections. The connections must be those of a linger.Listener, as those of callers.
func (p *Proxy) PeerHandler() http.Handler { return http.HandlerFunc(p.servePeer) }

// hop is a call from another node.
type hop struct {
	proxy *Proxy
	w     http.ResponseWriter
	r     *http.Request
	state callState
	id    mesh.TargetID
	body  *requestBody
}

func (p *Proxy) servePeer(w http.ResponseWriter, r *http.Request) {
	p.counters.hops.Inc(1)
	defer p.inFlight.end()
	h := &hop{proxy: p, w: w, r: r, state: newCallState()}
	if !p.inFlight.begin() {
		w.Header()["Connection"] = []string{"close"}
		boundUnreadBody(w, r)
		h.fail(&result{kind: resultNotRun, reason: ReasonDraining})
		return
	}
	o, sv, ok := h.parse(time.Now())
	if !ok {
		boundUnreadBody(w, r)
		h.fail(&result{kind: resultNotRun, reason: ReasonBadRequest})
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), o.deadline)
	defer cancel()
	body, err := newRequestBody(w, r, o.deadline)
	if err != nil {
		h.fail(&result{kind: resultNotRun, reason: ReasonBody})
		return
	}
	h.body = body
	defer body.close()
	if p.cfg.Suspects.Len() > 0 {
		body.prefetch()
	}
	o.body = body.open()
	o.key = func() (suspect.Key, bool) { return suspectKey(r, r.Header.Get(headerRuleHost), body) }
	h.state.apply(eventQueue)
	res := p.tryLocal(ctx, o, h.id, sv, func() bool { return h.state.apply(eventDispatch) })
	if res.kind == resultAnswer {
		h.forward(&res)
		return
	}
	h.fail(&res)
}

// parse reads the call from the headers of the other node. It reports false when
// one of them is missing or invalid.
func (h *hop) parse(now time.Time) (*outboundCall, mesh.ServiceVersion, bool) {
	header := h.r.Header
	ms, present, okTimeout := intHeader(header, headerTimeout)
	depth, _, okDepth := intHeader(header, headerDepth)
	budget, _, okBudget := intHeader(header, headerRetryBudget)
	softDeadlineMs, hasSoftDeadline, okSoftDeadline := intHeader(header, headerSoftDeadline)
	class, err := mesh.ParseClass(header.Get(headerClass))
	service, version, okVersion := strings.Cut(header.Get(headerVersion), "@")
	h.id = mesh.TargetID(header.Get(headerTarget))
	sv := mesh.ServiceVersion{Service: mesh.ServiceName(service), Version: mesh.TargetVersion(version)}
	if !present || !okTimeout || !okSoftDeadline || !okDepth || !okBudget || err != nil || !okVersion || h.id == "" {
		return nil, sv, false
	}
	o := &outboundCall{
		in: h.r, length: h.r.ContentLength, class: class,
		deadline: now.Add(time.Duration(ms) * time.Millisecond),
		depth:    depth, budget: budget, callKey: header.Get(headerCallKey),
	}
	if hasSoftDeadline {
		o.softDeadline = now.Add(time.Duration(softDeadlineMs) * time.Millisecond)
	}
	return o, sv, true
}

func (h *hop) forward(res *result) {
	h.state.apply(eventAnswer)
	h.setLoadHeader(res)
	h.body.endConnection(h.w.Header())
	err := forwardAnswer(h.w, res.resp)
	_ = res.resp.Body.Close()
	res.run.endForwarded(res.resp.StatusCode, err)
	res.release(admission.Result{Answered: err == nil})
	if err != nil {
		h.body.aborted.Store(true)
		panic(http.ErrAbortHandler)
	}
}

func (h *hop) fail(res *result) {
	if res.kind == resultNotRun {
		h.state.apply(eventNotRun)
	} else {
		h.state.apply(eventLost)
	}
	h.state.apply(eventRefuse)
	kind := kindHopUnknown
	if h.state.outcome == finalNotRun {
		kind = kindHopRefused
	}
	h.proxy.counters.inc(kind, res.reason)
	h.setLoadHeader(res)
	setEndedHeader(h.w.Header(), res.ended)
	if h.body != nil {
		h.body.endConnection(h.w.Header())
	}
	writeFailure(h.w, h.state.outcome, res.reason, res.retryAfter)
}

// setLoadHeader adds the target's load and the queue time of the call.
func (h *hop) setLoadHeader(res *result) {
	_, limiter, ok := h.proxy.cfg.Targets.Lookup(h.id)
	if !ok {
		return
	}
	l := limiter.Load()
	b := make([]byte, 0, 32)
	b = append(strconv.AppendInt(b, int64(l.InFlight), 10), ',')
	b = append(strconv.AppendInt(b, int64(l.Queued), 10), ',')
	b = append(strconv.AppendInt(b, int64(l.Limit), 10), ',')
	b = strconv.AppendInt(b, res.queueTime.Microseconds(), 10)
	h.w.Header()[headerLoad] = []string{string(b)}
}

// parseLoad returns the target's load and the queue time of the call from the
// load header of another node.
func parseLoad(h http.Header) (l routing.Load, queueTime time.Duration, ok bool) {
	v := h[headerLoad]
	if len(v) == 0 {
		return l, 0, false
	}
	var n [4]int
	rest := v[0]
	for i := range n {
		field, tail, _ := strings.Cut(rest, ",")
		x, err := strconv.Atoi(field)
		if err != nil || x < 0 {
			return l, 0, false
		}
		n[i], rest = x, tail
	}
	return routing.Load{InFlight: n[0], Queued: n[1], Limit: n[2]}, time.Duration(n[3]) * time.Microsecond, true
}
