package owner

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"nutmeghoist.example/nutmeghoist/internal/exchange"
	"nutmeghoist.example/nutmeghoist/internal/hop"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/suspect"
)

// Guards against a request that is cleared, and ends further targets, because a target
// answered one of its calls with a failure before the end: at the deadline, or since a
// nested call failed.
func TestFailureIsNoCompletion(t *testing.T) {
	for _, tc := range []struct {
		status int
		ends   int // that are known after the answer
	}{{200, 0}, {404, 0}, {500, 1}, {504, 1}} {
		t.Run(fmt.Sprint(tc.status), func(t *testing.T) {
			o := newOwner(nil)
			h := heartbeat("a", 10, 1, false)
			h.Address = startAnswering(t, tc.status, 0, new(atomic.Int64))
			if err := o.Heartbeat(h); err != nil {
				t.Fatal(err)
			}
			r := request("a", time.Second)
			o.cfg.Suspects.RecordEnd(1, []suspect.Observation{{Key: keyOf(r)}})
			if resp := o.Call(t.Context(), r); resp.Outcome != hop.Answered || resp.Status != tc.status {
				t.Fatalf("answer %+v", resp)
			}
			if d := o.cfg.Suspects.Decide(keyOf(r)); d.Ends != tc.ends {
				t.Errorf("%d ends after an answer %d, want %d", d.Ends, tc.status, tc.ends)
			}
		})
	}
}

// Guards against a request that is sent on after three targets have ended under it, since
// one of its calls was still running at another target, which answers 504 at the deadline.
func TestFailureAfterTheThirdEndClearsNothing(t *testing.T) {
	for _, status := range []int{500, 504} {
		o := newOwner(nil)
		h := heartbeat("a", 10, 1, false)
		var arrived atomic.Int64
		h.Address = startAnswering(t, status, 100*time.Millisecond, &arrived)
		if err := o.Heartbeat(h); err != nil {
			t.Fatal(err)
		}
		r := request("a", time.Second)
		answered := make(chan int)
		go func() { answered <- o.Call(t.Context(), r).Status }()
		for arrived.Load() == 0 { // a call that is not sent yet is rejected at the third end
			time.Sleep(time.Millisecond)
		}
		for end := range suspect.MaxEnds {
			o.cfg.Suspects.RecordEnd(suspect.EndID(1+end), []suspect.Observation{{Key: keyOf(r)}})
		}
		if got := <-answered; got != status {
			t.Fatalf("status %d, want %d", got, status)
		}
		if d := o.cfg.Suspects.Decide(keyOf(r)); d.Verdict != suspect.Rejected {
			t.Errorf("verdict %d after an answer %d, want the request rejected", d.Verdict, status)
		}
	}
}

// Guards against a request that is rejected because targets answered it with 500, since a
// nested call failed, and ended for another reason right after. A target can still end
// under a request that it has answered with 504.
func TestEndsAfterAFailure(t *testing.T) {
	for status, want := range map[int]int{500: 0, 504: 3} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			o := newOwner(nil)
			var addresses [3]string
			beat := func(i int, started int64) mesh.TargetID {
				h := heartbeat(mesh.TargetID(fmt.Sprint("t", i)), started, 1, false)
				h.Address = addresses[i]
				if err := o.Heartbeat(h); err != nil {
					t.Fatal(err)
				}
				return h.ID
			}
			for i := range addresses {
				addresses[i] = startAnswering(t, status, 0, new(atomic.Int64))
				if resp := o.Call(t.Context(), request(beat(i, 10), time.Second)); resp.Status != status {
					t.Fatalf("answer %+v", resp)
				}
			}
			for i := range addresses {
				beat(i, 20)
			}
			if d := o.cfg.Suspects.Decide(keyOf(request("t0", time.Second))); d.Ends != want {
				t.Errorf("%d ends are known, want %d", d.Ends, want)
			}
		})
	}
}

// Guards against a call that reads without the lock what a heartbeat writes: when it
// carries what the target has said, when it clears its request, and when its target has
// ended under it. Only the race detector sees it.
func TestOutcomesBesideHeartbeats(t *testing.T) {
	r := request("a", time.Second)
	key := func() suspect.Key { return keyOf(r) }
	for name, act := range map[string]func(*Owner, *target){
		"signals": func(o *Owner, a *target) { o.applySignals(a, &hop.TargetSignals{Started: 10}) },
		"completion": func(o *Owner, a *target) {
			call := a.running.Begin(func() (suspect.Key, bool) { return key(), true })
			o.endCall(t.Context(), a, call, key, 0, &exchange.Result{Kind: exchange.Answered, Status: http.StatusOK})
		},
		"end": func(o *Owner, a *target) {
			a.running.Begin(func() (suspect.Key, bool) { return key(), true })
			if !o.hasEnded(t.Context(), a) {
				t.Error("the end was not seen")
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			o := newOwner(nil)
			h := heartbeat("a", 10, 1, false) // nothing listens at its address
			if err := o.Heartbeat(h); err != nil {
				t.Fatal(err)
			}
			o.cfg.Suspects.RecordEnd(1, []suspect.Observation{{Key: key()}})
			a := o.targets["a"]
			var heartbeat sync.WaitGroup
			heartbeat.Go(func() {
				h.Sequence++
				_ = o.Heartbeat(h)
			})
			// Unlike a channel, a sleep does not order the heartbeat before the call.
			time.Sleep(10 * time.Millisecond)
			act(o, a)
			heartbeat.Wait()
		})
	}
}
