package moves

import (
	"bytes"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"
)

// Guards against false alarms that were seen while the tests were built: slow
// hosts under a latency quantile that follows them, missing answers that show
// after the sheds of an overload, and timeouts of a cut that count as slow calls.
// Bad versions must still be taken back, and no report be untrue.
func TestJudgedRuns(t *testing.T) {
	set := setting{rate: 50, window: 30 * time.Second, until: 1.2, tick: 500 * time.Millisecond}
	bad := []string{"bad_at_once", "bad_early_ends", "bad_slow", "bad_sheds"}
	for i := range cases {
		k := &cases[i]
		if k.bad && !slices.Contains(bad, k.name) {
			continue
		}
		for _, seed := range []uint64{4, 12} {
			j := job{kind: k, size: &sizes[seed/4%2], setting: &set, seed: seed}
			j.run()
			r := j.results[policyJudged]
			if r.untrue+r.rose > 0 || (r.takenBack >= 0) != k.bad || (r.done >= 0 && r.done <= set.window) == k.bad {
				t.Errorf("%s, seed %d: %+v", k.name, seed, r)
			}
		}
	}
}

// Guards against a plot that the library rejects or leaves empty.
func TestPlot(t *testing.T) {
	path := filepath.Join(t.TempDir(), "moves.svg")
	if err := Plot(path); err != nil {
		t.Fatal(err)
	}
	if b, err := os.ReadFile(path); err != nil || !bytes.Contains(b, []byte("<path")) {
		t.Fatalf("%d bytes, %v", len(b), err)
	}
}

// BenchmarkTable prints the full table; docs/moves.md quotes it.
func BenchmarkTable(b *testing.B) {
	for b.Loop() {
		if err := Run(os.Stdout, Options{Seed: 1}); err != nil {
			b.Fatal(err)
		}
	}
}
