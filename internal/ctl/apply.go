package ctl

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strings"
	"time"
	"unicode"

	"github.com/google/uuid"

	"nutmeghoist.example/nutmeghoist/pkg/platform"
	"nutmeghoist.example/nutmeghoist/pkg/rules"
	"nutmeghoist.example/nutmeghoist/pkg/source"
)

// acceptRetryInterval is the time between attempts while the outcome of an edit
// is unknown.
const acceptRetryInterval = time.Second

// maxWithdrawAttempts bounds the attempts of a withdrawal that conflicts with
// other edits.
const maxWithdrawAttempts = 5

// maxAuthorBytes bounds the author's name in the head, since every poll reads
// the head.
const maxAuthorBytes = 128

type applyCommand struct {
	*app  `no-flag:"true"`
	Base  *uint64      `long:"base" description:"revision that was edited; the default is the current head"`
	Token string       `long:"token" description:"token of an earlier apply whose outcome is not known; needs its --base"`
	Args  fileArgument `positional-args:"yes"`
}

// Execute submits a file as the next revision.
func (c *applyCommand) Execute([]string) error {
	if err := c.requireAuthor(); err != nil {
		return err
	}
	if c.Token != "" && c.Base == nil {
		return &usageError{"--token needs the --base of the earlier apply"}
	}
	text, err := c.readFile(c.Args.File)
	if err != nil {
		return err
	}
	ctx, cancel := c.withTimeout()
	defer cancel()
	e := &edit{name: c.Args.File, text: text}
	if e.base, e.baseText, err = c.app.loadBase(ctx, c.Base); err != nil {
		return err
	}
	if c.Base == nil && e.base.Revision > 0 {
		c.notef("no --base is given, so the file replaces the current revision %d by %s", e.base.Revision, e.base.Author)
	}
	if c.Token != "" {
		if head, ok, err := c.findAccepted(ctx, e.base.Revision, c.Token); ok || err != nil {
			c.printAccepted(ctx, head, err)
			return err
		}
	}
	if c.Token == "" && bytes.Equal(e.text, e.baseText) && e.base.Revision > 0 {
		fmt.Fprintf(c.Out, "no changed lines against revision %d; nothing to accept\n", e.base.Revision)
		return nil
	}
	if err := c.validate(ctx, e); err != nil {
		return err
	}
	head, err := c.accept(ctx, e, c.Token)
	c.printAccepted(ctx, head, err)
	return c.reportConflict(ctx, e, err)
}

func (a *app) requireAuthor() error {
	if a.Author == "" {
		return &usageError{"--author (NUTMEGHOIST_AUTHOR) is not set"}
	}
	if len(a.Author) > maxAuthorBytes || strings.ContainsFunc(a.Author, func(c rune) bool { return !unicode.IsPrint(c) }) {
		return &usageError{fmt.Sprintf("--author (NUTMEGHOIST_AUTHOR) %q is not a name of at most %d printable bytes", a.Author, maxAuthorBytes)}
	}
	return nil
}

// printAccepted notifies the node of the new revision and prints it. With an
// error it does nothing.
func (a *app) printAccepted(ctx context.Context, h source.Head, err error) {
	if err == nil {
		a.triggerPoll(ctx)
		fmt.Fprintf(a.Out, "accepted as revision %d at %s\n", h.Revision, h.AcceptedAt.Format(time.RFC3339))
	}
}

// findAccepted returns the revision after the base and reports whether it was
// written with the token.
func (a *app) findAccepted(ctx context.Context, base uint64, token string) (source.Head, bool, error) {
	next, err := a.source.Revision(ctx, base+1)
	if errors.Is(err, platform.ErrNotFound) {
		return source.Head{}, false, nil
	}
	return next, err == nil && next.Token == token, err
}

// accept submits an edit. While the outcome is unknown, it retries with the
// same token, so that the edit is not applied twice.
func (a *app) accept(ctx context.Context, e *edit, token string) (source.Head, error) {
	isRepeated := token != ""
	if token == "" {
		token = uuid.NewString()
	}
	sub := source.Submission{Text: e.text, Base: e.base, Author: a.Author, Token: token, Repeated: isRepeated}
	for i := range e.rules {
		if r := &e.rules[i]; r.IsMove() {
			sub.Moves = append(sub.Moves, source.PendingMove{Move: r.MoveID(), By: r.By})
		}
	}
	for {
		h, err := a.source.Accept(ctx, sub)
		if !errors.Is(err, platform.ErrOutcomeUnknown) {
			return h, err
		}
		sub.Repeated = true
		select {
		case <-time.After(acceptRetryInterval):
		case <-ctx.Done():
			return h, fmt.Errorf("%w\n%s", err, e.resolveHint(token))
		}
	}
}

// resolveHint returns how to find out whether an edit was accepted.
func (e *edit) resolveHint(token string) string {
	if e.isWithdrawal {
		return "withdraw again: the command fails if the rule is no longer a move"
	}
	return fmt.Sprintf("settle it with: apply --base %d --token %s %s", e.base.Revision, token, e.name)
}

// reportConflict prints the changed lines of both edits when another edit was
// accepted first. It returns other errors unchanged.
func (a *app) reportConflict(ctx context.Context, e *edit, err error) error {
	var conflict *source.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	fmt.Fprintf(a.Out, "nothing was accepted: %v\n", conflict)
	fmt.Fprintf(a.Out, "your changed lines against revision %d:\n", e.base.Revision)
	printChanges(a.Out, rules.Diff(e.baseText, e.text))
	currentText, textErr := a.source.Text(ctx, conflict.Current.Hash)
	if textErr != nil {
		return fmt.Errorf("changed lines of revision %d: %w", conflict.Current.Revision, textErr)
	}
	fmt.Fprintf(a.Out, "changed lines of revision %d by %s against revision %d:\n", conflict.Current.Revision, conflict.Current.Author, e.base.Revision)
	printChanges(a.Out, rules.Diff(e.baseText, currentText))
	fmt.Fprintf(a.Out, "merge them and apply again with --base %d\n", conflict.Current.Revision)
	return errReported
}

type withdrawCommand struct {
	*app `no-flag:"true"`
	Args struct {
		Route []string `positional-arg-name:"ROUTE" required:"1" description:"route as METHODS /prefix, for example GET,POST /pantry"`
	} `positional-args:"yes"`
}

// Execute ends the move of a route. When another edit was accepted meanwhile,
// it retries on the new head, since the change is the same for any text.
func (c *withdrawCommand) Execute([]string) error {
	if err := c.requireAuthor(); err != nil {
		return err
	}
	route := strings.Join(c.Args.Route, " ")
	ctx, cancel := c.withTimeout()
	defer cancel()
	var conflict *source.ConflictError
	for range maxWithdrawAttempts {
		err := c.withdraw(ctx, route)
		if !errors.As(err, &conflict) {
			return err
		}
	}
	return fmt.Errorf("withdraw %q: other edits were accepted first in %d attempts: %w", route, maxWithdrawAttempts, conflict)
}

func (c *withdrawCommand) withdraw(ctx context.Context, route string) error {
	head, text, err := c.app.loadBase(ctx, nil)
	if err != nil {
		return err
	}
	if head.Revision == 0 {
		return fmt.Errorf("withdraw %q: no rules were accepted yet", route)
	}
	e := &edit{name: fmt.Sprintf("revision %d", head.Revision), base: head, baseText: text, isWithdrawal: true}
	if e.text, err = rules.Withdraw(text, route); err != nil {
		return err
	}
	if err := c.validate(ctx, e); err != nil {
		return err
	}
	head, err = c.accept(ctx, e, "")
	if err != nil {
		return err
	}
	printChanges(c.Out, rules.Diff(e.baseText, e.text))
	c.printAccepted(ctx, head, nil)
	return nil
}
