package sidecar

import (
	"sync"
	"testing"
	"time"
)

// Guards against a process that waits for a goroutine that does not end, until
// it is killed at the end of the grace time.
func TestWaitAtMost(t *testing.T) {
	var wg sync.WaitGroup
	release := make(chan struct{})
	wg.Go(func() { <-release })
	began := time.Now()
	if waitAtMost(&wg, 20*time.Millisecond) {
		t.Error("reported a group as finished while it still ran")
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("waited %s", took)
	}
	close(release)
	if !waitAtMost(&wg, time.Minute) {
		t.Error("reported a finished group as still running")
	}
}
