// Package platform defines the interfaces to the platform that the product
// needs: a transactional table, a feed of its changes and an object store.
package platform

import (
	"context"
	"errors"
	"fmt"
	"time"
)

const (
	// MaxObjectSize is the maximum size of an object in bytes. A rules text has at
	// most 1 MiB.
	MaxObjectSize = 4 << 20
	// MaxListLimit is the maximum number of rows that one List returns.
	MaxListLimit = 1000
)

// Errors that Table and ObjectStore return; test for them with errors.Is.
var (
	ErrNotFound    = errors.New("not found")
	ErrConflict    = errors.New("condition does not hold")
	ErrUnavailable = errors.New("platform unavailable")
	// ErrOutcomeUnknown means that the request may or may not have taken effect.
	// The caller should read the row again before it repeats a write.
	ErrOutcomeUnknown = errors.New("outcome unknown")
	// ErrHistoryGone means that a feed cannot continue after the given version.
	// The caller must read the whole table again.
	ErrHistoryGone = errors.New("history is no longer available")
	// ErrFull means that the platform has no storage left for the write.
	ErrFull = errors.New("platform is full")
)

// RateLimitedError means that a request exceeded the platform's rate limit.
type RateLimitedError struct {
	RetryAfter time.Duration
}

func (e *RateLimitedError) Error() string {
	return fmt.Sprintf("platform rate limit reached, retry after %s", e.RetryAfter)
}

// Row is one row of the table. Version increases with each write of the row and
// is never reused, even after a delete. When the platform has been restored from an
// older copy, each row has a higher version than before, whether it was written since
// or not, and writes of the lost time are gone.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

// Condition holds when the row has the given version. Version 0 means that the
// row does not exist.
type Condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Write puts or deletes one row.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Txn is a transaction. It takes effect completely when all its conditions hold,
// and otherwise not at all.
type Txn struct {
	Conditions []Condition `json:"conditions,omitempty"`
	Writes     []Write     `json:"writes"`
}

// Table is a transactional table. Implementations are safe for concurrent use.
type Table interface {
	// Get returns a row, or ErrNotFound.
	Get(ctx context.Context, key string) (Row, error)
	// List returns, in key order, at most limit rows whose key has the prefix and
	// sorts after the key given by after.
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies a transaction, or returns ErrConflict when a condition does
	// not hold. ErrOutcomeUnknown means that it may have taken effect, and ErrRestored,
	// which comes with ErrConflict, that it did on a condition that another history met.
	Commit(ctx context.Context, txn Txn) error
	// Era returns the highest era of the platform's history that an answer has shown, 0
	// before the first answer. It rises when the platform is restored from an older copy.
	Era() uint64
}

// Change is a row that was written, or deleted when Removed is set.
type Change struct {
	Row
	Removed bool
}

// Changes are the changes of a table up to a version of the store.
type Changes struct {
	Rows    []Change
	Version uint64
}

// Feed returns the rows and the changes of one table at a time. Here a table is
// the set of rows whose keys have the same part before the first slash, not the
// whole Table. Implementations are safe for concurrent use.
type Feed interface {
	// Rows returns all rows of a table and the version to pass to Changes.
	Rows(ctx context.Context, table string) ([]Row, uint64, error)
	// Changes returns the changes after a version. It waits until there is one,
	// for at most wait. After ErrHistoryGone, which it returns for a version of an
	// earlier era too, the caller must call Rows again.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) (Changes, error)
}

// ObjectStore keeps immutable objects named by the hex SHA-256 of their content.
type ObjectStore interface {
	// Put stores an object. It is idempotent.
	Put(ctx context.Context, hash string, data []byte) error
	// Get returns an object after checking its content against the hash, or
	// ErrNotFound.
	Get(ctx context.Context, hash string) ([]byte, error)
}
