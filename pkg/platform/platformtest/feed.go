package platformtest

import (
	"context"
	"fmt"
	"math"
	"strings"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/platform"
)

// Rows returns all rows of a table and the version to pass to Changes.
func (s *Store) Rows(ctx context.Context, table string) ([]platform.Row, uint64, error) {
	page, err := s.Range(ctx, table, "", "", math.MaxInt)
	return page.Rows, page.Version, err
}

// Page is a part of a table.
type Page struct {
	Rows      []platform.Row
	Truncated bool   // the range has more rows than the limit
	Version   uint64 // of the store
}

// Range returns at most limit rows of a table whose names are at least from and
// less than to. A name is a key without the table. An empty name is no bound.
func (s *Store) Range(ctx context.Context, table, from, to string, limit int) (Page, error) {
	if err := s.beforeRead(ctx, &s.tableLimits, table); err != nil {
		return Page{}, fmt.Errorf("rows of %s: %w", table, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := Page{Version: platform.MakeVersion(s.era, s.sequence)}
	p.Rows, p.Truncated = s.readableRows().inRange(table+"/", from, to, limit)
	p.Rows = s.allInEra(p.Rows)
	return p, nil
}

// Changes returns the changes of a table after a version. It waits until there
// is one, for at most wait.
func (s *Store) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (platform.Changes, error) {
	if err := s.beforeRead(ctx, &s.tableLimits, table); err != nil {
		return platform.Changes{}, fmt.Errorf("feed of %s: %w", table, err)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		c, changed, err := s.changesAfter(table, after)
		if err != nil || len(c.Rows) > 0 {
			return c, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return c, nil
		case <-ctx.Done():
			return c, fmt.Errorf("feed of %s: %w: %w", table, platform.ErrUnavailable, ctx.Err())
		}
	}
}

func (s *Store) changesAfter(table string, after uint64) (platform.Changes, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		return platform.Changes{}, nil, fmt.Errorf("feed of %s: %w", table, platform.ErrUnavailable)
	}
	if counter := platform.CounterOf(after); platform.EraOf(after) != s.era || counter < s.droppedVersion || counter > s.sequence {
		return platform.Changes{}, nil, fmt.Errorf("feed of %s: %w", table, platform.ErrHistoryGone)
	}
	c := platform.Changes{Version: platform.MakeVersion(s.era, s.sequence)}
	for _, change := range s.history {
		if change.Version > platform.CounterOf(after) && strings.HasPrefix(change.Key, table+"/") {
			change.Row = s.inEra(copyRow(change.Row))
			c.Rows = append(c.Rows, change)
		}
	}
	return c, s.changed, nil
}

// DropHistory deletes the history, so that a feed that is behind gets
// ErrHistoryGone and must read its table again.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.droppedVersion = nil, s.sequence
}
