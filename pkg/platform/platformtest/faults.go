package platformtest

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"nutmeghoist.example/nutmeghoist/pkg/platform"
)

// The rate limits of the platform, as the design page states them.
const (
	DefaultWritesPerSecond = 300
	DefaultReadsPerSecond  = 2000
)

// Faults are the faults of the platform. The zero value is a platform without
// faults and with the store's own rate limits.
type Faults struct {
	Down            bool   `json:"down"`              // every request is refused
	DelayMS         int64  `json:"delay_ms"`          // time each request takes, in milliseconds
	LoseAfter       int    `json:"lose_after"`        // so many writes take effect without an answer; -1 means all
	LoseBefore      int    `json:"lose_before"`       // so many writes are lost on their way; -1 means all
	LosePrefix      string `json:"lose_prefix"`       // only writes of keys with this prefix are lost; objects have the key "objects"
	StaleReads      bool   `json:"stale_reads"`       // reads of the table see the rows as when this was switched on
	WritesPerSecond int    `json:"writes_per_second"` // 0 means the store's own rate, -1 no limit
	ReadsPerSecond  int    `json:"reads_per_second"`  // 0 means the store's own rate, -1 no limit
}

// Stats counts requests that passed the faults and the rate limits. A
// transaction counts one write for each of its rows.
type Stats struct {
	Reads       Count `json:"reads"`
	Writes      Count `json:"writes"`
	Refused     int   `json:"refused"`      // while the platform was down
	RateLimited int   `json:"rate_limited"` // over the rate
	Lost        int   `json:"lost"`         // answers lost, before or after the write
}

// Count is a total and its parts by the first segment of the key.
type Count struct {
	Total    int            `json:"total"`
	ByPrefix map[string]int `json:"by_prefix"`
}

func newStats() Stats {
	return Stats{Reads: Count{ByPrefix: map[string]int{}}, Writes: Count{ByPrefix: map[string]int{}}}
}

func (c *Count) add(key string) {
	c.Total++
	prefix, _, _ := strings.Cut(key, "/")
	c.ByPrefix[prefix]++
}

func (c *Count) clone() Count { return Count{c.Total, maps.Clone(c.ByPrefix)} }

// limits are the rate limiters of one service.
type limits struct{ writes, reads *rate.Limiter }

func newLimits(writes, reads int) limits { return limits{newLimiter(writes), newLimiter(reads)} }

func newLimiter(perSecond int) *rate.Limiter {
	if perSecond < 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// take takes n tokens, or says when they are there. More tokens than the
// limiter can hold count as all it can hold.
func take(l *rate.Limiter, n int) error {
	if l.Limit() != rate.Inf {
		n = min(n, l.Burst())
	}
	now := time.Now()
	r := l.ReserveN(now, n)
	if d := r.DelayFrom(now); d > 0 {
		r.CancelAt(now)
		return &platform.RateLimitedError{RetryAfter: d}
	}
	return nil
}

// SetFaults replaces the faults. The rate limiters start afresh when their
// rates change.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table.reads == nil || f.ReadsPerSecond != s.faults.ReadsPerSecond || f.WritesPerSecond != s.faults.WritesPerSecond {
		w, r := cmp.Or(f.WritesPerSecond, s.writesPerSecond), cmp.Or(f.ReadsPerSecond, s.readsPerSecond)
		s.table, s.object = newLimits(w, r), newLimits(w, r)
	}
	s.faults = f
	if f.StaleReads {
		s.freeze()
	} else {
		s.thaw()
	}
}

// Faults returns the faults; counts show how many answers are still to be lost.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Stats returns the counts so far.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stats
	st.Reads, st.Writes = s.stats.Reads.clone(), s.stats.Writes.clone()
	return st
}

// admit refuses a request while the platform is down or over its rate.
func (s *Store) admit(l *rate.Limiter, n int) error {
	if s.faults.Down {
		s.stats.Refused++
		return platform.ErrUnavailable
	}
	if err := take(l, n); err != nil {
		s.stats.RateLimited++
		return err
	}
	return nil
}

func (s *Store) delay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.faults.DelayMS) * time.Millisecond
}

func (s *Store) beforeRead(ctx context.Context, l *limits, key string) error {
	if err := wait(ctx, s.delay()); err != nil {
		return fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.admit(l.reads, 1); err != nil {
		return err
	}
	s.stats.Reads.add(key)
	return nil
}

// write runs apply under the lock, after the delay. A caller that leaves
// before the end of the delay does not stop the write: it takes effect later,
// as on a platform that is slow to answer.
func (s *Store) write(ctx context.Context, l *limits, keys []string, apply func() error) error {
	delay, start := s.delay(), time.Now()
	if err := wait(ctx, delay); err != nil {
		time.AfterFunc(delay-time.Since(start), func() { _ = s.finish(l, keys, apply) })
		return fmt.Errorf("%w: %w", platform.ErrOutcomeUnknown, err)
	}
	return s.finish(l, keys, apply)
}

func (s *Store) finish(l *limits, keys []string, apply func() error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.admit(l.writes, len(keys)); err != nil {
		return err
	}
	if s.faults.loses(keys) && spend(&s.faults.LoseBefore) {
		s.stats.Lost++
		return fmt.Errorf("%w: lost before the write", platform.ErrOutcomeUnknown)
	}
	if err := apply(); err != nil {
		return err
	}
	for _, k := range keys {
		s.stats.Writes.add(k)
	}
	if s.faults.loses(keys) && spend(&s.faults.LoseAfter) {
		s.stats.Lost++
		return fmt.Errorf("%w: lost after the write", platform.ErrOutcomeUnknown)
	}
	return nil
}

// loses reports whether the faults can lose a write of these keys.
func (f Faults) loses(keys []string) bool {
	return slices.ContainsFunc(keys, func(k string) bool { return strings.HasPrefix(k, f.LosePrefix) })
}

// spend takes one from a count; a negative count never ends.
func spend(n *int) bool {
	if *n == 0 {
		return false
	}
	if *n > 0 {
		*n--
	}
	return true
}
