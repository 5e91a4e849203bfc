package control

import (
	"testing"
	"time"
)

// Guards against a process that was paused, and sends calls to a version that was
// vetoed meanwhile.
func TestPausedHostWaitsForItsNeighbours(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	cases := []struct {
		name      string
		rounds    []int // ms
		now       int
		lastFrame int
		want      bool
	}{
		{"before the first round", nil, 50, 0, true},
		{"running", []int{0, 250, 500}, 700, 300, true},
		{"slow, but not paused", []int{0, 900, 1800}, 2700, 100, true},
		{"right after a pause, before the next round", []int{0, 250}, 4000, 250, false},
		{"after a pause, neighbours not heard", []int{0, 250, 4000, 4250}, 6000, 250, false},
		{"after a pause, heard but not caught up", []int{0, 250, 4000}, 4400, 4200, false},
		{"after a pause, caught up", []int{0, 250, 4000, 4250, 4500, 5000}, 5100, 4200, true},
		{"frame of before the pause, read after it", []int{0, 250, 4000, 4500}, 5400, 3990, false},
		{"second pause", []int{0, 250, 4000, 4500, 5200, 9000}, 9100, 5100, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var g stallGuard
			for _, ms := range tc.rounds {
				g.round(at(ms))
			}
			if got := g.mayExpose(at(tc.now), at(tc.lastFrame)); got != tc.want {
				t.Errorf("got %v", got)
			}
		})
	}
}
