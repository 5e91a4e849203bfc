// Package ctl implements the operators' tool, which checks and applies rules
// files and shows the status of nodes and the reports of moves.
package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/rcrowley/go-metrics"

	"nutmeghoist.example/nutmeghoist/internal/opapi"
	"nutmeghoist.example/nutmeghoist/pkg/finding"
	"nutmeghoist.example/nutmeghoist/pkg/source"
	"nutmeghoist.example/nutmeghoist/platform"
)

// Exit codes of the tool.
const (
	exitOK      = 0
	exitFailure = 1 // findings, a conflicting edit, or a service that does not respond
	exitUsage   = 2
)

// Streams are the standard streams of the tool.
type Streams struct {
	In       io.Reader
	Out, Err io.Writer
}

// settings are the options that all commands share.
type settings struct {
	Platform string        `long:"platform" env:"NUTMEGHOIST_PLATFORM" default:"http://127.0.0.1:8500" description:"base URL of the platform's table and object store"`
	Node     string        `long:"node" env:"NUTMEGHOIST_NODE" description:"base URL of a node's operators' address, for status and for the versions that have targets"`
	Author   string        `long:"author" env:"NUTMEGHOIST_AUTHOR" description:"who applies the file; the default is the user's name"`
	Timeout  time.Duration `long:"timeout" env:"NUTMEGHOIST_TIMEOUT" default:"30s" description:"longest time that a command waits for the platform and the node"`
}

// app holds the state of one run of the tool.
type app struct {
	settings
	Streams
	ctx    context.Context
	source *source.Source
	client *http.Client
}

// usageError reports an invalid command line or setting.
type usageError struct{ text string }

func (e *usageError) Error() string { return e.text }

// errReported means that the error was already printed.
var errReported = errors.New("reported")

// Main runs one command and returns the exit code.
func Main(ctx context.Context, args []string, s Streams) int {
	a := &app{Streams: s, ctx: ctx}
	p := flags.NewParser(&a.settings, flags.HelpFlag|flags.PassDoubleDash)
	p.Name = "nutmeghoistctl"
	a.addCommands(p)
	p.CommandHandler = func(c flags.Commander, rest []string) error {
		if len(rest) > 0 {
			return &usageError{fmt.Sprintf("unknown arguments %q", rest)}
		}
		if err := a.connect(); err != nil {
			return err
		}
		return c.Execute(nil)
	}
	_, err := p.ParseArgs(args)
	return a.exitCode(err)
}

func (a *app) exitCode(err error) int {
	var flagsErr *flags.Error
	var usage *usageError
	// The type assertion matches only the findings of the rules file itself. An
	// error that wraps findings is printed as an error.
	findings, isFindings := err.(finding.List)
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		fmt.Fprintln(a.Out, flagsErr.Message)
		return exitOK
	case errors.As(err, &flagsErr), errors.As(err, &usage):
		fmt.Fprintf(a.Err, "nutmeghoistctl: %v; see --help\n", err)
		return exitUsage
	case isFindings:
		fmt.Fprintln(a.Out, findings.Error())
	case !errors.Is(err, errReported):
		fmt.Fprintf(a.Err, "nutmeghoistctl: %v\n", err)
	}
	return exitFailure
}

// addCommands registers the commands. It panics on a wrong struct tag.
func (a *app) addCommands(p *flags.Parser) {
	for _, c := range []struct {
		name, short string
		data        any
	}{
		{"check", "check a rules file and print all findings", &checkCommand{app: a}},
		{"diff", "show the lines of a rules file that differ from the accepted ones", &diffCommand{app: a}},
		{"apply", "make a rules file the next revision", &applyCommand{app: a}},
		{"status", "show a node's view of itself and of the mesh", &statusCommand{app: a}},
		{"reports", "list the reports of moves", &reportsCommand{app: a}},
		{"withdraw", "end the move of a route: all its traffic stays on the old version", &withdrawCommand{app: a}},
	} {
		if _, err := p.AddCommand(c.name, c.short, c.short, c.data); err != nil {
			panic(fmt.Sprintf("command %s: %v", c.name, err))
		}
	}
}

// connect checks the settings and creates the clients. It sends no requests.
func (a *app) connect() error {
	var wrong []string
	check := func(name, value string) {
		u, err := url.Parse(value)
		if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
			wrong = append(wrong, fmt.Sprintf("--%s (NUTMEGHOIST_%s) %q is not a base URL such as http://IP:port", name, strings.ToUpper(name), value))
		}
	}
	check("platform", a.Platform)
	if a.Node != "" {
		check("node", a.Node)
	}
	if a.Timeout <= 0 {
		wrong = append(wrong, fmt.Sprintf("--timeout (NUTMEGHOIST_TIMEOUT) %s is not above 0", a.Timeout))
	}
	if len(wrong) > 0 {
		return &usageError{strings.Join(wrong, "\n")}
	}
	if a.Author == "" {
		a.Author = os.Getenv("USER")
	}
	a.client = &http.Client{Timeout: a.Timeout}
	c := platform.NewStore(a.Platform, metrics.NewRegistry())
	a.source = source.New(c, c.Objects())
	return nil
}

// withTimeout returns a context with the timeout of the command.
func (a *app) withTimeout() (context.Context, context.CancelFunc) {
	return context.WithTimeout(a.ctx, a.Timeout)
}

func (a *app) notef(format string, args ...any) {
	fmt.Fprintf(a.Err, "note: "+format+"\n", args...)
}

// triggerPoll makes the node poll for a new revision now. A failure only delays
// the revision until the next regular poll.
func (a *app) triggerPoll(ctx context.Context) {
	if a.Node == "" {
		return
	}
	if err := opapi.NewClient(a.Node, a.client).Poll(ctx); err != nil {
		a.notef("%v; the nodes will find the revision at their next poll", err)
	}
}

// nodeStatus requests the status of the node. It returns nil when no node is
// set.
func (a *app) nodeStatus(ctx context.Context) (*opapi.Status, error) {
	if a.Node == "" {
		return nil, nil
	}
	s, err := opapi.NewClient(a.Node, a.client).Status(ctx)
	if err != nil {
		return nil, err
	}
	return &s, nil
}
