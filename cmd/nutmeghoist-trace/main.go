// Command nutmeghoist-trace prints the log lines of one call from the logs of
// several nodes, in order.
package main

import (
	"fmt"
	"os"

	"nutmeghoist.example/nutmeghoist/internal/cmdline"
	"nutmeghoist.example/nutmeghoist/internal/trace"
)

type options struct {
	Args struct {
		ID    string   `positional-arg-name:"ID" required:"yes" description:"id of the call"`
		Files []string `positional-arg-name:"FILE" description:"log files of nodes; the default is the standard input"`
	} `positional-args:"yes"`
}

func main() { os.Exit(run()) }

func run() int {
	var o options
	if exit, ok := cmdline.Parse(&o); !ok {
		return exit
	}
	var t trace.Trace
	if err := read(&t, &o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	if t.Len() == 0 {
		fmt.Fprintf(os.Stderr, "no log lines of call %s\n", o.Args.ID)
		return 1
	}
	if err := t.Write(os.Stdout); err != nil {
		return 1
	}
	return 0
}

func read(t *trace.Trace, o *options) error {
	if len(o.Args.Files) == 0 {
		return t.Read(os.Stdin, o.Args.ID)
	}
	for _, name := range o.Args.Files {
		f, err := os.Open(name)
		if err != nil {
			return err
		}
		err = t.Read(f, o.Args.ID)
		_ = f.Close() // it was only read
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}
