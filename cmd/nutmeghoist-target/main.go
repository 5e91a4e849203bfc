// Command nutmeghoist-target is a stand-in for a target, for tests and the demo.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"nutmeghoist.example/nutmeghoist/internal/standin"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	os.Exit(standin.Main(ctx, os.Args[1:], os.Stdout, os.Stderr))
}
