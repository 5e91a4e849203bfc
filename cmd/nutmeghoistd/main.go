// Command nutmeghoistd is the node that runs on each target host.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/rcrowley/go-metrics"

	"nutmeghoist.example/nutmeghoist/internal/node"
	"nutmeghoist.example/nutmeghoist/internal/settings"
	"nutmeghoist.example/nutmeghoist/internal/telemetry"
)

// version is set at build time with -ldflags "-X main.version=...".
var version = "dev"

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	s, err := settings.Parse(args)
	switch {
	case errors.Is(err, settings.ErrHelp):
		fmt.Println(err)
		return exitOK
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	case s.ShowVersion:
		fmt.Println("nutmeghoistd", version)
		return exitOK
	case s.CheckOnly:
		fmt.Println("settings are valid")
		return exitOK
	}
	debug.SetMemoryLimit(s.MemoryLimit)
	// More threads than a host's share of the calls needs would only add wake-ups.
	runtime.GOMAXPROCS(min(s.Processors, runtime.NumCPU()))
	logger := telemetry.NewLogger(os.Stderr, s.LogLevel, string(s.Host))
	n, err := node.New(s, logger, metrics.NewRegistry())
	if err != nil {
		logger.Error().Err(err).Msg("node cannot start")
		return exitSettings
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := n.Run(ctx); err != nil {
		return exitFailed
	}
	return exitOK
}
