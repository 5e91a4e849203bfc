// Package racetest runs tests that make many synchronisation events under the race
// detector in child processes.
package racetest

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"regexp"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

// childEnv is set in the environment of the child processes of
// RunInChild.
const childEnv = "NUTMEGHOIST_TEST_CHILD"

// RunInChild runs the current test in a child process and returns true.
// It returns false when the caller must run the test itself. Go's race detector
// resets its clocks after about 4 million synchronisation events in one process,
// and a reset sometimes ends the process with "ThreadSanitizer: CHECK failed" or
// with a segmentation fault in the detector's code.
func RunInChild(t *testing.T, flags ...string) bool {
	t.Helper()
	if !Detector || os.Getenv(childEnv) != "" {
		return false
	}
	ctx := t.Context()
	if deadline, ok := t.Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline.Add(-time.Second))
		defer cancel()
	}
	var pattern []string
	for _, name := range strings.Split(t.Name(), "/") {
		pattern = append(pattern, "^"+regexp.QuoteMeta(name)+"$")
	}
	args := append([]string{"-test.v", "-test.count=1", "-test.run=" + strings.Join(pattern, "/")}, flags...)
	var out []byte
	var err error
	for range maxChildRuns {
		cmd := exec.CommandContext(ctx, os.Args[0], args...)
		cmd.Env = append(os.Environ(), childEnv+"=1")
		if out, err = cmd.CombinedOutput(); err == nil || !raceDetectorCrashed(string(out)) {
			break
		}
		t.Logf("the race detector itself crashed; running the child process again")
	}
	if passed := strings.Contains(string(out), fmt.Sprintf("--- PASS: %s ", t.Name())); err != nil || !passed {
		t.Errorf("%s: %v, passed %v\n%s", strings.Join(args, " "), err, passed, out)
	}
	return true
}

// IsChild reports whether this process was started by RunInChild.
func IsChild() bool { return os.Getenv(childEnv) != "" }

// maxChildRuns bounds the runs of a child process that an internal fault of the
// race detector ends. The flags, and so the seed, stay the same.
const maxChildRuns = 3

// raceDetectorCrashed reports whether the output shows that the race detector
// itself ended the process, by an internal check or by a segmentation fault in its
// own code, without a data race or a failed test.
func raceDetectorCrashed(out string) bool {
	return (strings.Contains(out, "ThreadSanitizer: CHECK failed") || faultInRaceDetector(out)) &&
		!strings.Contains(out, "WARNING: DATA RACE") && !strings.Contains(out, "--- FAIL")
}

var faultAddress = regexp.MustCompile(`(?m)^SIG(?:SEGV|BUS): .*\nPC=0x([0-9a-f]+) `)

// faultInRaceDetector reports whether a segmentation fault happened in code of the
// race detector. The child process runs the program of this process, so that a
// function has the same address in both.
func faultInRaceDetector(out string) bool {
	match := faultAddress.FindStringSubmatch(out)
	if match == nil {
		return false
	}
	pc, err := strconv.ParseUint(match[1], 16, 64)
	if err != nil {
		return false
	}
	function := runtime.FuncForPC(uintptr(pc))
	return function != nil && slices.ContainsFunc(detectorPrefixes, func(p string) bool { return strings.HasPrefix(function.Name(), p) })
}

// detectorPrefixes begin the names of the race detector's functions.
var detectorPrefixes = []string{"_ZN6__tsan", "__tsan_", "_ZN11__sanitizer"}
