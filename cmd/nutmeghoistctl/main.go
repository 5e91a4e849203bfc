// Command nutmeghoistctl is the operators' tool. It checks and applies rules
// files and shows the status of nodes and the reports of moves.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"nutmeghoist.example/nutmeghoist/internal/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	os.Exit(ctl.Main(ctx, os.Args[1:], ctl.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}))
}
