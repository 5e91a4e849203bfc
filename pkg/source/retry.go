package source

import (
	"context"
	"errors"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/platform"
)

const (
	maxAttempts   = 8                     // of one request, or of one Accept
	firstBackoff  = 50 * time.Millisecond // doubles with each attempt, with full jitter
	maxBackoff    = 2 * time.Second
	maxRetryAfter = 5 * time.Second // an error with a longer delay is returned to the caller
)

// retry repeats an idempotent request while the platform limits the rate or its
// answers get lost. It does not retry during an outage.
func (s *Source) retry(ctx context.Context, request func() error) error {
	for attempt := 0; ; attempt++ {
		err := request()
		if err == nil || attempt+1 == maxAttempts || !isRetryable(err) {
			return err
		}
		if waitErr := s.backOff(ctx, attempt, err); waitErr != nil {
			return errors.Join(err, waitErr)
		}
	}
}

// isRetryable reports whether err means that the answer was lost, or that the
// rate limit was exceeded with a delay of at most maxRetryAfter.
func isRetryable(err error) bool {
	var limited *platform.RateLimitedError
	if errors.As(err, &limited) {
		return limited.RetryAfter <= maxRetryAfter
	}
	return errors.Is(err, platform.ErrOutcomeUnknown)
}

// backOff waits before the next attempt for the delay that the platform asked
// for plus an exponential back-off with full jitter.
func (s *Source) backOff(ctx context.Context, attempt int, err error) error {
	d := s.jitter(min(firstBackoff<<attempt, maxBackoff))
	var limited *platform.RateLimitedError
	if errors.As(err, &limited) {
		d += limited.RetryAfter
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *Source) jitter(d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.rng.Int64N(int64(d) + 1))
}
