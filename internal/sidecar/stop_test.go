package sidecar_test

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

// TestLateCallsOfOtherNodesAreNotCut guards against calls that a stopping node takes from other nodes until its end, while it waits for a call of its own callers.
func TestLateCallsOfOtherNodesAreNotCut(t *testing.T) {
	t.Parallel()
	m := newTestMesh(t, 21, 2)
	m.nodes[1].target.end() // the other node's target is the only one
	for until := time.Now().Add(5 * time.Second); m.nodes[1].call("GET", "/lookups/a", "", false).status != 200; {
		if time.Now().After(until) {
			t.Fatal("no call is served at the other node's target")
		}
	}
	stopped := make(chan struct{})
	go func() { m.nodes[0].stop(); close(stopped) }()
	time.AfterFunc(2*time.Second, func() { m.nodes[0].call("POST", "/orders/slow", "rope", false) })
	var mu sync.Mutex
	var wg sync.WaitGroup
	statuses := map[int]int{}
	tick := time.NewTicker(70 * time.Millisecond)
	defer tick.Stop()
	for k := 0; ; k++ {
		select {
		case <-stopped:
			wg.Wait()
			if t.Logf("answers: %v", statuses); statuses[200] == 0 || statuses[0]+statuses[502]+statuses[504] > 0 {
				t.Errorf("answers %v: calls were cut by the planned stop", statuses)
			}
			m.nodes[0].start()
			return
		case <-tick.C:
			wg.Go(func() {
				r := m.nodes[1].call("POST", fmt.Sprint("/orders/late-", k), "rope", false)
				mu.Lock()
				defer mu.Unlock()
				statuses[r.status]++
			})
		}
	}
}
