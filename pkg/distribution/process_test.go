package distribution_test

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"regexp"
	"strings"
	"testing"
	"time"
)

// childEnv is set in the environment of the child processes of
// runInChildProcess.
const childEnv = "NUTMEGHOIST_TEST_CHILD"

// runInChildProcess runs the current test in a child process and returns true.
// It returns false when the caller must run the test itself. Go's race detector
// resets its clocks after about 4 million synchronisation events in one process,
// and a reset sometimes ends the process with "ThreadSanitizer: CHECK failed".
// The tests of this package together make enough events for two resets.
func runInChildProcess(t *testing.T, flags ...string) bool {
	t.Helper()
	if !raceDetector || os.Getenv(childEnv) != "" {
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

// maxChildRuns bounds the runs of a child process that an internal fault of the
// race detector ends. The flags, and so the seed, stay the same.
const maxChildRuns = 3

// raceDetectorCrashed reports whether the output shows that an internal check of
// the race detector ended the process, without a data race or a failed test.
func raceDetectorCrashed(out string) bool {
	return strings.Contains(out, "ThreadSanitizer: CHECK failed") &&
		!strings.Contains(out, "WARNING: DATA RACE") && !strings.Contains(out, "--- FAIL")
}

// Guards against a test failure that is taken for a crash of the race detector.
func TestRaceDetectorCrashed(t *testing.T) {
	const crash = "=== RUN TestX\nThreadSanitizer: CHECK failed: tsan_rtl.cpp:346"
	for out, want := range map[string]bool{
		crash:                            true,
		"--- FAIL: TestX\n" + crash:      false,
		"WARNING: DATA RACE\n" + crash:   false,
		"--- FAIL: TestX\nexit status 1": false,
	} {
		if got := raceDetectorCrashed(out); got != want {
			t.Errorf("%q: got %v", out, got)
		}
	}
}
