// Package lease is a fenced lease on a row of the platform's table. A grant
// carries the version of the row as its fencing token: a transaction that is
// conditional on that version fails once the lease has passed on.
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

// ErrLost means that the lease has passed on, or that it ended.
var ErrLost = errors.New("lease is lost")

// MinTTL bounds how often waiters and holders use the platform.
const MinTTL = 100 * time.Millisecond

const (
	pollsPerTTL  = 4 // reads of a waiter within one ttl
	maxAttempts  = 5 // of one commit whose answers get lost
	firstBackoff = 20 * time.Millisecond
	maxBackoff   = time.Second
)

// Grant is a lease that was acquired. A grant that was renewed replaces the
// one before.
type Grant struct {
	Key    string
	Holder string
	Token  string // random, tells this grant from others of the same holder
	Epoch  uint64 // version of the lease row; the fencing token
	TTL    time.Duration
	// ExpiresAt is when the holder must stop by its own monotonic clock. It is
	// counted from before the request was sent, so a waiter cannot see the lease
	// as lapsed earlier.
	ExpiresAt time.Time
}

// Condition holds as long as the lease is still this grant. Put it into each
// transaction that only the holder may commit.
func (g Grant) Condition() platform.Condition {
	return platform.Condition{Key: g.Key, Version: g.Epoch}
}

// Valid reports whether the holder may still act on the grant. Writes need
// Condition all the same, since the holder can pause after this check.
func (g Grant) Valid() bool { return g.Epoch > 0 && time.Now().Before(g.ExpiresAt) }

// row is the value of the lease row.
type row struct {
	Holder string `json:"holder"`
	Token  string `json:"token"`
	Nonce  string `json:"nonce"` // random, names the commit that wrote the row
	TTLMS  int64  `json:"ttl_ms"`
}

// Acquire waits until the lease is free or has lapsed, and takes it. A lease
// lapses when its row stays unchanged for its whole ttl by the monotonic clock
// of this process, so the clocks of hosts need not agree. Acquire returns when
// the context ends; faults of the platform only delay it.
func Acquire(ctx context.Context, table platform.Table, key, holder string, ttl time.Duration) (Grant, error) {
	if ttl < MinTTL {
		return Grant{}, fmt.Errorf("lease %s: ttl %s is under %s", key, ttl, MinTTL)
	}
	a := acquirer{writer: newWriter(table, Grant{Key: key, Holder: holder, Token: uuid.NewString(), TTL: ttl})}
	g, err := a.run(ctx)
	if err != nil {
		return Grant{}, fmt.Errorf("lease %s: acquire for %s: %w", key, holder, err)
	}
	return g, nil
}

// Renew extends the grant. It returns ErrLost when the lease has passed on. On
// any other error the lease may still be held: renew again until Until.
func Renew(ctx context.Context, table platform.Table, g Grant) (Grant, error) {
	next, err := newWriter(table, g).renew(ctx)
	if err != nil {
		return g, fmt.Errorf("lease %s: renew for %s: %w", g.Key, g.Holder, err)
	}
	return next, nil
}

// Release ends the grant, so that a waiter need not wait for the ttl. To
// release a grant that has passed on is no error.
func Release(ctx context.Context, table platform.Table, g Grant) error {
	err := retry(ctx, func() error {
		return table.Commit(ctx, platform.Txn{
			Conditions: []platform.Condition{g.Condition()},
			Writes:     []platform.Write{{Key: g.Key, Delete: true}},
		})
	})
	// A conflict means that the row is no longer this grant's: it passed on, or
	// an earlier attempt whose answer was lost has deleted it.
	if err != nil && !errors.Is(err, platform.ErrConflict) {
		return fmt.Errorf("lease %s: release by %s: %w", g.Key, g.Holder, err)
	}
	return nil
}

// read returns the row and its version; an absent row has version 0.
func read(ctx context.Context, table platform.Table, key string) (row, uint64, error) {
	r, err := table.Get(ctx, key)
	if errors.Is(err, platform.ErrNotFound) {
		return row{}, 0, nil
	}
	if err != nil {
		return row{}, 0, err
	}
	var v row
	if err := json.Unmarshal(r.Value, &v); err != nil {
		return row{}, 0, fmt.Errorf("row %s: %w", key, err)
	}
	return v, r.Version, nil
}
