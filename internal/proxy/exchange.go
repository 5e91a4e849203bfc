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
	"nutmeghoist.example/nutmeghoist/pkg/suspect"
)

// resultKind is the outcome of an attempt up to the headers of the answer.
type resultKind uint8

const (
	resultAnswer resultKind = iota + 1
	resultNotRun            // provably not run
	resultLost              // may have run
)

// result describes one attempt at a target.
type result struct {
	kind         resultKind
	reason       Reason
	retryAfter   time.Duration
	resp         *http.Response // for resultAnswer
	dispatchedAt time.Time      // to the target or to its node
	queueTime    time.Duration  // before the dispatch to the target
	limiter      *admission.Limiter
	run          *run          // at a local target
	conn         *trackedConn  // on which the answer arrived
	ended        suspect.EndID // the target ended while it ran the call
}

// outboundCall is a call to be sent to a target or another node.
type outboundCall struct {
	in           *http.Request // the incoming request
	body         io.ReadCloser
	length       int64
	class        mesh.Class
	softDeadline time.Time // zero when only the deadline counts
	deadline     time.Time
	depth        int
	budget       int
	callKey      string
	key          func() (suspect.Key, bool) // of the request, if its body is known
}

// request builds the request to the next hop. It reports false when no time is
// left before the deadline.
func (o *outboundCall) request(ctx context.Context, addr string) (*http.Request, bool) {
	h := make(http.Header, len(o.in.Header)+8)
	copyHeaders(h, o.in.Header)
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = []string{""} // prevents net/http from adding its own
	}
	h[headerDepth] = []string{strconv.Itoa(o.depth)}
	h[headerRetryBudget] = []string{strconv.Itoa(o.budget)}
	h[headerClass] = []string{o.class.String()}
	h[headerCallKey] = []string{o.callKey}
	if !o.softDeadline.IsZero() {
		h[headerSoftDeadline] = []string{strconv.FormatInt(max(0, time.Until(o.softDeadline).Milliseconds()), 10)}
	}
	if !setTimeoutHeader(h, time.Until(o.deadline)) {
		return nil, false
	}
	u := o.in.URL
	req := &http.Request{
		Method:        o.in.Method,
		URL:           &url.URL{Scheme: "http", Host: addr, Path: u.Path, RawPath: u.RawPath, RawQuery: u.RawQuery, ForceQuery: u.ForceQuery},
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        h,
		Host:          o.in.Host,
		Body:          o.body,
		ContentLength: o.length,
	}
	return req.WithContext(ctx), true
}

// errSilent is the cause for cancelling an attempt whose answer takes much longer
// than usual.
var errSilent = errors.New("no answer within the attempt timeout")

// roundTrip sends a request once. When it returns no response, the result
// classifies the failure.
func roundTrip(t *http.Transport, req *http.Request) (*http.Response, result) {
	var a attempt
	ctx, started := req.Context(), time.Now()
	resp, err := t.RoundTrip(req.WithContext(a.withTrace(ctx)))
	if err == nil {
		return resp, result{conn: a.writer.Load()}
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
			// The cause of the silence may affect the idle connections too.
			t.CloseIdleConnections()
		}
		return nil, result{kind: resultLost, reason: reason}
	}
	switch {
	case reason == ReasonTimeout && time.Since(started) < minConnectWait:
		reason = ReasonDeadline // too short a wait to count against the target
	case reason != ReasonCancelled:
		reason = ReasonUnreachable
	}
	return nil, result{kind: resultNotRun, reason: reason}
}

// minConnectWait is how long an unfinished connection attempt must have lasted
// to count against the target. Opening a connection takes about 1 ms.
const minConnectWait = 100 * time.Millisecond

// discard closes an answer that is not forwarded. It first reads up to
// maxDiscardBytes, so that the connection can be reused after a short answer.
func discard(resp *http.Response) {
	_, _ = io.CopyN(io.Discard, resp.Body, maxDiscardBytes)
	_ = resp.Body.Close()
}

const maxDiscardBytes = 4 << 10

// retryAfterOf returns the delay before a retry that an answer asks for.
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
