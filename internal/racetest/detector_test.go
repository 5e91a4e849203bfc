//go:build race

package racetest

import (
	"runtime"
	"strings"
	"testing"
)

// Guards against a segmentation fault in the race detector that fails a test.
func TestFaultInTheRaceDetector(t *testing.T) {
	pc := detectorFunction(t)
	if out := segmentationFault(pc); !raceDetectorCrashed(out) {
		t.Errorf("not recognised: %s", out)
	}
	if out := "--- FAIL: TestX\n" + segmentationFault(pc); raceDetectorCrashed(out) {
		t.Errorf("a failed test is taken for a crash: %s", out)
	}
}

// detectorFunction returns an address in the race detector's code, which the
// linker places before the Go code.
func detectorFunction(t *testing.T) uintptr {
	for pc := uintptr(0x401000); pc < 0x800000; pc += 64 {
		if f := runtime.FuncForPC(pc); f != nil && strings.Contains(f.Name(), "__tsan8SlotLock") {
			return pc
		}
	}
	t.Fatal("the race detector's functions are not in the symbol table")
	return 0
}
