package standin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	"nutmeghoist.example/nutmeghoist/internal/telemetry"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// Exit codes of the command.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
	exitCrashed = 3 // terminated by an injected fault
)

type settings struct {
	ID           string        `long:"id" env:"NUTMEGHOIST_TARGET_ID" required:"true" description:"name of the target, unique on its host"`
	Service      string        `long:"service" env:"NUTMEGHOIST_TARGET_SERVICE" required:"true" description:"service that the target belongs to"`
	Version      string        `long:"target-version" env:"NUTMEGHOIST_TARGET_VERSION" required:"true" description:"version of the target"`
	Address      string        `long:"address" env:"NUTMEGHOIST_TARGET_ADDRESS" default:"127.0.0.1:0" description:"IP:port for calls and the control paths"`
	Control      string        `long:"control-address" env:"NUTMEGHOIST_TARGET_CONTROL_ADDRESS" description:"IP:port for the control paths alone"`
	Node         string        `long:"node" env:"NUTMEGHOIST_TARGET_NODE" description:"base URL of the node's announce address; empty disables announcements"`
	Callers      string        `long:"callers" env:"NUTMEGHOIST_TARGET_CALLERS" description:"base URL for the outgoing calls that the header Call-Next requests"`
	Slots        int           `long:"slots" env:"NUTMEGHOIST_TARGET_SLOTS" default:"12" description:"calls that run at the same time"`
	Connections  int           `long:"connections" env:"NUTMEGHOIST_TARGET_CONNECTIONS" default:"130" description:"connections that the target takes"`
	Faults       string        `long:"faults" env:"NUTMEGHOIST_TARGET_FAULTS" default:"{}" description:"JSON of the faults at the start, as for POST /faults"`
	Seed         uint64        `long:"seed" env:"NUTMEGHOIST_TARGET_SEED" default:"1" description:"seed of the random faults"`
	PrintRuns    bool          `long:"print-runs" env:"NUTMEGHOIST_TARGET_PRINT_RUNS" description:"write the number of each order to the standard output when its run starts; unlike GET /runs this outlives the process"`
	Period       time.Duration `long:"announce-period" env:"NUTMEGHOIST_TARGET_ANNOUNCE_PERIOD" default:"1s" description:"time between two announcements"`
	DrainDelay   time.Duration `long:"drain-delay" env:"NUTMEGHOIST_TARGET_DRAIN_DELAY" default:"3s" description:"time that a stopping target still takes calls"`
	DrainTimeout time.Duration `long:"drain-timeout" env:"NUTMEGHOIST_TARGET_DRAIN_TIMEOUT" default:"65s" description:"longest time that a stop waits for calls in flight"`
}

// Main runs a target until the context ends and returns the exit code.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	o, err := parseSettings(args)
	var help *flags.Error
	if errors.As(err, &help) && help.Type == flags.ErrHelp {
		fmt.Fprintln(stdout, help.Message)
		return exitOK
	}
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	logger := telemetry.NewLogger(stderr, "info", string(o.ID))
	o.Log = func(event string, err error) {
		if err != nil {
			logger.Warn().Err(err).Msg(event)
			return
		}
		logger.Info().Msg(event)
	}
	if o.OnRun != nil {
		o.OnRun = func(order string) { fmt.Fprintln(stdout, order) }
	}
	o.Die = func() { os.Exit(exitCrashed) }
	t := New(o)
	if err := t.Listen(); err != nil {
		logger.Error().Err(err).Msg("cannot start")
		return exitFailure
	}
	logger.Info().Str("address", t.Addr()).Str("service", string(o.Service)).Str("version", string(o.Version)).Msg("serves")
	if err := t.Run(ctx); err != nil {
		logger.Error().Err(err).Msg("stopped")
		return exitFailure
	}
	logger.Info().Msg("drained")
	return exitOK
}

func parseSettings(args []string) (Options, error) {
	var s settings
	p := flags.NewParser(&s, flags.HelpFlag|flags.PassDoubleDash)
	p.Name = "nutmeghoist-target"
	rest, err := p.ParseArgs(args)
	if err != nil {
		return Options{}, err
	}
	if len(rest) > 0 {
		return Options{}, fmt.Errorf("unknown arguments %q", rest)
	}
	faults, err := ParseFaults(strings.NewReader(s.Faults))
	if err != nil {
		return Options{}, fmt.Errorf("--faults: %w", err)
	}
	o := Options{
		ID: mesh.TargetID(s.ID), Service: mesh.ServiceName(s.Service), Version: mesh.TargetVersion(s.Version),
		Address: s.Address, Control: s.Control, AnnounceURL: s.Node, CallerURL: s.Callers, Slots: s.Slots, Connections: s.Connections,
		Faults: faults, Seed: s.Seed,
		AnnouncePeriod: s.Period, DrainDelay: s.DrainDelay, DrainTimeout: s.DrainTimeout,
	}
	if s.PrintRuns {
		o.OnRun = func(string) {}
	}
	return o, nil
}
