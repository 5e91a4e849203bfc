package proxy

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// finalAnswer is the body of an answer that the system itself gives.
type finalAnswer struct {
	Outcome      string `json:"outcome"`
	Reason       Reason `json:"reason"`
	RetryAfterMs int64  `json:"retry_after_ms"`
}

const (
	outcomeNotRun  = "not-run"
	outcomeUnknown = "unknown"
)

// writeFinal gives the system's own answer for a call that got none from a
// target. The status follows from the verdict, so that a 404 or 503 of the
// system always means not run and a 502 or 504 always means unknown.
func writeFinal(w http.ResponseWriter, v verdict, reason Reason, after time.Duration) {
	a := finalAnswer{Outcome: outcomeUnknown, Reason: reason, RetryAfterMs: after.Milliseconds()}
	status := http.StatusBadGateway
	switch {
	case v == verdictNotRun:
		a.Outcome, status = outcomeNotRun, reason.status()
	case reason == ReasonTimeout:
		status = http.StatusGatewayTimeout
	}
	if after <= 0 {
		after = defaultRetryAfter
		a.RetryAfterMs = after.Milliseconds()
	}
	body, _ := json.Marshal(a) // a struct of strings and a number always encodes
	h := w.Header()
	h["Content-Type"] = []string{"application/json"}
	h["Content-Length"] = []string{strconv.Itoa(len(body))}
	h[headerOutcome] = []string{a.Outcome}
	h[headerReason] = []string{string(reason)}
	h["Retry-After"] = []string{strconv.FormatInt(int64((after+time.Second-1)/time.Second), 10)}
	h[headerRetryAfterMs] = []string{strconv.FormatInt(a.RetryAfterMs, 10)}
	w.WriteHeader(status)
	_, _ = w.Write(body) // the caller may have left
}

var (
	errEarlyEnd   = errors.New("answer ended before it was whole")
	errCallerGone = errors.New("caller takes no more of the answer")
)

var buffers = sync.Pool{New: func() any { b := make([]byte, 32<<10); return &b }}

// passAnswer streams a target's answer. It reports errEarlyEnd when the answer
// is not whole, in which case the connection to the caller must be aborted,
// and errCallerGone when the caller takes no more.
func passAnswer(w http.ResponseWriter, resp *http.Response) error {
	h := w.Header()
	copyHeaders(h, resp.Header)
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps net/http from guessing one
	}
	w.WriteHeader(resp.StatusCode)
	if resp.ContentLength == 0 {
		return nil
	}
	if err := stream(w, resp); err != nil {
		return err
	}
	for name, v := range resp.Trailer {
		h[http.TrailerPrefix+name] = v
	}
	return nil
}

// stream copies the body and flushes whatever is there before it waits for
// more. A body that arrives in one piece needs no flush of its own.
func stream(w http.ResponseWriter, resp *http.Response) error {
	rc := http.NewResponseController(w)
	if resp.ContentLength < 0 {
		if err := rc.Flush(); err != nil {
			return errCallerGone
		}
	}
	buf := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
	var total int64
	for {
		n, err := resp.Body.Read(*buf)
		total += int64(n)
		if n > 0 {
			if _, err := w.Write((*buf)[:n]); err != nil {
				return errCallerGone
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return errEarlyEnd
		}
		if total == resp.ContentLength {
			continue // only the EOF is missing
		}
		if err := rc.Flush(); err != nil {
			return errCallerGone
		}
	}
}
