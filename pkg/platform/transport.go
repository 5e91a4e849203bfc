package platform

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/dghubble/sling"
)

// request is one request together with how to judge its end.
type request struct {
	what  string // the object, for errors
	read  bool   // a read has no outcome that could be unknown
	limit int64  // bytes of the answer's body
	sling *sling.Sling
}

// do sends a request once and returns the body of a 2xx answer.
func (c *Client) do(ctx context.Context, r request) ([]byte, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, DefaultTimeout)
		defer cancel()
	}
	// A request counts as sent once it has a connection, even when the bytes
	// may still be in a buffer.
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	req, err := r.sling.Request()
	if err != nil {
		return nil, fmt.Errorf("%s: %w", r.what, err)
	}
	// Without GetBody, neither the transport nor a redirect can repeat the body.
	req.GetBody = nil
	resp, err := c.http.Do(req.WithContext(ctx))
	if err != nil {
		return nil, r.broken(err, sent.Load())
	}
	defer resp.Body.Close()
	return r.answer(resp)
}

// broken judges a request that got no answer.
func (r request) broken(err error, sent bool) error {
	if r.read || !sent {
		return fmt.Errorf("%s: %w: %w", r.what, ErrUnavailable, err)
	}
	return fmt.Errorf("%s: %w: %w", r.what, ErrOutcomeUnknown, err)
}

// answer judges an answer by its status.
func (r request) answer(resp *http.Response) ([]byte, error) {
	body, err := readBounded(resp.Body, r.limit)
	if resp.StatusCode/100 == 2 {
		if err == nil || !r.read {
			return body, nil // a write is settled by its status alone
		}
		if errors.Is(err, errTooLarge) {
			return nil, fmt.Errorf("%s: %w", r.what, err)
		}
		return nil, r.broken(err, true)
	}
	return nil, fmt.Errorf("%s: %w", r.what, r.statusError(resp))
}

func (r request) statusError(resp *http.Response) error {
	switch code := resp.StatusCode; {
	case code == http.StatusNotFound && r.read:
		return ErrNotFound
	case code == http.StatusConflict && !r.read:
		return ErrConflict
	case code == http.StatusTooManyRequests:
		return &RateLimitedError{RetryAfter: retryAfter(resp.Header)}
	case code == http.StatusServiceUnavailable:
		return ErrUnavailable
	case code >= 500 && r.read:
		return fmt.Errorf("%w: status %s", ErrUnavailable, resp.Status)
	case code >= 500:
		// Only 503 promises that nothing was written.
		return fmt.Errorf("%w: status %s", ErrOutcomeUnknown, resp.Status)
	default:
		return fmt.Errorf("unexpected status %s", resp.Status)
	}
}

// defaultRetryAfter applies when a 429 carries no usable Retry-After.
const defaultRetryAfter = time.Second

func retryAfter(h http.Header) time.Duration {
	s, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || s < 0 || s > int(time.Hour/time.Second) {
		return defaultRetryAfter
	}
	return time.Duration(s) * time.Second
}

var errTooLarge = errors.New("answer is too large")

func readBounded(r io.Reader, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, fmt.Errorf("%w: more than %d bytes", errTooLarge, limit)
	}
	return body, nil
}
