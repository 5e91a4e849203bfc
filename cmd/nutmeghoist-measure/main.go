// Command nutmeghoist-measure runs the demo and the measurements. It starts the
// other programs from its own directory as separate processes.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/jessevdk/go-flags"

	"nutmeghoist.example/nutmeghoist/internal/bench/demo"
	"nutmeghoist.example/nutmeghoist/internal/bench/distribution"
	"nutmeghoist.example/nutmeghoist/internal/bench/drill"
	"nutmeghoist.example/nutmeghoist/internal/bench/moves"
	"nutmeghoist.example/nutmeghoist/internal/bench/serving"
)

// command is one subcommand.
type command struct {
	Full bool `long:"full" description:"measure all sizes; takes several minutes"`
	run  func(full bool) error
}

// Execute implements flags.Commander.
func (c *command) Execute([]string) error { return c.run(c.Full) }

func main() { os.Exit(run()) }

func run() int {
	// When the reader of the output exits, as head does, SIGPIPE must not end this
	// process before it has ended its child processes.
	signal.Ignore(syscall.SIGPIPE)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	self, err := os.Executable()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	p := flags.NewNamedParser("nutmeghoist-measure", flags.Default)
	for _, c := range commands(ctx, filepath.Dir(self)) {
		if _, err := p.AddCommand(c.name, c.about, c.about, &command{run: c.run}); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
	}
	if _, err := p.Parse(); err != nil && !flags.WroteHelp(err) {
		return 1
	}
	return 0
}

type subcommand struct {
	name, about string
	run         func(full bool) error
}

func commands(ctx context.Context, binDir string) []subcommand {
	return []subcommand{
		{"demo", "run the system from end to end in separate processes", func(bool) error {
			return demo.Run(ctx, binDir, os.Stdout)
		}},
		{"distribution", "measure how a configuration spreads", func(full bool) error {
			return distribution.Run(ctx, distribution.Options{BinDir: binDir, Full: full}, os.Stdout)
		}},
		{"drill", "run moves while the platform or a data centre is out of reach", func(bool) error {
			return drill.Run(ctx, binDir, os.Stdout)
		}},
		{"moves", "measure the decisions of moves on a virtual clock", func(bool) error {
			return moves.Run(os.Stdout, moves.Options{})
		}},
		{"plot", "draw docs/moves.svg: the share over time of a good and a bad move", func(bool) error {
			return moves.Plot(filepath.Join("docs", "moves.svg"))
		}},
		{"serving", "measure the call path", func(bool) error {
			return serving.Run(ctx, binDir, os.Stdout)
		}},
	}
}
