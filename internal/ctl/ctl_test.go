package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"nutmeghoist.example/nutmeghoist/internal/opapi"
	"nutmeghoist.example/nutmeghoist/internal/telemetry"
	"nutmeghoist.example/nutmeghoist/pkg/lease"
	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/platform/platformtest"
	"nutmeghoist.example/nutmeghoist/pkg/source"
	"nutmeghoist.example/nutmeghoist/platform"
)

const initialRules = "route GET /menus to orderdesk tray-1 # Oyuna: menus\nroute POST /orders to orderdesk tray-1 # Oyuna: orders\n"

// testbed has a platform and a node with targets of the versions tray-1 and
// tray-2, and runs the tool against them.
type testbed struct {
	t        *testing.T
	store    *platformtest.Store
	source   *source.Source
	platform *httptest.Server
	node     *httptest.Server
	status   opapi.Status
}

func newTestbed(t *testing.T) *testbed {
	b := &testbed{t: t, store: platformtest.New()}
	b.source = source.New(b.store, b.store.Objects())
	b.platform = httptest.NewServer(platform.StoreHandler(b.store))
	t.Cleanup(b.platform.Close)
	b.status = opapi.Status{Host: "h1", DataCentre: "dc1", Ready: true, Hosts: []membership.Host{{
		ID: "h1", Status: membership.StatusAlive,
		Targets: []membership.Target{{Service: "orderdesk", Version: "tray-1"}, {Service: "orderdesk", Version: "tray-2"}},
	}}}
	b.node = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(b.status) }))
	t.Cleanup(b.node.Close)
	t.Setenv("NUTMEGHOIST_PLATFORM", b.platform.URL)
	t.Setenv("NUTMEGHOIST_NODE", b.node.URL)
	t.Setenv("NUTMEGHOIST_AUTHOR", "Oyuna")
	return b
}

func (b *testbed) writeFile(text string) string {
	b.t.Helper()
	path := filepath.Join(b.t.TempDir(), "rules.txt")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		b.t.Fatal(err)
	}
	return path
}

// run runs the tool and checks its exit code and parts of its output.
func (b *testbed) run(code int, want []string, args ...string) {
	b.t.Helper()
	var out, errs bytes.Buffer
	got := Main(b.t.Context(), args, Streams{In: strings.NewReader(initialRules), Out: &out, Err: &errs})
	if got != code {
		b.t.Fatalf("%q: exit code %d, want %d\n%s%s", args, got, code, out.String(), errs.String())
	}
	for _, w := range want {
		if !strings.Contains(out.String()+errs.String(), w) {
			b.t.Errorf("%q: no %q in\n%s%s", args, w, out.String(), errs.String())
		}
	}
}

func (b *testbed) head() source.Head {
	b.t.Helper()
	h, err := b.source.Head(b.t.Context())
	if err != nil {
		b.t.Fatal(err)
	}
	return h
}

func inAnHour() string { return time.Now().Add(time.Hour).UTC().Format(time.RFC3339) }

// Guards against findings that are reported one at a time or do not stop an
// apply.
func TestFindingsRejectTheWholeFile(t *testing.T) {
	b := newTestbed(t)
	bad := b.writeFile(initialRules + "route GET menus to orderdesk tray-1 # N:\nroute GET /b to orderdesk tray-9 # N:\n")
	want := []string{bad + `:3:11: prefix "menus"`, bad + ":4:27: route GET /b: no target of orderdesk version tray-9"}
	b.run(exitFailure, want, "check", bad)
	b.run(exitFailure, want, "apply", bad)
	b.run(exitFailure, want[:1], "check", "--offline", bad)
	if n := b.store.Stats().Writes.Total; n != 0 {
		t.Fatalf("%d writes", n)
	}
	b.run(exitOK, []string{"2 rules, no findings against revision 0"}, "check", "-")
	b.store.SetFaults(platformtest.Faults{Down: true})
	b.run(exitFailure, []string{want[0], "--offline"}, "check", bad)
}

// Guards against a deadlock at the first apply, when the node is ready only
// after the first revision, and against a later apply that relies on the
// incomplete target list of a node that is not ready.
func TestApplyWithANodeThatIsNotReady(t *testing.T) {
	b := newTestbed(t)
	b.status.Ready = false
	b.run(exitFailure, []string{"no target of orderdesk version tray-9"}, "apply", b.writeFile(strings.ReplaceAll(initialRules, "tray-1", "tray-9")))
	b.run(exitOK, []string{"accepted as revision 1"}, "apply", b.writeFile(initialRules))
	b.run(exitFailure, []string{"is not ready"}, "apply", b.writeFile(strings.ReplaceAll(initialRules, " # ", " timeout 3s # ")))
	if h := b.head(); h.Revision != 1 {
		t.Fatalf("head is revision %d", h.Revision)
	}
}

func TestUsageErrors(t *testing.T) {
	b := newTestbed(t)
	for _, args := range [][]string{nil, {"fly"}, {"check"}, {"check", "a", "b"}, {"--platform", "x", "check", "-"}, {"reports", "--output", "xml"}, {"apply", "--token", "t", "-"}, {"withdraw"}, {"--author", "a\nb", "apply", "-"}, {"--timeout", "0s", "check", "-"}} {
		b.run(exitUsage, []string{"--help"}, args...)
	}
	t.Setenv("NUTMEGHOIST_NODE", "")
	b.run(exitUsage, []string{"NUTMEGHOIST_NODE"}, "status")
	b.run(exitOK, []string{"Usage"}, "--help")
}

// Guards against an edit that is accepted on a restored platform under a revision that
// the hosts are already beyond, where it would never come into force.
func TestApplyWaitsForARestoredPlatform(t *testing.T) {
	b := newTestbed(t)
	b.run(0, []string{"accepted as revision 1"}, "apply", "--base", "0", b.writeFile(initialRules))
	lost := b.store.Copy()
	b.run(0, []string{"accepted as revision 2"}, "apply", "--base", "1", b.writeFile(strings.Replace(initialRules, "orders\n", "orders first\n", 1)))
	b.status.Head = b.head()
	b.store.Restore(lost)
	edited := b.writeFile(strings.Replace(initialRules, "menus\n", "new menus\n", 1))
	b.run(1, []string{"platform is at revision 1, but the hosts are at revision 2", "nothing was accepted"}, "apply", "--base", "1", edited)
	if got := b.head().Revision; got != 1 {
		t.Errorf("the head is revision %d", got)
	}
	text, err := b.source.Text(t.Context(), b.status.Head.Hash)
	if err != nil {
		t.Fatal(err)
	}
	if written, err := b.source.WriteAgain(t.Context(), b.status.Head, text); !written || err != nil {
		t.Fatalf("written %v, %v", written, err)
	}
	b.run(0, []string{"accepted as revision 3"}, "apply", "--base", "2", edited)
}

// Guards against a lost update, and against a conflict that shows only one of
// the edits.
func TestApplyConflict(t *testing.T) {
	b := newTestbed(t)
	b.run(exitOK, []string{"accepted as revision 1"}, "apply", b.writeFile(initialRules))
	b.run(exitOK, []string{"nothing to accept"}, "apply", b.writeFile(initialRules))
	b.run(exitOK, []string{"accepted as revision 2"}, "--author", "Bat", "apply", "--base", "1", b.writeFile(strings.Replace(initialRules, "# Oyuna: menus", "timeout 3s # Oyuna: menus", 1)))
	b.run(exitFailure, []string{
		"edited by Bat meanwhile", "against revision 1:\n-    2  route POST /orders to orderdesk tray-1 # Oyuna: orders\n+    2  route POST /orders to orderdesk tray-1 class urgent",
		"changed lines of revision 2 by Bat against revision 1:\n-    1  route GET /menus", "timeout 3s", "--base 2",
	}, "apply", "--base", "1", b.writeFile(strings.Replace(initialRules, "# Oyuna: orders", "class urgent # Oyuna: orders", 1)))
	if h := b.head(); h.Revision != 2 {
		t.Fatalf("head is revision %d", h.Revision)
	}
	b.run(exitOK, []string{"2 changed lines against revision 2", "timeout 3s"}, "diff", "--base", "2", b.writeFile(initialRules))
	b.run(exitOK, []string{"no --base is given, so the file replaces the current revision 2 by Bat"}, "apply", b.writeFile(initialRules))
}

// Guards against an edit that is applied twice after its response was lost.
func TestApplyResolvesALostResponse(t *testing.T) {
	b := newTestbed(t)
	b.store.SetFaults(platformtest.Faults{LoseAfter: 1, LosePrefix: "config"})
	b.run(exitOK, []string{"accepted as revision 1"}, "apply", b.writeFile(initialRules))
	for _, base := range []string{"0", "0"} {
		b.run(exitOK, []string{"accepted as revision 1"}, "apply", "--base", base, "--token", b.head().Token, b.writeFile(initialRules))
	}
	b.run(exitFailure, []string{"nothing was accepted"}, "apply", "--base", "0", "--token", "another", b.writeFile(initialRules))
	if h := b.head(); h.Revision != 1 {
		t.Fatalf("head is revision %d", h.Revision)
	}
}

// Guards against a lost response that leaves the operator without a way to
// learn the outcome, and against a retry that reports "nothing was accepted"
// although the outcome is unknown.
func TestApplyNamesTheTokenOfAnUnknownOutcome(t *testing.T) {
	for name, f := range map[string]platformtest.Faults{
		"lost before the write":                {LoseBefore: -1, LosePrefix: "config"},
		"lost after the write and stale reads": {LoseAfter: -1, LosePrefix: "config", StaleReads: true},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t)
			b.store.SetFaults(f)
			file := b.writeFile(initialRules)
			var errs bytes.Buffer
			if code := Main(t.Context(), []string{"--timeout", "6s", "apply", file}, Streams{Out: io.Discard, Err: &errs}); code != exitFailure {
				t.Fatalf("exit code %d", code)
			}
			_, hint, ok := strings.Cut(errs.String(), "settle it with: ")
			if !ok {
				t.Fatalf("got %s", errs.String())
			}
			b.store.SetFaults(platformtest.Faults{})
			args := strings.Fields(hint)
			b.run(exitOK, []string{"accepted as revision 1"}, args...)
			b.run(exitOK, []string{"accepted as revision 1"}, args...)
		})
	}
}

// Guards against several edits of one base that are all reported as accepted.
func TestConcurrentAppliesHaveOneWinner(t *testing.T) {
	b := newTestbed(t)
	b.run(exitOK, nil, "apply", b.writeFile(initialRules))
	codes := make([]int, 8)
	var wg sync.WaitGroup
	for i := range codes {
		file := b.writeFile(strings.Replace(initialRules, " # ", fmt.Sprintf(" timeout %ds # ", i+3), 1))
		wg.Go(func() {
			codes[i] = Main(t.Context(), []string{"apply", "--base", "1", file}, Streams{Out: io.Discard, Err: io.Discard})
		})
	}
	wg.Wait()
	slices.Sort(codes)
	if !slices.Equal(codes, []int{0, 1, 1, 1, 1, 1, 1, 1}) || b.head().Revision != 2 {
		t.Fatalf("exit codes %v, head is revision %d", codes, b.head().Revision)
	}
}

// Guards against a file that is reported as accepted while the platform is
// down.
func TestApplyWithoutPlatform(t *testing.T) {
	b := newTestbed(t)
	b.store.SetFaults(platformtest.Faults{Down: true})
	b.run(exitFailure, []string{"unavailable"}, "apply", b.writeFile(initialRules))
}

func TestWithdraw(t *testing.T) {
	b := newTestbed(t)
	b.run(exitOK, nil, "apply", b.writeFile(initialRules))
	b.run(exitFailure, []string{"is not a move"}, "withdraw", "GET /menus")
	move := "route GET /menus to orderdesk tray-2 from tray-1 by " + inAnHour() + " # Oyuna: menus"
	b.run(exitOK, nil, "apply", b.writeFile(strings.Replace(initialRules, "route GET /menus to orderdesk tray-1 # Oyuna: menus", move, 1)))
	if h := b.head(); len(h.Moves) != 1 {
		t.Fatalf("head has the moves %v", h.Moves)
	}
	b.run(exitFailure, []string{"no rule has this route"}, "withdraw", "GET", "/none")
	b.run(exitOK, []string{"+    1  route GET /menus to orderdesk tray-1 # Oyuna: menus", "accepted as revision 3"}, "withdraw", "GET", "/menus")
	text, err := b.source.Text(t.Context(), b.head().Hash)
	if err != nil || string(text) != initialRules {
		t.Fatalf("got %q, %v", text, err)
	}
	if err := b.source.PutVeto(t.Context(), source.Veto{Service: "orderdesk", Version: "tray-2", Attempt: 1}); err != nil {
		t.Fatal(err)
	}
	b.run(exitFailure, []string{"was rolled back at attempt 1"}, "apply", b.writeFile(strings.Replace(initialRules, "route GET /menus to orderdesk tray-1 # Oyuna: menus", move, 1)))
}

func (b *testbed) putReport(g lease.Grant, kind source.ReportKind, at time.Time) {
	b.t.Helper()
	if err := b.source.PutReport(b.t.Context(), g, source.Report{Move: "m1", Kind: kind, Route: "GET /menus", At: at, Text: fmt.Sprintf("text of %s", kind)}); err != nil {
		b.t.Error(err)
	}
}

// Guards against reports that are printed twice, out of order or not at all.
func TestReports(t *testing.T) {
	b := newTestbed(t)
	g, err := lease.Acquire(t.Context(), b.store, "lease/reporter", "h1", time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	b.putReport(g, source.ReportDone, time.Unix(20, 0))
	b.putReport(g, source.ReportMoving, time.Unix(10, 0))
	b.run(exitOK, []string{"text of moving", "text of done"}, "reports")
	ctx, cancel := context.WithCancel(t.Context())
	var out bytes.Buffer
	lines := &lineWriter{Buffer: &out, onLine: func(n int) {
		switch n {
		case 2:
			go b.putReport(g, source.ReportLate, time.Unix(30, 0))
		case 3:
			cancel()
		}
	}}
	if code := Main(ctx, []string{"reports", "--follow", "--output", "json"}, Streams{Out: lines, Err: &out}); code != exitOK {
		t.Fatalf("exit code %d: %s", code, out.String())
	}
	var kinds []source.ReportKind
	for d := json.NewDecoder(&out); d.More(); {
		var r source.Report
		if err := d.Decode(&r); err != nil {
			t.Fatal(err)
		}
		kinds = append(kinds, r.Kind)
	}
	if fmt.Sprint(kinds) != "[moving done late]" {
		t.Fatalf("got %v", kinds)
	}
}

// lineWriter calls onLine after each write.
type lineWriter struct {
	*bytes.Buffer
	onLine func(n int)
	n      int
}

func (w *lineWriter) Write(p []byte) (int, error) {
	n, err := w.Buffer.Write(p)
	w.n++
	w.onLine(w.n)
	return n, err
}

// Guards against a tool that cannot show nodes without an operators' address.
func TestStatusFromMetrics(t *testing.T) {
	b := newTestbed(t)
	registry := metrics.NewRegistry()
	metrics.GetOrRegisterGauge("config.revision", registry).Update(12)
	metrics.GetOrRegisterCounter("refused.queue_full", registry).Inc(3)
	metrics.GetOrRegisterCounter("refused.late", registry)
	metrics.GetOrRegisterTimer("calls.time", registry).Update(time.Second)
	node := httptest.NewServer(telemetry.Handler(registry))
	defer node.Close()
	b.run(exitOK, []string{"configuration 12 in force", "queue_full", "quantile 0.99"}, "status", "--metrics", node.URL)
	b.run(exitOK, []string{`{"name":"refused_total","label":"late","value":0}`}, "status", "--output", "json", "--metrics", node.URL)
	b.run(exitFailure, []string{"404"}, "status", "--metrics", b.platform.URL+"/metrics")
	b.run(exitUsage, []string{"not a URL"}, "status", "--metrics", "http://a b")
}

func TestStatus(t *testing.T) {
	b := newTestbed(t)
	b.status.Moves = []opapi.MoveStatus{{Route: "GET /menus", Service: "orderdesk", From: "tray-1", To: "tray-2", Share: 0.25, State: "moving"}}
	b.run(exitOK, []string{"host h1 in dc1: ready=true", "25%", "orderdesk@tray-1, orderdesk@tray-2"}, "status")
	b.status.Rules = []string{"route GET m.example/menus to orderdesk tray-1 retries 0 # Oyuna:", "service orderdesk connections 4 # Oyuna:"}
	b.run(exitOK, b.status.Rules, "status", "--rules")
	b.run(exitOK, []string{`"share":0.25`, b.status.Rules[1]}, "status", "--output", "json")
	b.node.Close()
	b.run(exitFailure, []string{b.node.URL}, "status")
}
