package source_test

import (
	"context"
	"errors"
	"fmt"
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
		if v.err == nil && (!accepted || v.head != h) {
			return fmt.Errorf("%s: accepted as %+v, history has %+v", token, v.head, h)
		}
		if v.err != nil && accepted && !errors.Is(v.err, platform.ErrOutcomeUnknown) {
			return fmt.Errorf("%s: refused with %w, history has %+v", token, v.err, h)
		}
	}
	return nil
}

// faultyTable runs a hook before each commit, so that an event falls between
// the read of the head and the commit.
type faultyTable struct {
	platform.Table
	beforeCommit func(n int)
	commits      int
}

func (f *faultyTable) Commit(ctx context.Context, txn platform.Txn) error {
	f.commits++
	f.beforeCommit(f.commits)
	return f.Table.Commit(ctx, txn)
}

// Guards against a verdict that one fault alone leaves right and a second one
// turns wrong.
func TestPairsOfFaults(t *testing.T) {
	rival := func(t *testing.T, store *platformtest.Store, base source.Head) {
		f := store.Faults()
		store.SetFaults(platformtest.Faults{})
		accept(t, source.New(store, store.Objects()), submission(base, "rival"))
		store.SetFaults(f)
	}
	for _, c := range []struct {
		name   string
		faults platformtest.Faults
		race   int // the rival is accepted just before this commit; 0 means never
		heals  time.Duration
		want   error
		winner string
	}{
		{"outage and race", platformtest.Faults{LoseBefore: 1, LosePrefix: "config/"}, 2, 0, platform.ErrConflict, "rival"},
		{"answer lost and race", platformtest.Faults{LoseAfter: 1, LosePrefix: "config/"}, 1, 0, platform.ErrConflict, "rival"},
		{"all requests lost and race", platformtest.Faults{LoseBefore: -1, LosePrefix: "config/"}, 2, 0, platform.ErrConflict, "rival"},
		{"stale reads and race", platformtest.Faults{StaleReads: true}, 1, 100 * time.Millisecond, platform.ErrConflict, "rival"},
		{"stale reads for long and race", platformtest.Faults{StaleReads: true}, 1, 0, platform.ErrConflict, "rival"},
		{"rate limit and answer lost", platformtest.Faults{WritesPerSecond: 2, ReadsPerSecond: 1, LoseAfter: 1, LosePrefix: "config/"}, 0, 0, nil, "mine"},
		{"rate limit and race", platformtest.Faults{WritesPerSecond: 2, ReadsPerSecond: 1}, 1, 0, platform.ErrConflict, "rival"},
		{"slow and answer lost", platformtest.Faults{DelayMS: 1500, LoseAfter: 1, LosePrefix: "config/"}, 0, 0, nil, "mine"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := platformtest.New()
				base := accept(t, source.New(store, store.Objects()), submission(source.Head{}, "base"))
				table := &faultyTable{Table: store, beforeCommit: func(n int) {
					if n == c.race {
						rival(t, store, base)
					}
				}}
				s := source.New(table, store.Objects())
				store.SetFaults(c.faults)
				if c.heals > 0 {
					time.AfterFunc(c.heals, func() { store.SetFaults(platformtest.Faults{}) })
				}
				_, err := s.Accept(t.Context(), submission(base, "mine"))
				if !errors.Is(err, c.want) || c.want != nil && errors.Is(err, platform.ErrOutcomeUnknown) {
					t.Errorf("got %v, want %v", err, c.want)
				}
				store.SetFaults(platformtest.Faults{})
				if h, err := s.Head(t.Context()); err != nil || h.Token != c.winner {
					t.Errorf("head is %+v, %v; want that of %s", h, err, c.winner)
				}
			})
		})
	}
}

// Guards against a verdict that is given up while an outage follows a lost
// answer, and against a false one when the outage lasts.
func TestOutageAfterLostAnswer(t *testing.T) {
	for _, c := range []struct {
		name   string
		outage time.Duration
		want   error
	}{{"short", 500 * time.Millisecond, nil}, {"long", time.Hour, platform.ErrOutcomeUnknown}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := platformtest.New()
				base := accept(t, source.New(store, store.Objects()), submission(source.Head{}, "base"))
				table := &faultyTable{Table: store, beforeCommit: func(int) {
					time.AfterFunc(time.Nanosecond, func() { store.SetFaults(platformtest.Faults{Down: true}) })
					time.AfterFunc(c.outage, func() { store.SetFaults(platformtest.Faults{}) })
				}}
				store.SetFaults(platformtest.Faults{LoseAfter: 1, LosePrefix: "config/"})
				s := source.New(table, store.Objects())
				if _, err := s.Accept(t.Context(), submission(base, "mine")); !errors.Is(err, c.want) {
					t.Fatalf("got %v, want %v", err, c.want)
				}
				store.SetFaults(platformtest.Faults{})
				if h := accept(t, source.New(store, store.Objects()), submission(base, "mine")); h.Revision != 2 {
					t.Fatalf("got %+v", h)
				}
			})
		})
	}
}

// Guards against revisions that are skipped: a base which the platform does not
// have, or another text at the base's revision.
func TestForeignBase(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformtest.New()
		s := source.New(store, store.Objects())
		head := accept(t, s, submission(source.Head{}, "base"))
		for _, base := range []source.Head{{Revision: 9, Hash: "x"}, {Revision: 1, Hash: "x"}} {
			if h, err := s.Accept(t.Context(), submission(base, "mine")); err == nil || errors.Is(err, platform.ErrOutcomeUnknown) {
				t.Errorf("base %+v: got %+v, %v; want a refusal", base, h, err)
			}
		}
		if got, err := s.Head(t.Context()); err != nil || got != head {
			t.Errorf("head is %+v, %v", got, err)
		}
	})
}
