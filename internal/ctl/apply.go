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

// settlePause is the time between two attempts to settle a lost answer.
const settlePause = time.Second

// maxWithdrawRaces bounds how often a withdrawal is made again on a new head.
const maxWithdrawRaces = 5

// maxAuthorSize bounds the part of the head that the author fills, since every
// poll reads it.
const maxAuthorSize = 128 // bytes

type applyCommand struct {
	*app  `no-flag:"true"`
	Base  *uint64      `long:"base" description:"revision that was edited; the default is the current head"`
	Token string       `long:"token" description:"token of an earlier apply whose outcome is not known; needs its --base"`
	Args  fileArgument `positional-args:"yes"`
}

// Execute makes a file the next revision.
func (c *applyCommand) Execute([]string) error {
	if err := c.needAuthor(); err != nil {
		return err
	}
	if c.Token != "" && c.Base == nil {
		return &usageError{"--token needs the --base of the earlier apply"}
	}
	text, err := c.read(c.Args.File)
	if err != nil {
		return err
	}
	ctx, cancel := c.limited()
	defer cancel()
	e := &edit{name: c.Args.File, text: text}
	if e.base, e.baseText, err = c.app.base(ctx, c.Base); err != nil {
		return err
	}
	if c.Base == nil && e.base.Revision > 0 {
		c.note("no --base is given, so the file replaces the current revision %d by %s", e.base.Revision, e.base.Author)
	}
	if c.Token != "" {
		if head, ok, err := c.settled(ctx, e.base.Revision, c.Token); ok || err != nil {
			c.accepted(ctx, head, err)
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
	c.accepted(ctx, head, err)
	return c.showRace(ctx, e, err)
}

func (a *app) needAuthor() error {
	if a.Author == "" {
		return &usageError{"--author (NUTMEGHOIST_AUTHOR) is not set"}
	}
	if len(a.Author) > maxAuthorSize || strings.ContainsFunc(a.Author, func(c rune) bool { return !unicode.IsPrint(c) }) {
		return &usageError{fmt.Sprintf("--author (NUTMEGHOIST_AUTHOR) %q is not a name of at most %d printable bytes", a.Author, maxAuthorSize)}
	}
	return nil
}

// accepted prints the new revision and tells the node of it.
func (a *app) accepted(ctx context.Context, h source.Head, err error) {
	if err == nil {
		a.hasten(ctx)
		fmt.Fprintf(a.Out, "accepted as revision %d at %s\n", h.Revision, h.AcceptedAt.Format(time.RFC3339))
	}
}

// settled reports whether the revision after the base was written with the token.
func (a *app) settled(ctx context.Context, base uint64, token string) (source.Head, bool, error) {
	next, err := a.source.Revision(ctx, base+1)
	if errors.Is(err, platform.ErrNotFound) {
		return source.Head{}, false, nil
	}
	return next, err == nil && next.Token == token, err
}

// accept submits an edit. While the outcome is not known it repeats with the
// same token, which cannot apply the edit twice.
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
		case <-time.After(settlePause):
		case <-ctx.Done():
			return h, fmt.Errorf("%w\n%s", err, e.settle(token))
		}
	}
}

// settle says how to find out whether an edit was accepted.
func (e *edit) settle(token string) string {
	if e.isWithdrawal {
		return "withdraw again: it says when the rule is no longer a move"
	}
	return fmt.Sprintf("settle it with: apply --base %d --token %s %s", e.base.Revision, token, e.name)
}

// showRace prints the changed lines of both sides when another edit won.
func (a *app) showRace(ctx context.Context, e *edit, err error) error {
	var race *source.ConflictError
	if !errors.As(err, &race) {
		return err
	}
	fmt.Fprintf(a.Out, "nothing was accepted: %v\n", race)
	fmt.Fprintf(a.Out, "your changed lines against revision %d:\n", e.base.Revision)
	printChanges(a.Out, rules.Diff(e.baseText, e.text))
	theirs, terr := a.source.Text(ctx, race.Current.Hash)
	if terr != nil {
		return fmt.Errorf("changed lines of revision %d: %w", race.Current.Revision, terr)
	}
	fmt.Fprintf(a.Out, "changed lines of revision %d by %s against revision %d:\n", race.Current.Revision, race.Current.Author, e.base.Revision)
	printChanges(a.Out, rules.Diff(e.baseText, theirs))
	fmt.Fprintf(a.Out, "merge them and apply again with --base %d\n", race.Current.Revision)
	return errReported
}

type withdrawCommand struct {
	*app `no-flag:"true"`
	Args struct {
		Route []string `positional-arg-name:"ROUTE" required:"1" description:"route as METHODS /prefix, for example GET,POST /pantry"`
	} `positional-args:"yes"`
}

// Execute ends the move of a route. It starts again from the new head when
// another edit won, since the change is the same on any text.
func (c *withdrawCommand) Execute([]string) error {
	if err := c.needAuthor(); err != nil {
		return err
	}
	route := strings.Join(c.Args.Route, " ")
	ctx, cancel := c.limited()
	defer cancel()
	var race *source.ConflictError
	for range maxWithdrawRaces {
		err := c.withdraw(ctx, route)
		if !errors.As(err, &race) {
			return err
		}
	}
	return fmt.Errorf("withdraw %q: lost %d races: %w", route, maxWithdrawRaces, race)
}

func (c *withdrawCommand) withdraw(ctx context.Context, route string) error {
	head, text, err := c.app.base(ctx, nil)
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
	c.accepted(ctx, head, nil)
	return nil
}
