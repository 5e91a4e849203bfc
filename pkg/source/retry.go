package source

import (
	"context"
	"errors"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/platform"
)

const (
	maxAttempts   = 8                     // of one request, or of one accept
	firstBackoff  = 50 * time.Millisecond // doubles with each attempt, with full jitter
	maxBackoff    = 2 * time.Second
	maxRetryAfter = 5 * time.Second // a longer wait is left to the caller
)

// retry repeats an idempotent request while the platform is rate limiting or
// its answers get lost. An outage is returned at once.
func (s *Source) retry(ctx context.Context, f func() error) error {
	for attempt := 0; ; attempt++ {
		err := f()
		if err == nil || attempt+1 == maxAttempts || !again(err) {
			return err
		}
		if werr := s.pause(ctx, attempt, err); werr != nil {
			return errors.Join(err, werr)
		}
	}
}

func again(err error) bool {
	var limited *platform.RateLimitedError
	if errors.As(err, &limited) {
		return limited.RetryAfter <= maxRetryAfter
	}
	return errors.Is(err, platform.ErrOutcomeUnknown)
}

// pause waits before the next attempt: the time that the platform asked for
// plus a backoff with full jitter.
func (s *Source) pause(ctx context.Context, attempt int, err error) error {
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
