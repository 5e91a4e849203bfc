// Package cmdline reads the command lines of small programs.
package cmdline

import (
	"errors"

	"github.com/jessevdk/go-flags"
)

const (
	exitOK    = 0
	exitUsage = 2
)

// Parse reads the options of a program. Unless it reports true, the program ends
// with the exit code: help was asked for, or the command line is wrong, and the
// text was printed.
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
