package source_test

import (
	"errors"
	"testing"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/platform/platformtest"
	"nutmeghoist.example/nutmeghoist/pkg/source"
)

// Guards against an accepted revision that stays lost after a restore, against one that
// is written over a newer one, and over an edit that was accepted on the restored history.
func TestWriteAgain(t *testing.T) {
	withFakeClock(t, func(t *testing.T, store *platformtest.Store, s *source.Source) {
		first := accept(t, s, submission(source.Head{}, "one"))
		copied := store.Copy()
		second := accept(t, s, submission(first, "two"))
		text, err := s.Text(t.Context(), second.Hash)
		if err != nil {
			t.Fatal(err)
		}
		writeAgain := func(when string, want bool, wantErr error) {
			t.Helper()
			if written, err := s.WriteAgain(t.Context(), second, text); written != want || !errors.Is(err, wantErr) {
				t.Errorf("%s: written %v, %v", when, written, err)
			}
		}
		writeAgain("nothing is lost", false, nil)
		store.Restore(copied)
		writeAgain("lost", true, nil)
		writeAgain("written by another host", false, nil)
		if head, err := s.Revision(t.Context(), second.Revision); err != nil || head.Token != second.Token {
			t.Errorf("the history holds %+v, %v", head, err)
		}
		time.Sleep(time.Second)
		third := accept(t, s, submission(second, "three"))
		writeAgain("a newer revision", false, nil)
		store.Restore(copied)
		time.Sleep(time.Second)
		other := accept(t, s, submission(first, "another two"))
		for _, lost := range []source.Head{second, third} {
			if written, err := s.WriteAgain(t.Context(), lost, text); written || !errors.Is(err, source.ErrOtherHistory) {
				t.Errorf("an edit on the restored history, revision %d is lost: written %v, %v", lost.Revision, written, err)
			}
		}
		if head, err := s.Head(t.Context()); err != nil || head.Token != other.Token {
			t.Errorf("the edit was overwritten: %+v, %v", head, err)
		}
	})
}
