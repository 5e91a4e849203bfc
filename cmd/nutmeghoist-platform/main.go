// Command nutmeghoist-platform is a stand-in for the platform, for tests and
// the demo. It serves an in-memory table and object store over HTTP and can
// inject faults. All data is lost at a restart.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

const exitSettings = 2 // wrong settings

func main() {
	s, err := parse(os.Args[1:])
	var help *helpError
	if errors.As(err, &help) {
		fmt.Println(help)
		return
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitSettings)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, s, os.Stderr, nil); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
