package soak

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/traffic"
	"nutmeghoist.example/nutmeghoist/platform"
)

// Guards against checks that miss an upload without an answer, and against reports of
// uploads whose end is excused.
func TestCheckReportsUploadsWithoutAnswers(t *testing.T) {
	start := time.Now().Add(-time.Minute)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	c := &cluster{}
	n, other := &node{cluster: c, host: "node-0", service: "orderdesk"}, &node{cluster: c, host: "node-1", service: "orderdesk"}
	to := &target{node: other, id: "t1", version: "v1"}
	const cut = "has no whole answer"
	// SIGTERM comes at 10 s. The last sixth of the grace time begins at 15 s.
	ran := func(from, end float64) []run {
		return []run{{id: "a", target: to, at: at(from), end: at(end), caller: "x"}}
	}
	sent := func(begin, sent, end float64) outcome {
		return outcome{
			id: "a", node: n, processNumber: 1, begin: at(begin), end: at(end), unsafe: true, cause: errors.New("reset"),
			upload: &upload{key: "clinic-key", timeout: uploadTimeout, sent: at(sent), whole: true},
		}
	}
	unsent := func(begin, sentBy, end float64) outcome {
		o := sent(begin, sentBy, end)
		o.upload.whole = false
		return o
	}
	with := func(o outcome, change func(*outcome)) outcome { change(&o); return o }
	status := func(o outcome, status int) outcome { o.status = status; return o }
	broken := func(from, end float64) []run {
		runs := ran(from, end)
		runs[0].brokenOff = true
		return runs
	}
	cases := map[string]struct {
		outcome outcome
		runs    []run
		noStop  bool
		stopsTo float64 // when the target's node gets SIGTERM
		fault   *fault
		killed  *node
		want    string
	}{
		"cut while it was sent":                   {outcome: unsent(11, 13, 11.4), want: "begun 1s and cut 1.4s after SIGTERM"},
		"cut after it was sent":                   {outcome: sent(11, 11.1, 11.4), want: cut},
		"cut soon after it was sent":              {outcome: sent(11, 11.9, 12), want: cut},
		"cut while a target ran it":               {outcome: sent(11, 11.1, 11.15), runs: ran(11.1, 11.2), want: cut},
		"begun before SIGTERM":                    {outcome: sent(9, 9.1, 11.4), want: cut},
		"ended before SIGTERM":                    {outcome: sent(9, 9.1, 9.5), want: "outside of a stop"},
		"no stop":                                 {outcome: unsent(11, 13, 11.4), noStop: true, want: "outside of a stop"},
		"stop of another process":                 {outcome: with(sent(11, 11.1, 11.4), func(o *outcome) { o.processNumber = 2 }), want: "outside of a stop"},
		"crossed the close":                       {outcome: unsent(12, 14, 12.1)},
		"cut at once while the node drains":       {outcome: unsent(11, 13, 11.1), want: cut},
		"cut at once on a new connection":         {outcome: unsent(11, 13, 11.1), noStop: true, want: "outside of a stop"},
		"crossed the close of an open one":        {outcome: with(unsent(11, 13, 11.1), func(o *outcome) { o.reused = true }), noStop: true},
		"crossed the close and ran":               {outcome: unsent(12, 14, 12.1), runs: ran(12, 12.1), want: cut},
		"answered":                                {outcome: with(sent(11, 11.1, 11.4), func(o *outcome) { o.status = 429 })},
		"never read":                              {outcome: with(sent(11, 11.1, 11.4), func(o *outcome) { o.upload.neverRead = true })},
		"deadline reached":                        {outcome: sent(11, 11.1, 15)},
		"refused by its head, deadline reached":   {outcome: with(unsent(11, 13, 15), func(o *outcome) { o.upload.key = unknownKey }), want: cut},
		"sent too late":                           {outcome: unsent(14, 15.5, 15.1)},
		"sent late, read and cut at once":         {outcome: sent(14, 15.1, 15.2)},
		"sent late, cut later":                    {outcome: sent(14, 15.1, 15.4), want: cut},
		"sent late, run and cut at once":          {outcome: sent(14, 15.1, 15.2), runs: ran(15.1, 15.2), want: cut},
		"target at work to the end":               {outcome: sent(12, 12.1, 15.1), runs: ran(12.2, 15.1)},
		"target at work to the end on a late one": {outcome: sent(13.1, 13.2, 15.1), runs: ran(13.3, 15.1), want: cut},
		"target dropped early":                    {outcome: sent(12, 12.1, 15.1), runs: ran(12.2, 14), want: cut},
		"node was frozen":                         {outcome: unsent(11, 13, 11.4), fault: &fault{kind: "pause", node: n, other: n, begin: at(7), end: at(8.5)}},
		"node was frozen long before":             {outcome: unsent(11, 13, 11.4), fault: &fault{kind: "pause", node: n, other: n, begin: at(7), end: at(7.9)}, want: cut},
		"node was cut off":                        {outcome: unsent(11, 13, 11.4), fault: &fault{kind: "cut", node: other, other: n, begin: at(11)}},
		"another node was cut off":                {outcome: unsent(11, 13, 11.4), fault: &fault{kind: "cut", node: other, other: other, begin: at(11)}, want: cut},
		"node of the target was cut off":          {outcome: sent(11, 11.1, 12), runs: ran(11.2, 12), fault: &fault{kind: "cut", node: other, other: other, begin: at(11)}},
		"settings changed":                        {outcome: unsent(11, 13, 11.4), fault: &fault{kind: "hup", node: n, other: n, begin: at(11)}, want: cut},
		"store down":                              {outcome: unsent(11, 13, 11.4), fault: &fault{kind: "store-down", node: n, other: n, begin: at(11)}, want: cut},
		"node was killed":                         {outcome: sent(11, 11.1, 11.4), killed: n},
		"another node was killed":                 {outcome: sent(11, 11.1, 11.4), killed: other, want: cut},
		"node of the target was killed":           {outcome: sent(11, 11.1, 11.4), runs: ran(11.2, 11.4), killed: other},
		"broken off":                              {outcome: status(sent(11, 11.1, 12), 502), runs: broken(11.2, 12), want: "was broken off in the stop"},
		"broken off and refused":                  {outcome: status(sent(11, 11.1, 12), 503), runs: broken(11.2, 12), want: "refused as not run"},
		"broken off outside of a stop":            {outcome: status(sent(11, 11.1, 12), 502), runs: broken(11.2, 12), noStop: true},
		"broken off at the end":                   {outcome: status(sent(12, 12.1, 15.1), 502), runs: broken(12.2, 15.1)},
		"broken off at the deadline":              {outcome: status(sent(11, 11.1, 15), 502), runs: broken(11.2, 15)},
		"broken off by the stop of another node":  {outcome: status(sent(11, 11.1, 13.1), 502), runs: broken(11.2, 13.1), stopsTo: 8},
		"broken off early in that stop":           {outcome: status(sent(11, 11.1, 13.1), 502), runs: broken(11.2, 13.1), stopsTo: 8.5, want: "was broken off in the stop"},
		"failed by the target":                    {outcome: status(sent(11, 11.1, 12), 502), runs: ran(11.2, 12)},
		"valid key refused":                       {outcome: with(sent(11, 11.1, 11.4), func(o *outcome) { o.status = 401 }), want: "although its key is valid"},
		"unknown key refused":                     {outcome: with(sent(11, 11.1, 11.4), func(o *outcome) { o.status, o.upload.key = 401, unknownKey })},
		"unknown key passed on":                   {outcome: with(sent(11, 11.1, 11.4), func(o *outcome) { o.status, o.complete, o.upload.key = 200, true, unknownKey }), runs: ran(11.2, 11.4), want: "without a valid key"},
		"over the limit and run":                  {outcome: with(sent(11, 11.1, 11.4), func(o *outcome) { o.status = 429 }), runs: ran(11.2, 11.4), want: "but ran on t1"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			j := newJournal()
			j.outcomes, j.runs = []outcome{tc.outcome}, tc.runs
			if !tc.noStop {
				j.stops[process{n, 1}] = at(10)
			}
			if tc.stopsTo > 0 {
				j.stops[process{other, 1}] = at(tc.stopsTo)
			}
			if tc.fault != nil {
				j.faults = append(j.faults, tc.fault)
			}
			if tc.killed != nil {
				j.kills[tc.killed] = []time.Time{at(8.5)}
			}
			found := strings.Join(j.check(at(30), at(40)), "\n")
			if tc.want == "" && found != "" || !strings.Contains(found, tc.want) {
				t.Errorf("found %q, want %q", found, tc.want)
			}
		})
	}
}

// Guards against a second SIGTERM that moves the begin of a stop, and with it the end of
// the grace time.
func TestStopBeginsWithTheFirstSignal(t *testing.T) {
	j, p := newJournal(), process{&node{}, 1}
	j.recordStop(p, 15)
	first := j.stops[p]
	time.Sleep(time.Millisecond)
	j.recordStop(p, 15)
	if !j.stops[p].Equal(first) || len(j.kills) != 0 {
		t.Errorf("begin %v, want %v; kills %v", j.stops[p], first, j.kills)
	}
}

// Guards against a configuration that nodes reject or read without its teams, so that no
// upload is screened.
func TestConfigurationWithUploadsIsReadWhole(t *testing.T) {
	c := buildConfig(7)
	addUploads(c)
	if err := c.Check(); err != nil {
		t.Fatal(err)
	}
	decoded, err := platform.DecodeConfig(platform.EncodeConfigWithTeams(c, teamKeys))
	if err != nil {
		t.Fatal(err)
	}
	m := traffic.NewMatcher(decoded)
	route := m.Match("mesh.example", uploadPrefix+"x")
	if route == nil || !route.LargeBodies || route.Idempotent || !m.NeedsKey(route) {
		t.Errorf("route %+v, want one that takes large bodies once and needs a key", route)
	}
	for key, want := range map[string]mesh.TeamName{"clinic-key": "clinic", "ward-key": "ward", unknownKey: ""} {
		var got mesh.TeamName
		if team := m.Team(key); team != nil {
			got = team.Name
		}
		if got != want {
			t.Errorf("key %q is of team %q, want %q", key, got, want)
		}
	}
}

// Guards against an upload that is sent with another body than its target expects.
func TestUploadBodyHasItsSize(t *testing.T) {
	for _, size := range []int{0, 1, 10, 16 << 10} {
		if got := len(uploadBody("up-1", size)); got != size {
			t.Errorf("%d bytes, want %d", got, size)
		}
	}
}

// Guards against a target that counts as broken off though its deadline was over, or as
// undisturbed though its connection was closed before.
func TestTargetRecordsWhetherItsWorkIsBrokenOff(t *testing.T) {
	for name, tc := range map[string]struct {
		timeout   time.Duration
		closeAt   time.Duration
		brokenOff bool
	}{
		"before the deadline": {timeout: time.Second, closeAt: 500 * time.Millisecond, brokenOff: true},
		"after the deadline":  {timeout: time.Second, closeAt: 1010 * time.Millisecond},
	} {
		synctest.Test(t, func(t *testing.T) {
			c := &cluster{journal: newJournal()}
			to := newTarget(&node{cluster: c, host: "node-0"}, "t1", "v1")
			to.slowFactor.Store(1000)
			caller, served := net.Pipe()
			time.AfterFunc(tc.closeAt, func() { _ = caller.Close() })
			req, err := http.NewRequest(http.MethodPost, uploadPrefix+"a", bytes.NewReader(uploadBody("a", 100)))
			if err != nil {
				t.Fatal(err)
			}
			req.Header.Set(platform.Headers.RequestID, "a")
			req.Header.Set(platform.Headers.ExpectInstance, "t1")
			req.Header.Set(platform.Headers.DeadlineMs, fmt.Sprint(tc.timeout.Milliseconds()))
			open := to.handleUpload(req, &answerConn{Conn: served}, bufio.NewReader(served))
			if got := c.journal.runs; open || len(got) != 1 || got[0].brokenOff != tc.brokenOff || got[0].end.IsZero() {
				t.Errorf("%s: open %v, runs %+v, want broken off: %v", name, open, got, tc.brokenOff)
			}
			if len(c.journal.violations) > 0 {
				t.Errorf("%s: %v", name, c.journal.violations)
			}
		})
	}
}
