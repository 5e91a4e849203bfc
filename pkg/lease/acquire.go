package lease

import (
	"context"
	"errors"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/platform"
)

// acquirer holds the state of one call of Acquire.
type acquirer struct {
	*rowWriter

	observedVersion uint64    // last version read of a row that another holder wrote
	observedAt      time.Time // when that version was first read
	observedExpiry  time.Time // when the lease at that version counts as expired
}

func (a *acquirer) run(ctx context.Context) (Grant, error) {
	backoff := firstBackoff
	for {
		g, delay, err := a.step(ctx)
		switch {
		case err == nil && g.Epoch > 0:
			return g, nil
		case err == nil:
			backoff = firstBackoff
		case !isTransient(err):
			return Grant{}, err
		default:
			delay, backoff = max(backoff, retryAfter(err)), min(2*backoff, maxBackoff)
		}
		if sleepErr := sleep(ctx, delay); sleepErr != nil {
			return Grant{}, errors.Join(sleepErr, err)
		}
	}
}

// step reads the row and, if the lease is free or expired, tries to write it.
// It returns the grant once the row confirms it, or else the delay before the
// next step.
func (a *acquirer) step(ctx context.Context) (Grant, time.Duration, error) {
	r, version, err := readRow(ctx, a.table, a.grant.Key)
	if err != nil {
		return Grant{}, 0, err
	}
	if a.adopt(r, version) && a.grant.Valid() {
		return a.grant, 0, nil
	}
	own := r.Token == a.grant.Token // own commit, confirmed only after its expiry
	if version > 0 && !own && !a.expired(version, time.Duration(r.TTLMS)*time.Millisecond) {
		return Grant{}, a.pollDelay(), nil
	}
	// The next step reads the row to find out whose commit took effect.
	err = a.commit(ctx, version)
	if errors.Is(err, platform.ErrConflict) {
		return Grant{}, firstBackoff, nil
	}
	return Grant{}, 0, err
}

// expired reports whether the row has stayed at this version for its whole ttl,
// counted from the read that first returned the version. The condition of the
// commit ensures that the version is still the same when the row is written.
func (a *acquirer) expired(version uint64, ttl time.Duration) bool {
	if version != a.observedVersion {
		a.observedVersion, a.observedAt = version, time.Now()
		a.observedExpiry = a.observedAt.Add(max(ttl, MinTTL))
	}
	return !time.Now().Before(a.observedExpiry)
}

// pollDelay returns the time until the next read of the row while another holder
// has the lease.
func (a *acquirer) pollDelay() time.Duration {
	remaining := time.Until(a.observedExpiry)
	return max(min(remaining, a.observedExpiry.Sub(a.observedAt)/pollsPerTTL), time.Millisecond)
}

// retry repeats a conditional commit or a read with an exponential back-off
// while the error is transient, up to maxAttempts times.
func retry(ctx context.Context, f func() error) error {
	backoff := firstBackoff
	for attempt := 1; ; attempt++ {
		err := f()
		if err == nil || !isTransient(err) || attempt == maxAttempts {
			return err
		}
		if sleepErr := sleep(ctx, max(backoff, retryAfter(err))); sleepErr != nil {
			return errors.Join(err, sleepErr)
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// isTransient reports whether the platform was unavailable, limited the rate or
// lost its answer.
func isTransient(err error) bool {
	return errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrOutcomeUnknown) || retryAfter(err) > 0
}

// retryAfter returns the delay that a rate-limited answer asks for, within the
// back-off limits, and 0 for any other error.
func retryAfter(err error) time.Duration {
	var limited *platform.RateLimitedError
	if errors.As(err, &limited) {
		return min(max(limited.RetryAfter, firstBackoff), maxBackoff)
	}
	return 0
}

func sleep(ctx context.Context, d time.Duration) error {
	if ctx.Err() != nil || d <= 0 {
		return ctx.Err()
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
