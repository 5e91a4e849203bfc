package announce

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"nutmeghoist.example/nutmeghoist/internal/proxy"
	"nutmeghoist.example/nutmeghoist/pkg/admission"
	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/rules"
)

var _ proxy.Targets = (*Registry)(nil)

const validAnnouncement = `{"service":"orderdesk","version":"tray-1","address":"127.0.0.1:81","slots":12,"connections":130}`

func send(r *Registry, method, path, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	r.Handler().ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	return w
}

// Guards against invalid announcements that are accepted, and against findings
// that are reported one at a time.
func TestPutReportsAllFindings(t *testing.T) {
	r := New(Config{})
	for _, tc := range []struct {
		id, body string
		want     []string
	}{
		{"t1", `{"service":"","version":"a b","address":"localhost:80","slots":0,"connections":-1}`, []string{"service", "version", "address", "slots", "connections"}},
		{"t%201", validAnnouncement, []string{"target ID"}},
		{"t1", strings.Replace(validAnnouncement, "tray-1", strings.Repeat("v", 64), 1), []string{"version"}},
		{"t1", strings.Replace(validAnnouncement, "127.0.0.1:81", "0.0.0.0:81", 1), []string{"address"}},
		{"t1", strings.Replace(validAnnouncement, "}", `,"weight":3}`, 1), []string{"weight"}},
		{"t1", `{`, []string{"not an announcement"}},
		{"t1", `{"service":"` + strings.Repeat("x", 5000) + `"}`, []string{"too large"}},
	} {
		w := send(r, "PUT", "/targets/"+tc.id, tc.body)
		if w.Code != http.StatusBadRequest {
			t.Errorf("%s: got status %d", tc.body, w.Code)
		}
		for _, want := range tc.want {
			if !strings.Contains(w.Body.String(), want) {
				t.Errorf("finding on %q is missing from %s", want, w.Body)
			}
		}
	}
	if len(r.Targets()) != 0 {
		t.Error("an invalid announcement was accepted")
	}
}

// Guards against a registry that grows without bound.
func TestTargetsAreBounded(t *testing.T) {
	r := New(Config{})
	for i := range maxTargets + 1 {
		w := send(r, "PUT", "/targets/t"+strings.Repeat("x", i%100)+strings.Repeat("y", i/100), validAnnouncement)
		if want := http.StatusNoContent; i < maxTargets && w.Code != want {
			t.Fatalf("target %d: got status %d", i, w.Code)
		} else if i == maxTargets && w.Code != http.StatusTooManyRequests {
			t.Errorf("target %d: got status %d", i, w.Code)
		}
	}
}

// Guards against leases that do not expire, targets that are removed during a
// call, withdrawn targets that are added again by an announcement sent before the
// withdrawal, and health reports that exclude a target permanently.
func TestTargetLifecycle(t *testing.T) {
	type step struct {
		at    time.Duration
		do    string // PUT, DELETE, PUT from new address, begin call, end call, fail probes
		code  int
		state membership.TargetState // 300 ms later; 0 when removed
	}
	const (
		gone     = membership.TargetState(0)
		starting = membership.TargetStarting
		ready    = membership.TargetReady
		draining = membership.TargetDraining
	)
	for name, steps := range map[string][]step{
		"ready after a successful probe": {{0, "PUT", 204, ready}},
		"ready after the start grace": {
			{0, "fail probes", 0, gone},
			{0, "PUT", 204, starting},
			{2 * time.Second, "PUT", 204, starting},
			{4 * time.Second, "PUT", 204, starting},
			{6 * time.Second, "PUT", 204, starting},
			{8 * time.Second, "PUT", 204, starting},
			{10500 * time.Millisecond, "PUT", 204, ready},
		},
		"a failed probe does not remove a ready target": {
			{0, "PUT", 204, ready},
			{1 * time.Second, "fail probes", 0, ready},
			{2 * time.Second, "PUT", 204, ready},
			{4 * time.Second, "PUT", 204, ready},
		},
		"expires": {{0, "PUT", 204, ready}, {2900 * time.Millisecond, "", 0, gone}},
		"renewed": {{0, "PUT", 204, ready}, {2 * time.Second, "PUT", 204, ready}, {4500 * time.Millisecond, "", 0, ready}},
		"drains while a call is in flight": {
			{0, "PUT", 204, ready},
			{1 * time.Second, "begin call", 0, ready},
			{1500 * time.Millisecond, "DELETE", 204, draining},
			{2 * time.Second, "PUT", 409, draining},
			{8 * time.Second, "end call", 0, gone},
		},
		"an announcement sent before the withdrawal": {
			{0, "PUT", 204, ready},
			{1 * time.Second, "DELETE", 204, gone},
			{1500 * time.Millisecond, "PUT", 409, gone},
			{2 * time.Second, "DELETE", 204, gone},
			{5 * time.Second, "PUT", 204, ready},
		},
		"a new process after a withdrawal": {
			{0, "PUT", 204, ready},
			{1 * time.Second, "DELETE", 204, gone},
			{1500 * time.Millisecond, "PUT from new address", 204, ready},
		},
		"a new process under the same ID": {{0, "PUT", 204, ready}, {1 * time.Second, "PUT from new address", 204, ready}},
		"withdrawal of an unknown target": {{0, "DELETE", 404, gone}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var failProbes atomic.Bool
				var changes atomic.Int64
				r := New(Config{
					Probe: func(context.Context, membership.Target, string) ProbeResult {
						return ProbeResult{Healthy: !failProbes.Load()}
					},
					OnChange: func() { changes.Add(1) },
				})
				ctx, cancel := context.WithCancel(t.Context())
				defer synctest.Wait()
				defer cancel()
				go r.Run(ctx)
				start := time.Now()
				for i, s := range steps {
					time.Sleep(s.at - time.Since(start))
					before := changes.Load()
					old := stateOf(r)
					code := performStep(t, r, s.do, &failProbes)
					if code != s.code {
						t.Errorf("step %d, %s: got status %d, want %d", i, s.do, code, s.code)
					}
					time.Sleep(300 * time.Millisecond)
					if got := stateOf(r); got != s.state {
						t.Errorf("step %d, %s: got state %d, want %d", i, s.do, got, s.state)
					}
					if stateOf(r) != old && changes.Load() == before {
						t.Errorf("step %d, %s: OnChange was not called", i, s.do)
					}
				}
			})
		})
	}
}

func stateOf(r *Registry) membership.TargetState {
	t, _, _ := r.Lookup("t1")
	return t.State
}

func performStep(t *testing.T, r *Registry, do string, failProbes *atomic.Bool) int {
	_, limiter, _ := r.Lookup(mesh.TargetID("t1"))
	switch do {
	case "PUT", "DELETE":
		return send(r, do, "/targets/t1", validAnnouncement).Code
	case "PUT from new address":
		return send(r, "PUT", "/targets/t1", strings.Replace(validAnnouncement, ":81", ":82", 1)).Code
	case "fail probes":
		failProbes.Store(true)
	case "begin call":
		if err := limiter.Acquire(t.Context(), mesh.ClassNormal, time.Now().Add(time.Minute)); err != nil {
			t.Fatal(err)
		}
	case "end call":
		limiter.Release(admission.Result{})
	}
	return 0
}

// Guards against a probe that reports a target as healthy after an error status,
// and a load report that is ignored.
func TestHTTPProbe(t *testing.T) {
	var status atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/load" {
			_, _ = w.Write([]byte(`{"load":0.5,"running":6}`))
			return
		}
		if r.URL.Path != "/ok" {
			t.Errorf("health was requested at %s", r.URL.Path)
		}
		w.WriteHeader(int(status.Load()))
	}))
	defer s.Close()
	for code, want := range map[int64]bool{200: true, 503: false, 404: false} {
		status.Store(code)
		h := newHTTPProbe()(t.Context(), membership.Target{Address: strings.TrimPrefix(s.URL, "http://")}, "/ok")
		if h.Healthy != want || h.Load != 0.5 {
			t.Errorf("status %d: got %+v", code, h)
		}
	}
}

// Guards against a target that gets more connections than the rules allow, also
// after a renewed announcement, and against a limit that stays in force after it
// was removed from the rules.
func TestServiceLimits(t *testing.T) {
	paths := make(chan string, 1)
	r := New(Config{Probe: func(_ context.Context, _ membership.Target, path string) ProbeResult {
		paths <- path
		return ProbeResult{}
	}})
	limit := func() (int, int) {
		target, limiter, ok := r.Lookup("t1")
		if !ok {
			t.Fatal("target not found")
		}
		return target.Connections, limiter.Load().Limit
	}
	r.SetServices([]rules.Service{{Name: "orderdesk", Connections: 5, HealthPath: "/ok"}, {Name: "galley", Connections: 1}})
	for range 2 {
		send(r, "PUT", "/targets/t1", validAnnouncement)
		if c, l := limit(); c != 5 || l != 5 {
			t.Fatalf("got %d connections and a limit of %d, want 5", c, l)
		}
	}
	target, _, _ := r.Lookup("t1")
	r.probe(t.Context(), target)
	if got := <-paths; got != "/ok" {
		t.Errorf("probed %s", got)
	}
	r.SetServices(nil)
	if c, l := limit(); c != 130 || l != 12 {
		t.Errorf("got %d connections and a limit of %d, want the announced 130 and 12", c, l)
	}
	r.probe(t.Context(), target)
	if got := <-paths; got != "/health" {
		t.Errorf("probed %s", got)
	}
}

// Guards against changed field names in the list of targets, which operators'
// tools read.
func TestListFieldNames(t *testing.T) {
	r := New(Config{})
	send(r, "PUT", "/targets/t1", validAnnouncement)
	body := send(r, "GET", "/targets", "").Body.String()
	for _, want := range []string{`"id":"t1"`, `"state_name":"starting"`, `"admission":{"in_flight":0,"queued":0,"limit":12}`, `"hint":{"healthy":false,"load":0}`} {
		if !strings.Contains(body, want) {
			t.Errorf("%s is missing from %s", want, body)
		}
	}
}
