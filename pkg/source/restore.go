package source

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"nutmeghoist.example/nutmeghoist/pkg/platform"
)

// ErrOtherHistory means that the platform has a head of the same or a lower revision that
// was accepted after a restore had lost the one to be written again.
var ErrOtherHistory = errors.New("an edit was accepted on a history that lacks this revision")

// WriteAgain writes an accepted head and its text again when the platform, restored
// from an older copy, has only an earlier one. It reports whether it wrote. Hosts that
// have the head in force never go back, so that without it no later edit could come
// into force.
func (s *Source) WriteAgain(ctx context.Context, head Head, text []byte) (bool, error) {
	current, version, err := s.readHead(ctx, headKey)
	switch {
	case err != nil && !errors.Is(err, platform.ErrNotFound):
		return false, err
	case current.Revision > head.Revision, current.Token == head.Token:
		return false, nil
	case current.Revision == head.Revision, current.AcceptedAt.After(head.AcceptedAt):
		return false, fmt.Errorf("revision %d by %s of %s, revision %d: %w", current.Revision, current.Author, current.AcceptedAt, head.Revision, ErrOtherHistory)
	}
	if err := s.objects.Put(ctx, head.Hash, text); err != nil {
		return false, err
	}
	value, err := json.Marshal(head)
	if err != nil {
		return false, err
	}
	err = s.table.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: headKey, Version: version}, {Key: revisionKey(head.Revision)}},
		Writes:     []platform.Write{{Key: headKey, Value: value}, {Key: revisionKey(head.Revision), Value: value}},
	})
	if errors.Is(err, platform.ErrConflict) {
		return false, nil // another host has written it, or an edit was accepted
	}
	return err == nil, err
}
