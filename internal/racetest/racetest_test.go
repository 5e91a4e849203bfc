package racetest

import "testing"

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
