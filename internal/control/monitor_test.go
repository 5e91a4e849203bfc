package control

import (
	"testing"
	"time"
)

// Guards against a coordinator that receives more tallies than a small host can
// handle, and against tallies too rare to roll back a bad version within 5 s.
func TestTallyRounds(t *testing.T) {
	for _, tc := range []struct{ hosts, permille, rounds int }{
		{1, 10, 1},
		{11, 10, 1},
		{85, 10, 4},
		{85, 1000, 1},
		{200, 120, 1},
		{300, 120, 2},
		{2200, 1000, 11},
	} {
		got := tallyRounds(tc.hosts, tc.permille)
		if got != tc.rounds {
			t.Errorf("%d hosts at %d of 1000: %d rounds, want %d", tc.hosts, tc.permille, got, tc.rounds)
		}
		if tc.permille < highSharePermille {
			continue
		}
		period := time.Duration(got) * tallyPeriod
		if perSecond := float64(tc.hosts) / period.Seconds(); perSecond > 800 {
			t.Errorf("%d hosts send %.0f tallies a second, at most 800", tc.hosts, perSecond)
		}
		if period > 3*time.Second {
			t.Errorf("%d hosts: a tally each %s, at most 3s", tc.hosts, period)
		}
	}
}
