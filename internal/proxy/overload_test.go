package proxy

import (
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/rules"
)

// BenchmarkOverload sends two nodes multiples of the capacity of two targets with
// 12 slots and a service time of 20 ms. It reports the goodput, the latency of
// refusals and the share of urgent calls that were answered. One iteration takes
// 3 s.
func BenchmarkOverload(b *testing.B) {
	for _, bc := range []struct {
		name   string
		factor float64
	}{{"0.8x", 0.8}, {"1x", 1}, {"2x", 2}, {"5x", 5}} {
		b.Run(bc.name, func(b *testing.B) {
			for b.Loop() {
				offerLoad(b, bc.factor*2*12/0.020)
			}
		})
	}
}

func offerLoad(b *testing.B, rate float64) {
	m := newMesh(b,
		rules.Rule{Prefix: "/orders", Timeout: 500 * time.Millisecond, Class: mesh.ClassNormal},
		rules.Rule{Prefix: "/urgent", Timeout: 500 * time.Millisecond, Class: mesh.ClassUrgent})
	var callers []http.Handler
	for _, id := range []mesh.HostID{"a", "b"} {
		n := m.node(id, "dc1")
		callers = append(callers, n.CallerHandler())
		m.target(n, "t", 12, func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(20 * time.Millisecond)
			_, _ = io.WriteString(w, "good")
		})
	}
	const length = 3 * time.Second
	var mu sync.Mutex
	var wg sync.WaitGroup
	good, sent := make(map[string]float64), make(map[string]float64)
	refusals := hdrhistogram.New(1, int64(time.Minute), 3)
	began, rng := time.Now(), rand.New(rand.NewPCG(1, 1))
	for next := time.Duration(0); next < length; next += time.Duration(rng.ExpFloat64() / rate * float64(time.Second)) {
		time.Sleep(next - time.Since(began))
		path := "/orders"
		if rng.Float64() < 100/rate {
			path = "/urgent"
		}
		sent[path]++
		h := callers[rng.IntN(2)]
		wg.Go(func() {
			w, arrived := httptest.NewRecorder(), time.Now()
			h.ServeHTTP(w, httptest.NewRequest("POST", path, nil))
			mu.Lock()
			defer mu.Unlock()
			if w.Code == http.StatusOK {
				good[path]++
				return
			}
			_ = refusals.RecordValue(int64(time.Since(arrived)))
		})
	}
	wg.Wait()
	b.ReportMetric(rate, "offered/s")
	b.ReportMetric((good["/orders"]+good["/urgent"])/time.Since(began).Seconds(), "good/s")
	b.ReportMetric(100*good["/urgent"]/sent["/urgent"], "urgent-%")
	b.ReportMetric(float64(refusals.ValueAtQuantile(50))/1e6, "refusal-p50-ms")
	b.ReportMetric(float64(refusals.ValueAtQuantile(99))/1e6, "refusal-p99-ms")
}
