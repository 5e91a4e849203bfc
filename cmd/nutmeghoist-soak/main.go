// Command nutmeghoist-soak runs nodes as separate processes under random
// faults and checks the promises of the system.
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
	Seed     uint64        `long:"seed" default:"1" description:"the first seed"`
	Seeds    uint64        `long:"seeds" default:"1" description:"number of seeds, one after the other"`
	Nodes    int           `long:"nodes" default:"6" description:"processes"`
	Duration time.Duration `long:"duration" default:"15s" description:"time of the faults"`
	Slot     int           `long:"slot" default:"0" description:"runs at the same time need different ones, 0 to 255"`
	Known    bool          `long:"regressions" description:"play the seeds that once broke a promise, in place of --seed"`
	Keep     string        `long:"keep" default:"out/soak" description:"folder for the logs of seeds that broke a promise"`
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
		runs = append(runs, soak.Options{Seed: seed, Nodes: o.Nodes, Duration: o.Duration})
	}
	if o.Known {
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
		ok, err := play(ctx, r, o.Keep)
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

// play runs one seed and reports whether all promises held.
func play(ctx context.Context, r soak.Options, keep string) (bool, error) {
	r.Dir = filepath.Join(keep, fmt.Sprint("seed-", r.Seed))
	if err := os.MkdirAll(r.Dir, 0o755); err != nil {
		return false, err
	}
	broken, err := soak.Run(ctx, r, os.Stdout)
	if err != nil {
		return false, err
	}
	for _, b := range broken {
		fmt.Printf("seed=%d broken: %s\n", r.Seed, b)
	}
	if len(broken) == 0 {
		return true, os.RemoveAll(r.Dir)
	}
	return false, nil
}
