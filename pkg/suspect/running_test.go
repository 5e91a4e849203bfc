package suspect

import (
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

func known(n int) func() (Key, bool) { return func() (Key, bool) { return keyNumber(n), true } }

// Guards against requests that are blamed for an end that they had no part in, and
// against one that is not.
func TestCloseNamesWhatRan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var r Running
		completed, proven, abandoned, old := r.Begin(known(1)), r.Begin(known(2)), r.Begin(known(3)), r.Begin(known(4))
		r.Begin(func() (Key, bool) { return Key{}, false }) // too little of its body is known
		r.Remove(completed)
		r.AddProven(keyNumber(2))
		r.GiveUp(old, time.Second)
		time.Sleep(time.Second)
		r.GiveUp(abandoned, time.Second)
		running, end, first := r.Close()
		want := map[Key]bool{keyNumber(2): true, keyNumber(3): false}
		if !first || len(running) != len(want) {
			t.Fatalf("first %t, ran %v", first, running)
		}
		for _, o := range running {
			if isProven, ok := want[o.Key]; !ok || isProven != o.Proven {
				t.Errorf("ran %+v", o)
			}
		}
		if r.EndOf(proven) != end || end == 0 {
			t.Errorf("end %d, of the call %d", end, r.EndOf(proven))
		}
		time.Sleep(time.Millisecond)
		if later := r.EndOf(r.Begin(known(5))); later != 0 {
			t.Errorf("end %d of a call after it", later)
		}
		if _, _, again := r.Close(); again {
			t.Error("closed twice")
		}
	})
}

// Guards against calls that break together and wait for one check after another.
func TestChecksAreShared(t *testing.T) {
	var r Running
	var checks atomic.Int64
	var wg, called sync.WaitGroup
	called.Add(20)
	for range 20 {
		wg.Go(func() {
			called.Done()
			r.CheckEnded(func() bool { called.Wait(); checks.Add(1); time.Sleep(50 * time.Millisecond); return true }, func() { t.Error("has not ended") })
		})
	}
	wg.Wait()
	if n := checks.Load(); n > 2 {
		t.Errorf("%d checks", n)
	}
}

// Guards against two suspects that run at a target at once, and against trials that
// wait without bound.
func TestTrialSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var s TrialSlot
		until := time.Now().Add(time.Second)
		if !s.Begin(t.Context(), until) {
			t.Fatal("the first trial is refused")
		}
		var admitted atomic.Int64
		for range maxWaitingTrials {
			go func() {
				if s.Begin(t.Context(), until) {
					admitted.Add(1)
				}
			}()
		}
		synctest.Wait()
		if s.Begin(t.Context(), until) {
			t.Error("a trial more than may wait is admitted")
		}
		s.End()
		synctest.Wait()
		if n := admitted.Load(); n != 1 {
			t.Errorf("%d trials run at once", n)
		}
		time.Sleep(time.Second)
		synctest.Wait()
		if n := admitted.Load(); n != 1 {
			t.Errorf("%d trials were admitted after their time", n)
		}
	})
}
