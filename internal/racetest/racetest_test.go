package racetest

import (
	"fmt"
	"reflect"
	"testing"
)

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

// Guards against a segmentation fault in the project's code that is taken for one
// in the race detector.
func TestFaultOutsideOfTheRaceDetector(t *testing.T) {
	for name, pc := range map[string]uintptr{
		"Go function": reflect.ValueOf(RunInChild).Pointer(),
		"no function": 1,
	} {
		if out := segmentationFault(pc); raceDetectorCrashed(out) {
			t.Errorf("%s: %s", name, out)
		}
	}
}

// segmentationFault returns what the runtime prints for a fault in code that is
// not Go's.
func segmentationFault(pc uintptr) string {
	return fmt.Sprintf("=== RUN   TestX\nSIGSEGV: segmentation violation\nPC=%#x m=7 sigcode=128 addr=0x0\n\ngoroutine 0 gp=0xc000102 m=7 mp=0xc000108 [idle]:\n", pc)
}
