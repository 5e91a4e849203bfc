package source

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/platform"
)

// MaxTextSize is the maximum size of a rules text in bytes.
const MaxTextSize = 1 << 20

// Submission is a rules text to be accepted. The caller must have checked the
// text.
type Submission struct {
	Text   []byte
	Base   Head          // the head that was edited; zero before the first revision
	Moves  []PendingMove // the moves in the text
	Author string
	Token  string // random idempotency key; the same when Accept is repeated
	// Repeated means that the outcome of an earlier Accept with this token is
	// unknown. When this one fails as well, the text may still have been accepted.
	Repeated bool
}

// PendingMove is a move in a submitted text.
type PendingMove struct {
	Move mesh.MoveID
	By   time.Time // when the move must be complete
}

// moveStarts returns the start of each move whose deadline is after now: the
// start recorded in base, or else now. The other moves are left out, which keeps
// the head small.
func moveStarts(base []MoveStart, moves []PendingMove, now time.Time) []MoveStart {
	var starts []MoveStart
	for _, m := range moves {
		if !m.By.After(now) {
			continue
		}
		start := MoveStart{Move: m.Move, At: now}
		if i := slices.IndexFunc(base, func(b MoveStart) bool { return b.Move == m.Move }); i >= 0 {
			start = base[i]
		}
		starts = append(starts, start)
	}
	return starts
}

// ConflictError means that another edit of the same base was accepted first.
// The submission was not accepted.
type ConflictError struct {
	Base    Head // the head that was edited
	Current Head // the head of the edit accepted first, or a later one
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("revision %d was edited by %s meanwhile: the head is now revision %d", e.Base.Revision, e.Current.Author, e.Current.Revision)
}

// Unwrap returns platform.ErrConflict, for errors.Is.
func (e *ConflictError) Unwrap() error { return platform.ErrConflict }

// Accept makes a submission the next revision. It stores the text and then
// commits the head and the history row in one transaction. The token makes
// Accept idempotent: for a submission that was accepted before, it returns the
// head of that revision, even when later revisions followed. It returns
//   - *ConflictError when another edit of the base was accepted first,
//   - platform.ErrUnavailable or *platform.RateLimitedError when nothing was
//     accepted,
//   - platform.ErrOutcomeUnknown when the text may have been accepted. The
//     caller should then repeat Accept with the same token and Repeated set.
//     Such an error can match the others too, so check for it first.
func (s *Source) Accept(ctx context.Context, sub Submission) (Head, error) {
	if sub.Token == "" {
		return Head{}, errors.New("accept: the token is missing")
	}
	if len(sub.Text) > MaxTextSize {
		return Head{}, fmt.Errorf("accept: the text has %d bytes, at most %d are allowed", len(sub.Text), MaxTextSize)
	}
	a := acceptor{Source: s, sub: sub, outcomeUnknown: sub.Repeated, proposed: Head{
		Revision: sub.Base.Revision + 1, Hash: platform.Hash(sub.Text), Base: sub.Base.Revision,
		Token: sub.Token, Author: sub.Author, AcceptedAt: time.Now().UTC(),
	}}
	h, err := a.run(ctx)
	if err != nil {
		return Head{}, fmt.Errorf("accept on revision %d: %w", sub.Base.Revision, err)
	}
	return h, nil
}

// acceptor holds the state of one call of Accept.
type acceptor struct {
	*Source
	sub            Submission
	proposed       Head // the head row to be written
	outcomeUnknown bool // a commit has been sent whose outcome is not known
}

func (a *acceptor) run(ctx context.Context) (Head, error) {
	// The text is stored first, so that a head never refers to a missing object.
	err := a.retry(ctx, func() error { return a.objects.Put(ctx, a.proposed.Hash, a.sub.Text) })
	if err != nil {
		return Head{}, a.outcomeError(err)
	}
	for attempt := range maxAttempts {
		var h Head
		h, err = a.attempt(ctx)
		if err == nil || !a.shouldRetry(err) {
			return h, a.outcomeError(err)
		}
		if attempt+1 == maxAttempts {
			break
		}
		if waitErr := a.backOff(ctx, attempt, err); waitErr != nil {
			err = errors.Join(err, waitErr)
			break
		}
	}
	return Head{}, a.outcomeError(err)
}

// errUnresolved means that the rows read so far do not show whether a commit
// took effect.
var errUnresolved = errors.New("the head and the history do not agree yet")

// shouldRetry reports whether another attempt may succeed or resolve an unknown
// outcome.
func (a *acceptor) shouldRetry(err error) bool {
	if errors.Is(err, errUnresolved) || isRetryable(err) {
		return true
	}
	// While an outcome is unknown, an outage is retried as well: only the platform
	// can resolve the outcome.
	return a.outcomeUnknown && errors.Is(err, platform.ErrUnavailable)
}

// attempt reads the head and commits when it is still the base. When the head is
// a later revision, attempt finds out whether an earlier commit took effect.
func (a *acceptor) attempt(ctx context.Context) (Head, error) {
	current, version, err := a.readHead(ctx, headKey)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return Head{}, err
	}
	if current.Revision > a.sub.Base.Revision {
		return a.resolveOutcome(ctx, current)
	}
	if current.Revision < a.sub.Base.Revision {
		return Head{}, fmt.Errorf("head is at revision %d: %w", current.Revision, errUnresolved)
	}
	if a.sub.Base.Hash != "" && current.Hash != a.sub.Base.Hash {
		return Head{}, &ConflictError{Base: a.sub.Base, Current: current}
	}
	// Take the moves from the head that was read, because the caller's copy of the
	// base may lack them.
	a.proposed.Moves = moveStarts(current.Moves, a.sub.Moves, a.proposed.AcceptedAt)
	err = a.commit(ctx, version)
	switch {
	case err == nil:
		return a.proposed, nil
	case errors.Is(err, platform.ErrOutcomeUnknown):
		a.outcomeUnknown = true
		return Head{}, err
	case errors.Is(err, platform.ErrConflict):
		return Head{}, fmt.Errorf("%w: %w", errUnresolved, err)
	}
	return Head{}, err
}

// resolveOutcome finds out whether this submission or another one became the
// revision after the base. It reads the history row of that revision, which is
// written together with the head and never overwritten.
func (a *acceptor) resolveOutcome(ctx context.Context, current Head) (Head, error) {
	var winner Head
	// Retry only this read. If attempt were retried instead, its read of the head
	// would use up the rate limit each time.
	err := a.retry(ctx, func() (err error) {
		winner, _, err = a.readHead(ctx, revisionKey(a.proposed.Revision))
		return err
	})
	switch {
	case errors.Is(err, platform.ErrNotFound):
		return Head{}, fmt.Errorf("revision %d: %w", a.proposed.Revision, errUnresolved)
	case err != nil:
		return Head{}, err
	case winner.Token != a.sub.Token:
		a.outcomeUnknown = false
		return Head{}, &ConflictError{Base: a.sub.Base, Current: current}
	case winner.Hash != a.proposed.Hash:
		a.outcomeUnknown = false
		return Head{}, fmt.Errorf("token %q was used for another text", a.sub.Token)
	}
	return winner, nil
}

func (a *acceptor) commit(ctx context.Context, version uint64) error {
	value, err := json.Marshal(a.proposed)
	if err != nil {
		return err
	}
	historyKey := revisionKey(a.proposed.Revision)
	return a.table.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: headKey, Version: version}, {Key: historyKey}},
		Writes:     []platform.Write{{Key: headKey, Value: value}, {Key: historyKey, Value: value}},
	})
}

// outcomeError adds to the error of a failed Accept whether the outcome is
// unknown or nothing was accepted.
func (a *acceptor) outcomeError(err error) error {
	switch {
	case err == nil:
		return nil
	case a.outcomeUnknown:
		return fmt.Errorf("%w, repeat with the same token: %w", platform.ErrOutcomeUnknown, err)
	}
	return fmt.Errorf("nothing was accepted: %w", err)
}
