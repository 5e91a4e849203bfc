package proxy

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/routing"
	"nutmeghoist.example/nutmeghoist/pkg/rules"
)

// maxDepth is the longest call chain: 18 by design plus a margin. A longer one
// is a loop.
const maxDepth = 24

// call is one call from a caller.
type call struct {
	p          *Proxy
	w          http.ResponseWriter
	r          *http.Request
	ctx        context.Context
	rule       *rules.Rule
	route      string
	target     mesh.ServiceVersion
	set        *routing.Set
	class      mesh.Class
	deadline   time.Time
	aim        time.Time // by when the answer has its full worth; zero when the rule names no latency
	depth      int
	budget     int
	key        string
	idempotent bool
	body       *requestBody
	state      callState
	tried      routing.PreviousAttempts
	loadTries  int // attempts that were refused for load

	// Set during an attempt that is given up early when the target is silent.
	last    *routing.Candidate
	giveUp  context.CancelCauseFunc
	silence *time.Timer
}

// CallerHandler returns the handler for calls from callers.
func (p *Proxy) CallerHandler() http.Handler { return http.HandlerFunc(p.serveCaller) }

func (p *Proxy) serveCaller(w http.ResponseWriter, r *http.Request) {
	p.counters.calls.Inc(1)
	defer p.flight.leave()
	c := &call{p: p, w: w, r: r, state: newCallState()}
	if !p.flight.enter() {
		w.Header()["Connection"] = []string{"close"}
		c.finish(ReasonDraining, 0)
		return
	}
	if reason := c.prepare(time.Now()); reason != "" {
		c.finish(reason, 0)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	c.ctx = ctx
	body, err := newRequestBody(w, r, c.deadline)
	if err != nil {
		c.finish(ReasonBody, 0)
		return
	}
	c.body = body
	defer body.close()
	c.run()
}

// prepare reads the call's headers and finds its route. It returns the reason
// for a refusal, or "".
func (c *call) prepare(now time.Time) Reason {
	t := c.p.table(now)
	if t == nil {
		return ReasonNotReady
	}
	h := c.r.Header
	depth, _, ok := intHeader(h, headerDepth)
	if !ok {
		return ReasonBadRequest
	}
	if depth >= maxDepth {
		return ReasonDepth
	}
	c.depth = depth + 1
	if c.rule = t.matcher.Match(c.r.Method, c.r.Host, c.r.URL.Path); c.rule == nil {
		return ReasonNoRoute
	}
	c.route = t.names[c.rule]
	c.idempotent = c.rule.IsIdempotent(c.r.Method)
	if reason := c.readLimits(now); reason != "" {
		return reason
	}
	c.chooseVersion()
	if c.set = t.sets[c.target]; c.set == nil || c.set.Len() == 0 {
		return c.fallBack(t)
	}
	return ""
}

// fallBack takes a move's old version when the new one has no targets, or
// another share of the rule. A move does not fall back to its new version, which
// may have been taken back.
func (c *call) fallBack(t *routeTable) Reason {
	others := c.rule.Destinations()
	if c.rule.IsMove() {
		others = nil
		if c.target == c.rule.Destination() {
			others = []mesh.ServiceVersion{c.rule.OldDestination()}
		}
	}
	for _, v := range others {
		if set := t.sets[v]; set != nil && set.Len() > 0 {
			c.target, c.set = v, set
			c.p.counters.fellBack.Inc(1)
			return ""
		}
	}
	return ReasonNoTarget
}

// readLimits takes the deadline, the class and the retries, which the call and
// the calls below it use together, that the caller's headers leave. A header only narrows what the rule allows.
func (c *call) readLimits(now time.Time) Reason {
	h := c.r.Header
	timeout := c.rule.Timeout
	ms, present, ok := intHeader(h, headerTimeout)
	if !ok {
		return ReasonBadRequest
	}
	if present && int64(ms) < timeout.Milliseconds() {
		timeout = time.Duration(ms) * time.Millisecond
	}
	c.deadline = now.Add(timeout)
	if c.rule.Latency > 0 && c.rule.Latency < timeout {
		c.aim = now.Add(c.rule.Latency)
	}
	if timeout <= 0 {
		return ReasonDeadline
	}
	c.class = c.rule.Class
	if v := h[headerClass]; len(v) > 0 {
		class, err := mesh.ParseClass(v[0])
		if err != nil {
			return ReasonBadRequest
		}
		c.class = max(c.class, class)
	}
	c.budget = c.rule.MaxRetries()
	n, present, ok := intHeader(h, headerRetryBudget)
	if !ok {
		return ReasonBadRequest
	}
	if present {
		c.budget = min(n, c.budget)
	}
	return ""
}

// chooseVersion picks the target version; a call without a key gets a random
// one, which the calls below it share.
func (c *call) chooseVersion() {
	var hash uint64
	if v := c.r.Header[headerCall]; len(v) > 0 && v[0] != "" {
		c.key = v[0]
		hash = xxhash.Sum64String(c.key)
	} else {
		c.key = strconv.FormatUint(rand.Uint64(), 36)
		hash = xxhash.Sum64String(c.key)
	}
	c.target = c.rule.Pick(hash)
	if c.rule.IsMove() && c.p.cfg.Chooser != nil {
		c.target.Version = c.p.cfg.Chooser.Choose(c.rule, hash)
	}
}

// finish gives the final answer of a call that got none from a target.
func (c *call) finish(reason Reason, after time.Duration) {
	if c.r.Context().Err() != nil {
		c.state.on(eventCancel)
	}
	c.state.on(eventRefuse)
	kind := kindUnknown
	if c.state.verdict == verdictNotRun {
		kind = kindRefused
	}
	c.p.counters.inc(kind, reason)
	writeFinal(c.w, c.state.verdict, reason, after)
}
