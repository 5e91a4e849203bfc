// Package platformtest is an in-memory fake of the platform. It simulates
// faults that can be changed in the process or over HTTP.
package platformtest

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/platform"
)

// Store is the fake platform. It implements platform.Table and platform.Feed,
// and Objects returns its object store. It is safe for concurrent use.
type Store struct {
	mu             sync.Mutex
	rows           *rows
	staleRows      *rows // returned by reads while Faults.StaleReads is set, else nil
	objects        map[string][]byte
	era            uint64 // rises with each Restore
	sequence       uint64 // last counter given out; goes back with Restore
	history        []platform.Change
	droppedVersion uint64        // counter; the history up to it was dropped
	changed        chan struct{} // closed at the next change
	faults         Faults
	tableLimits    rateLimits
	objectLimits   rateLimits
	stats          Stats

	writesPerSecond, readsPerSecond int // the store's own rate limits; -1 means no limit
}

var (
	_ platform.Table = (*Store)(nil)
	_ platform.Feed  = (*Store)(nil)
)

// New returns an empty store without faults and with the default rate limits.
func New() *Store { return NewWithRates(DefaultWritesPerSecond, DefaultReadsPerSecond) }

// NewWithRates returns an empty store without faults and with the given rate
// limits; -1 means no limit.
func NewWithRates(writesPerSecond, readsPerSecond int) *Store {
	s := &Store{
		writesPerSecond: writesPerSecond, readsPerSecond: readsPerSecond,
		era:     1,
		rows:    newRows(),
		objects: make(map[string][]byte),
		changed: make(chan struct{}),
		stats:   newStats(),
	}
	s.SetFaults(Faults{})
	return s
}

// Era returns the era of the store's history.
func (s *Store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// Get returns a row.
func (s *Store) Get(ctx context.Context, key string) (platform.Row, error) {
	if err := s.beforeRead(ctx, &s.tableLimits, key); err != nil {
		return platform.Row{}, fmt.Errorf("row %q: %w", key, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	row, ok := s.readableRows().get(key)
	if !ok {
		return platform.Row{}, fmt.Errorf("row %q: %w", key, platform.ErrNotFound)
	}
	return s.inEra(row), nil
}

// inEra returns a row with its version in the present era; s.mu must be held.
func (s *Store) inEra(r platform.Row) platform.Row {
	r.Version = platform.MakeVersion(s.era, r.Version)
	return r
}

func (s *Store) allInEra(list []platform.Row) []platform.Row {
	for i := range list {
		list[i] = s.inEra(list[i])
	}
	return list
}

// List returns rows in key order.
func (s *Store) List(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if limit < 1 || limit > platform.MaxListLimit {
		return nil, fmt.Errorf("rows %q: limit %d is not in 1 to %d", prefix, limit, platform.MaxListLimit)
	}
	if err := s.beforeRead(ctx, &s.tableLimits, prefix); err != nil {
		return nil, fmt.Errorf("rows %q: %w", prefix, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.allInEra(s.readableRows().page(prefix, after, limit)), nil
}

// Commit applies a transaction completely or not at all.
func (s *Store) Commit(ctx context.Context, txn platform.Txn) error {
	keys := make([]string, len(txn.Writes))
	for i, w := range txn.Writes {
		keys[i] = w.Key
	}
	if len(keys) == 0 {
		return fmt.Errorf("commit: the transaction has no writes")
	}
	err := s.write(ctx, &s.tableLimits, keys, func() error { return s.apply(txn) })
	if err != nil {
		return fmt.Errorf("commit %s: %w", strings.Join(keys, ","), err)
	}
	return nil
}

// apply checks the conditions of a transaction and writes its rows. The caller
// must hold the lock.
func (s *Store) apply(txn platform.Txn) error {
	for _, c := range txn.Conditions {
		if present := s.rows.version(c.Key); c.Version == 0 && present != 0 || c.Version != 0 && platform.MakeVersion(s.era, present) != c.Version {
			return fmt.Errorf("row %q: %w", c.Key, platform.ErrConflict)
		}
	}
	for _, w := range txn.Writes {
		s.sequence++
		row := platform.Row{Key: w.Key, Value: w.Value, Version: s.sequence}
		s.history = append(s.history, platform.Change{Row: row, Removed: w.Delete})
		if w.Delete {
			s.rows.remove(w.Key)
			continue
		}
		s.rows.put(row)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return nil
}

// readableRows returns the rows that reads return: the stale ones if there are
// any, or else the current ones.
func (s *Store) readableRows() *rows {
	if s.staleRows != nil {
		return s.staleRows
	}
	return s.rows
}

// Objects returns the object store of the fake.
func (s *Store) Objects() platform.ObjectStore { return objectStore{s} }

type objectStore struct{ s *Store }

// objectKey stands for the keys of all objects in Stats and Faults.LosePrefix.
const objectKey = "objects"

// Put stores an object.
func (o objectStore) Put(ctx context.Context, hash string, data []byte) error {
	if err := platform.CheckObject(hash, data); err != nil {
		return err
	}
	err := o.s.write(ctx, &o.s.objectLimits, []string{objectKey}, func() error {
		o.s.objects[hash] = slices.Clone(data)
		return nil
	})
	if err != nil {
		return fmt.Errorf("put object %s: %w", hash, err)
	}
	return nil
}

// Get returns an object after checking its content against the hash.
func (o objectStore) Get(ctx context.Context, hash string) ([]byte, error) {
	data, err := o.s.RawObject(ctx, hash)
	if err != nil {
		return nil, err
	}
	if err := platform.CheckObject(hash, data); err != nil {
		return nil, err
	}
	return data, nil
}

// RawObject returns an object without checking its content. The HTTP stand-in
// uses it, since the client checks objects.
func (s *Store) RawObject(ctx context.Context, hash string) ([]byte, error) {
	if err := s.beforeRead(ctx, &s.objectLimits, objectKey); err != nil {
		return nil, fmt.Errorf("object %s: %w", hash, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	data, ok := s.objects[hash]
	if !ok {
		return nil, fmt.Errorf("object %s: %w", hash, platform.ErrNotFound)
	}
	return slices.Clone(data), nil
}

// Corrupt replaces the content of an object but keeps its hash.
func (s *Store) Corrupt(hash string, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects[hash] = slices.Clone(data)
}

// freezeReads makes reads return the rows as they are now until unfreezeReads.
func (s *Store) freezeReads() {
	if s.staleRows == nil {
		s.staleRows = s.rows.clone()
	}
}

func (s *Store) unfreezeReads() { s.staleRows = nil }

// sleep waits for d or until the context ends.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
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
