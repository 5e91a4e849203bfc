//go:build race

package racetest

import (
	"runtime"
	"strings"
	"testing"
)

// Guards against a segmentation fault in the race detector that fails a test.
func TestFaultInTheRaceDetector(t *testing.T) {
	for _, name := range []string{"__tsan8SlotLock", "_ZN11__sanitizer14StackDepotBase"} {
		pc := detectorFunction(t, name)
		if out := segmentationFault(pc); !raceDetectorCrashed(out) {
			t.Errorf("not recognised: %s", out)
		}
		if out := "--- FAIL: TestX\n" + segmentationFault(pc); raceDetectorCrashed(out) {
			t.Errorf("a failed test is taken for a crash: %s", out)
		}
	}
}

// detectorFunction returns an address in the race detector's code, which the linker
// places before the Go code: from 0x11000 on with arm64, from 0x401000 on with amd64.
func detectorFunction(t *testing.T, name string) uintptr {
	for pc := uintptr(0x11000); pc < 0x800000; pc += 64 {
		if f := runtime.FuncForPC(pc); f != nil && strings.Contains(f.Name(), name) {
			return pc
		}
	}
	t.Fatalf("%s is not in the symbol table", name)
	return 0
}
