package platformtest

import (
	"context"
	"fmt"
	"math"
	"strings"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/platform"
)

// Rows returns all rows of a table and the version at which a feed continues.
func (s *Store) Rows(ctx context.Context, table string) ([]platform.Row, uint64, error) {
	page, err := s.Range(ctx, table, "", "", math.MaxInt)
	return page.Rows, page.Version, err
}

// Page is a part of a table.
type Page struct {
	Rows    []platform.Row
	HasMore bool   // rows of the range were left out
	Version uint64 // of the store
}

// Range returns at most limit rows of a table whose names, the keys without the
// table, lie from one name to before another. An empty name is no bound.
func (s *Store) Range(ctx context.Context, table, from, to string, limit int) (Page, error) {
	if err := s.beforeRead(ctx, &s.table, table); err != nil {
		return Page{}, fmt.Errorf("rows of %s: %w", table, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := Page{Version: s.sequence}
	p.Rows, p.HasMore = s.visible().within(table+"/", from, to, limit)
	return p, nil
}

// Changes waits for changes of a table after a version.
func (s *Store) Changes(ctx context.Context, table string, after uint64, limit time.Duration) (platform.Changes, error) {
	if err := s.beforeRead(ctx, &s.table, table); err != nil {
		return platform.Changes{}, fmt.Errorf("feed of %s: %w", table, err)
	}
	timer := time.NewTimer(limit)
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
	if after < s.dropped {
		return platform.Changes{}, nil, fmt.Errorf("feed of %s: %w", table, platform.ErrHistoryGone)
	}
	c := platform.Changes{Version: s.sequence}
	for _, change := range s.history {
		if change.Version > after && strings.HasPrefix(change.Key, table+"/") {
			change.Row = copyRow(change.Row)
			c.Rows = append(c.Rows, change)
		}
	}
	return c, s.changed, nil
}

// DropHistory makes feeds that are behind read their table again.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.dropped = nil, s.sequence
}
