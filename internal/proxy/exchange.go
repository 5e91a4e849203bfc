package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/admission"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// resultKind says how an attempt went until the answer's headers.
type resultKind uint8

const (
	resultAnswer resultKind = iota + 1
	resultNotRun            // provably not run
	resultLost              // may have run
)

// result is how one attempt at a target went.
type result struct {
	kind       resultKind
	reason     Reason
	retryAfter time.Duration
	resp       *http.Response // for an answer
	started    time.Time      // when the target got the call
	wait       time.Duration  // spent waiting before the target got it
	limiter    *admission.Limiter
}

// order is what a target or another node is asked to do.
type order struct {
	r        *http.Request // as it came in
	body     io.ReadCloser
	length   int64
	class    mesh.Class
	aim      time.Time // zero when only the deadline counts
	deadline time.Time
	depth    int
	budget   int
	key      string
}

// request builds the request for the next hop; it reports false when no time
// is left.
func (o *order) request(ctx context.Context, addr string) (*http.Request, bool) {
	h := make(http.Header, len(o.r.Header)+8)
	copyHeaders(h, o.r.Header)
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = []string{""} // keeps net/http from adding its own
	}
	h[headerDepth] = []string{strconv.Itoa(o.depth)}
	h[headerRetryBudget] = []string{strconv.Itoa(o.budget)}
	h[headerClass] = []string{o.class.String()}
	h[headerCall] = []string{o.key}
	if !o.aim.IsZero() {
		h[headerAim] = []string{strconv.FormatInt(max(0, time.Until(o.aim).Milliseconds()), 10)}
	}
	if !setTimeout(h, time.Until(o.deadline)) {
		return nil, false
	}
	u := o.r.URL
	req := &http.Request{
		Method:        o.r.Method,
		URL:           &url.URL{Scheme: "http", Host: addr, Path: u.Path, RawPath: u.RawPath, RawQuery: u.RawQuery, ForceQuery: u.ForceQuery},
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        h,
		Host:          o.r.Host,
		Body:          o.body,
		ContentLength: o.length,
	}
	return req.WithContext(ctx), true
}

// errSilent ends an attempt that has no answer long after it usually comes.
var errSilent = errors.New("no answer long after the usual time")

// roundTrip sends a request once. A nil response comes with the result that
// the failure amounts to.
func roundTrip(t *http.Transport, req *http.Request) (*http.Response, result) {
	var a attempt
	ctx, started := req.Context(), time.Now()
	resp, err := t.RoundTrip(req.WithContext(a.trace(ctx)))
	if err == nil && resp.StatusCode >= http.StatusOK {
		return resp, result{}
	}
	if err == nil {
		// No final answer: an upgrade that was not asked for, or no valid status.
		_ = resp.Body.Close()
		return nil, result{kind: resultLost, reason: ReasonBrokenLink}
	}
	reason := ReasonBrokenLink
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, context.DeadlineExceeded), errors.Is(cause, errSilent):
		reason = ReasonTimeout
	case cause != nil:
		reason = ReasonCancelled
	}
	if !a.seal() {
		if reason == ReasonTimeout {
			// Whatever silenced this connection may have silenced the idle ones.
			t.CloseIdleConnections()
		}
		return nil, result{kind: resultLost, reason: reason}
	}
	switch {
	case reason == ReasonTimeout && time.Since(started) < silentConnect:
		reason = ReasonDeadline // too short a time to speak against the target
	case reason != ReasonCancelled:
		reason = ReasonUnreachable
	}
	return nil, result{kind: resultNotRun, reason: reason}
}

// silentConnect is the time after which a connect that does not finish speaks
// against the target. Opening a connection takes about 1 ms.
const silentConnect = 100 * time.Millisecond

// discard ends the use of an answer that is not passed on, so that its
// connection can be used again when little is left of it.
func discard(resp *http.Response) {
	_, _ = io.CopyN(io.Discard, resp.Body, maxDiscard)
	_ = resp.Body.Close()
}

const maxDiscard = 4 << 10

// retryAfterOf reads how long an answer asks to wait.
func retryAfterOf(h http.Header) time.Duration {
	if ms, present, ok := intHeader(h, headerRetryAfterMs); present && ok {
		return time.Duration(min(ms, maxRetryAfterSeconds*1000)) * time.Millisecond
	}
	if s, present, ok := intHeader(h, "Retry-After"); present && ok {
		return time.Duration(min(s, maxRetryAfterSeconds)) * time.Second
	}
	return 0
}

const maxRetryAfterSeconds = 3600
