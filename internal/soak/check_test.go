package soak

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/rollout"
)

// Guards against checks that miss violations: each violated guarantee must be
// reported, unless an injected fault excuses it.
func TestCheckReportsViolations(t *testing.T) {
	start := time.Now().Add(-time.Minute)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	c := &cluster{}
	c.config.acked = map[uint64]time.Time{3: at(0)}
	n := &node{cluster: c, host: "node-0", service: "orderdesk"}
	other := &node{cluster: c, host: "node-1", dataCentre: "west", service: "orderdesk"}
	v1, v2 := &target{node: other, id: "t1", version: "v1"}, &target{node: other, id: "t2", version: "v2"}
	good := outcome{id: "a", node: n, begin: at(10), end: at(10.1), status: 200, complete: true}
	ran := run{id: "a", target: v1, at: at(10), caller: "orderdesk"}
	with := func(o outcome, change func(*outcome)) outcome { change(&o); return o }
	cases := map[string]struct {
		outcome   outcome
		runs      []run
		fault     *fault
		rollout   *rolloutResult
		evacuated *evacuationSpan
		want      string
	}{
		"no violation":           {outcome: good, runs: []run{ran}},
		"order ran twice":        {outcome: with(good, func(o *outcome) { o.unsafe = true }), runs: []run{ran, ran}, want: "ran 2 times"},
		"false refusal":          {outcome: with(good, func(o *outcome) { o.unsafe, o.status = true, 503 }), runs: []run{ran}, want: "refused as not run"},
		"answer of another call": {outcome: with(good, func(o *outcome) { o.complete = false }), runs: []run{ran}, want: "belongs to another call"},
		"no answer":              {outcome: with(good, func(o *outcome) { o.status, o.complete, o.malformed = 0, false, true }), runs: []run{ran}, want: "bytes that are no answer"},
		"rejected":               {outcome: with(good, func(o *outcome) { o.status = 404 }), want: "was rejected with status 404"},
		"new route unknown":      {outcome: with(good, func(o *outcome) { o.status, o.addedRoute, o.version = 404, true, 3 }), want: "is unknown"},
		"new route unknown on a node that was cut off": {
			outcome: with(good, func(o *outcome) { o.status, o.addedRoute, o.version = 404, true, 3 }),
			fault:   &fault{kind: "cut", node: n, other: other, begin: at(8), end: at(9)},
		},
		"cut by a planned stop": {
			outcome: with(good, func(o *outcome) { o.status = 0 }), runs: []run{ran},
			fault: &fault{kind: "term", node: n, other: n, begin: at(9), end: at(9)}, want: "cut by the planned stop",
		},
		"cut by a kill": {
			outcome: with(good, func(o *outcome) { o.status = 0 }), runs: []run{ran},
			fault: &fault{kind: "kill", node: n, other: n, begin: at(9), end: at(9)},
		},
		"call after the drain time":  {outcome: good, runs: []run{{id: "a", target: v1, at: at(10), acked: at(7), caller: "x"}}, want: "after its drain was acknowledged"},
		"call within the drain time": {outcome: good, runs: []run{{id: "a", target: v1, at: at(10), acked: at(9), caller: "x"}}},
		"call after an evacuation":   {outcome: good, runs: []run{ran}, evacuated: &evacuationSpan{"west", at(5), time.Time{}}, want: "was evacuated"},
		"call soon after one":        {outcome: good, runs: []run{ran}, evacuated: &evacuationSpan{"west", at(7), time.Time{}}},
		"call after taking it back":  {outcome: good, runs: []run{ran}, evacuated: &evacuationSpan{"west", at(1), at(9)}},
		"evacuation elsewhere":       {outcome: good, runs: []run{ran}, evacuated: &evacuationSpan{"north", at(1), time.Time{}}},
		"forged caller":              {outcome: good, runs: []run{{id: "a", target: v1, at: at(10), caller: "forged"}}, want: "with caller service"},
		"bad version completed":      {outcome: good, rollout: &rolloutResult{"orderdesk", true, rollout.Completed, at(1)}, want: "was completed"},
		"bad version exposed":        {outcome: good, runs: repeatRun(200, run{id: "a", target: v2, at: at(2), caller: "x"}), rollout: &rolloutResult{"orderdesk", true, rollout.RolledBack, at(1)}, want: "got 200 of 200"},
		"no recovery":                {outcome: with(good, func(o *outcome) { o.begin, o.status = at(31), 502 }), want: "recovery"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			j := newJournal()
			j.outcomes, j.runs = []outcome{tc.outcome}, tc.runs
			if tc.fault != nil {
				j.faults = append(j.faults, tc.fault)
			}
			if tc.evacuated != nil {
				j.evacuations = append(j.evacuations, tc.evacuated)
			}
			if tc.rollout != nil {
				j.rollouts = append(j.rollouts, *tc.rollout)
			}
			found := strings.Join(j.check(at(30), at(40)), "\n")
			if tc.want == "" && found != "" || !strings.Contains(found, tc.want) {
				t.Errorf("found %q, want %q", found, tc.want)
			}
		})
	}
}

// Guards against checks that miss a target which gets too many calls under a limit, or
// calls long after it has said that it leaves, and against charging nodes that were not
// told.
func TestCheckReportsIgnoredSignals(t *testing.T) {
	start := time.Now().Add(-time.Minute)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	n := &node{cluster: &cluster{}, host: "node-0", service: "orderdesk"}
	cases := map[string]struct {
		perSecond    int     // calls from 5 s to 15 s, 8 s to 18 s after the limit of 4 is named
		told         float64 // when the first answer is passed on
		restart      float64 // when the process of the node ends
		leaving      bool    // the answers say that the target leaves instead
		limitEndsAt  float64
		wantExceeded string
	}{
		"within the limit":   {perSecond: 6, told: 1, restart: 99},
		"above the limit":    {perSecond: 9, told: 1, restart: 99, wantExceeded: "under a limit of 4 a second, 29 allowed"},
		"told late":          {perSecond: 9, told: 14, restart: 99},
		"restarted":          {perSecond: 9, told: 1, restart: 6},
		"limit lifted early": {perSecond: 9, told: 1, restart: 99, limitEndsAt: 6},
		"left":               {perSecond: 1, told: 1, restart: 99, leaving: true, wantExceeded: "said that the target leaves"},
		"leaves late":        {perSecond: 1, told: 14, restart: 99, leaving: true},
	}
	for name, tc := range cases {
		j, to := newJournal(), &target{node: n, id: "t1"}
		j.limits = []*rateLimitSpan{{target: to, perSecond: 4, begin: at(-3)}}
		if tc.limitEndsAt > 0 {
			j.limits[0].end = at(tc.limitEndsAt)
		}
		j.outcomes = []outcome{{id: "first", node: n, processNumber: 1, begin: at(tc.told), end: at(tc.told), target: "t1", saysLimit: !tc.leaving, saysLeaving: tc.leaving}}
		for i := range 10 * tc.perSecond {
			when := 5 + float64(i)/float64(tc.perSecond)
			o := outcome{id: fmt.Sprint(i), node: n, processNumber: 1, begin: at(when), end: at(when)}
			if when > tc.restart {
				o.processNumber = 2
			}
			j.outcomes = append(j.outcomes, o)
			j.runs = append(j.runs, run{id: o.id, target: to, at: at(when), caller: "x"})
		}
		j.checkSignals()
		found := strings.Join(j.violations, "\n")
		if tc.wantExceeded == "" && found != "" || !strings.Contains(found, tc.wantExceeded) {
			t.Errorf("%s: found %q, want %q", name, found, tc.wantExceeded)
		}
	}
}

func repeatRun(n int, r run) []run {
	out := make([]run, n)
	for i := range out {
		out[i] = r
	}
	return out
}

// Guards against configurations that the nodes would reject.
func TestConfigurationsAreValid(t *testing.T) {
	for _, version := range []uint64{1, 2, 60} {
		if err := buildConfig(version).Check(); err != nil {
			t.Errorf("version %d: %v", version, err)
		}
	}
	if serviceByPrefix["/orders/"] == mesh.ServiceName("") {
		t.Error("orders are not routed to a service")
	}
}

// Guards against a node over its memory that is not reported because the size is not
// found.
func TestPeakMemory(t *testing.T) {
	for status, want := range map[string]int64{
		"Name:\tnode\nVmPeak:\t  900000 kB\nVmHWM:\t   41216 kB\nVmRSS:\t   39000 kB\n": 41216 << 10,
		"VmHWM:\tmany kB\n": 0, "": 0,
	} {
		if got := peakMemory(status); got != want {
			t.Errorf("%q: %d, want %d", status, got, want)
		}
	}
}
