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

// errStale means that a read returned a version older than one already known.
var errStale = fmt.Errorf("%w: read is stale", platform.ErrUnavailable)

// rowWriter commits the row of a grant and records when each commit was sent. A
// commit whose answer is lost can take effect late, so the ttl of the grant
// counts from the commit that wrote the row, not from the last one sent.
type rowWriter struct {
	table  platform.Table
	grant  Grant
	sentAt map[string]time.Time // by nonce
}

func newRowWriter(table platform.Table, g Grant) *rowWriter {
	return &rowWriter{table: table, grant: g, sentAt: make(map[string]time.Time)}
}

// commit writes the grant's row on the condition that the row is still at the
// given version.
func (w *rowWriter) commit(ctx context.Context, version uint64) error {
	now, nonce := time.Now(), uuid.NewString()
	maps.DeleteFunc(w.sentAt, func(_ string, sent time.Time) bool { return now.Sub(sent) > w.grant.TTL })
	w.sentAt[nonce] = now
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

// adopt updates the epoch and the expiry of the grant from a row that one of
// this writer's commits wrote. It reports false for any other row.
func (w *rowWriter) adopt(r row, version uint64) bool {
	sent, ok := w.sentAt[r.Nonce]
	if !ok {
		return false
	}
	w.grant.Epoch, w.grant.ExpiresAt = version, sent.Add(w.grant.TTL)
	return true
}

// renew retries the commit until the row contains one of this writer's commits,
// the lease is lost, or the attempts are used up.
func (w *rowWriter) renew(ctx context.Context) (Grant, error) {
	if !w.grant.Valid() {
		return w.grant, ErrLost
	}
	epoch, renewed := w.grant.Epoch, false
	err := retry(ctx, func() error {
		err := w.commit(ctx, epoch)
		if err != nil && !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrOutcomeUnknown) {
			return err
		}
		// The answer to a commit carries no version, so the row is always read. The
		// read also resolves the outcome of a commit whose answer was lost.
		epoch, renewed, err = w.readBack(ctx, epoch, err == nil)
		return err
	})
	switch {
	case err != nil:
		return w.grant, err
	case !renewed || !w.grant.Valid():
		return w.grant, ErrLost
	}
	return w.grant, nil
}

// readBack reads the row after a commit that was conditional on version epoch.
// It returns the version for the next commit's condition, and whether one of
// this writer's commits wrote the row.
func (w *rowWriter) readBack(ctx context.Context, epoch uint64, committed bool) (uint64, bool, error) {
	r, version, err := readRow(ctx, w.table, w.grant.Key)
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
	// The row is still the previous one, or an earlier renewal took effect late.
	return version, false, fmt.Errorf("%w: lease row does not contain the renewal", platform.ErrOutcomeUnknown)
}

// ceilMilliseconds rounds up, so that a waiter never counts a shorter ttl than
// the holder.
func ceilMilliseconds(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}
