package source_test

import (
	"errors"
	"fmt"
	"reflect"
	"testing"
	"testing/synctest"

	"nutmeghoist.example/nutmeghoist/pkg/platform"
	"nutmeghoist.example/nutmeghoist/pkg/platform/platformtest"
	"nutmeghoist.example/nutmeghoist/pkg/source"
)

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

// Guards against the loss of an edit: of two edits of one base exactly one is
// accepted, and the other learns what won.
func TestAcceptRace(t *testing.T) {
	store := platformtest.New()
	s := source.New(store, store.Objects())
	if _, err := s.Head(t.Context()); !errors.Is(err, platform.ErrNotFound) {
		t.Fatalf("got %v, want ErrNotFound", err)
	}
	base := accept(t, s, submission(source.Head{}, "t1"))
	won := accept(t, s, submission(base, "t2"))
	_, err := s.Accept(t.Context(), submission(base, "t3"))
	var race *source.RaceError
	if !errors.As(err, &race) || !reflect.DeepEqual(race.Base, base) || !reflect.DeepEqual(race.Current, won) || !errors.Is(err, platform.ErrConflict) {
		t.Fatalf("got %v", err)
	}
	if h, err := s.Head(t.Context()); err != nil || !reflect.DeepEqual(h, won) {
		t.Fatalf("head is %+v, %v", h, err)
	}
	if text, err := s.Text(t.Context(), won.Hash); err != nil || string(text) != "text of t2" {
		t.Fatalf("got %q, %v", text, err)
	}
	if again := accept(t, s, submission(base, "t2")); !reflect.DeepEqual(again, won) {
		t.Fatalf("repeated submission: got %+v, want %+v", again, won)
	}
}

// Guards against an accept that ends with a false verdict under faults: what
// it says must match the history.
func TestAcceptUnderFaults(t *testing.T) {
	for _, c := range []struct {
		name     string
		faults   platformtest.Faults
		want     error
		accepted bool
	}{
		{"answer of the commit lost", platformtest.Faults{LoseAfter: 1, LosePrefix: "config/"}, nil, true},
		{"answer of the upload lost", platformtest.Faults{LoseAfter: 1, LosePrefix: "objects"}, nil, true},
		{"requests lost before the write", platformtest.Faults{LoseBefore: 3, LosePrefix: "config/"}, nil, true},
		{"all commits lost before the write", platformtest.Faults{LoseBefore: -1, LosePrefix: "config/"}, platform.ErrOutcomeUnknown, false},
		{"all answers lost", platformtest.Faults{LoseAfter: -1}, platform.ErrOutcomeUnknown, false},
		{"platform down", platformtest.Faults{Down: true}, platform.ErrUnavailable, false},
		{"rate limit", platformtest.Faults{WritesPerSecond: 1, ReadsPerSecond: 1}, nil, true},
		{"stale reads", platformtest.Faults{StaleReads: true}, nil, true},
		{"stale reads and lost answer", platformtest.Faults{StaleReads: true, LoseAfter: 1, LosePrefix: "config/"}, platform.ErrOutcomeUnknown, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := platformtest.New()
				s := source.New(store, store.Objects())
				base := accept(t, s, submission(source.Head{}, "base"))
				store.SetFaults(c.faults)
				h, err := s.Accept(t.Context(), submission(base, "new"))
				if !errors.Is(err, c.want) {
					t.Fatalf("got %v, want %v", err, c.want)
				}
				store.SetFaults(platformtest.Faults{})
				got, _ := s.Head(t.Context())
				if accepted := got.Token == "new"; accepted != c.accepted {
					t.Fatalf("head is %+v after %v", got, err)
				}
				if err == nil && !reflect.DeepEqual(got, h) {
					t.Fatalf("got %+v, head is %+v", h, got)
				}
				if c.want == nil {
					return
				}
				if again := accept(t, s, submission(base, "new")); again.Token != "new" || again.Revision != 2 {
					t.Fatalf("repeat after the fault: got %+v", again)
				}
			})
		})
	}
}

// Guards against a lost answer that is taken for a lost race when later
// revisions were accepted before the writer could read back.
func TestAcceptSettlesAfterLaterRevisions(t *testing.T) {
	store := platformtest.New()
	s := source.New(store, store.Objects())
	base := accept(t, s, submission(source.Head{}, "base"))
	mine := submission(base, "mine")
	first := accept(t, s, mine) // its answer is lost to the caller
	head := first
	for i := range 3 {
		head = accept(t, s, submission(head, fmt.Sprintf("later-%d", i)))
	}
	if got := accept(t, s, mine); !reflect.DeepEqual(got, first) {
		t.Fatalf("got %+v, want %+v", got, first)
	}
}

// Guards against a repeat that says "nothing was accepted" because it failed
// itself, although the submission before it may have taken effect.
func TestRepeatedAcceptKeepsTheOutcomeOpen(t *testing.T) {
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
				store.SetFaults(f) // stale reads stay at the base
				if !f.Down {
					accept(t, s, mine) // its answer is lost to the caller
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
