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

// maxDepth bounds the length of call chains. The longest chain by design has 18
// calls; one that exceeds this bound is treated as a loop.
const maxDepth = 24

// call is one call from a caller.
type call struct {
	proxy        *Proxy
	w            http.ResponseWriter
	r            *http.Request
	ctx          context.Context
	rule         *rules.Rule
	route        string
	destination  mesh.ServiceVersion
	set          *routing.Set
	class        mesh.Class
	deadline     time.Time
	softDeadline time.Time // from the rule's latency target; zero when there is none before the deadline
	depth        int
	budget       int    // retries left for the call and the calls below it
	callKey      string // its hash selects the destination
	idempotent   bool
	body         *requestBody
	state        callState
	tried        routing.PreviousAttempts
	shedAttempts int // attempts that were refused for load

	// Set during an attempt that is cancelled early when the target is silent.
	watched       *routing.Candidate
	cancelAttempt context.CancelCauseFunc
	silenceTimer  *time.Timer
}

// CallerHandler returns the handler for calls from callers. It must be served on the
// connections of a linger.Listener, which discards what callers still send after an
// answer that ends the connection.
func (p *Proxy) CallerHandler() http.Handler { return http.HandlerFunc(p.serveCaller) }

func (p *Proxy) serveCaller(w http.ResponseWriter, r *http.Request) {
	p.counters.calls.Inc(1)
	defer p.inFlight.end()
	c := &call{proxy: p, w: w, r: r, state: newCallState()}
	if !p.inFlight.begin() {
		w.Header()["Connection"] = []string{"close"}
		boundUnreadBody(w, r)
		c.fail(ReasonDraining, 0)
		return
	}
	if reason := c.prepare(time.Now()); reason != "" {
		boundUnreadBody(w, r)
		c.fail(reason, 0)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	c.ctx = ctx
	body, err := newRequestBody(w, r, c.deadline)
	if err != nil {
		c.fail(ReasonBody, 0)
		return
	}
	c.body = body
	defer body.close()
	if p.cfg.Suspects.Len() > 0 {
		body.prefetch()
	}
	c.run()
}

// prepare reads the headers of the call path and finds the route and the targets
// of the call. It returns the reason for a refusal, or "".
func (c *call) prepare(now time.Time) Reason {
	t := c.proxy.table(now)
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
	c.chooseDestination()
	if c.set = t.sets[c.destination]; c.set == nil || c.set.Len() == 0 {
		return c.fallBack(t)
	}
	return ""
}

// fallBack selects another version when the chosen one has no targets: the old
// version of a move, or another share of the rule. A move does not fall back to
// its new version, which may have been rolled back.
func (c *call) fallBack(t *routeTable) Reason {
	others := c.rule.Destinations()
	if c.rule.IsMove() {
		others = nil
		if c.destination == c.rule.Destination() {
			others = []mesh.ServiceVersion{c.rule.OldDestination()}
		}
	}
	for _, v := range others {
		if set := t.sets[v]; set != nil && set.Len() > 0 {
			c.destination, c.set = v, set
			c.proxy.counters.fallbacks.Inc(1)
			return ""
		}
	}
	return ReasonNoTarget
}

// readLimits sets the deadline, the class and the retry budget from the rule and
// the caller's headers. A header can only tighten what the rule allows: an
// earlier deadline, a class of lower priority, fewer retries. The call and the
// calls below it share the budget.
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
		c.softDeadline = now.Add(c.rule.Latency)
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

// chooseDestination selects the destination by the hash of the call key. A call
// without a key gets a random one, which is passed to the calls below it.
func (c *call) chooseDestination() {
	var hash uint64
	if v := c.r.Header[headerCallKey]; len(v) > 0 && v[0] != "" {
		c.callKey = v[0]
		hash = xxhash.Sum64String(c.callKey)
	} else {
		c.callKey = strconv.FormatUint(rand.Uint64(), 36)
		hash = xxhash.Sum64String(c.callKey)
	}
	c.destination = c.rule.Pick(hash)
	if c.rule.IsMove() && c.proxy.cfg.Chooser != nil {
		c.destination.Version = c.proxy.cfg.Chooser.Choose(c.rule, hash)
	}
}

// fail writes the final answer to a call that got none from a target.
func (c *call) fail(reason Reason, retryAfter time.Duration) {
	if c.r.Context().Err() != nil {
		c.state.apply(eventCancel)
	}
	c.state.apply(eventRefuse)
	kind := kindUnknown
	if c.state.outcome == finalNotRun {
		kind = kindRefused
	}
	c.proxy.counters.inc(kind, reason)
	if c.body != nil {
		c.body.endConnection(c.w.Header())
	}
	writeFailure(c.w, c.state.outcome, reason, retryAfter)
}
