package main

import (
	"errors"
	"fmt"
	"net/netip"
	"strconv"

	"github.com/jessevdk/go-flags"

	"nutmeghoist.example/nutmeghoist/pkg/finding"
)

// options has strings for all values, so that every invalid value becomes a
// finding. go-flags would stop at the first value that it cannot convert.
type options struct {
	Address         string `long:"address" env:"NUTMEGHOIST_ADDRESS" default:"127.0.0.1:8500" description:"loopback IP:port of the HTTP protocol; port 0 picks one"`
	WritesPerSecond string `long:"writes-per-second" env:"NUTMEGHOIST_WRITES_PER_SECOND" default:"300" description:"limit of the table and of the object store; -1 for none"`
	ReadsPerSecond  string `long:"reads-per-second" env:"NUTMEGHOIST_READS_PER_SECOND" default:"2000" description:"limit of the table and of the object store; -1 for none"`
	LogLevel        string `long:"log-level" env:"NUTMEGHOIST_LOG_LEVEL" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"lowest level of log lines"`
}

type settings struct {
	address         netip.AddrPort
	writesPerSecond int
	readsPerSecond  int
	logLevel        string
}

// helpError carries the help text when the help was requested.
type helpError struct{ text string }

func (e *helpError) Error() string { return e.text }

// parse reads the settings. It returns all invalid settings as a finding.List.
func parse(args []string) (*settings, error) {
	var o options
	p := flags.NewParser(&o, flags.HelpFlag|flags.PassDoubleDash)
	p.Name = "nutmeghoist-platform"
	rest, err := p.ParseArgs(args)
	var flagsErr *flags.Error
	if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
		return nil, &helpError{flagsErr.Message}
	}
	if err != nil {
		return nil, finding.List{{Message: err.Error()}}
	}
	var l finding.List
	for _, a := range rest {
		l.Add(finding.Finding{File: a, Message: "unknown argument", Suggestion: "see --help"})
	}
	s := &settings{
		logLevel:        o.LogLevel,
		writesPerSecond: parseRate(&l, "--writes-per-second", o.WritesPerSecond),
		readsPerSecond:  parseRate(&l, "--reads-per-second", o.ReadsPerSecond),
	}
	// The stand-in has no authentication, so only loopback addresses are valid.
	s.address, err = netip.ParseAddrPort(o.Address)
	if err != nil || !s.address.Addr().IsLoopback() {
		l.Add(finding.Finding{File: "--address", Message: fmt.Sprintf("%q is not a loopback IP:port", o.Address), Suggestion: "127.0.0.1:8500"})
	}
	return s, l.Err()
}

func parseRate(l *finding.List, name, v string) int {
	n, err := strconv.Atoi(v)
	if err != nil || n == 0 || n < -1 {
		l.Add(finding.Finding{File: name, Message: fmt.Sprintf("%q is not a rate", v), Suggestion: "a number from 1, or -1 for no limit"})
	}
	return n
}
