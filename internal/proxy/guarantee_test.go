package proxy

import (
	"flag"
	"io"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"nutmeghoist.example/nutmeghoist/pkg/rules"
)

// Guards against interleavings of faults and calls that break a guarantee: the
// targets count the runs of each order, and each answer is compared with the
// count.
func TestGuaranteesHoldUnderRandomFaults(t *testing.T) {
	_ = flag.Set("rapid.checks", "30") // each check starts four servers
	defer func() { _ = flag.Set("rapid.checks", "100") }()
	rapid.Check(t, func(rt *rapid.T) {
		faults := rapid.SliceOfN(rapid.IntRange(0, 8), 8, 30).Draw(rt, "faults")
		m := newMesh(t, rules.Rule{Prefix: "/", Timeout: 120 * time.Millisecond})
		nodes := []*testNode{m.node("a", "dc1"), m.node("b", "dc1")}
		var mu sync.Mutex
		runs := make(map[string]int)
		next := 0
		for i, n := range nodes {
			s := m.target(n, "t", 2, func(w http.ResponseWriter, r *http.Request) {
				// net/http reports a lost connection only after the body was read.
				_, _ = io.Copy(io.Discard, r.Body)
				id := r.Header.Get("Order-Number")
				mu.Lock()
				fault := faults[next%len(faults)]
				next++
				if fault != 1 {
					runs[id]++
				}
				mu.Unlock()
				injectFault(w, r, fault, id)
			})
			defer s.Close()
			defer nodes[i].caller.Close()
			defer nodes[i].peer.Close()
		}
		var wg sync.WaitGroup
		for i := range 24 {
			wg.Go(func() {
				id := strconv.Itoa(i)
				resp, err := m.call(nodes[i%2], "POST", "/orders", id, "Order-Number", id, "Idempotency-Key", id)
				if err != nil {
					return // aborted
				}
				body, err := io.ReadAll(resp.Body)
				mu.Lock()
				defer mu.Unlock()
				switch outcome := resp.Header.Get(headerOutcome); {
				case err != nil:
				case outcome == outcomeNotRun && runs[id] > 0:
					rt.Errorf("order %s is reported as not run, but ran", id)
				case outcome == "" && (string(body) != "order "+id || runs[id] != 1):
					rt.Errorf("order %s got %q after %d runs", id, body, runs[id])
				}
			})
		}
		wg.Wait()
		for id, n := range runs {
			if n > 1 {
				rt.Errorf("order %s ran %d times", id, n)
			}
		}
	})
}

// injectFault answers an order with the given fault, or correctly when there is
// no fault of that number.
func injectFault(w http.ResponseWriter, r *http.Request, fault int, id string) {
	switch fault {
	case 0:
		panic(http.ErrAbortHandler)
	case 1:
		w.Header().Set(headerTargetNotRun, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case 2:
		w.Header().Set("Connection", "close")
	case 3:
		w.Header().Set("Content-Length", "99")
		_, _ = io.WriteString(w, "order")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case 4:
		_ = http.NewResponseController(w).Flush()
	case 5:
		<-r.Context().Done()
	}
	_, _ = io.WriteString(w, "order "+id)
}
