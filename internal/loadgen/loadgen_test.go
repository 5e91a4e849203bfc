package loadgen

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"nutmeghoist.example/nutmeghoist/internal/answer"
	"nutmeghoist.example/nutmeghoist/internal/standin"
)

// Guards against an answer that is classified as better than it is, such as a
// truncated answer that counts as OK.
func TestOutcomes(t *testing.T) {
	completeAnswer := func(w http.ResponseWriter, order string) []byte {
		body := answer.Body(order, "v1", "t1", 200)
		answer.SetHeaders(w.Header(), order, "v1", "t1", body)
		return body
	}
	handlers := map[Outcome]http.HandlerFunc{
		OK: func(w http.ResponseWriter, r *http.Request) {
			_, _ = w.Write(completeAnswer(w, r.Header.Get(answer.HeaderOrder)))
		},
		NotRun: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(headerOutcome, "not-run")
			w.Header().Set(headerReason, "overload")
			w.WriteHeader(http.StatusServiceUnavailable)
		},
		Unknown: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(headerOutcome, "unknown")
			w.WriteHeader(http.StatusBadGateway)
		},
		Failed:  func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) },
		Timeout: func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
		Aborted: func(w http.ResponseWriter, r *http.Request) {
			_, _ = w.Write(completeAnswer(w, r.Header.Get(answer.HeaderOrder))[:100])
			panic(http.ErrAbortHandler)
		},
		Short: func(w http.ResponseWriter, r *http.Request) {
			body := completeAnswer(w, r.Header.Get(answer.HeaderOrder))
			w.Header().Del("Content-Length")
			_, _ = w.Write(body[:100])
		},
		Foreign: func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(completeAnswer(w, "other")) },
	}
	for want, handler := range handlers {
		t.Run(string(want), func(t *testing.T) {
			srv := httptest.NewServer(handler)
			defer srv.Close()
			o := Options{Nodes: []string{srv.URL}, Rate: 1000, Duration: 5 * time.Millisecond, Arrivals: Constant, Mix: []Kind{{Method: "GET", Path: "/", Weight: 1}}, Timeout: 10 * time.Second}
			if want == Timeout {
				o.Timeout = 50 * time.Millisecond
			}
			r, err := Run(t.Context(), o)
			if err != nil || r.Counts[want] != 5 || r.Sent != 5 {
				t.Fatalf("got %v, sent %d, %v", r.Counts, r.Sent, err)
			}
		})
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	r, err := Run(t.Context(), Options{Nodes: []string{"http://" + l.Addr().String()}, Rate: 1000, Duration: time.Millisecond, Arrivals: Constant, Mix: []Kind{{Method: "GET", Path: "/", Weight: 1}}})
	if err != nil || r.Counts[Refused] != 1 {
		t.Fatalf("closed port: got %v, %v", r.Counts, err)
	}
}

// slowTransport answers each call after a second of virtual time.
type slowTransport struct{}

func (slowTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	select {
	case <-time.After(time.Second):
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
	w := httptest.NewRecorder()
	order := r.Header.Get(answer.HeaderOrder)
	body := answer.Body(order, "v1", "t1", 64)
	answer.SetHeaders(w.Header(), order, "v1", "t1", body)
	_, _ = w.Write(body)
	return w.Result(), nil
}

// Guards against a generator that slows down with its node (closed loop),
// exceeds its bound on calls in flight, or loses calls at the end.
func TestOpenLoop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := Options{
			Nodes: []string{"http://n1", "http://n2"}, Rate: 100, Duration: 5 * time.Second, Transport: slowTransport{}, Keys: 3, SendTimeout: true, KeepOutcomes: true,
			Mix: []Kind{{Method: "GET", Path: "/a", Weight: 3}, {Method: "POST", Path: "/b", Weight: 1, BodySize: 10}},
		}
		var mu sync.Mutex
		orders, nodes := map[string]bool{}, map[string]int{}
		o.Observe = func(c Call) {
			mu.Lock()
			defer mu.Unlock()
			orders[c.Order] = true
			nodes[c.Node]++
		}
		r, err := Run(t.Context(), o)
		if err != nil {
			t.Fatal(err)
		}
		if r.Sent < 400 || r.Sent > 600 || r.Counts[OK] != r.Sent || int64(len(orders)) != r.Sent || len(r.Orders) != len(orders) {
			t.Errorf("sent %d, ok %d, %d orders", r.Sent, r.Counts[OK], len(orders))
		}
		if p := r.Quantile(OK, 99); p < 999*time.Millisecond || p > 1010*time.Millisecond {
			t.Errorf("p99 is %v, want 1s", p)
		}
		if p := r.ServiceTimeQuantile(OK, 50); p < 999*time.Millisecond || p > 1001*time.Millisecond {
			t.Errorf("p50 from sending is %v, want 1s", p)
		}
		if a, b := r.Kinds["GET /a"][OK], r.Kinds["POST /b"][OK]; a < 2*b || a > 5*b || nodes["http://n1"]-nodes["http://n2"] > 1 {
			t.Errorf("mix: %d and %d, nodes %v", a, b, nodes)
		}
		o.MaxInFlight, o.Observe, o.Arrivals = 10, nil, Constant
		if r, err = Run(t.Context(), o); err != nil || r.Sent != 50 || r.Unsent != 450 {
			t.Errorf("bounded: sent %d, unsent %d, %v", r.Sent, r.Unsent, err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if r, err = Run(ctx, o); err != nil || r.Counts[OK] != r.Sent {
			t.Errorf("cancelled: sent %d, %v, %v", r.Sent, r.Counts, err)
		}
	})
}

func TestCheckRuns(t *testing.T) {
	orders := map[string]OrderOutcome{
		"a": {"POST", OK}, "b": {"POST", Unknown}, "c": {"POST", NotRun}, "d": {"POST", OK}, "e": {"GET", OK}, "f": {"POST", Timeout}, "g": {"GET", NotRun},
	}
	wrong := CheckRuns(orders, map[string]int{"a": 1, "b": 2, "c": 1, "e": 2, "f": 1})
	if got := strings.Join(wrong, "; "); got != "POST b ran 2 times; POST c ran 1 times and was reported as not run; POST d was answered and did not run" {
		t.Fatal(got)
	}
}

// Guards against a command that exits with code 0 although a guarantee to
// callers was violated.
func TestMainComparesRuns(t *testing.T) {
	target := standin.New(standin.Options{ID: "t1", Version: "v1"})
	srv := httptest.NewServer(target.Handler())
	defer srv.Close()
	noRuns := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "{}") }))
	defer noRuns.Close()
	for runsURL, want := range map[string]int{srv.URL: exitOK, noRuns.URL: exitViolation, "http://127.0.0.1:1": exitViolation} {
		var out bytes.Buffer
		code := Main(t.Context(), []string{"--node", srv.URL, "--rate", "200", "--duration", "50ms", "--call", "POST /orders 1 64", "--target", runsURL}, &out, io.Discard)
		if code != want || !strings.Contains(out.String(), "\nok=") {
			t.Errorf("runs of %s: exit code %d, want %d\n%s", runsURL, code, want, out.String())
		}
	}
	for _, args := range [][]string{nil, {"--node", "x"}, {"--node", srv.URL, "--call", "GET"}, {"--node", srv.URL, "--rate", "0"}} {
		if code := Main(t.Context(), args, io.Discard, io.Discard); code != exitUsage {
			t.Errorf("%q: exit code %d", args, code)
		}
	}
}
