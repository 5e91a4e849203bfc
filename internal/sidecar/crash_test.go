package sidecar_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"
)

const (
	crashRunTime  = 12 * time.Second
	crashInterval = 200 * time.Millisecond
	otherCalls    = 40 // a second
	touch         = 3 * time.Second
	maxLateSends  = 3
	minServed     = 0.95 // of the other calls
)

// TestRequestThatEndsTargetsIsStopped guards against a request that ends each target that runs it and is sent on and on.
func TestRequestThatEndsTargetsIsStopped(t *testing.T) {
	for i, tc := range []struct {
		name, method, path, body string
		chunked                  bool
	}{
		{"idempotent", "GET", "/lookups/crash", "", false},
		{"not idempotent", "POST", "/orders/crash", "rope", false},
		{"chunked body", "POST", "/lookups/crash?by=spool", "rope", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			m := newTestMesh(t, byte(1+i), 10)
			served := m.sendOtherCalls(crashRunTime, func(k int) {
				m.nodes[k%len(m.nodes)].call(tc.method, tc.path, tc.body, tc.chunked)
			})
			late, ends := m.crashes.sentLaterThan(touch)
			t.Logf("%d ends, %d sends later than %s after the third; %.3f of the other calls served", ends, late, touch, served)
			if ends < 3 {
				t.Errorf("%d targets ended, want 3", ends)
			}
			if late > maxLateSends {
				t.Errorf("sent %d times later than %s after the third end, want at most %d", late, touch, maxLateSends)
			}
			if served < minServed {
				t.Errorf("%.3f of the other calls were served, want %.2f", served, minServed)
			}
		})
	}
}

// sendOtherCalls sends calls on another path to all nodes in turn, half of them with
// a path of their own, and calls crash each crashInterval. It returns the share of
// the calls on the other path that were served.
func (m *testMesh) sendOtherCalls(duration time.Duration, crash func(k int)) float64 {
	ctx, cancel := context.WithTimeout(m.t.Context(), duration)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	sent, served := 0, 0
	every := func(interval time.Duration, f func(k int)) {
		wg.Go(func() {
			tick := time.NewTicker(interval)
			defer tick.Stop()
			for k := 0; ; k++ {
				select {
				case <-ctx.Done():
					return
				case <-tick.C:
					wg.Go(func() { f(k) })
				}
			}
		})
	}
	every(crashInterval, crash)
	every(time.Second/otherCalls, func(k int) {
		path := "/lookups/stock"
		if k%2 == 0 {
			path = fmt.Sprint("/lookups/", k)
		}
		ok := m.nodes[k%len(m.nodes)].call("GET", path, "", false).status == 200
		mu.Lock()
		defer mu.Unlock()
		sent++
		if ok {
			served++
		}
	})
	wg.Wait()
	return float64(served) / float64(max(1, sent))
}

// crashTargets sends the request that ends targets until it is rejected at the node, and
// returns the answer.
func (m *testMesh) crashTargets(n *testNode, path string) callResult {
	m.t.Helper()
	for until := time.Now().Add(3 * targetDowntime); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if r := n.call("GET", path, "", false); r.status == 503 && m.crashes.count() >= 3 {
			return r
		}
	}
	m.t.Fatalf("the request is not rejected after %d ends", m.crashes.count())
	return callResult{}
}

// rejects waits until the node rejects the request, at most touch.
func (n *testNode) rejects(path string) {
	n.mesh.t.Helper()
	var last callResult
	for until := time.Now().Add(touch); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		if last = n.call("GET", path, "", false); last.status == 503 && last.retryAfter != "" {
			if after, err := time.ParseDuration(last.retryAfter + "s"); err == nil && after > time.Minute {
				return
			}
		}
	}
	n.mesh.t.Errorf("node %d: last answer %+v, want 503 and the time of the next try", n.index, last)
}

// TestGuiltyRequestStaysRejectedWhenNodesRestart guards against a request that ends targets again since nodes have forgotten it.
func TestGuiltyRequestStaysRejectedWhenNodesRestart(t *testing.T) {
	t.Parallel()
	const path = "/lookups/crash"
	m := newTestMesh(t, 11, 5)
	r := m.crashTargets(m.nodes[0], path)
	if r.took > 200*time.Millisecond {
		t.Errorf("rejected after %s, want at once", r.took)
	}
	for _, n := range m.nodes {
		n.rejects(path)
	}
	m.nodes[1].stop()
	m.nodes[1].start()
	m.nodes[1].rejects(path)
	time.Sleep(500 * time.Millisecond) // until the row is written
	var wg sync.WaitGroup
	for _, n := range m.nodes {
		wg.Go(n.stop)
	}
	wg.Wait()
	for _, n := range m.nodes {
		n.start()
	}
	for _, n := range m.nodes {
		n.rejects(path)
	}
	if late, ends := m.crashes.sentLaterThan(0); ends != 3 || late > maxLateSends {
		t.Errorf("%d ends, sent %d times after the third, want 3 and at most %d", ends, late, maxLateSends)
	}
}
