package proxy

import (
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"nutmeghoist.example/nutmeghoist/pkg/rules"
)

// BenchmarkOverload offers multiples of the capacity of two targets with 12
// slots and 20 ms of work to two nodes and reports the goodput, the time of the
// refusals as the client and as the node see them, and the share of urgent
// calls that were answered. One iteration is 3 s.
func BenchmarkOverload(b *testing.B) {
	for _, bc := range []struct {
		name   string
		factor float64
	}{{"0.9x", 0.9}, {"1x", 1}, {"2x", 2}, {"5x", 5}} {
		b.Run(bc.name, func(b *testing.B) {
			for b.Loop() {
				offer(b, bc.factor*2*12/0.020)
			}
		})
	}
}

func offer(b *testing.B, rate float64) {
	m := newMesh(b, rules.Rule{Prefix: "/orders", Timeout: 500 * time.Millisecond},
		rules.Rule{Prefix: "/urgent", Timeout: 500 * time.Millisecond, Class: 0}, rules.Rule{Prefix: "/low", Class: 2})
	m.snap.Rules[0].Class = 1
	inNode := &refusalTimes{h: hdrhistogram.New(1, int64(time.Minute), 3)}
	nodes := []*testNode{m.node("a", "dc1"), m.node("b", "dc1")}
	for _, n := range nodes {
		n.caller.Config.Handler = inNode.wrap(n.CallerHandler())
		m.target(n, "t", 12, func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(20 * time.Millisecond)
			_, _ = io.WriteString(w, "good")
		})
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}
	defer client.CloseIdleConnections()
	const length = 3 * time.Second
	var mu sync.Mutex
	var wg sync.WaitGroup
	var good, urgent, urgentGood float64
	refusals := hdrhistogram.New(1, int64(time.Minute), 3)
	began := time.Now()
	rng := rand.New(rand.NewPCG(1, 1))
	for next := time.Duration(0); next < length; next += time.Duration(rng.ExpFloat64() / rate * float64(time.Second)) {
		time.Sleep(next - time.Since(began))
		path := "/orders"
		if rng.Float64() < 100/rate {
			path = "/urgent"
			urgent++
		}
		n := nodes[rng.IntN(2)]
		wg.Go(func() {
			came := time.Now()
			resp, err := client.Post(n.caller.URL+path, "", nil)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			mu.Lock()
			defer mu.Unlock()
			switch {
			case resp.StatusCode != http.StatusOK:
				_ = refusals.RecordValue(int64(time.Since(came)))
			case path == "/urgent":
				urgentGood++
				fallthrough
			default:
				good++
			}
		})
	}
	wg.Wait()
	b.ReportMetric(rate, "offered/s")
	b.ReportMetric(good/length.Seconds(), "good/s")
	b.ReportMetric(100*urgentGood/max(1, urgent), "urgent-%")
	b.ReportMetric(float64(refusals.ValueAtQuantile(99))/1e6, "refusal-p99-ms")
	b.ReportMetric(float64(inNode.h.ValueAtQuantile(50))/1e6, "node-p50-ms")
	b.ReportMetric(float64(inNode.h.ValueAtQuantile(99))/1e6, "node-p99-ms")
}

// refusalTimes measures how long a node takes for a refusal.
type refusalTimes struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

type statusWriter struct {
	http.ResponseWriter
	status int
}

func (w *statusWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

func (w *statusWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (t *refusalTimes) wrap(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		came, sw := time.Now(), &statusWriter{ResponseWriter: w}
		h.ServeHTTP(sw, r)
		if sw.status != http.StatusOK {
			t.mu.Lock()
			defer t.mu.Unlock()
			_ = t.h.RecordValue(int64(time.Since(came)))
		}
	})
}
