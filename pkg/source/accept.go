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

// MaxTextSize bounds a rules text in bytes.
const MaxTextSize = 1 << 20

// Submission is a rules text to be accepted. The caller has checked the text.
type Submission struct {
	Text   []byte
	Base   Head          // the head that was edited; zero when nothing was accepted yet
	Moves  []PendingMove // the moves in the text
	Author string
	Token  string // random and kept by the caller, so that Accept can be repeated
	// Repeated says that the outcome of an earlier Accept with the token is not
	// known, so that a failure of this one does not mean that nothing was accepted.
	Repeated bool
}

// PendingMove is a move in a submitted text.
type PendingMove struct {
	Move mesh.MoveID
	By   time.Time
}

// moveStarts returns the start of each move that is not over at now: the start
// that the base names, or now. Moves that are over need none, which keeps the
// head small.
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

// ConflictError says that another edit of the same base won. Nothing was changed.
type ConflictError struct {
	Base    Head // the head that was edited
	Current Head // the head that won, or a later one
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("revision %d was edited by %s meanwhile: the head is now revision %d", e.Base.Revision, e.Current.Author, e.Current.Revision)
}

// Unwrap makes a ConflictError a platform.ErrConflict.
func (e *ConflictError) Unwrap() error { return platform.ErrConflict }

// Accept makes a submission the next revision: it stores the text and then
// commits one transaction on the head and the history. The token makes it safe
// to repeat: a submission that was accepted before, also when later revisions
// followed, returns its head. The errors are *ConflictError when another edit won,
// platform.ErrUnavailable or *platform.RateLimitedError when nothing was
// changed, and platform.ErrOutcomeUnknown when Accept could not find out;
// repeat it then with the same token and Repeated set.
func (s *Source) Accept(ctx context.Context, sub Submission) (Head, error) {
	if sub.Token == "" {
		return Head{}, errors.New("accept: the token is missing")
	}
	if len(sub.Text) > MaxTextSize {
		return Head{}, fmt.Errorf("accept: the text has %d bytes, at most %d are allowed", len(sub.Text), MaxTextSize)
	}
	a := accept{Source: s, sub: sub, unknown: sub.Repeated, head: Head{
		Revision: sub.Base.Revision + 1, Hash: platform.Hash(sub.Text), Base: sub.Base.Revision,
		Token: sub.Token, Author: sub.Author, AcceptedAt: time.Now().UTC(),
	}}
	h, err := a.run(ctx)
	if err != nil {
		return Head{}, fmt.Errorf("accept on revision %d: %w", sub.Base.Revision, err)
	}
	return h, nil
}

// accept is one Accept.
type accept struct {
	*Source
	sub     Submission
	head    Head // what is to be written
	unknown bool // a commit has been sent whose outcome is not known
}

func (a *accept) run(ctx context.Context) (Head, error) {
	// The object goes first, so that a head never names a text that is absent.
	err := a.retry(ctx, func() error { return a.objects.Put(ctx, a.head.Hash, a.sub.Text) })
	if err != nil {
		return Head{}, a.verdict(err)
	}
	for attempt := range maxAttempts {
		var h Head
		h, err = a.attempt(ctx)
		if err == nil || !a.goesOn(err) {
			return h, a.verdict(err)
		}
		if attempt+1 == maxAttempts {
			break
		}
		if werr := a.pause(ctx, attempt, err); werr != nil {
			err = errors.Join(err, werr)
			break
		}
	}
	return Head{}, a.verdict(err)
}

// errUnsettled means that the reads do not yet show how a commit ended.
var errUnsettled = errors.New("the head and the history do not agree yet")

func (a *accept) goesOn(err error) bool {
	if errors.Is(err, errUnsettled) || again(err) {
		return true
	}
	// With an outcome open it is worth waiting for the platform to return.
	return a.unknown && errors.Is(err, platform.ErrUnavailable)
}

// attempt settles what earlier attempts did and otherwise commits.
func (a *accept) attempt(ctx context.Context) (Head, error) {
	current, version, err := a.readHead(ctx, headKey)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return Head{}, err
	}
	if current.Revision > a.sub.Base.Revision {
		return a.settle(ctx, current)
	}
	if current.Revision < a.sub.Base.Revision {
		return Head{}, fmt.Errorf("head is at revision %d: %w", current.Revision, errUnsettled)
	}
	if a.sub.Base.Hash != "" && current.Hash != a.sub.Base.Hash {
		return Head{}, &ConflictError{Base: a.sub.Base, Current: current}
	}
	// The platform's head is the base here; a caller's copy may lack the moves.
	a.head.Moves = moveStarts(current.Moves, a.sub.Moves, a.head.AcceptedAt)
	err = a.commit(ctx, version)
	switch {
	case err == nil:
		return a.head, nil
	case errors.Is(err, platform.ErrOutcomeUnknown):
		a.unknown = true
		return Head{}, err
	case errors.Is(err, platform.ErrConflict):
		return Head{}, fmt.Errorf("%w: %w", errUnsettled, err)
	}
	return Head{}, err
}

// settle finds out who wrote the revision after the base. The history row is
// written with its head and never again, so it decides.
func (a *accept) settle(ctx context.Context, current Head) (Head, error) {
	var winner Head
	// Retried by itself: under a rate limit, the read of the head before it
	// would use up the rate each time.
	err := a.retry(ctx, func() (err error) {
		winner, _, err = a.readHead(ctx, revisionKey(a.head.Revision))
		return err
	})
	switch {
	case errors.Is(err, platform.ErrNotFound):
		return Head{}, fmt.Errorf("revision %d: %w", a.head.Revision, errUnsettled)
	case err != nil:
		return Head{}, err
	case winner.Token != a.sub.Token:
		a.unknown = false
		return Head{}, &ConflictError{Base: a.sub.Base, Current: current}
	case winner.Hash != a.head.Hash:
		a.unknown = false
		return Head{}, fmt.Errorf("token %q was used for another text", a.sub.Token)
	}
	return winner, nil
}

func (a *accept) commit(ctx context.Context, version uint64) error {
	value, err := json.Marshal(a.head)
	if err != nil {
		return err
	}
	history := revisionKey(a.head.Revision)
	return a.table.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: headKey, Version: version}, {Key: history}},
		Writes:     []platform.Write{{Key: headKey, Value: value}, {Key: history, Value: value}},
	})
}

// verdict names the outcome of an accept that ends with an error.
func (a *accept) verdict(err error) error {
	switch {
	case err == nil:
		return nil
	case a.unknown:
		return fmt.Errorf("%w, repeat with the same token: %w", platform.ErrOutcomeUnknown, err)
	}
	return fmt.Errorf("nothing was accepted: %w", err)
}
