package sidecar

import (
	"sync"
	"testing"
	"time"
)

// Guards against a process that waits for one of its parts until it is killed at
// the end of the grace time.
func TestWaitAtMost(t *testing.T) {
	var wg sync.WaitGroup
	release := make(chan struct{})
	wg.Go(func() { <-release })
	began := time.Now()
	if waitAtMost(&wg, 20*time.Millisecond) {
		t.Error("a part that did not end was not noticed")
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("waited %s", took)
	}
	close(release)
	if !waitAtMost(&wg, time.Minute) {
		t.Error("parts that ended were not noticed")
	}
}
