package entry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"nutmeghoist.example/nutmeghoist/internal/hop"
	"nutmeghoist.example/nutmeghoist/internal/view"
	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/rollout"
	"nutmeghoist.example/nutmeghoist/pkg/routing"
	"nutmeghoist.example/nutmeghoist/pkg/snapshot"
	"nutmeghoist.example/nutmeghoist/pkg/traffic"
)

// The first meter starts a goroutine that never ends. It must not belong to a bubble.
var _ = metrics.NewMeter()

// scriptedOwner responds to the n-th call, from 0, as its script says.
type scriptedOwner struct {
	mu     sync.Mutex
	calls  []hop.Request
	script func(n int, r *hop.Request) *hop.Response
	delay  time.Duration // until a cancelled call returns, as over a hop

	nestedFailures []string // request IDs of the calls that waited for a failed one
}

func (o *scriptedOwner) Call(ctx context.Context, r *hop.Request) *hop.Response {
	o.mu.Lock()
	n := len(o.calls)
	o.calls = append(o.calls, *r)
	o.mu.Unlock()
	resp := o.script(n, r)
	if resp == nil { // the target never responds
		<-ctx.Done()
		time.Sleep(o.delay)
		return &hop.Response{Outcome: hop.Unknown, Reason: "cancelled", SentToTarget: true}
	}
	return resp
}

func (o *scriptedOwner) IsRunning(id string) bool { return id == "running" || id == "repeat" }

func (o *scriptedOwner) IsRepeat(id string) bool { return id == "repeat" }

func (o *scriptedOwner) RecordNestedFailure(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.nestedFailures = append(o.nestedFailures, id)
}

type nopObserver struct{}

func (nopObserver) Begin(*view.Service, bool)                                      {}
func (nopObserver) End(*view.Service, bool, string, rollout.Result, time.Duration) {}

const drainTime = 200 * time.Millisecond

func newEntry(owner *scriptedOwner, targets int) *Entry {
	tracker := routing.NewTracker()
	var list []snapshot.Target
	for i := range targets {
		list = append(list, snapshot.Target{
			Target: membership.Target{ID: mesh.TargetID(fmt.Sprint("t", i)), Service: "orderdesk", Version: "v1", Slots: 4, State: membership.TargetReady},
			Host:   "h", DataCentre: "north",
		})
	}
	config := &traffic.Config{
		Version: 7, Services: map[mesh.ServiceName]traffic.Service{"orderdesk": {}},
		Routes: []traffic.Route{
			{Name: "menus", Host: "m", Prefix: "/menus/", Idempotent: true, Timeout: time.Second, LatencyTarget: 500 * time.Millisecond, MaxAttempts: 2, Split: []traffic.WeightedService{{Service: "orderdesk", Weight: 1}}},
			{Name: "orders", Host: "m", Prefix: "/orders/", Timeout: time.Second, LatencyTarget: 500 * time.Millisecond, MaxAttempts: 2, Split: []traffic.WeightedService{{Service: "orderdesk", Weight: 1}}},
		},
	}
	s := &view.Snapshot{Config: config, Matcher: traffic.NewMatcher(config), Services: map[mesh.ServiceName]*view.Service{
		"orderdesk": {Name: "orderdesk", Stable: tracker.NewSet("north", list, time.Now())},
	}}
	return New(Config{
		Self: "h", IP: net.IPv4(127, 0, 0, 1), Service: "galley", HeaderNames: traffic.Headers{RequestID: "Call-Name", DeadlineMs: "Left-Ms"},
		Snapshot: func() *view.Snapshot { return s }, Local: owner, Observer: nopObserver{}, RetryBurst: func() int { return 10 },
		DrainTime: func() time.Duration { return drainTime },
		Metrics:   metrics.NewRegistry(), Log: &log.Logger{Level: log.PanicLevel + 1},
	})
}

func requestFor(path string) *Request {
	return &Request{Method: "GET", URI: path, Path: path, Host: "m:80", Header: http.Header{"Call-Name": {"c"}, "Left-Ms": {"400"}}, Arrived: time.Now()}
}

func successResponse(*hop.Request) *hop.Response {
	return &hop.Response{Outcome: hop.Answered, Status: 200, Header: http.Header{"Proof": {"p"}}, Body: []byte("menu"), SentToTarget: true}
}

// Guards against a non-idempotent call that is sent twice, a refusal of a call
// that may have run, and attempts beyond the limit of the route.
func TestRetriesAndResponseStatus(t *testing.T) {
	lost := &hop.Response{Outcome: hop.Unknown, Reason: "connection_broken", SentToTarget: true}
	full := &hop.Response{Outcome: hop.NotRun, Reason: "queue_full", RetryAfterMs: 120}
	shed := &hop.Response{Outcome: hop.NotRun, Reason: "target_shed", SentToTarget: true}
	broken := &hop.Response{Outcome: hop.Answered, Status: 500, Header: http.Header{"Proof": {"p"}}, SentToTarget: true}
	ownRefusal := &hop.Response{Outcome: hop.Answered, Status: 503, Header: http.Header{"Proof": {"p"}, "Retry-After": {"1"}}, SentToTarget: true}
	cases := []struct {
		name    string
		path    string          // /menus/ is idempotent, /orders/ is not
		script  []*hop.Response // nil is a successful response
		status  int
		targets int // distinct targets that were called
	}{
		{"answer", "/menus/1", []*hop.Response{nil}, 200, 1},
		{"unknown route", "/nothing/1", nil, 404, 0},
		{"lookup lost, then answered", "/menus/1", []*hop.Response{lost, nil}, 200, 2},
		{"lookup lost twice", "/menus/1", []*hop.Response{lost, lost, nil}, 502, 2},
		{"lookup failed by the target, then answered", "/menus/1", []*hop.Response{broken, nil}, 200, 2},
		{"lookup failed twice", "/menus/1", []*hop.Response{broken, broken, nil}, 500, 2},
		{"order lost", "/orders/1", []*hop.Response{lost, nil}, 502, 1},
		{"order failed by the target", "/orders/1", []*hop.Response{broken, nil}, 500, 1},
		{"order not admitted, then answered", "/orders/1", []*hop.Response{full, nil}, 200, 2},
		{"order shed, then answered", "/orders/1", []*hop.Response{shed, nil}, 200, 2},
		{"order not admitted, then lost", "/orders/1", []*hop.Response{full, lost, nil}, 502, 2},
		{"order failed with the status of a refusal", "/orders/1", []*hop.Response{ownRefusal, nil}, 502, 1},
		{"order shed, then failed with the status of a refusal", "/orders/1", []*hop.Response{shed, ownRefusal, nil}, 502, 2},
		{"lookup failed with the status of a refusal, then answered", "/menus/1", []*hop.Response{ownRefusal, nil}, 200, 2},
		{"order shed twice", "/orders/1", []*hop.Response{shed, shed, nil}, 503, 2},
		{"nowhere admitted", "/orders/1", []*hop.Response{full, full, full, nil}, 503, 3},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			owner := &scriptedOwner{script: func(n int, r *hop.Request) *hop.Response {
				if tc.script[n] == nil {
					return successResponse(r)
				}
				resp := *tc.script[n]
				return &resp
			}}
			resp := newEntry(owner, 4).Handle(t.Context(), requestFor(tc.path))
			if resp.Status != tc.status {
				t.Errorf("status %d, want %d", resp.Status, tc.status)
			}
			called := map[mesh.TargetID]bool{}
			for _, r := range owner.calls {
				called[r.Target] = true
			}
			if len(called) != tc.targets || len(owner.calls) != tc.targets {
				t.Errorf("%d calls at %d targets, want %d", len(owner.calls), len(called), tc.targets)
			}
			if refused := resp.Status == 503; refused != (resp.Header.Get("Retry-After") != "") {
				t.Errorf("status %d with Retry-After %q", resp.Status, resp.Header.Get("Retry-After"))
			}
			if resp.Status == 503 && strings.Contains(tc.name, "lost") {
				t.Error("a call that may have run was refused")
			}
		})
	}
}

// Guards against callers that are told to come back later than a target that refused
// them has room.
func TestRetryAfterIsTheEarliestOfTheRefusals(t *testing.T) {
	for name, tc := range map[string]struct {
		delays []int64 // milliseconds that the targets name, one after the other
		want   string
	}{
		"first":        {[]int64{120, 900, 300}, "0.120"},
		"last":         {[]int64{900, 300, 120}, "0.120"},
		"one has none": {[]int64{0, 300, 0}, "0.300"},
		"none":         {[]int64{0, 0, 0}, "0.050"},
	} {
		e := newEntry(&scriptedOwner{script: func(n int, _ *hop.Request) *hop.Response {
			return &hop.Response{Outcome: hop.NotRun, Reason: "target_draining", RetryAfterMs: tc.delays[n]}
		}}, 3)
		resp := e.Handle(t.Context(), requestFor("/menus/"))
		if got := resp.Header.Get("Retry-After"); resp.Status != http.StatusServiceUnavailable || got != tc.want {
			t.Errorf("%s: status %d, Retry-After %q, want %q", name, resp.Status, got, tc.want)
		}
	}
}

// Guards against a node that responds with 404 before it has a configuration.
func TestNotReadyWithoutConfiguration(t *testing.T) {
	e := newEntry(&scriptedOwner{}, 0)
	e.cfg.Snapshot = func() *view.Snapshot { return nil }
	if resp := e.Handle(t.Context(), requestFor("/menus/1")); resp.Status != 503 || resp.Header.Get("Retry-After") == "" {
		t.Errorf("got %d with Retry-After %q", resp.Status, resp.Header.Get("Retry-After"))
	}
}

// Guards against a deadline for the target that is later than that of the
// caller or the route.
func TestDeadlineIsTheShorterOne(t *testing.T) {
	for timeout, want := range map[string]time.Duration{"400": 400 * time.Millisecond, "5000": time.Second, "": time.Second} {
		owner := &scriptedOwner{script: func(_ int, r *hop.Request) *hop.Response { return successResponse(r) }}
		r := requestFor("/menus/1")
		r.Header.Set("Left-Ms", timeout)
		newEntry(owner, 1).Handle(t.Context(), r)
		if got := hop.TimeAt(owner.calls[0].DeadlineAt).Sub(r.Arrived); got < want-time.Millisecond || got > want+time.Millisecond {
			t.Errorf("caller timeout %q ms: the target gets %s, want %s", timeout, got, want)
		}
	}
}

// Guards against unbounded retries when every attempt fails: the retries of a
// service are at most a tenth of its calls plus the burst of the budget.
func TestRetriesStayWithinBudget(t *testing.T) {
	owner := &scriptedOwner{script: func(int, *hop.Request) *hop.Response {
		return &hop.Response{Outcome: hop.Unknown, Reason: "connection_broken", SentToTarget: true}
	}}
	e := newEntry(owner, 4)
	const calls = 500
	for range calls {
		e.Handle(t.Context(), requestFor("/menus/1"))
	}
	if extra := len(owner.calls) - calls; extra > calls/10+10 {
		t.Errorf("%d retries of %d calls", extra, calls)
	}
}

// Guards against a new version that gets more than its share of the calls, or
// any call after it was rolled back.
func TestNextVersionGetsItsShare(t *testing.T) {
	tracker := routing.NewTracker()
	set := func(id mesh.TargetID) *routing.Set {
		return tracker.NewSet("north", []snapshot.Target{{Target: membership.Target{ID: id, State: membership.TargetReady, Slots: 1}, Host: "h", DataCentre: "north"}}, time.Now())
	}
	for _, permille := range []int{0, 40, 500, 1000} {
		var d view.VersionSplitter
		s := &view.Service{Name: "orderdesk", Stable: set("old"), Next: set("new"), Rollout: &rollout.Progress{Permille: permille}}
		got := 0
		for range 1000 {
			if _, isNew := d.Pick(s); isNew {
				got++
			}
		}
		if got != permille {
			t.Errorf("%d of 1000 calls, want %d", got, permille)
		}
		s.Next = nil
		if _, isNew := d.Pick(s); isNew {
			t.Error("a call went to a version that was rolled back")
		}
	}
}

// Guards against idempotent calls that wait for an unresponsive target until
// their deadline while another could respond in time, and against a hedge for a
// non-idempotent call.
func TestSilentTargetIsHedged(t *testing.T) {
	for path, want := range map[string]struct {
		status int
		calls  int
		within time.Duration
	}{
		"/menus/1":  {200, 2, 450 * time.Millisecond}, // the latency target is 500 ms
		"/orders/1": {504, 1, 900 * time.Millisecond}, // the caller's deadline
	} {
		synctest.Test(t, func(t *testing.T) {
			owner := &scriptedOwner{script: func(n int, r *hop.Request) *hop.Response {
				if n == 0 {
					return nil
				}
				return successResponse(r)
			}}
			e := newEntry(owner, 4)
			for range 20 {
				e.routes.record("menus", 40*time.Millisecond, 10)
			}
			r := requestFor(path)
			r.Header.Set("Left-Ms", "900")
			started := time.Now()
			resp := e.Handle(t.Context(), r)
			if took := time.Since(started); resp.Status != want.status || len(owner.calls) != want.calls || took > want.within {
				t.Errorf("%s: status %d after %s with %d attempts, want %+v", path, resp.Status, took, len(owner.calls), want)
			}
		})
	}
}

// attemptObserver records the results of the attempts of a call.
type attemptObserver struct {
	nopObserver
	mu      sync.Mutex
	results []rollout.Result
}

func (o *attemptObserver) End(_ *view.Service, _ bool, _ string, result rollout.Result, _ time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.results = append(o.results, result)
}

// Guards against an attempt that counts as a failure of its target's version because
// it was cancelled after a hedge had succeeded and the call had ended.
func TestAbandonedAttemptIsNoFailure(t *testing.T) {
	for name, c := range map[string]struct {
		hedgeAnswers bool
		want         []rollout.Result
	}{
		"hedge succeeds":  {true, []rollout.Result{rollout.Succeeded, rollout.Abandoned}},
		"neither answers": {false, []rollout.Result{rollout.Failed, rollout.Failed}},
	} {
		synctest.Test(t, func(t *testing.T) {
			owner := &scriptedOwner{delay: 5 * time.Millisecond, script: func(n int, r *hop.Request) *hop.Response {
				if n == 1 && c.hedgeAnswers {
					return successResponse(r)
				}
				return nil
			}}
			e, observer := newEntry(owner, 4), &attemptObserver{}
			e.cfg.Observer = observer
			for range 20 {
				e.routes.record("menus", 40*time.Millisecond, 10)
			}
			r := requestFor("/menus/1")
			r.Header.Set("Left-Ms", "900")
			e.Handle(t.Context(), r)
			time.Sleep(time.Second)
			observer.mu.Lock()
			defer observer.mu.Unlock()
			if !slices.Equal(observer.results, c.want) {
				t.Errorf("%s: results %v, want %v", name, observer.results, c.want)
			}
		})
	}
}

// Guards against calls that are refused while a node that has just started has
// no configuration or targets yet, against a wait longer than half of the
// caller's timeout, and against a wait long after the start.
func TestCallsWaitForStartup(t *testing.T) {
	cases := []struct {
		name   string
		age    time.Duration // of the node when the call arrives
		loaded time.Duration // from the start of the node until it has targets
		status int
		wait   time.Duration
	}{
		{"soon", 0, 150 * time.Millisecond, 200, 150 * time.Millisecond},
		{"too late for the call", 0, time.Hour, 503, 200 * time.Millisecond},
		{"too late for a start", startupWait - 50*time.Millisecond, time.Hour, 503, 50 * time.Millisecond},
		{"long after the start", 2 * startupWait, time.Hour, 503, 0},
	}
	for _, empty := range []bool{false, true} { // no configuration, or one without targets
		for _, tc := range cases {
			t.Run(fmt.Sprint(tc.name, empty), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					owner := &scriptedOwner{script: func(_ int, r *hop.Request) *hop.Response { return successResponse(r) }}
					e := newEntry(owner, 1)
					full, before := e.cfg.Snapshot(), newEntry(owner, 0).cfg.Snapshot()
					if !empty {
						before = nil
					}
					started := time.Now()
					e.cfg.Snapshot = func() *view.Snapshot {
						if time.Since(started) >= tc.loaded {
							return full
						}
						return before
					}
					time.Sleep(tc.age)
					arrived := time.Now()
					if resp := e.Handle(t.Context(), requestFor("/menus/1")); resp.Status != tc.status {
						t.Errorf("status %d, want %d", resp.Status, tc.status)
					}
					if took := time.Since(arrived); took < tc.wait || took > tc.wait+2*startupPollInterval {
						t.Errorf("took %s, want %s", took, tc.wait)
					}
				})
			})
		}
	}
}

// Guards against a node that was paused and sends calls to a version that is being
// rolled out, and against a call that gets no target because of that.
func TestNewVersionIsWithheldWhileNotAllowed(t *testing.T) {
	for _, stableTargets := range []int{0, 2} {
		owner := &scriptedOwner{script: func(int, *hop.Request) *hop.Response { return successResponse(nil) }}
		e := newEntry(owner, stableTargets)
		s := e.cfg.Snapshot().Services["orderdesk"]
		s.Next = routing.NewTracker().NewSet("north", []snapshot.Target{{
			Target: membership.Target{ID: "new", Service: "orderdesk", Version: "v2", Slots: 4, State: membership.TargetReady}, Host: "h", DataCentre: "north",
		}}, time.Now())
		s.Rollout = &rollout.Progress{State: rollout.Running, Permille: 1000}
		for _, allowed := range []bool{true, false} {
			e.cfg.MayExpose = func() bool { return allowed }
			if resp := e.Handle(t.Context(), requestFor("/menus/1")); resp.Status != 200 {
				t.Errorf("status %d", resp.Status)
			}
			wantNew := allowed || stableTargets == 0
			if last := owner.calls[len(owner.calls)-1]; (last.Target == "new") != wantNew {
				t.Errorf("allowed %v, %d other targets: target %s", allowed, stableTargets, last.Target)
			}
		}
	}
}

// Guards against a call of a target that is not told apart from those of callers,
// and against a caller that makes its calls look like one.
func TestCallsOfTargetsAreNested(t *testing.T) {
	owner := &scriptedOwner{script: func(int, *hop.Request) *hop.Response { return successResponse(nil) }}
	e := newEntry(owner, 1)
	e.cfg.ParentID = func(id string) string { parent, _, _ := strings.Cut(id, "/"); return parent }
	for id, want := range map[string]bool{"running/1": true, "ended/1": false, "c": false} {
		r := requestFor("/menus/1")
		r.Header.Set("Call-Name", id)
		e.Handle(t.Context(), r)
		if got := owner.calls[len(owner.calls)-1].Nested; got != want {
			t.Errorf("%s: nested=%v", id, got)
		}
	}
}

// Guards against a target that is ejected since calls fail which it makes for its own:
// the others of its service fail in the same way.
func TestNestedFailureIsNoFaultOfTheTarget(t *testing.T) {
	for _, nestedFailed := range []bool{false, true} {
		failing := mesh.TargetID("")
		owner := &scriptedOwner{}
		owner.script = func(_ int, r *hop.Request) *hop.Response {
			if failing == "" {
				failing = r.Target
			}
			resp := successResponse(r)
			if r.Target == failing {
				resp.Status, resp.NestedFailed = 500, nestedFailed
			}
			return resp
		}
		e := newEntry(owner, 4)
		for range 100 {
			e.Handle(t.Context(), requestFor("/orders/1"))
		}
		calls := 0
		for _, r := range owner.calls {
			if r.Target == failing {
				calls++
			}
		}
		if usual := calls > 10; usual != nestedFailed {
			t.Errorf("nested calls failed %v: %d of 100 calls at the failing target", nestedFailed, calls)
		}
	}
}

// Guards against a failed nested call of which the node of the waiting call's target does
// not learn.
func TestNestedFailureIsRecorded(t *testing.T) {
	for id, want := range map[string]int{"running.1": 1, "other.1": 0} {
		owner := &scriptedOwner{script: func(int, *hop.Request) *hop.Response {
			return &hop.Response{Outcome: hop.NotRun, Reason: "queue_full"}
		}}
		e := newEntry(owner, 1)
		e.cfg.ParentID = func(id string) string { parent, _, _ := strings.Cut(id, "."); return parent }
		r := requestFor("/menus/1")
		r.Header.Set("Call-Name", id)
		if e.Handle(t.Context(), r); len(owner.nestedFailures) != want {
			t.Errorf("%s: recorded %v, want %d", id, owner.nestedFailures, want)
		}
	}
}

// Guards against a failed order that no longer counts against its target and its version,
// gives its token back to its team, or is no failure for the call that waited for it, since
// the caller is told that it may have run.
func TestUnprovenRefusalCountsAsAFailure(t *testing.T) {
	for status, result := range map[int]rollout.Result{503: rollout.Failed, 429: rollout.Succeeded, 421: rollout.Succeeded, 408: rollout.Succeeded} {
		owner := &scriptedOwner{script: func(int, *hop.Request) *hop.Response {
			return &hop.Response{Outcome: hop.Answered, Status: status, Stamp: "s", Header: http.Header{"Retry-After": {"1"}}, SentToTarget: true}
		}}
		e := newEntry(owner, 1)
		observer := &attemptObserver{}
		e.cfg.Observer = observer
		e.cfg.ParentID = func(id string) string { parent, _, _ := strings.Cut(id, "."); return parent }
		r := requestFor("/orders/1")
		r.Header.Set("Call-Name", "running.1")
		resp := e.Handle(t.Context(), r)
		if resp.Status != 502 || len(resp.Header) != 1 || len(resp.Body) != 0 || !resp.PassedOn {
			t.Errorf("%d: got %+v", status, resp)
		}
		if len(observer.results) != 1 || observer.results[0] != result {
			t.Errorf("%d: the version's results are %v, want %v", status, observer.results, result)
		}
		if len(owner.nestedFailures) != 1 {
			t.Errorf("%d: the call that waited is not told", status)
		}
		if n := metrics.GetOrRegisterCounter("unknown.unproven_refusal", e.cfg.Metrics).Count(); n != 1 {
			t.Errorf("%d: counted %d times", status, n)
		}
	}
}

// TestRepeatedRunsPayForTheirCalls guards against calls of a repeated run that add to the retry budget of the service that they reach, where they are repeats, and against an attempt that is not known as one.
func TestRepeatedRunsPayForTheirCalls(t *testing.T) {
	shed := func(_ int, r *hop.Request) *hop.Response {
		if strings.HasPrefix(r.ID, "c") {
			return &hop.Response{Outcome: hop.NotRun, Reason: "target_shed", SentToTarget: true}
		}
		return successResponse(r)
	}
	owner := &scriptedOwner{script: shed}
	e := newEntry(owner, 2)
	e.cfg.ParentID = func(id string) string { parent, _, _ := strings.Cut(id, "."); return parent }
	handle := func(id string) []bool {
		owner.calls = nil
		r := requestFor("/menus/1")
		r.Header.Set("Call-Name", id)
		e.Handle(t.Context(), r)
		var repeats []bool
		for _, r := range owner.calls {
			repeats = append(repeats, r.Repeat)
		}
		return repeats
	}
	if got := handle("c"); !slices.Equal(got, []bool{false, true}) {
		t.Errorf("the attempts of a call are repeats: %v", got)
	}
	if got := handle("running.1"); !slices.Equal(got, []bool{false}) {
		t.Errorf("the call of a first run is a repeat: %v", got)
	}
	for range 30 {
		if got := handle("repeat.1"); !slices.Equal(got, []bool{true}) {
			t.Fatalf("the call of a repeated run is a repeat: %v", got)
		}
	}
	if got := handle("c"); len(got) != 1 {
		t.Errorf("after 30 calls of repeated runs a call is sent %d times, with a budget of 10", len(got))
	}
}

// Guards against a call that the end of a stop reports as not run though a target has it,
// as unknown though none has, or as late.
func TestEndOfAStopIsReportedTruthfully(t *testing.T) {
	for name, tc := range map[string]struct {
		path   string
		script func(int, *hop.Request) *hop.Response
		status int
	}{
		"at a target":    {"/orders/", func(int, *hop.Request) *hop.Response { return nil }, http.StatusBadGateway},
		"hedged":         {"/menus/", func(int, *hop.Request) *hop.Response { return nil }, http.StatusBadGateway},
		"refused by all": {"/orders/", func(int, *hop.Request) *hop.Response { return &hop.Response{Outcome: hop.NotRun, Reason: "late"} }, http.StatusServiceUnavailable},
	} {
		synctest.Test(t, func(t *testing.T) {
			owner := &scriptedOwner{script: tc.script}
			e := newEntry(owner, 2)
			ctx, cancel := context.WithCancelCause(t.Context())
			if name == "refused by all" {
				cancel(ErrStopping)
			}
			time.AfterFunc(100*time.Millisecond, func() { cancel(ErrStopping) })
			resp := e.Handle(ctx, requestFor(tc.path))
			if resp.Status != tc.status {
				t.Errorf("%s: status %d, want %d", name, resp.Status, tc.status)
			}
			if tc.status == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") != "1.000" {
				t.Errorf("%s: header %v", name, resp.Header)
			}
		})
	}
}
