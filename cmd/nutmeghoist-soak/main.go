// Command nutmeghoist-soak runs nodes as separate processes under random faults
// and checks the system's guarantees.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"nutmeghoist.example/nutmeghoist/internal/cmdline"
	"nutmeghoist.example/nutmeghoist/internal/soak"
)

type options struct {
	Seed           uint64        `long:"seed" default:"1" description:"the first seed"`
	Seeds          uint64        `long:"seeds" default:"1" description:"number of seeds, one after the other"`
	Nodes          int           `long:"nodes" default:"6" description:"number of node processes"`
	Duration       time.Duration `long:"duration" default:"15s" description:"time during which faults are injected"`
	Slot           int           `long:"slot" default:"0" description:"0 to 255; concurrent runs need different slots"`
	Departures     bool          `long:"departures" description:"kill all processes after targets have left, instead of restoring the store and ending targets by requests"`
	Uploads        bool          `long:"uploads" description:"send uploads around planned stops, in place of most other faults"`
	RunRegressions bool          `long:"regressions" description:"run the seeds that once violated a guarantee, instead of --seed"`
	Keep           string        `long:"keep" default:"out/soak" description:"directory for the logs of seeds that violated a guarantee"`
}

func main() { os.Exit(run()) }

func run() int {
	var o options
	if exit, ok := cmdline.Parse(&o); !ok {
		return exit
	}
	signal.Ignore(syscall.SIGPIPE)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	self, err := os.Executable()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	runs := make([]soak.Options, 0, o.Seeds)
	for seed := o.Seed; seed < o.Seed+o.Seeds; seed++ {
		options := soak.Options{Seed: seed, Nodes: o.Nodes, Duration: o.Duration, AnswerFaults: true, BrokenAnswers: true, RateLimits: true, StoreRestores: true, CrashingRequests: true, ColdTargets: true, Evacuations: true}
		if o.Departures {
			// What only the store or only the processes know is lost for good when it loses it
			// or they all end.
			options.Departures, options.StoreRestores, options.CrashingRequests = true, false, false
		}
		if o.Uploads {
			options = soak.Options{Seed: seed, Nodes: o.Nodes, Duration: o.Duration, BrokenAnswers: true, Uploads: true}
		}
		runs = append(runs, options)
	}
	if o.RunRegressions {
		runs = nil
		for _, r := range soak.Regressions {
			runs = append(runs, r.Options)
		}
	}
	failed := 0
	for _, r := range runs {
		if ctx.Err() != nil {
			break
		}
		r.Program, r.Slot = filepath.Join(filepath.Dir(self), "nutmeghoist-sidecar"), o.Slot
		ok, err := runSeed(ctx, r, o.Keep)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		if !ok {
			failed++
		}
	}
	fmt.Printf("seeds=%d failed=%d\n", len(runs), failed)
	if failed > 0 {
		return 1
	}
	return 0
}

// runSeed runs one seed and reports whether all guarantees held. If so, it
// removes the logs.
func runSeed(ctx context.Context, r soak.Options, keepDir string) (bool, error) {
	r.Dir = filepath.Join(keepDir, fmt.Sprint("seed-", r.Seed))
	if err := os.MkdirAll(r.Dir, 0o755); err != nil {
		return false, err
	}
	violations, err := soak.Run(ctx, r, os.Stdout)
	if err != nil {
		return false, err
	}
	for _, v := range violations {
		fmt.Printf("seed=%d broken: %s\n", r.Seed, v)
	}
	if len(violations) == 0 {
		return true, os.RemoveAll(r.Dir)
	}
	return false, nil
}
