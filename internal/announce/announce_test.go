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

const good = `{"service":"orderdesk","version":"tray-1","address":"127.0.0.1:81","slots":12,"connections":130}`

func send(r *Registry, method, path, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	r.Handler().ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	return w
}

// Guards against announcements that are taken although they are wrong, and
// against faults that are reported one at a time.
func TestPutReportsAllFindings(t *testing.T) {
	r := New(Config{})
	for _, tc := range []struct {
		id, body string
		want     []string
	}{
		{"t1", `{"service":"","version":"a b","address":"localhost:80","slots":0,"connections":-1}`, []string{"service", "version", "address", "slots", "connections"}},
		{"t%201", good, []string{"target ID"}},
		{"t1", strings.Replace(good, "tray-1", strings.Repeat("v", 64), 1), []string{"version"}},
		{"t1", strings.Replace(good, "127.0.0.1:81", "0.0.0.0:81", 1), []string{"address"}},
		{"t1", strings.Replace(good, "}", `,"weight":3}`, 1), []string{"weight"}},
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
		t.Error("a wrong announcement was taken")
	}
}

// Guards against a registry that grows without bound.
func TestTargetsAreBounded(t *testing.T) {
	r := New(Config{})
	for i := range maxTargets + 1 {
		w := send(r, "PUT", "/targets/t"+strings.Repeat("x", i%100)+strings.Repeat("y", i/100), good)
		if want := http.StatusNoContent; i < maxTargets && w.Code != want {
			t.Fatalf("target %d: got status %d", i, w.Code)
		} else if i == maxTargets && w.Code != http.StatusTooManyRequests {
			t.Errorf("target %d: got status %d", i, w.Code)
		}
	}
}

// Guards against leases that do not expire, targets that leave in the middle
// of a call, withdrawn targets that come back by an announcement that was sent
// before, and health reports that keep a target out for good.
func TestTargetLife(t *testing.T) {
	type step struct {
		at    time.Duration
		do    string // PUT, DELETE, moved (PUT from another address), begin or end of a call, sick, well
		code  int
		state membership.TargetState // 300 ms later; 0 when gone
	}
	const (
		gone     = membership.TargetState(0)
		starting = membership.TargetStarting
		ready    = membership.TargetReady
		draining = membership.TargetDraining
	)
	for name, steps := range map[string][]step{
		"ready by its health report": {{0, "PUT", 204, ready}},
		"ready after the grace": {
			{0, "sick", 0, gone},
			{0, "PUT", 204, starting},
			{2 * time.Second, "PUT", 204, starting},
			{4 * time.Second, "PUT", 204, starting},
			{6 * time.Second, "PUT", 204, starting},
			{8 * time.Second, "PUT", 204, starting},
			{10500 * time.Millisecond, "PUT", 204, ready},
		},
		"a bad health report takes no ready target out": {
			{0, "PUT", 204, ready},
			{1 * time.Second, "sick", 0, ready},
			{2 * time.Second, "PUT", 204, ready},
			{4 * time.Second, "PUT", 204, ready},
		},
		"expires": {{0, "PUT", 204, ready}, {2900 * time.Millisecond, "", 0, gone}},
		"renewed": {{0, "PUT", 204, ready}, {2 * time.Second, "PUT", 204, ready}, {4500 * time.Millisecond, "", 0, ready}},
		"drains with a call": {
			{0, "PUT", 204, ready},
			{1 * time.Second, "begin", 0, ready},
			{1500 * time.Millisecond, "DELETE", 204, draining},
			{2 * time.Second, "PUT", 409, draining},
			{8 * time.Second, "end", 0, gone},
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
			{1500 * time.Millisecond, "moved", 204, ready},
		},
		"a new process under the same ID": {{0, "PUT", 204, ready}, {1 * time.Second, "moved", 204, ready}},
		"withdrawal of an unknown target": {{0, "DELETE", 404, gone}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var sick atomic.Bool
				var changes atomic.Int64
				r := New(Config{
					Probe: func(context.Context, membership.Target, string) ProbeResult {
						return ProbeResult{Healthy: !sick.Load()}
					},
					OnChange: func() { changes.Add(1) },
				})
				ctx, cancel := context.WithCancel(t.Context())
				defer synctest.Wait()
				defer cancel()
				go r.Run(ctx)
				began := time.Now()
				for i, s := range steps {
					time.Sleep(s.at - time.Since(began))
					before := changes.Load()
					old := stateOf(r)
					code := act(t, r, s.do, &sick)
					if code != s.code {
						t.Errorf("step %d, %s: got status %d, want %d", i, s.do, code, s.code)
					}
					time.Sleep(300 * time.Millisecond)
					if got := stateOf(r); got != s.state {
						t.Errorf("step %d, %s: got state %d, want %d", i, s.do, got, s.state)
					}
					if stateOf(r) != old && changes.Load() == before {
						t.Errorf("step %d, %s: no change was told", i, s.do)
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

func act(t *testing.T, r *Registry, do string, sick *atomic.Bool) int {
	_, limiter, _ := r.Lookup(mesh.TargetID("t1"))
	switch do {
	case "PUT", "DELETE":
		return send(r, do, "/targets/t1", good).Code
	case "moved":
		return send(r, "PUT", "/targets/t1", strings.Replace(good, ":81", ":82", 1)).Code
	case "sick":
		sick.Store(true)
	case "begin":
		if err := limiter.Acquire(t.Context(), mesh.ClassNormal, time.Now().Add(time.Minute)); err != nil {
			t.Fatal(err)
		}
	case "end":
		limiter.Release(admission.Result{})
	}
	return 0
}

// Guards against a probe that takes a refusal for health, and a load report
// that is not read.
func TestHTTPProbe(t *testing.T) {
	var status atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/load" {
			_, _ = w.Write([]byte(`{"load":0.5,"running":6}`))
			return
		}
		if r.URL.Path != "/ok" {
			t.Errorf("health was asked for at %s", r.URL.Path)
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

// Guards against a target that is given more connections than the rules allow,
// against one whose announcement lifts the limit, and against a limit that
// stays when the rules no longer name it.
func TestServiceLimits(t *testing.T) {
	paths := make(chan string, 1)
	r := New(Config{Probe: func(_ context.Context, _ membership.Target, path string) ProbeResult {
		paths <- path
		return ProbeResult{}
	}})
	limit := func() (int, int) {
		target, limiter, ok := r.Lookup("t1")
		if !ok {
			t.Fatal("target is gone")
		}
		return target.Connections, limiter.Load().Limit
	}
	r.SetServices([]rules.Service{{Name: "orderdesk", Connections: 5, HealthPath: "/ok"}, {Name: "galley", Connections: 1}})
	for range 2 {
		send(r, "PUT", "/targets/t1", good)
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
		t.Errorf("got %d connections and a limit of %d, want what was announced", c, l)
	}
	r.probe(t.Context(), target)
	if got := <-paths; got != "/health" {
		t.Errorf("probed %s", got)
	}
}

// Guards against a list of targets whose fields operators cannot rely on.
func TestListNamesItsFields(t *testing.T) {
	r := New(Config{})
	send(r, "PUT", "/targets/t1", good)
	body := send(r, "GET", "/targets", "").Body.String()
	for _, want := range []string{`"id":"t1"`, `"state_name":"starting"`, `"admission":{"in_flight":0,"queued":0,"limit":12}`, `"hint":{"healthy":false,"load":0}`} {
		if !strings.Contains(body, want) {
			t.Errorf("%s is missing from %s", want, body)
		}
	}
}
