package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"nutmeghoist.example/nutmeghoist/internal/answer"
)

// timeoutHeader carries the remaining time of a call in milliseconds.
const timeoutHeader = "Nutmeghoist-Timeout-Ms"

// Handler returns a handler that serves the control paths, and calls on all
// other paths.
func (t *Target) Handler() http.Handler {
	mux := t.controlHandler()
	mux.HandleFunc("/", t.call)
	return mux
}

func (t *Target) controlHandler() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", t.serveHealth)
	mux.HandleFunc("GET /load", t.serveLoad)
	mux.HandleFunc("GET /runs", t.serveRuns)
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, t.Stats()) })
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, t.Faults()) })
	mux.HandleFunc("POST /faults", t.serveFaults)
	return mux
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (t *Target) serveHealth(w http.ResponseWriter, _ *http.Request) {
	f := t.Faults()
	healthy := t.health.get(time.Duration(f.HealthLagMS)*time.Millisecond, func() bool {
		return !t.stopping.Load() && !f.Draining && f.FailShare < 1
	})
	if f.HealthLie != "" {
		healthy = f.HealthLie == "up"
	}
	if !healthy {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	fmt.Fprintf(w, "healthy=%t\n", healthy)
}

// Load is the response body of GET /load.
type Load struct {
	Load    float64 `json:"load"` // running calls as a share of the slots
	Running int     `json:"running"`
	Slots   int     `json:"slots"`
}

func (t *Target) serveLoad(w http.ResponseWriter, _ *http.Request) {
	f := t.Faults()
	slots := float64(max(t.options.Slots, 1))
	load := t.load.get(time.Duration(f.LoadLagMS)*time.Millisecond, func() float64 {
		return float64(t.Stats().Running) / slots
	})
	if f.LoadLie != nil {
		load = *f.LoadLie
	}
	writeJSON(w, Load{Load: load, Running: int(load * slots), Slots: t.options.Slots})
}

// serveRuns returns the number of runs of each order. ?min=2 leaves out the
// orders that ran only once.
func (t *Target) serveRuns(w http.ResponseWriter, r *http.Request) {
	atLeast, _ := strconv.Atoi(r.FormValue("min"))
	writeJSON(w, t.counters.copyRuns(atLeast))
}

func (t *Target) serveFaults(w http.ResponseWriter, r *http.Request) {
	f, err := ParseFaults(http.MaxBytesReader(w, r.Body, maxBodySize))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if f.SilenceConnections && t.listener != nil {
		t.listener.silence(connectionOf(r))
	}
	f.SilenceConnections = false
	t.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

// call runs one call, unless the target refuses it.
func (t *Target) call(w http.ResponseWriter, r *http.Request) {
	running := t.counters.enter()
	defer t.counters.exit()
	f, age := t.faultsAndAge()
	if f.Draining {
		t.refuse(w, &t.counters.stats.Refused, "draining")
		return
	}
	if f.ShedAbove > 0 && running > f.ShedAbove {
		t.refuse(w, &t.counters.stats.Shed, "overloaded")
		return
	}
	if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxBodySize)); err != nil {
		w.Header().Set(answer.HeaderNotRun, "true")
		http.Error(w, "request body is incomplete", http.StatusBadRequest)
		return
	}
	ctx, cancel := callContext(r)
	defer cancel()
	if !t.acquire(ctx) {
		t.refuse(w, &t.counters.stats.Cancelled, "no free slot before the deadline")
		return
	}
	defer t.release()
	t.run(ctx, w, r, &f, f.matches(r.URL.Path, running, age))
}

func (t *Target) refuse(w http.ResponseWriter, counter *int64, reason string) {
	t.counters.increment(counter)
	w.Header().Set(answer.HeaderNotRun, "true")
	http.Error(w, reason, http.StatusServiceUnavailable)
}

// callContext returns a context that ends when the connection is closed or at
// the deadline of the call.
func callContext(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.Atoi(r.Header.Get(timeoutHeader))
	if err != nil || ms < 0 {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}

func (t *Target) acquire(ctx context.Context) bool {
	if t.slots == nil {
		return ctx.Err() == nil
	}
	select {
	case t.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (t *Target) release() {
	if t.slots != nil {
		<-t.slots
	}
}

// callPlan holds the randomly drawn behaviour of one call.
type callPlan struct {
	serviceTime      time.Duration
	fails, truncated bool
}

func (t *Target) planCall(f *Faults, matches bool) callPlan {
	t.mu.Lock()
	defer t.mu.Unlock()
	plan := callPlan{serviceTime: f.ServiceTime.sample(t.rand)}
	failDraw, truncateDraw := t.rand.Float64(), t.rand.Float64()
	if matches {
		plan.fails, plan.truncated = failDraw < f.FailShare, truncateDraw < f.EarlyEndShare
	}
	plan.serviceTime = time.Duration(float64(plan.serviceTime) * f.slowdown(time.Since(t.started), matches))
	return plan
}

func (t *Target) run(ctx context.Context, w http.ResponseWriter, r *http.Request, f *Faults, matches bool) {
	dieAt := DieNever
	if matches {
		dieAt = f.Die
	}
	if dieAt == DieBefore {
		t.crash()
		panic(http.ErrAbortHandler)
	}
	order := r.Header.Get(answer.HeaderOrder)
	t.counters.recordRun(order)
	plan := t.planCall(f, matches)
	if err := sleep(ctx, plan.serviceTime); err != nil {
		t.counters.increment(&t.counters.stats.Cancelled)
		http.Error(w, "deadline exceeded after the call was started", http.StatusGatewayTimeout)
		return
	}
	if dieAt == DieRunning {
		t.crash()
		panic(http.ErrAbortHandler)
	}
	if err := t.callNext(ctx, r, order); err != nil {
		t.counters.increment(&t.counters.stats.Failed)
		http.Error(w, "after the call was started: "+err.Error(), http.StatusInternalServerError)
		return
	}
	if plan.fails {
		t.counters.increment(&t.counters.stats.Failed)
		w.Header().Set(answer.HeaderVersion, string(t.options.Version))
		http.Error(w, "fault: the call failed", http.StatusInternalServerError)
		return
	}
	t.writeAnswer(w, order, f, plan.truncated, dieAt)
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// writeAnswer writes the response, or only half of it if a fault requires that.
func (t *Target) writeAnswer(w http.ResponseWriter, order string, f *Faults, truncated bool, dieAt DieAt) {
	size := f.BodySize
	if size == 0 {
		size = defaultBodySize
	}
	body := answer.Body(order, string(t.options.Version), string(t.options.ID), size)
	answer.SetHeaders(w.Header(), order, string(t.options.Version), string(t.options.ID), body)
	if truncated || dieAt == DieDuring {
		_, _ = w.Write(body[:len(body)/2])
		flush(w)
		if dieAt == DieDuring {
			t.crash()
		}
		t.counters.increment(&t.counters.stats.EarlyEnds)
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
	if dieAt == DieAfter {
		flush(w)
		t.crash()
	}
}

func flush(w http.ResponseWriter) { _ = http.NewResponseController(w).Flush() }
