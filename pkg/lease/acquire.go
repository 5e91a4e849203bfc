package lease

import (
	"context"
	"errors"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/platform"
)

// acquirer is one Acquire.
type acquirer struct {
	*writer

	version uint64    // row version under observation
	since   time.Time // when that version was first seen
	lapse   time.Time // when it counts as lapsed
}

func (a *acquirer) run(ctx context.Context) (Grant, error) {
	backoff := firstBackoff
	for {
		g, pause, err := a.step(ctx)
		switch {
		case err == nil && g.Epoch > 0:
			return g, nil
		case err == nil:
			backoff = firstBackoff
		case !transient(err):
			return Grant{}, err
		default:
			pause, backoff = max(backoff, retryAfter(err)), min(2*backoff, maxBackoff)
		}
		if werr := sleep(ctx, pause); werr != nil {
			return Grant{}, errors.Join(werr, err)
		}
	}
}

// step reads the row and, when the lease can be taken, tries to take it.
// Otherwise it returns how long to wait for the next step.
func (a *acquirer) step(ctx context.Context) (Grant, time.Duration, error) {
	r, version, err := read(ctx, a.table, a.grant.Key)
	if err != nil {
		return Grant{}, 0, err
	}
	if a.adopt(r, version) && a.grant.Valid() {
		return a.grant, 0, nil
	}
	own := r.Token == a.grant.Token // adopted too late to be of use
	if version > 0 && !own && !a.lapsed(version, time.Duration(r.TTLMS)*time.Millisecond) {
		return Grant{}, a.pause(), nil
	}
	// Read next: the row that was written, or the one that won.
	err = a.commit(ctx, version)
	if errors.Is(err, platform.ErrConflict) {
		return Grant{}, firstBackoff, nil
	}
	return Grant{}, 0, err
}

// lapsed reports whether the row has been at this version for its whole ttl,
// counted from the answer that first showed the version. Whether it still is
// when the lease is taken is for the commit's condition to say.
func (a *acquirer) lapsed(version uint64, ttl time.Duration) bool {
	if version != a.version {
		a.version, a.since = version, time.Now()
		a.lapse = a.since.Add(max(ttl, MinTTL))
	}
	return !time.Now().Before(a.lapse)
}

// pause is the time to the next read of a row that is held.
func (a *acquirer) pause() time.Duration {
	left := time.Until(a.lapse)
	return max(min(left, a.lapse.Sub(a.since)/pollsPerTTL), time.Millisecond)
}

// retry repeats a conditional commit or a read while the platform is rate
// limiting or its answers get lost.
func retry(ctx context.Context, f func() error) error {
	backoff := firstBackoff
	for attempt := 1; ; attempt++ {
		err := f()
		if err == nil || !transient(err) || attempt == maxAttempts {
			return err
		}
		if werr := sleep(ctx, max(backoff, retryAfter(err))); werr != nil {
			return errors.Join(err, werr)
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

func transient(err error) bool {
	return errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrOutcomeUnknown) || retryAfter(err) > 0
}

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
