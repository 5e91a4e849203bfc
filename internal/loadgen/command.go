package loadgen

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/dghubble/sling"
	"github.com/jessevdk/go-flags"

	"nutmeghoist.example/nutmeghoist/internal/standin"
)

// Exit codes of the command.
const (
	exitOK        = 0
	exitViolation = 1 // a guarantee to callers was violated, or the run failed
	exitUsage     = 2
)

type settings struct {
	Nodes       []string      `long:"node" env:"NUTMEGHOIST_LOAD_NODES" env-delim:"," required:"true" description:"base URL of a node for callers; repeat for several"`
	Rate        float64       `long:"rate" env:"NUTMEGHOIST_LOAD_RATE" default:"100" description:"calls per second over all nodes"`
	Duration    time.Duration `long:"duration" env:"NUTMEGHOIST_LOAD_DURATION" default:"10s" description:"how long calls are sent"`
	Calls       []string      `long:"call" env:"NUTMEGHOIST_LOAD_CALLS" env-delim:";" default:"GET /" description:"kind of calls: METHOD /path [WEIGHT [BODY-BYTES]]; repeat for a mix"`
	Arrivals    string        `long:"arrivals" env:"NUTMEGHOIST_LOAD_ARRIVALS" default:"poisson" choice:"poisson" choice:"constant" description:"distribution of the arrivals over time"`
	Timeout     time.Duration `long:"timeout" env:"NUTMEGHOIST_LOAD_TIMEOUT" default:"5s" description:"timeout of a call"`
	SendTimeout bool          `long:"send-timeout" env:"NUTMEGHOIST_LOAD_SEND_TIMEOUT" description:"send the timeout of each call to the node"`
	MaxInFlight int           `long:"max-in-flight" env:"NUTMEGHOIST_LOAD_MAX_IN_FLIGHT" default:"10000" description:"maximum number of calls in flight; due calls beyond it are not sent"`
	Connections int           `long:"connections" env:"NUTMEGHOIST_LOAD_CONNECTIONS" description:"maximum number of connections to each node; 0 means unlimited"`
	Keys        int           `long:"keys" env:"NUTMEGHOIST_LOAD_KEYS" description:"number of distinct call keys; 0 sends none"`
	Seed        uint64        `long:"seed" env:"NUTMEGHOIST_LOAD_SEED" default:"1" description:"seed of arrivals and mix"`
	OrderPrefix string        `long:"order-prefix" env:"NUTMEGHOIST_LOAD_ORDER_PREFIX" description:"prefix of the order numbers; the default is random"`
	RunsFiles   []string      `long:"runs-file" env:"NUTMEGHOIST_LOAD_RUNS_FILES" env-delim:"," description:"file with the output of a target stand-in that prints its runs, instead of its --target; repeat for several"`
	Targets     []string      `long:"target" env:"NUTMEGHOIST_LOAD_TARGETS" env-delim:"," description:"base URL of a target stand-in whose runs are compared with the outcomes; repeat for several"`
}

// Main runs the command: it makes one run, prints the result and returns the
// exit code.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var s settings
	o, err := s.parse(args)
	var help *flags.Error
	if errors.As(err, &help) && help.Type == flags.ErrHelp {
		fmt.Fprintln(stdout, help.Message)
		return exitOK
	}
	if err == nil {
		err = o.check()
	}
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	r, err := Run(ctx, o)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitViolation
	}
	r.Print(stdout)
	violations := r.BadAnswers
	if o.KeepOutcomes {
		runs, err := s.collectRuns()
		if err != nil {
			fmt.Fprintln(stderr, err)
			return exitViolation
		}
		contradictions := CheckRuns(r.Orders, runs)
		fmt.Fprintf(stdout, "contradictions=%d\n", len(contradictions))
		violations = append(violations, contradictions...)
	}
	for _, line := range violations {
		fmt.Fprintln(stderr, line)
	}
	if len(violations) > 0 {
		return exitViolation
	}
	return exitOK
}

func (s *settings) parse(args []string) (Options, error) {
	p := flags.NewParser(s, flags.HelpFlag|flags.PassDoubleDash)
	p.Name = "nutmeghoist-load"
	remaining, err := p.ParseArgs(args)
	if err != nil {
		return Options{}, err
	}
	if len(remaining) > 0 {
		return Options{}, fmt.Errorf("unknown arguments %q", remaining)
	}
	o := Options{
		Nodes: s.Nodes, Rate: s.Rate, Duration: s.Duration, Arrivals: Arrivals(s.Arrivals), Timeout: s.Timeout,
		SendTimeout: s.SendTimeout, MaxInFlight: s.MaxInFlight, Connections: s.Connections, Keys: s.Keys,
		Seed: s.Seed, OrderPrefix: s.OrderPrefix, KeepOutcomes: len(s.Targets)+len(s.RunsFiles) > 0,
	}
	for _, text := range s.Calls {
		k, err := ParseKind(text)
		if err != nil {
			return Options{}, err
		}
		o.Mix = append(o.Mix, k)
	}
	return o, nil
}

// ParseKind parses a kind of calls in the form "METHOD /path [WEIGHT [BODY-BYTES]]".
func ParseKind(text string) (Kind, error) {
	fields := strings.Fields(text)
	if len(fields) < 2 || len(fields) > 4 {
		return Kind{}, fmt.Errorf("call %q is not METHOD /path [WEIGHT [BODY-BYTES]]", text)
	}
	k := Kind{Method: strings.ToUpper(fields[0]), Path: fields[1], Weight: 1}
	var err error
	if len(fields) > 2 {
		if k.Weight, err = strconv.ParseFloat(fields[2], 64); err != nil {
			return Kind{}, fmt.Errorf("call %q: weight %q is not a number", text, fields[2])
		}
	}
	if len(fields) > 3 {
		if k.BodySize, err = strconv.Atoi(fields[3]); err != nil || k.BodySize < 0 {
			return Kind{}, fmt.Errorf("call %q: %q is not a number of bytes", text, fields[3])
		}
	}
	return k, nil
}

// collectRuns returns the number of runs of each order, summed over the targets.
func (s *settings) collectRuns() (map[string]int, error) {
	client := &http.Client{Timeout: 30 * time.Second}
	total := map[string]int{}
	addRuns := func(runs map[string]int) {
		for order, n := range runs {
			total[order] += n
		}
	}
	for _, path := range s.RunsFiles {
		runs, err := standin.ReadRuns(path)
		if err != nil {
			return nil, err
		}
		addRuns(runs)
	}
	for _, target := range s.Targets {
		var runs map[string]int
		resp, err := sling.New().Client(client).Base(target).Get("/runs").ReceiveSuccess(&runs)
		if err != nil {
			return nil, fmt.Errorf("runs of target %s: %w", target, err)
		}
		if resp.StatusCode != http.StatusOK {
			return nil, fmt.Errorf("runs of target %s: %s", target, resp.Status)
		}
		addRuns(runs)
	}
	return total, nil
}
