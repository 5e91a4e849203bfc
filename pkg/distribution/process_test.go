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

// childVar is set in the environment of processes that ownProcess starts.
const childVar = "NUTMEGHOIST_TEST_CHILD"

// ownProcess runs the running test in a process of its own and reports true,
// or reports false when the caller is to run it. Go's race detector resets its
// clocks after about 4 million synchronisation events in one process, and a
// reset sometimes ends the process with "ThreadSanitizer: CHECK failed". This
// package's tests together make enough events for two resets.
func ownProcess(t *testing.T, flags ...string) bool {
	t.Helper()
	if !raceDetector || os.Getenv(childVar) != "" {
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
	for range detectorTries {
		cmd := exec.CommandContext(ctx, os.Args[0], args...)
		cmd.Env = append(os.Environ(), childVar+"=1")
		if out, err = cmd.CombinedOutput(); err == nil || !detectorCrashed(string(out)) {
			break
		}
		t.Logf("the race detector itself crashed; the same process runs again")
	}
	if passed := strings.Contains(string(out), fmt.Sprintf("--- PASS: %s ", t.Name())); err != nil || !passed {
		t.Errorf("%s: %v, passed %v\n%s", strings.Join(args, " "), err, passed, out)
	}
	return true
}

// detectorTries bounds how often a process is started again that the race
// detector's own fault has ended. The flags, and so the seed, stay the same.
const detectorTries = 3

// detectorCrashed reports whether an internal check of the race detector has
// ended the process and no test had failed before.
func detectorCrashed(out string) bool {
	return strings.Contains(out, "ThreadSanitizer: CHECK failed") &&
		!strings.Contains(out, "WARNING: DATA RACE") && !strings.Contains(out, "--- FAIL")
}

// Guards against a failure that passes for a crash of the race detector.
func TestDetectorCrashed(t *testing.T) {
	const crash = "=== RUN TestX\nThreadSanitizer: CHECK failed: tsan_rtl.cpp:346"
	for out, want := range map[string]bool{
		crash:                            true,
		"--- FAIL: TestX\n" + crash:      false,
		"WARNING: DATA RACE\n" + crash:   false,
		"--- FAIL: TestX\nexit status 1": false,
	} {
		if got := detectorCrashed(out); got != want {
			t.Errorf("%q: got %v", out, got)
		}
	}
}
