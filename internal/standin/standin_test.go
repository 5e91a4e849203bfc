package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"nutmeghoist.example/nutmeghoist/internal/answer"
)

// start runs a target until the end of the test.
func start(t *testing.T, o Options) (target *Target, stop context.CancelFunc, ended chan error) {
	t.Helper()
	o.Address, o.Service, o.Version = "127.0.0.1:0", "orderdesk", "tray-1"
	if o.ID == "" {
		o.ID = "t1"
	}
	target = New(o)
	if err := target.Listen(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended = make(chan error, 1)
	go func() { ended <- target.Run(ctx) }()
	t.Cleanup(target.Kill)
	t.Cleanup(cancel)
	return target, cancel, ended
}

func call(t *testing.T, c *http.Client, target *Target, path, order string) (*http.Response, []byte, error) {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, "http://"+target.Addr()+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(answer.HeaderOrder, order)
	resp, err := c.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp, body, err
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{}, Timeout: 10 * time.Second}
}

// Guards against answers that Verify cannot attribute to their order.
func TestAnswerIsVerifiable(t *testing.T) {
	target, _, _ := start(t, Options{})
	resp, body, err := call(t, newClient(), target, "/menus", "o1")
	if err != nil {
		t.Fatal(err)
	}
	if err := answer.Verify("GET", "o1", resp.Header, body); err != nil {
		t.Fatal(err)
	}
	if err := answer.Verify("GET", "o2", resp.Header, body); !errors.Is(err, answer.ErrForeign) {
		t.Fatalf("another order: got %v", err)
	}
	if err := answer.Verify("GET", "o1", resp.Header, body[:len(body)-1]); !errors.Is(err, answer.ErrShort) {
		t.Fatalf("cut body: got %v", err)
	}
	if target.Runs()["o1"] != 1 {
		t.Fatalf("runs: got %v", target.Runs())
	}
}

// Guards against faults that apply to calls they were not set for, and against
// counted runs of calls that the target reports as not run.
func TestFaults(t *testing.T) {
	half := 0.5
	for _, tc := range []struct {
		name, path string
		faults     Faults
		status     int
		notRun     bool
		fails      bool // the client fails to read the answer
		runs       int
	}{
		{"none", "/a", Faults{}, 200, false, false, 1},
		{"failing", "/a", Faults{FailShare: 1}, 500, false, false, 1},
		{"failing on another path", "/a", Faults{FailShare: 1, PathPrefix: "/b"}, 200, false, false, 1},
		{"failing under load only", "/a", Faults{FailShare: 1, AboveConcurrency: 1}, 200, false, false, 1},
		{"failing later", "/a", Faults{FailShare: 1, AfterMS: 60_000}, 200, false, false, 1},
		{"draining", "/a", Faults{Draining: true}, 503, true, false, 0},
		{"early end", "/a", Faults{EarlyEndShare: 1}, 200, false, true, 1},
		{"dies before", "/a", Faults{Die: DieBefore}, 0, false, true, 0},
		{"dies during", "/a", Faults{Die: DieDuring}, 200, false, true, 1},
		{"dies after", "/a", Faults{Die: DieAfter}, 200, false, false, 1},
		{"overridden health", "/health", Faults{Draining: true, HealthLie: "up"}, 200, false, false, 0},
		{"real health", "/health", Faults{Draining: true}, 503, false, false, 0},
		{"overridden load", "/load", Faults{LoadLie: &half}, 200, false, false, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			target, _, _ := start(t, Options{Faults: tc.faults})
			resp, body, err := call(t, newClient(), target, tc.path, "o1")
			if (err != nil) != tc.fails {
				t.Fatalf("got error %v", err)
			}
			if resp != nil && (resp.StatusCode != tc.status || (resp.Header.Get(answer.HeaderNotRun) == "true") != tc.notRun) {
				t.Fatalf("got %s, %v", resp.Status, resp.Header)
			}
			if tc.path == "/load" && !strings.Contains(string(body), `"load":0.5`) {
				t.Fatalf("load: got %s", body)
			}
			if n := target.Runs()["o1"]; n != tc.runs {
				t.Fatalf("got %d runs, want %d", n, tc.runs)
			}
		})
	}
}

func TestParseFaultsRejectsInvalidValues(t *testing.T) {
	for _, text := range []string{`{"die":"later"}`, `{"fail_share":2}`, `{"unknown":1}`, `{"service_time":{"kind":"x"}}`, `{"slow_factor":-1}`, `{`} {
		if _, err := ParseFaults(strings.NewReader(text)); err == nil {
			t.Errorf("%s is accepted", text)
		}
	}
}

// Guards against imprecise slot limits, load shedding and deadlines.
func TestSlotsSheddingAndDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target := New(Options{Slots: 2, Faults: Faults{ServiceTime: ServiceTime{MeanMS: 100}, ShedAbove: 4, ColdForMS: 50, ColdFactor: 3}})
		var wg sync.WaitGroup
		codes, took := make([]int, 5), make([]time.Duration, 5)
		for i := range codes {
			synctest.Wait()
			wg.Go(func() {
				r := httptest.NewRequest("GET", "/a", nil)
				if i == 3 {
					r.Header.Set(timeoutHeader, "250") // waits for a slot until this deadline
				}
				w := httptest.NewRecorder()
				began := time.Now()
				target.Handler().ServeHTTP(w, r)
				codes[i], took[i] = w.Code, time.Since(began)
			})
		}
		wg.Wait()
		want := []time.Duration{300, 300, 400, 250, 0} // two are cold, one waits, one times out, one is shed
		for i, d := range took {
			if d != want[i]*time.Millisecond || (codes[i] == 200) != (i < 3) {
				t.Errorf("call %d: %d after %v, want %v ms", i, codes[i], d, int(want[i]))
			}
		}
		if s := target.Stats(); s.Runs != 3 || s.Shed != 1 || s.MaxRunning != 5 {
			t.Errorf("got %+v", s)
		}
	})
}

func TestLaggingHealth(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target := New(Options{Faults: Faults{HealthLagMS: 1000}})
		get := func() int {
			w := httptest.NewRecorder()
			target.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/health", nil))
			return w.Code
		}
		get()
		target.SetFaults(Faults{HealthLagMS: 1000, FailShare: 1})
		if get() != 200 {
			t.Fatal("health reports the fault before the lag is over")
		}
		time.Sleep(time.Second)
		if get() != 503 {
			t.Fatal("health does not report the fault after the lag")
		}
	})
}

// Guards against silent connections that respond again or reveal that the
// server has closed them.
func TestSilentConnections(t *testing.T) {
	target, _, _ := start(t, Options{})
	old := newClient()
	if _, _, err := call(t, old, target, "/a", "o1"); err != nil {
		t.Fatal(err)
	}
	faults, _ := json.Marshal(Faults{SilenceConnections: true})
	resp, err := newClient().Post("http://"+target.Addr()+"/faults", "application/json", bytes.NewReader(faults))
	if err != nil || resp.StatusCode != http.StatusNoContent {
		t.Fatalf("got %v, %v", resp, err)
	}
	resp.Body.Close()
	old.Timeout = 100 * time.Millisecond
	var ne net.Error
	if _, _, err := call(t, old, target, "/a", "o2"); !errors.As(err, &ne) || !ne.Timeout() {
		t.Fatalf("old connection: got %v, want a timeout", err)
	}
	if _, _, err := call(t, newClient(), target, "/a", "o3"); err != nil {
		t.Fatalf("new connection: %v", err)
	}
	if r := target.Runs(); r["o2"] != 0 || r["o3"] != 1 {
		t.Fatalf("runs: got %v", r)
	}
}

// Guards against a planned stop that does not withdraw the target or aborts a
// call in flight.
func TestStopLeavesAndDrains(t *testing.T) {
	var mu sync.Mutex
	var seen []string
	put := make(chan Announcement, 100)
	node := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		seen = append(seen, r.Method+" "+r.URL.Path)
		if r.Method == http.MethodPut {
			var a Announcement
			_ = json.NewDecoder(r.Body).Decode(&a)
			put <- a
		}
	}))
	defer node.Close()
	target, stop, ended := start(t, Options{AnnounceURL: node.URL, Slots: 3, Connections: 7, Faults: Faults{ServiceTime: ServiceTime{MeanMS: 200}}})
	want := Announcement{Service: "orderdesk", Version: "tray-1", Address: target.Addr(), Slots: 3, Connections: 7}
	if got := <-put; got != want {
		t.Fatalf("announced %+v, want %+v", got, want)
	}
	called := make(chan error, 1)
	go func() {
		_, _, err := call(t, newClient(), target, "/a", "o1")
		called <- err
	}()
	for target.Stats().Running == 0 {
		time.Sleep(time.Millisecond)
	}
	stop()
	if err := <-called; err != nil {
		t.Fatalf("call in flight: %v", err)
	}
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	mu.Lock()
	defer mu.Unlock()
	if last := seen[len(seen)-1]; last != "DELETE /targets/t1" {
		t.Fatalf("last request to the node is %s", last)
	}
}

// Guards against a call chain that loses forwarded headers or hides the failure
// of a child call.
func TestChain(t *testing.T) {
	below, _, _ := start(t, Options{ID: "t2"})
	var depths []string
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		depths = append(depths, r.Header.Get("Nutmeghoist-Depth")+r.URL.Path+r.Header.Get(HeaderNext))
		r.Header.Del(HeaderNext)
		below.Handler().ServeHTTP(w, r)
	}))
	defer node.Close()
	target, _, _ := start(t, Options{CallerURL: node.URL})
	for _, want := range []int{200, 500} {
		req, _ := http.NewRequest(http.MethodGet, "http://"+target.Addr()+"/a", nil)
		req.Header.Set(answer.HeaderOrder, "o1")
		req.Header.Set(HeaderNext, "/b /c")
		req.Header.Set("Nutmeghoist-Depth", "1")
		resp, err := newClient().Do(req)
		if err != nil || resp.StatusCode != want {
			t.Fatalf("got %v, %v, want %d", resp, err, want)
		}
		resp.Body.Close()
		below.SetFaults(Faults{FailShare: 1})
	}
	if depths[0] != "1/b/c" || below.Runs()["o1.1"] != 2 || target.Runs()["o1"] != 2 {
		t.Fatalf("got %q, %v, %v", depths, below.Runs(), target.Runs())
	}
}

// Guards against losing recorded runs when a target crashes.
func TestRecordedRunsSurviveCrash(t *testing.T) {
	path := filepath.Join(t.TempDir(), "runs")
	out, err := os.Create(path)
	if err != nil {
		t.Fatal(err)
	}
	defer out.Close()
	for i, die := range []DieAt{DieDuring, DieNever} {
		target, _, ended := start(t, Options{OnRun: func(order string) { fmt.Fprintln(out, order) }, Faults: Faults{Die: die}})
		_, _, _ = call(t, newClient(), target, "/a", "o1")
		if die != DieNever {
			<-ended
		}
		if runs, err := ReadRuns(path); err != nil || runs["o1"] != i+1 {
			t.Fatalf("start %d: got %v, %v", i, runs, err)
		}
	}
}

func TestMainUsage(t *testing.T) {
	for _, args := range [][]string{nil, {"--id", "t", "--service", "s", "--target-version", "v", "--faults", "{\"x\":1}"}, {"--colour"}} {
		var out, errs bytes.Buffer
		if code := Main(t.Context(), args, &out, &errs); code != exitUsage || errs.Len() == 0 {
			t.Errorf("%q: exit code %d, %q", args, code, errs.String())
		}
	}
}
