// Package cmdline parses the command lines of the smaller programs.
package cmdline

import (
	"errors"

	"github.com/jessevdk/go-flags"
)

const (
	exitOK    = 0
	exitUsage = 2
)

// Parse parses the command line into the options of a program. It reports false
// after printing the help or a usage error. The program must then exit with the
// returned code.
func Parse(options any) (exit int, ok bool) {
	_, err := flags.Parse(options)
	var fe *flags.Error
	switch {
	case err == nil:
		return 0, true
	case errors.As(err, &fe) && fe.Type == flags.ErrHelp:
		return exitOK, false
	}
	return exitUsage, false
}
