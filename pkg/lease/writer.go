package lease

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"time"

	"github.com/google/uuid"

	"nutmeghoist.example/nutmeghoist/pkg/platform"
)

// errStale means that a read shows a version older than one already known.
var errStale = fmt.Errorf("%w: read is stale", platform.ErrUnavailable)

// writer commits rows for a grant and remembers when each commit was sent. A
// commit whose answer is lost can take effect late, so the end of the grant
// counts from the commit that the row names, not from the last one sent.
type writer struct {
	table platform.Table
	grant Grant
	sent  map[string]time.Time // by nonce
}

func newWriter(table platform.Table, g Grant) *writer {
	return &writer{table: table, grant: g, sent: make(map[string]time.Time)}
}

// commit writes the grant's row on condition that the row is at a version.
func (w *writer) commit(ctx context.Context, version uint64) error {
	now, nonce := time.Now(), uuid.NewString()
	maps.DeleteFunc(w.sent, func(_ string, sent time.Time) bool { return now.Sub(sent) > w.grant.TTL })
	w.sent[nonce] = now
	value, err := json.Marshal(row{
		Holder: w.grant.Holder, Token: w.grant.Token, Nonce: nonce, TTLMS: ceilMilliseconds(w.grant.TTL),
	})
	if err != nil {
		return err
	}
	return w.table.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: w.grant.Key, Version: version}},
		Writes:     []platform.Write{{Key: w.grant.Key, Value: value}},
	})
}

// adopt makes the grant that of a row written by this writer.
func (w *writer) adopt(r row, version uint64) bool {
	sent, ok := w.sent[r.Nonce]
	if !ok {
		return false
	}
	w.grant.Epoch, w.grant.ExpiresAt = version, sent.Add(w.grant.TTL)
	return true
}

// renew commits until the row shows one of its commits, the lease is lost, or
// the attempts are used up.
func (w *writer) renew(ctx context.Context) (Grant, error) {
	if !w.grant.Valid() {
		return w.grant, ErrLost
	}
	epoch, done := w.grant.Epoch, false
	err := retry(ctx, func() error {
		err := w.commit(ctx, epoch)
		if err != nil && !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrOutcomeUnknown) {
			return err
		}
		// The answer of a commit carries no version, so the row is read in any
		// case; this also settles a lost answer.
		epoch, done, err = w.readBack(ctx, epoch, err == nil)
		return err
	})
	switch {
	case err != nil:
		return w.grant, err
	case !done || !w.grant.Valid():
		return w.grant, ErrLost
	}
	return w.grant, nil
}

// readBack reads the row after a commit on version epoch. It returns the
// version to commit on next, and whether the row is one of this writer's.
func (w *writer) readBack(ctx context.Context, epoch uint64, committed bool) (uint64, bool, error) {
	r, version, err := read(ctx, w.table, w.grant.Key)
	switch {
	case err != nil:
		return epoch, false, err
	case w.adopt(r, version):
		return version, true, nil
	case version < epoch && (version > 0 || committed):
		return epoch, false, errStale
	case r.Token != w.grant.Token:
		return epoch, false, ErrLost
	}
	// The row is still the one before, or an earlier renewal took effect late.
	return version, false, fmt.Errorf("%w: renewal is not in the row", platform.ErrOutcomeUnknown)
}

// ceilMilliseconds rounds up, so that waiters wait no shorter than the holder
// counts on.
func ceilMilliseconds(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}
