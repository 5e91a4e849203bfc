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

// verdict is what Accept said of a submission.
type verdict struct {
	head source.Head
	err  error
}

// Guards against a false verdict under any mix of faults: accepted means that
// the submission is in the history once, and any error but an unknown outcome
// means that it never will be.
func TestVerdictsAreTrue(t *testing.T) {
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
		synctest.Test(t, func(t *testing.T) { err = edit(t.Context(), faults) })
		if err != nil {
			rt.Fatal(err)
		}
	})
}

// edit lets three operators edit while the faults change every second.
func edit(ctx context.Context, faults []platformtest.Faults) error {
	store := platformtest.New()
	s := source.New(store, store.Objects())
	var (
		mu       sync.Mutex
		verdicts = map[string]verdict{}
		wg       sync.WaitGroup
	)
	for operator := range 3 {
		wg.Go(func() {
			var base source.Head
			for n := range 8 {
				if h, err := s.Head(ctx); err == nil {
					base = h
				}
				time.Sleep(300 * time.Millisecond) // the edit
				one, cancel := context.WithTimeout(ctx, 4*time.Second)
				token := fmt.Sprintf("%d-%d", operator, n)
				h, err := s.Accept(one, submission(base, token))
				cancel()
				mu.Lock()
				verdicts[token] = verdict{h, err}
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
	time.Sleep(time.Minute) // commits on their way take effect
	return judge(ctx, s, verdicts)
}

// judge compares the verdicts with the history.
func judge(ctx context.Context, s *source.Source, verdicts map[string]verdict) error {
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
		if _, twice := history[h.Token]; twice {
			return fmt.Errorf("%s was accepted twice", h.Token)
		}
		if _, err := s.Text(ctx, h.Hash); err != nil {
			return err
		}
		history[h.Token] = h
	}
	for token, v := range verdicts {
		h, accepted := history[token]
		if v.err == nil && (!accepted || !reflect.DeepEqual(v.head, h)) {
			return fmt.Errorf("%s: accepted as %+v, history has %+v", token, v.head, h)
		}
		if v.err != nil && accepted && !errors.Is(v.err, platform.ErrOutcomeUnknown) {
			return fmt.Errorf("%s: refused with %w, history has %+v", token, v.err, h)
		}
	}
	return nil
}
