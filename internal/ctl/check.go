package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/platform"
	"nutmeghoist.example/nutmeghoist/pkg/rules"
	"nutmeghoist.example/nutmeghoist/pkg/source"
)

// edit is a rules text together with its base, the revision that was edited.
type edit struct {
	name     string
	text     []byte
	base     source.Head // zero before the first accepted revision
	baseText []byte
	rules    []rules.Rule // set by validate

	isWithdrawal bool // the text was not read from a file
}

type fileArgument struct {
	File string `positional-arg-name:"FILE" required:"1" description:"rules file; - reads standard input"`
}

// readFile returns the text of a file, truncated to one byte above the maximum
// size of a rules file. This is enough to find that the file is too large.
func (a *app) readFile(file string) ([]byte, error) {
	in := a.In
	if file != "-" {
		f, err := os.Open(file)
		if err != nil {
			return nil, fmt.Errorf("rules file: %w", err)
		}
		defer f.Close()
		in = f
	}
	text, err := io.ReadAll(io.LimitReader(in, rules.MaxFileSize+1))
	if err != nil {
		return nil, fmt.Errorf("rules file %s: %w", file, err)
	}
	return text, nil
}

// loadBase returns the base of an edit and its text. The base is the current
// head when revision is nil. Before the first accepted file it is revision 0
// without a text.
func (a *app) loadBase(ctx context.Context, revision *uint64) (source.Head, []byte, error) {
	var h source.Head
	var err error
	switch {
	case revision == nil:
		h, err = a.source.Head(ctx)
		if errors.Is(err, platform.ErrNotFound) {
			return source.Head{}, nil, nil
		}
	case *revision == 0:
		return source.Head{}, nil, nil
	default:
		h, err = a.source.Revision(ctx, *revision)
	}
	if err != nil {
		return source.Head{}, nil, err
	}
	text, err := a.source.Text(ctx, h.Hash)
	if err != nil {
		return source.Head{}, nil, fmt.Errorf("revision %d: %w", h.Revision, err)
	}
	return h, text, nil
}

// validate checks an edit against its base, the vetoes and the announced
// targets, and sets its rules.
func (a *app) validate(ctx context.Context, e *edit) error {
	o, err := a.checkOptions(ctx, e)
	if err != nil {
		a.printParseFindings(e.name, e.text)
		return err
	}
	file, findings := rules.Validate(e.name, e.text, o)
	e.rules = file.Rules
	return findings.Err()
}

// printParseFindings prints the findings of the text alone. It is used when the
// other checks are not possible.
func (a *app) printParseFindings(name string, text []byte) {
	if _, findings := rules.Parse(name, text); len(findings) > 0 {
		fmt.Fprintln(a.Out, findings.Error())
	}
}

func (a *app) checkOptions(ctx context.Context, e *edit) (rules.CheckOptions, error) {
	o := rules.CheckOptions{Now: time.Now()}
	previous, findings := rules.Parse("", e.baseText)
	if err := findings.Err(); err != nil {
		return o, fmt.Errorf("revision %d cannot be read: %w", e.base.Revision, err)
	}
	o.Previous = previous.Rules
	vetoes, err := a.source.Vetoes(ctx)
	if err != nil {
		return o, err
	}
	status, err := a.nodeStatus(ctx)
	if err != nil {
		return o, err
	}
	// Read after the node's status, so that an edit in between is not taken for a loss.
	newestRevision, err := a.newestRevision(ctx)
	switch {
	case err != nil:
		return o, err
	case status == nil:
		a.notef("no --node is set, so it was not checked which versions have targets")
	case status.Head.Revision > newestRevision:
		return o, fmt.Errorf("the platform is at revision %d, but the hosts are at revision %d: it was restored from an older copy, and the hosts write the lost revision again; nothing was accepted, try again in some seconds",
			newestRevision, status.Head.Revision)
	// No node can be ready before the first revision.
	case !status.Ready && e.base.Revision > 0:
		return o, fmt.Errorf("node %s is not ready and may not have all targets yet", a.Node)
	default:
		// A node can have a veto that is not stored at the platform yet.
		vetoes = append(vetoes, status.Vetoes...)
		o.HasTargets = status.Serves
	}
	o.IsVetoed = vetoedBy(vetoes)
	return o, nil
}

// newestRevision returns the revision of the platform's head, 0 before the first.
func (a *app) newestRevision(ctx context.Context) (uint64, error) {
	head, err := a.source.Head(ctx)
	if errors.Is(err, platform.ErrNotFound) {
		return 0, nil
	}
	return head.Revision, err
}

// vetoedBy returns a function that reports whether an attempt at a service
// version is vetoed. A veto also applies to all earlier attempts.
func vetoedBy(vetoes []source.Veto) func(mesh.ServiceName, mesh.TargetVersion, int) bool {
	highest := map[mesh.ServiceVersion]int{}
	for _, v := range vetoes {
		k := mesh.ServiceVersion{Service: v.Service, Version: v.Version}
		highest[k] = max(highest[k], v.Attempt)
	}
	return func(s mesh.ServiceName, v mesh.TargetVersion, attempt int) bool {
		lastVetoed, ok := highest[mesh.ServiceVersion{Service: s, Version: v}]
		return ok && attempt <= lastVetoed
	}
}

type checkCommand struct {
	*app    `no-flag:"true"`
	Offline bool         `long:"offline" description:"check only the text and the times, without platform and node"`
	Args    fileArgument `positional-args:"yes"`
}

// Execute checks a file.
func (c *checkCommand) Execute([]string) error {
	text, err := c.readFile(c.Args.File)
	if err != nil {
		return err
	}
	if c.Offline {
		file, findings := rules.Validate(c.Args.File, text, rules.CheckOptions{Now: time.Now()})
		if err := findings.Err(); err != nil {
			return err
		}
		fmt.Fprintf(c.Out, "%s: %d rules, text and times are valid; versions and vetoes were not checked\n", c.Args.File, len(file.Rules))
		return nil
	}
	ctx, cancel := c.withTimeout()
	defer cancel()
	e := &edit{name: c.Args.File, text: text}
	if e.base, e.baseText, err = c.app.loadBase(ctx, nil); err != nil {
		c.printParseFindings(e.name, text)
		return fmt.Errorf("%w (--offline checks without the platform)", err)
	}
	if err := c.validate(ctx, e); err != nil {
		return err
	}
	fmt.Fprintf(c.Out, "%s: %d rules, no findings against revision %d\n", e.name, len(e.rules), e.base.Revision)
	return nil
}

type diffCommand struct {
	*app `no-flag:"true"`
	Base *uint64      `long:"base" description:"revision to compare with; the default is the current head"`
	Args fileArgument `positional-args:"yes"`
}

// Execute prints the lines of a file that differ from a revision.
func (c *diffCommand) Execute([]string) error {
	text, err := c.readFile(c.Args.File)
	if err != nil {
		return err
	}
	ctx, cancel := c.withTimeout()
	defer cancel()
	head, baseText, err := c.app.loadBase(ctx, c.Base)
	if err != nil {
		return err
	}
	changes := rules.Diff(baseText, text)
	fmt.Fprintf(c.Out, "%d changed lines against revision %d\n", len(changes), head.Revision)
	printChanges(c.Out, changes)
	return nil
}

func printChanges(w io.Writer, changes []rules.Change) {
	for _, c := range changes {
		sign := "+"
		if c.Kind == rules.Removed {
			sign = "-"
		}
		fmt.Fprintf(w, "%s%5d  %s\n", sign, c.Line, c.Text)
	}
}
