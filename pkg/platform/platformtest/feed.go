package platformtest

import (
	"context"
	"fmt"
	"strings"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/platform"
)

// Rows returns all rows of a table and the version at which a feed continues.
func (s *Store) Rows(ctx context.Context, table string) ([]platform.Row, uint64, error) {
	if err := s.beforeRead(ctx, &s.table, table); err != nil {
		return nil, 0, fmt.Errorf("rows of %s: %w", table, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.visible().page(table+"/", "", len(s.rows.keys)+1), s.sequence, nil
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
