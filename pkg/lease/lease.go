// Package lease implements a lease with fencing tokens on a row of the
// platform's table. A grant carries the version of the row as its fencing
// token, so a transaction that is conditional on that version fails once another
// holder has acquired the lease.
package lease

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"nutmeghoist.example/nutmeghoist/pkg/platform"
)

// ErrLost means that another holder has acquired the lease, or that it expired.
var ErrLost = errors.New("lease is lost")

// MinTTL is the shortest ttl of a lease. It limits the rate at which waiters and
// holders send requests to the platform.
const MinTTL = 100 * time.Millisecond

const (
	pollsPerTTL  = 4 // reads by a waiter within one ttl
	maxAttempts  = 5 // of one request, while its errors are transient
	firstBackoff = 20 * time.Millisecond
	maxBackoff   = time.Second
)

// Grant is an acquired lease. Each renewal returns a new grant, which replaces
// the previous one.
type Grant struct {
	Key    string
	Holder string
	Token  string // random, distinguishes this grant from others of the same holder
	Epoch  uint64 // version of the lease row; the fencing token
	TTL    time.Duration
	// ExpiresAt is when the holder must stop, by its own monotonic clock. The ttl
	// is counted from before the request was sent, so no waiter can consider the
	// lease expired before the holder does.
	ExpiresAt time.Time
}

// Condition returns a condition that holds while the lease row is still the one
// of this grant. Add it to each transaction that only the holder may commit.
func (g Grant) Condition() platform.Condition {
	return platform.Condition{Key: g.Key, Version: g.Epoch}
}

// Valid reports whether the grant has not expired. Writes need Condition as
// well, since the holder can be paused after this check.
func (g Grant) Valid() bool { return g.Epoch > 0 && time.Now().Before(g.ExpiresAt) }

// row is the value of the lease row.
type row struct {
	Holder string `json:"holder"`
	Token  string `json:"token"`
	Nonce  string `json:"nonce"` // random, identifies the commit that wrote the row
	TTLMS  int64  `json:"ttl_ms"`
}

// Acquire waits until the lease is free or has expired, and acquires it. A lease
// expires when its row stays unchanged for its whole ttl by the monotonic clock
// of this process, so the clocks of hosts need not be synchronised. Acquire
// retries transient errors of the platform until ctx is done.
func Acquire(ctx context.Context, table platform.Table, key, holder string, ttl time.Duration) (Grant, error) {
	if ttl < MinTTL {
		return Grant{}, fmt.Errorf("lease %s: ttl %s is below the minimum of %s", key, ttl, MinTTL)
	}
	a := acquirer{rowWriter: newRowWriter(table, Grant{Key: key, Holder: holder, Token: uuid.NewString(), TTL: ttl})}
	g, err := a.run(ctx)
	if err != nil {
		return Grant{}, fmt.Errorf("lease %s: acquire for %s: %w", key, holder, err)
	}
	return g, nil
}

// Renew extends the grant. It returns ErrLost when the grant has expired or
// another holder has acquired the lease. On any other error the lease may still
// be held, and the caller may call Renew again until ExpiresAt.
func Renew(ctx context.Context, table platform.Table, g Grant) (Grant, error) {
	next, err := newRowWriter(table, g).renew(ctx)
	if err != nil {
		return g, fmt.Errorf("lease %s: renew for %s: %w", g.Key, g.Holder, err)
	}
	return next, nil
}

// Release deletes the lease row, so that a waiter need not wait for the ttl.
// Releasing a lease that another holder has acquired is not an error.
func Release(ctx context.Context, table platform.Table, g Grant) error {
	err := retry(ctx, func() error {
		return table.Commit(ctx, platform.Txn{
			Conditions: []platform.Condition{g.Condition()},
			Writes:     []platform.Write{{Key: g.Key, Delete: true}},
		})
	})
	// A conflict means that the row is no longer this grant's: another holder has
	// acquired the lease, or an earlier attempt whose answer was lost has deleted
	// the row.
	if err != nil && !errors.Is(err, platform.ErrConflict) {
		return fmt.Errorf("lease %s: release by %s: %w", g.Key, g.Holder, err)
	}
	return nil
}

// readRow returns the lease row and its version. A missing row has version 0.
func readRow(ctx context.Context, table platform.Table, key string) (row, uint64, error) {
	r, err := table.Get(ctx, key)
	if errors.Is(err, platform.ErrNotFound) {
		return row{}, 0, nil
	}
	if err != nil {
		return row{}, 0, err
	}
	var v row
	if err := json.Unmarshal(r.Value, &v); err != nil {
		return row{}, 0, fmt.Errorf("decode lease row %s: %w", key, err)
	}
	return v, r.Version, nil
}
