// Package platform says what the product needs of a platform: a transactional
// table, a feed of its changes and an object store.
package platform

import (
	"context"
	"errors"
	"fmt"
	"time"
)

const (
	// MaxObjectSize bounds an object in bytes; a rules text is at most 1 MiB.
	MaxObjectSize = 4 << 20
	// MaxListLimit bounds the rows of one List.
	MaxListLimit = 1000
)

// Errors that Table and ObjectStore return; test for them with errors.Is.
var (
	ErrNotFound    = errors.New("not found")
	ErrConflict    = errors.New("condition does not hold")
	ErrUnavailable = errors.New("platform unavailable")
	// ErrOutcomeUnknown means that the request may or may not have taken effect.
	// Read back before writing again.
	ErrOutcomeUnknown = errors.New("outcome unknown")
	// ErrHistoryGone means that a feed cannot continue: read the table again.
	ErrHistoryGone = errors.New("history is no longer available")
	// ErrFull means that the platform has no room for the write.
	ErrFull = errors.New("platform is full")
)

// RateLimitedError says that the platform refused a request because of its rate.
type RateLimitedError struct {
	RetryAfter time.Duration
}

func (e *RateLimitedError) Error() string {
	return fmt.Sprintf("platform rate limit reached, retry after %s", e.RetryAfter)
}

// Row is one row of the table. Version rises with each write of the row and is
// never reused, also after a delete.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

// Condition holds when the row is at the given version; version 0 means absent.
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

// Txn takes effect whole when all its conditions hold, and otherwise not at all.
type Txn struct {
	Conditions []Condition `json:"conditions,omitempty"`
	Writes     []Write     `json:"writes"`
}

// Table is the transactional table service. Implementations are safe for
// concurrent use.
type Table interface {
	// Get returns a row, or ErrNotFound.
	Get(ctx context.Context, key string) (Row, error)
	// List returns at most limit rows whose key has the prefix and sorts after
	// the key after, in key order.
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies a transaction, or returns ErrConflict when a condition does
	// not hold. ErrOutcomeUnknown means that it may have taken effect.
	Commit(ctx context.Context, txn Txn) error
}

// Change is a row that was written, or dropped when Removed is set.
type Change struct {
	Row
	Removed bool
}

// Changes are the changes of a table up to a version of the store.
type Changes struct {
	Rows    []Change
	Version uint64
}

// Feed follows the changes of tables. A table is the part of a key before the
// first slash. Implementations are safe for concurrent use.
type Feed interface {
	// Rows returns all rows of a table and the version at which Changes continues.
	Rows(ctx context.Context, table string) ([]Row, uint64, error)
	// Changes returns what changed after a version, as soon as there is a change
	// or the wait is over. ErrHistoryGone means that Rows must be read again.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) (Changes, error)
}

// ObjectStore keeps immutable objects named by the hex SHA-256 of their content.
type ObjectStore interface {
	// Put stores an object; storing it again is harmless.
	Put(ctx context.Context, hash string, data []byte) error
	// Get returns an object whose content has been checked against the hash, or
	// ErrNotFound.
	Get(ctx context.Context, hash string) ([]byte, error)
}
