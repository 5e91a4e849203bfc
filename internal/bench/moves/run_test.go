package moves

import (
	"bytes"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"
)

// Guards against false alarms for good versions. They arise when the latency
// quantile adapts to slow hosts, when the missing answers of an overload become
// visible only after its sheds, and when timeouts during a partition count as slow
// calls. Bad versions must still be taken back, and all reports must be true.
func TestEvidencePolicy(t *testing.T) {
	setting := trafficSetting{rate: 50, window: 30 * time.Second, simulateUntil: 1.2, tickPeriod: 500 * time.Millisecond}
	badScenarios := []string{"bad_at_once", "bad_early_ends", "bad_slow", "bad_sheds"}
	for i := range scenarios {
		sc := &scenarios[i]
		if sc.bad && !slices.Contains(badScenarios, sc.name) {
			continue
		}
		for _, seed := range []uint64{4, 12} {
			j := job{scenario: sc, size: &meshSizes[seed/4%2], setting: &setting, seed: seed}
			j.run()
			r := j.results[policyEvidence]
			if r.untrueReports+r.shareRises > 0 || (r.takenBackAt >= 0) != sc.bad || (r.doneAt >= 0 && r.doneAt <= setting.window) == sc.bad {
				t.Errorf("%s, seed %d: %+v", sc.name, seed, r)
			}
		}
	}
}

// Guards against a plot that the library rejects or draws without a line.
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
