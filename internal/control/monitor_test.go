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

// Guards against a host that judges a version without the windows of earlier rounds
// because another service is being rolled out too, and against histories that pile
// up.
func TestHistoriesOfTwoRolloutsAreKept(t *testing.T) {
	m := newRolloutMonitor(nil)
	orders, stock := rolloutID{"orderdesk", 3}, rolloutID{"galley", 4}
	first, second := m.history(orders), m.history(stock)
	if m.history(orders) != first || m.history(stock) != second {
		t.Error("a history was lost to another service's rollout")
	}
	if m.history(rolloutID{"orderdesk", 9}) == first || m.history(stock) != second || len(m.histories) != 2 {
		t.Errorf("%d histories after the next rollout of a service", len(m.histories))
	}
}
