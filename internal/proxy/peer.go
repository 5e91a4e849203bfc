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
)

// PeerHandler returns the handler for calls from other nodes to the targets of
// this host. It must be served only to nodes, over mutual TLS. The server's idle
// timeout must be longer than 90 s, after which other nodes close connections:
// an order that is sent on a connection as it closes has an unknown outcome.
// For the same reason a planned stop drains before it closes connections.
func (p *Proxy) PeerHandler() http.Handler { return http.HandlerFunc(p.servePeer) }

// hop is one call from another node.
type hop struct {
	p     *Proxy
	w     http.ResponseWriter
	r     *http.Request
	state callState
	id    mesh.TargetID
	body  *requestBody
}

func (p *Proxy) servePeer(w http.ResponseWriter, r *http.Request) {
	p.counters.hops.Inc(1)
	defer p.flight.leave()
	h := &hop{p: p, w: w, r: r, state: newCallState()}
	if !p.flight.enter() {
		w.Header()["Connection"] = []string{"close"}
		h.finish(&result{kind: resultNotRun, reason: ReasonDraining})
		return
	}
	o, sv, ok := h.parse(time.Now())
	if !ok {
		h.finish(&result{kind: resultNotRun, reason: ReasonBadRequest})
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), o.deadline)
	defer cancel()
	body, err := newRequestBody(w, r, o.deadline)
	if err != nil {
		h.finish(&result{kind: resultNotRun, reason: ReasonBody})
		return
	}
	h.body = body
	defer body.close()
	o.body = body.open()
	h.state.on(eventQueue)
	res := p.tryLocal(ctx, o, h.id, sv, func() bool { return h.state.on(eventDispatch) })
	if res.kind == resultAnswer {
		h.pass(&res)
		return
	}
	h.finish(&res)
}

// parse reads what the other node asks for.
func (h *hop) parse(now time.Time) (*order, mesh.ServiceVersion, bool) {
	hd := h.r.Header
	ms, present, okTimeout := intHeader(hd, headerTimeout)
	depth, _, okDepth := intHeader(hd, headerDepth)
	budget, _, okBudget := intHeader(hd, headerRetryBudget)
	aim, hasAim, okAim := intHeader(hd, headerAim)
	class, err := mesh.ParseClass(hd.Get(headerClass))
	service, version, okVersion := strings.Cut(hd.Get(headerVersion), "@")
	h.id = mesh.TargetID(hd.Get(headerTarget))
	sv := mesh.ServiceVersion{Service: mesh.ServiceName(service), Version: mesh.TargetVersion(version)}
	if !present || !okTimeout || !okAim || !okDepth || !okBudget || err != nil || !okVersion || h.id == "" {
		return nil, sv, false
	}
	o := &order{
		r: h.r, length: h.r.ContentLength, class: class,
		deadline: now.Add(time.Duration(ms) * time.Millisecond),
		depth:    depth, budget: budget, key: hd.Get(headerCall),
	}
	if hasAim {
		o.aim = now.Add(time.Duration(aim) * time.Millisecond)
	}
	return o, sv, true
}

func (h *hop) pass(res *result) {
	h.state.on(eventAnswer)
	h.writeLoad(res)
	err := passAnswer(h.w, res.resp)
	_ = res.resp.Body.Close()
	res.done(admission.Result{Answered: err == nil})
	if err != nil {
		h.body.aborted.Store(true)
		panic(http.ErrAbortHandler)
	}
}

func (h *hop) finish(res *result) {
	if res.kind == resultNotRun {
		h.state.on(eventNotRun)
	} else {
		h.state.on(eventLost)
	}
	h.state.on(eventRefuse)
	kind := kindHopLost
	if h.state.verdict == verdictNotRun {
		kind = kindHop
	}
	h.p.counters.inc(kind, res.reason)
	h.writeLoad(res)
	writeFinal(h.w, h.state.verdict, res.reason, res.retryAfter)
}

// writeLoad adds the target's load and the time the call waited for it.
func (h *hop) writeLoad(res *result) {
	_, limiter, ok := h.p.cfg.Targets.Lookup(h.id)
	if !ok {
		return
	}
	l := limiter.Load()
	b := make([]byte, 0, 32)
	b = append(strconv.AppendInt(b, int64(l.InFlight), 10), ',')
	b = append(strconv.AppendInt(b, int64(l.Queued), 10), ',')
	b = append(strconv.AppendInt(b, int64(l.Limit), 10), ',')
	b = strconv.AppendInt(b, res.wait.Microseconds(), 10)
	h.w.Header()[headerLoad] = []string{string(b)}
}

// parseLoad reads the load header of another node.
func parseLoad(h http.Header) (l routing.Load, wait time.Duration, ok bool) {
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
