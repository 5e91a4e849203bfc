// Command nutmeghoist-load is an open-loop load generator.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"nutmeghoist.example/nutmeghoist/internal/loadgen"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	os.Exit(loadgen.Main(ctx, os.Args[1:], os.Stdout, os.Stderr))
}
