package source_test

import (
	"context"
	"errors"
	"fmt"
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/platform"
	"nutmeghoist.example/nutmeghoist/pkg/platform/platformtest"
	"nutmeghoist.example/nutmeghoist/pkg/source"
)

// withFakeClock runs a test on a new fake platform with a virtual clock.
func withFakeClock(t *testing.T, test func(t *testing.T, store *platformtest.Store, s *source.Source)) {
	synctest.Test(t, func(t *testing.T) {
		store := platformtest.New()
		test(t, store, source.New(store, store.Objects()))
	})
}

func submission(base source.Head, token string) source.Submission {
	return source.Submission{Text: []byte("text of " + token), Base: base, Author: "Oyuna", Token: token}
}

func accept(t *testing.T, s *source.Source, sub source.Submission) source.Head {
	t.Helper()
	h, err := s.Accept(t.Context(), sub)
	if err != nil {
		t.Fatal(err)
	}
	return h
}

// Guards against a lost update: of two edits of one base exactly one is
// accepted, and the other fails with the head of the accepted one. Repeating the
// accepted submission returns its head even after later revisions.
func TestAcceptRace(t *testing.T) {
	withFakeClock(t, func(t *testing.T, _ *platformtest.Store, s *source.Source) {
		if _, err := s.Head(t.Context()); !errors.Is(err, platform.ErrNotFound) {
			t.Fatalf("got %v, want ErrNotFound", err)
		}
		base := accept(t, s, submission(source.Head{}, "t1"))
		won := accept(t, s, submission(base, "t2"))
		_, err := s.Accept(t.Context(), submission(base, "t3"))
		var conflict *source.ConflictError
		if !errors.As(err, &conflict) || !reflect.DeepEqual(conflict.Base, base) || !reflect.DeepEqual(conflict.Current, won) || !errors.Is(err, platform.ErrConflict) {
			t.Fatalf("got %v", err)
		}
		if text, err := s.Text(t.Context(), won.Hash); err != nil || string(text) != "text of t2" {
			t.Fatalf("got %q, %v", text, err)
		}
		head := won
		for i := range 3 {
			head = accept(t, s, submission(head, fmt.Sprint("later-", i)))
		}
		if repeated := accept(t, s, submission(base, "t2")); !reflect.DeepEqual(repeated, won) {
			t.Fatalf("repeated submission: got %+v, want %+v", repeated, won)
		}
		if h, err := s.Head(t.Context()); err != nil || !reflect.DeepEqual(h, head) {
			t.Fatalf("head is %+v, %v", h, err)
		}
	})
}

// Guards against skipped revisions: an edit is refused when the platform does
// not have its base, or has another text at the base's revision.
func TestAcceptRefusesUnknownBase(t *testing.T) {
	withFakeClock(t, func(t *testing.T, _ *platformtest.Store, s *source.Source) {
		head := accept(t, s, submission(source.Head{}, "base"))
		for _, base := range []source.Head{{Revision: 9}, {Revision: 1, Hash: "x"}} {
			if h, err := s.Accept(t.Context(), submission(base, "mine")); err == nil || errors.Is(err, platform.ErrOutcomeUnknown) {
				t.Errorf("base %+v: got %+v, %v; want a refusal", base, h, err)
			}
		}
		if got, err := s.Head(t.Context()); err != nil || !reflect.DeepEqual(got, head) {
			t.Errorf("head is %+v, %v", got, err)
		}
	})
}

// Guards against the schedule of a move that restarts because the submission
// contains only the revision of its base, without the move starts.
func TestAcceptReadsMoveStartsFromThePlatform(t *testing.T) {
	withFakeClock(t, func(t *testing.T, _ *platformtest.Store, s *source.Source) {
		sub := submission(source.Head{}, "t1")
		sub.Moves = []source.PendingMove{{Move: "m", By: time.Now().Add(time.Hour)}}
		first := accept(t, s, sub)
		time.Sleep(time.Minute)
		sub.Base, sub.Token = source.Head{Revision: 1}, "t2"
		if second := accept(t, s, sub); !reflect.DeepEqual(second.Moves, first.Moves) || len(first.Moves) != 1 {
			t.Fatalf("got %+v after %+v", second.Moves, first.Moves)
		}
	})
}

// hookedTable runs a hook before each commit, to inject an event between the
// read of the head and the commit.
type hookedTable struct {
	platform.Table
	hook    func(n int)
	commits int
}

func (h *hookedTable) Commit(ctx context.Context, txn platform.Txn) error {
	h.commits++
	h.hook(h.commits)
	return h.Table.Commit(ctx, txn)
}

// Guards against a result of Accept that does not match the history, under
// single faults and under pairs of faults. Either fault of a pair leaves the
// result correct when it occurs alone.
func TestAcceptUnderFaults(t *testing.T) {
	type faults = platformtest.Faults
	const rows = "config/"
	unknown, conflict := platform.ErrOutcomeUnknown, platform.ErrConflict
	for _, c := range []struct {
		name   string
		faults faults
		race   int           // another edit is accepted just before this commit; 0 means never
		outage time.Duration // duration of an outage after the first commit
		want   error
		winner string // token of the head afterwards
	}{
		{"answer of the commit lost", faults{LoseAfter: 1, LosePrefix: rows}, 0, 0, nil, "mine"},
		{"answer of the upload lost", faults{LoseAfter: 1, LosePrefix: "objects"}, 0, 0, nil, "mine"},
		{"commits lost before the write", faults{LoseBefore: 3, LosePrefix: rows}, 0, 0, nil, "mine"},
		{"all commits lost before the write", faults{LoseBefore: -1, LosePrefix: rows}, 0, 0, unknown, "base"},
		{"all answers lost", faults{LoseAfter: -1}, 0, 0, unknown, "base"},
		{"platform down", faults{Down: true}, 0, 0, platform.ErrUnavailable, "base"},
		{"rate limit", faults{WritesPerSecond: 1, ReadsPerSecond: 1}, 0, 0, nil, "mine"},
		{"stale reads", faults{StaleReads: true}, 0, 0, nil, "mine"},
		{"stale reads and answer lost", faults{StaleReads: true, LoseAfter: 1, LosePrefix: rows}, 0, 0, unknown, "mine"},
		{"request lost and race", faults{LoseBefore: 1, LosePrefix: rows}, 2, 0, conflict, "rival"},
		{"all requests lost and race", faults{LoseBefore: -1, LosePrefix: rows}, 2, 0, conflict, "rival"},
		{"answer lost and race", faults{LoseAfter: 1, LosePrefix: rows}, 1, 0, conflict, "rival"},
		{"outage and race", faults{}, 1, 500 * time.Millisecond, platform.ErrUnavailable, "rival"},
		{"stale reads and race", faults{StaleReads: true}, 1, 0, conflict, "rival"},
		{"rate limit and race", faults{WritesPerSecond: 2, ReadsPerSecond: 1}, 1, 0, conflict, "rival"},
		{"rate limit and answer lost", faults{WritesPerSecond: 2, ReadsPerSecond: 1, LoseAfter: 1, LosePrefix: rows}, 0, 0, nil, "mine"},
		{"slow and answer lost", faults{DelayMS: 1500, LoseAfter: 1, LosePrefix: rows}, 0, 0, nil, "mine"},
		{"answer lost, then an outage", faults{LoseAfter: 1, LosePrefix: rows}, 0, 500 * time.Millisecond, nil, "mine"},
		{"answer lost, then a long outage", faults{LoseAfter: 1, LosePrefix: rows}, 0, time.Hour, unknown, "mine"},
	} {
		t.Run(c.name, func(t *testing.T) {
			withFakeClock(t, func(t *testing.T, store *platformtest.Store, direct *source.Source) {
				base := accept(t, direct, submission(source.Head{}, "base"))
				s := source.New(&hookedTable{Table: store, hook: func(n int) {
					if n == c.race {
						store.SetFaults(faults{})
						accept(t, direct, submission(base, "rival"))
						store.SetFaults(c.faults)
					}
					if n == 1 && c.outage > 0 {
						time.AfterFunc(time.Nanosecond, func() { store.SetFaults(faults{Down: true}) })
						time.AfterFunc(c.outage, func() { store.SetFaults(faults{}) })
					}
				}}, store.Objects())
				store.SetFaults(c.faults)
				h, err := s.Accept(t.Context(), submission(base, "mine"))
				if !errors.Is(err, c.want) || c.want != unknown && errors.Is(err, unknown) {
					t.Fatalf("got %v, want %v", err, c.want)
				}
				store.SetFaults(faults{})
				head, _ := direct.Head(t.Context())
				if head.Token != c.winner || err == nil && !reflect.DeepEqual(head, h) {
					t.Fatalf("got %+v, head is %+v; want that of %s", h, head, c.winner)
				}
				if repeated, err := direct.Accept(t.Context(), submission(base, "mine")); (err == nil) != (c.winner != "rival") || err == nil && repeated.Revision != 2 {
					t.Fatalf("repeat after the faults: got %+v, %v", repeated, err)
				}
			})
		})
	}
}

// Guards against a repeated Accept that returns "nothing was accepted" because
// it failed, although the earlier one may have taken effect.
func TestRepeatedAcceptReportsUnknownOutcome(t *testing.T) {
	for name, f := range map[string]platformtest.Faults{
		"down":        {Down: true},
		"stale reads": {StaleReads: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := platformtest.New()
				s := source.New(store, store.Objects())
				base := accept(t, s, submission(source.Head{}, "base"))
				mine := submission(base, "mine")
				store.SetFaults(f) // stale reads return the base
				if !f.Down {
					accept(t, s, mine) // discards the answer
				}
				mine.Repeated = true
				if _, err := s.Accept(t.Context(), mine); !errors.Is(err, platform.ErrOutcomeUnknown) {
					t.Fatalf("got %v, want ErrOutcomeUnknown", err)
				}
				store.SetFaults(platformtest.Faults{})
				if got := accept(t, s, mine); got.Token != "mine" || got.Revision != 2 {
					t.Fatalf("got %+v", got)
				}
			})
		})
	}
}
