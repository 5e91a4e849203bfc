package source_test

import (
	"context"
	"errors"
	"fmt"
	"reflect"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"nutmeghoist.example/nutmeghoist/pkg/platform"
	"nutmeghoist.example/nutmeghoist/pkg/platform/platformtest"
	"nutmeghoist.example/nutmeghoist/pkg/source"
)

// acceptResult is what Accept returned for a submission.
type acceptResult struct {
	head source.Head
	err  error
}

// Guards against a false result of Accept under any mix of faults. Success must
// mean that the submission is in the history exactly once. Any error but
// platform.ErrOutcomeUnknown must mean that it never will be.
func TestAcceptResultsMatchTheHistory(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		faults := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) platformtest.Faults {
			return platformtest.Faults{
				Down:            rapid.IntRange(0, 4).Draw(t, "down") == 0,
				DelayMS:         rapid.SampledFrom([]int64{0, 0, 20, 700, 2500}).Draw(t, "delay"),
				LoseAfter:       rapid.IntRange(0, 4).Draw(t, "lose after"),
				LoseBefore:      rapid.IntRange(0, 3).Draw(t, "lose before"),
				LosePrefix:      rapid.SampledFrom([]string{"", "config/"}).Draw(t, "lose prefix"),
				StaleReads:      rapid.IntRange(0, 3).Draw(t, "stale") == 0,
				WritesPerSecond: rapid.SampledFrom([]int{0, 0, 4}).Draw(t, "writes"),
				ReadsPerSecond:  rapid.SampledFrom([]int{0, 0, 3}).Draw(t, "reads"),
			}
		}), 10, 10).Draw(rt, "faults")
		var err error
		synctest.Test(t, func(t *testing.T) { err = runConcurrentEdits(t.Context(), faults) })
		if err != nil {
			rt.Fatal(err)
		}
	})
}

// runConcurrentEdits simulates three operators who edit concurrently while the
// faults change every second.
func runConcurrentEdits(ctx context.Context, faults []platformtest.Faults) error {
	store := platformtest.New()
	s := source.New(store, store.Objects())
	var (
		mu      sync.Mutex
		results = map[string]acceptResult{}
		wg      sync.WaitGroup
	)
	for operator := range 3 {
		wg.Go(func() {
			var base source.Head
			for n := range 8 {
				if h, err := s.Head(ctx); err == nil {
					base = h
				}
				time.Sleep(300 * time.Millisecond) // the edit
				submitCtx, cancel := context.WithTimeout(ctx, 4*time.Second)
				token := fmt.Sprintf("%d-%d", operator, n)
				h, err := s.Accept(submitCtx, submission(base, token))
				cancel()
				mu.Lock()
				results[token] = acceptResult{h, err}
				mu.Unlock()
			}
		})
	}
	for _, f := range faults {
		store.SetFaults(f)
		time.Sleep(time.Second)
	}
	wg.Wait()
	store.SetFaults(platformtest.Faults{})
	time.Sleep(time.Minute) // until delayed commits have taken effect
	return checkResults(ctx, s, results)
}

// checkResults compares the results with the history.
func checkResults(ctx context.Context, s *source.Source, results map[string]acceptResult) error {
	last, err := s.Head(ctx)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	history := map[string]source.Head{}
	for r := uint64(1); r <= last.Revision; r++ {
		h, err := s.Revision(ctx, r)
		if err != nil || h.Revision != r || h.Base != r-1 {
			return fmt.Errorf("history of revision %d is %+v, %v", r, h, err)
		}
		if _, duplicate := history[h.Token]; duplicate {
			return fmt.Errorf("%s was accepted twice", h.Token)
		}
		if _, err := s.Text(ctx, h.Hash); err != nil {
			return err
		}
		history[h.Token] = h
	}
	for token, result := range results {
		h, accepted := history[token]
		if result.err == nil && (!accepted || !reflect.DeepEqual(result.head, h)) {
			return fmt.Errorf("%s: accepted as %+v, history has %+v", token, result.head, h)
		}
		if result.err != nil && accepted && !errors.Is(result.err, platform.ErrOutcomeUnknown) {
			return fmt.Errorf("%s: refused with %w, history has %+v", token, result.err, h)
		}
	}
	return nil
}
