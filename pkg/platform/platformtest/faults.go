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

// Rate limits of the platform, as given on the design page.
const (
	DefaultWritesPerSecond = 300
	DefaultReadsPerSecond  = 2000
)

// Faults are the faults to simulate. The zero value simulates none and keeps the
// store's own rate limits.
type Faults struct {
	Down            bool   `json:"down"`              // every request is refused
	DelayMS         int64  `json:"delay_ms"`          // latency of each request, in milliseconds
	LoseAfter       int    `json:"lose_after"`        // number of writes that take effect but whose answer is lost; -1 means all
	LoseBefore      int    `json:"lose_before"`       // number of writes that are lost before they take effect; -1 means all
	LosePrefix      string `json:"lose_prefix"`       // only writes of keys with this prefix are lost; objects count as the key "objects"
	StaleReads      bool   `json:"stale_reads"`       // reads of the table return the rows as they were when this was switched on
	WritesPerSecond int    `json:"writes_per_second"` // 0 means the store's own rate, -1 no limit
	ReadsPerSecond  int    `json:"reads_per_second"`  // 0 means the store's own rate, -1 no limit
}

// Stats counts requests by their outcome. Reads and Writes count those that were
// carried out. A transaction counts as one write for each of its rows.
type Stats struct {
	Reads       Count `json:"reads"`
	Writes      Count `json:"writes"`
	Refused     int   `json:"refused"`      // while the platform was down
	RateLimited int   `json:"rate_limited"` // over the rate limit
	Lost        int   `json:"lost"`         // writes lost by LoseBefore or whose answer was lost by LoseAfter
}

// Count is a total and its breakdown by the first segment of the key.
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

// rateLimits are the rate limiters of the table or of the object store.
type rateLimits struct{ writes, reads *rate.Limiter }

func newRateLimits(writes, reads int) rateLimits {
	return rateLimits{newLimiter(writes), newLimiter(reads)}
}

func newLimiter(perSecond int) *rate.Limiter {
	if perSecond < 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// takeTokens takes n tokens from the limiter, at most as many as its burst. When
// there are too few, it takes none and returns a RateLimitedError with the delay
// until there are enough.
func takeTokens(l *rate.Limiter, n int) error {
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

// SetFaults replaces the faults. A change of the rate limits replaces the rate
// limiters by full ones.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tableLimits.reads == nil || f.ReadsPerSecond != s.faults.ReadsPerSecond || f.WritesPerSecond != s.faults.WritesPerSecond {
		w, r := cmp.Or(f.WritesPerSecond, s.writesPerSecond), cmp.Or(f.ReadsPerSecond, s.readsPerSecond)
		s.tableLimits, s.objectLimits = newRateLimits(w, r), newRateLimits(w, r)
	}
	s.faults = f
	if f.StaleReads {
		s.freezeReads()
	} else {
		s.unfreezeReads()
	}
}

// Faults returns the current faults. LoseAfter and LoseBefore are the numbers of
// writes still to be lost.
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

// admit rejects a request while the platform is down or the rate limit is
// exceeded. The caller must hold the lock.
func (s *Store) admit(l *rate.Limiter, n int) error {
	if s.faults.Down {
		s.stats.Refused++
		return platform.ErrUnavailable
	}
	if err := takeTokens(l, n); err != nil {
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

func (s *Store) beforeRead(ctx context.Context, l *rateLimits, key string) error {
	if err := sleep(ctx, s.delay()); err != nil {
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

// write runs apply under the lock, after the simulated delay. When the context
// ends during the delay, the write is not cancelled but takes effect later, as
// on a platform that is slow to answer.
func (s *Store) write(ctx context.Context, l *rateLimits, keys []string, apply func() error) error {
	delay, start := s.delay(), time.Now()
	if err := sleep(ctx, delay); err != nil {
		time.AfterFunc(delay-time.Since(start), func() { _ = s.applyWrite(l, keys, apply) })
		return fmt.Errorf("%w: %w", platform.ErrOutcomeUnknown, err)
	}
	return s.applyWrite(l, keys, apply)
}

func (s *Store) applyWrite(l *rateLimits, keys []string, apply func() error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.admit(l.writes, len(keys)); err != nil {
		return err
	}
	if s.faults.canLose(keys) && consume(&s.faults.LoseBefore) {
		s.stats.Lost++
		return fmt.Errorf("%w: lost before the write", platform.ErrOutcomeUnknown)
	}
	if err := apply(); err != nil {
		return err
	}
	for _, k := range keys {
		s.stats.Writes.add(k)
	}
	if s.faults.canLose(keys) && consume(&s.faults.LoseAfter) {
		s.stats.Lost++
		return fmt.Errorf("%w: lost after the write", platform.ErrOutcomeUnknown)
	}
	return nil
}

// canLose reports whether the faults can lose a write of these keys.
func (f Faults) canLose(keys []string) bool {
	return slices.ContainsFunc(keys, func(k string) bool { return strings.HasPrefix(k, f.LosePrefix) })
}

// consume decrements a positive count and reports whether the count was not 0. A
// negative count means no limit and stays as it is.
func consume(n *int) bool {
	if *n == 0 {
		return false
	}
	if *n > 0 {
		*n--
	}
	return true
}
