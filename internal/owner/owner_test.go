package owner

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"nutmeghoist.example/nutmeghoist/internal/hop"
	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/traffic"
)

const drainTime = 400 * time.Millisecond

func newOwner(published *[]membership.Target) *Owner {
	return New(Config{
		HeaderNames:    traffic.Headers{RequestID: "Call-Name", DeadlineMs: "Left-Ms", Stamp: "Proof", ExpectInstance: "Meant-For", NotRun: "Not-Run", CallerService: "From", RateLimit: "Takes", Leaving: "Going"},
		Bounds:         Bounds{Drain: drainTime, HeartbeatInterval: 100 * time.Millisecond},
		MaxConnections: func(mesh.ServiceName) int { return 10 },
		OnChange: func(l []membership.Target) {
			if published != nil {
				*published = l
			}
		},
		Metrics: metrics.NewRegistry(), Log: &log.Logger{Level: log.PanicLevel + 1},
	})
}

func heartbeat(id mesh.TargetID, started int64, sequence uint64, draining bool) Heartbeat {
	return Heartbeat{ID: id, Address: "127.0.0.1:1", Service: "galley", Version: "v1", Slots: 2, Draining: draining, Sequence: sequence, Started: started}
}

// Guards against a delayed heartbeat that makes a departed or draining target
// ready again, and against a new start that is taken for the old one.
func TestHeartbeatsOutOfOrder(t *testing.T) {
	elsewhere := func(h Heartbeat) Heartbeat { h.Address = "127.0.0.1:2"; return h }
	cases := []struct {
		name  string
		beats []Heartbeat
		leave mesh.TargetID // after the beats
		late  []Heartbeat   // after that
		want  string        // targets with their states: 2 is ready, 3 is draining
	}{
		{"ready", []Heartbeat{heartbeat("a", 10, 1, false)}, "", nil, "a:2"},
		{"draining", []Heartbeat{heartbeat("a", 10, 1, false), heartbeat("a", 10, 2, true)}, "", nil, "a:3"},
		{"first heartbeat is draining", []Heartbeat{heartbeat("a", 10, 2, true)}, "", nil, "a:3"},
		{"delayed ready after draining", []Heartbeat{heartbeat("a", 10, 2, true), heartbeat("a", 10, 1, false)}, "", nil, "a:3"},
		{"not ready again in one start", []Heartbeat{heartbeat("a", 10, 2, true), heartbeat("a", 10, 3, false)}, "", nil, "a:3"},
		{"restart with the same ID", []Heartbeat{heartbeat("a", 10, 9, true), heartbeat("a", 20, 1, false)}, "", nil, "a:2"},
		{"delayed heartbeat of an earlier start", []Heartbeat{heartbeat("a", 20, 1, false), heartbeat("a", 10, 9, true)}, "", nil, "a:2"},
		{"leave without draining", []Heartbeat{heartbeat("a", 10, 1, false)}, "a", []Heartbeat{heartbeat("a", 10, 2, false)}, "a:3"},
		{"leave before the first heartbeat", nil, "a", []Heartbeat{heartbeat("a", 10, 1, false)}, ""},
		{"address is reused", []Heartbeat{heartbeat("a", 10, 1, false), heartbeat("b", 20, 1, false)}, "", nil, "b:2"},
		{"delayed heartbeat at a reused address", []Heartbeat{heartbeat("b", 20, 1, false), heartbeat("a", 10, 5, false)}, "", nil, "b:2"},
		{"two targets", []Heartbeat{heartbeat("a", 10, 1, false), elsewhere(heartbeat("b", 10, 1, false))}, "", nil, "a:2 b:2"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var published []membership.Target
			o := newOwner(&published)
			send := func(list []Heartbeat) {
				for _, h := range list {
					if err := o.Heartbeat(h); err != nil {
						t.Fatal(err)
					}
				}
			}
			send(tc.beats)
			if tc.leave != "" {
				o.Leave(tc.leave, 0)
			}
			send(tc.late)
			got := ""
			for _, id := range []mesh.TargetID{"a", "b"} {
				for _, p := range published {
					if p.ID == id {
						got += fmt.Sprintf(" %s:%d", p.ID, p.State)
					}
				}
			}
			if got != "" {
				got = got[1:]
			}
			if got != tc.want {
				t.Errorf("published %q, want %q", got, tc.want)
			}
		})
	}
}

// startTarget runs a target that responds to each call after serviceTime and
// records when the last one arrived.
func startTarget(t *testing.T, serviceTime time.Duration, last *atomic.Int64) string {
	t.Helper()
	return startAnswering(t, http.StatusOK, serviceTime, last)
}

// startAnswering is startTarget with the status of the responses.
func startAnswering(t *testing.T, status int, serviceTime time.Duration, last *atomic.Int64) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					last.Store(time.Now().UnixNano())
					time.Sleep(serviceTime)
					fmt.Fprintf(c, "HTTP/1.1 %d X\r\nCall-Name: %s\r\nProof: p\r\nContent-Length: 0\r\n\r\n", status, req.Header.Get("Call-Name"))
				}
			}()
		}
	}()
	return l.Addr().String()
}

func request(target mesh.TargetID, left time.Duration) *hop.Request {
	at := time.Now().Add(left).Sub(hop.TimeAt(0)).Microseconds()
	return &hop.Request{
		Target: target, Service: "galley", Version: "v1", Caller: "orderdesk", ID: "c", Method: "GET", URI: "/", Host: "m",
		Idempotent: true, Priority: 1, DeadlineAt: at, SoftDeadlineAt: at,
	}
}

// ownerWithTarget returns an owner with a target that responds at once, the
// target's heartbeat, and the time of the last call that reached it.
func ownerWithTarget(t *testing.T) (*Owner, Heartbeat, *atomic.Int64) {
	t.Helper()
	last := new(atomic.Int64)
	o := newOwner(nil)
	h := heartbeat("a", 10, 1, false)
	h.Address = startTarget(t, 0, last)
	if err := o.Heartbeat(h); err != nil {
		t.Fatal(err)
	}
	return o, h, last
}

// Guards against a call that reaches a draining target later than the drain
// time after the acknowledgement, also when it waited for a slot.
func TestNoCallAfterDrainTime(t *testing.T) {
	var last atomic.Int64
	o := newOwner(nil)
	h := heartbeat("a", 10, 1, false)
	h.Address = startTarget(t, 60*time.Millisecond, &last)
	if err := o.Heartbeat(h); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithTimeout(t.Context(), 2*drainTime)
	defer stop()
	var answered, refused atomic.Int64
	for range 8 { // four times the slots, so that calls wait
		go func() {
			for ctx.Err() == nil {
				switch resp := o.Call(ctx, request("a", time.Second)); resp.Outcome {
				case hop.Answered:
					answered.Add(1)
				case hop.NotRun:
					refused.Add(1)
					time.Sleep(5 * time.Millisecond)
				}
			}
		}()
	}
	time.Sleep(drainTime / 2)
	h.Sequence, h.Draining = 2, true
	if err := o.Heartbeat(h); err != nil {
		t.Fatal(err)
	}
	acknowledged := time.Now()
	<-ctx.Done()
	time.Sleep(100 * time.Millisecond)
	if late := time.Unix(0, last.Load()).Sub(acknowledged); late > drainTime {
		t.Errorf("the last call arrived %s after the acknowledgement, want at most %s", late, drainTime)
	}
	if answered.Load() == 0 || refused.Load() == 0 {
		t.Errorf("%d answered, %d refused: want some of both", answered.Load(), refused.Load())
	}
}

// Guards against a shortened drain time that is not applied to targets already
// draining, and against a drain time that is extended after it was
// acknowledged.
func TestChangedDrainTime(t *testing.T) {
	o, h, last := ownerWithTarget(t)
	h.Sequence, h.Draining = 2, true
	if err := o.Heartbeat(h); err != nil {
		t.Fatal(err)
	}
	acknowledged := time.Now()
	o.SetBounds(Bounds{Drain: 10 * drainTime, HeartbeatInterval: 100 * time.Millisecond})
	o.SetBounds(Bounds{Drain: drainTime / 4, HeartbeatInterval: 100 * time.Millisecond})
	for time.Since(acknowledged) < drainTime {
		o.Call(t.Context(), request("a", time.Second))
		time.Sleep(time.Millisecond)
	}
	if late := time.Unix(0, last.Load()).Sub(acknowledged); late > drainTime/4 {
		t.Errorf("the last call arrived %s after the acknowledgement, want at most %s", late, drainTime/4)
	}
	if err := o.Heartbeat(heartbeat("b", 11, 1, false)); err != nil {
		t.Fatal(err)
	}
	o.SetBounds(Bounds{Drain: 10 * drainTime, HeartbeatInterval: 100 * time.Millisecond})
	if resp := o.Call(t.Context(), request("a", time.Second)); resp.Outcome != hop.NotRun {
		t.Errorf("a drained target accepts calls again: %+v", resp)
	}
}

// Guards against running a call at a target that the caller's node did not
// choose.
func TestMisroutedCallsAreNotRun(t *testing.T) {
	o, _, last := ownerWithTarget(t)
	change := map[string]func(*hop.Request){
		"another target":  func(r *hop.Request) { r.Target = "b" },
		"another service": func(r *hop.Request) { r.Service = "orderdesk" },
		"another version": func(r *hop.Request) { r.Version = "v2" },
		"no time left":    func(r *hop.Request) { r.DeadlineAt = 0 },
	}
	for name, f := range change {
		r := request("a", time.Second)
		f(r)
		if resp := o.Call(t.Context(), r); resp.Outcome != hop.NotRun || resp.SentToTarget {
			t.Errorf("%s: outcome %d, sent to the target %v", name, resp.Outcome, resp.SentToTarget)
		}
	}
	if last.Load() != 0 {
		t.Error("a call reached the target")
	}
}

// Guards against a target that still gets calls after its heartbeats have
// stopped.
func TestTargetWithoutHeartbeatsIsUnavailable(t *testing.T) {
	var published []membership.Target
	o := newOwner(&published)
	if err := o.Heartbeat(heartbeat("a", 10, 1, false)); err != nil {
		t.Fatal(err)
	}
	o.checkHeartbeats(time.Now().Add(time.Second))
	if len(published) != 1 || published[0].State != membership.TargetStarting {
		t.Errorf("published %+v", published)
	}
	if resp := o.Call(t.Context(), request("a", time.Second)); resp.Outcome != hop.NotRun || resp.Reason != reasonSilent {
		t.Errorf("got %+v", resp)
	}
	if err := o.Heartbeat(heartbeat("a", 10, 2, false)); err != nil {
		t.Fatal(err)
	}
	if published[0].State != membership.TargetReady {
		t.Errorf("published %+v after the next heartbeat", published)
	}
}

// Guards against a target that was leaving when an earlier process of the node
// acknowledged it, and that a delayed heartbeat brings back into use after a restart
// of the node; and against a new start of that target that is refused.
func TestDeparturesOutliveARestart(t *testing.T) {
	for name, heartbeatFirst := range map[string]bool{"record first": false, "delayed heartbeat first": true} {
		t.Run(name, func(t *testing.T) {
			var published []membership.Target
			o := newOwner(&published)
			delayed := heartbeat("a", 10, 5, false)
			if heartbeatFirst {
				_ = o.Heartbeat(delayed)
			}
			o.RestoreDeparture("a", 10)
			_ = o.Heartbeat(delayed)
			for _, target := range published {
				if target.State == membership.TargetReady {
					t.Errorf("the target that left is ready")
				}
			}
			time.Sleep(drainTime)
			call := &hop.Request{Target: "a", Service: "galley", Version: "v1", ID: "x", DeadlineAt: hop.MonotonicMicros() + 1e6}
			if resp := o.Call(t.Context(), call); resp.Outcome != hop.NotRun || resp.SentToTarget {
				t.Errorf("a call got %+v", resp)
			}
			_ = o.Heartbeat(heartbeat("a", 20, 1, false))
			if len(published) != 1 || published[0].State != membership.TargetReady {
				t.Errorf("the new start is not ready: %+v", published)
			}
		})
	}
}

// TestResendIsPaidByTheCaller guards against calls that are sent again on a new connection beyond the retries that all nodes share.
func TestResendIsPaidByTheCaller(t *testing.T) {
	for _, mayResend := range []bool{false, true} {
		t.Run(fmt.Sprint("mayResend=", mayResend), func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			var requests atomic.Int64
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					go func() {
						defer c.Close()
						r := bufio.NewReader(c)
						for {
							req, err := http.ReadRequest(r)
							if err != nil || requests.Add(1) > 1 {
								return // breaks the connection from the second request on
							}
							fmt.Fprintf(c, "HTTP/1.1 200 X\r\nCall-Name: %s\r\nProof: p\r\nContent-Length: 0\r\n\r\n", req.Header.Get("Call-Name"))
						}
					}()
				}
			}()
			o := newOwner(nil)
			h := heartbeat("a", 10, 1, false)
			h.Address = l.Addr().String()
			if err := o.Heartbeat(h); err != nil {
				t.Fatal(err)
			}
			call := func(id string) *hop.Response {
				in := time.Now().Add(time.Second).Sub(hop.TimeAt(0)).Microseconds()
				return o.Call(t.Context(), &hop.Request{
					Target: "a", Service: "galley", Version: "v1", ID: id, Method: "GET", URI: "/menus", Host: "m", Idempotent: true,
					DeadlineAt: in, SoftDeadlineAt: in, MayResend: mayResend,
				})
			}
			if r := call("1"); r.Outcome != hop.Answered {
				t.Fatalf("first call: %+v", r)
			}
			r := call("2")
			if want := map[bool]int64{false: 2, true: 3}[mayResend]; requests.Load() != want || r.Resent != mayResend || r.Outcome != hop.Unknown {
				t.Errorf("%d requests, want %d; resent %t, outcome %d", requests.Load(), want, r.Resent, r.Outcome)
			}
		})
	}
}

// Guards against a response that does not say that a call failed which the target made
// for it, and against one that says so of another call.
func TestResponseTellsNestedFailure(t *testing.T) {
	o := newOwner(nil)
	h := heartbeat("a", 10, 1, false)
	h.Address = startTarget(t, 30*time.Millisecond, new(atomic.Int64))
	if err := o.Heartbeat(h); err != nil {
		t.Fatal(err)
	}
	for _, failed := range []string{"other", "c", ""} {
		done := make(chan *hop.Response)
		go func() { done <- o.Call(t.Context(), request("a", time.Second)) }()
		for !o.IsRunning("c") {
			time.Sleep(time.Millisecond)
		}
		o.RecordNestedFailure(failed)
		if resp := <-done; resp.NestedFailed != (failed == "c") {
			t.Errorf("a call made for %q failed: response %+v", failed, resp)
		}
	}
}

// TestTargetsThatMayHaveLeft guards against a target that is used after a delayed heartbeat although its departure was acknowledged by an earlier process, and against one that stays unused although it goes on sending heartbeats.
func TestTargetsThatMayHaveLeft(t *testing.T) {
	type step struct {
		sequence uint64 // of a heartbeat; 0 for none
		load     bool   // the departures become known
		left     bool   // and the target is among them
	}
	beats := func(sequences ...uint64) (list []step) {
		for _, s := range sequences {
			list = append(list, step{sequence: s})
		}
		return list
	}
	cases := map[string]struct {
		steps []step
		ready bool
	}{
		"one heartbeat":            {beats(5), false},
		"the same one again":       {beats(5, 5, 5, 5), false},
		"late ones out of order":   {beats(7, 6, 5), false},
		"it goes on":               {beats(5, 6, 7), true},
		"departures known":         {append(beats(5), step{load: true}), true},
		"known before":             {append([]step{{load: true}}, beats(5)...), true},
		"it has left":              {append(beats(5), step{load: true, left: true}), false},
		"it had left":              {append([]step{{load: true, left: true}}, beats(5, 6, 7)...), false},
		"it left, it had gone on":  {append(beats(5, 6, 7), step{load: true, left: true}), false},
		"others follow unverified": {append(beats(5), step{sequence: 6}), false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var published []membership.Target
			o := newOwner(&published)
			o.unverified = true
			for _, s := range tc.steps {
				if s.load {
					departed := make(map[mesh.TargetID]int64)
					if s.left {
						departed["a"] = 10
					}
					o.LoadDepartures(departed, true)
				}
				if s.sequence > 0 {
					_ = o.Heartbeat(heartbeat("a", 10, s.sequence, false))
					time.Sleep(100 * time.Millisecond)
				}
			}
			ready := len(published) == 1 && published[0].State == membership.TargetReady
			call := &hop.Request{Target: "a", Service: "galley", Version: "v1", ID: "x", DeadlineAt: hop.MonotonicMicros() + 1e6}
			resp := o.Call(t.Context(), call)
			if ready != tc.ready || resp.SentToTarget && !tc.ready || !tc.ready && resp.Outcome != hop.NotRun {
				t.Errorf("ready is %v, want %v; a call got %+v", ready, tc.ready, resp)
			}
		})
	}
}

// TestLateLeaveOfAnEarlierStart guards against a target that is drained since the leave request of its earlier start arrives late.
func TestLateLeaveOfAnEarlierStart(t *testing.T) {
	var published []membership.Target
	o := newOwner(&published)
	_ = o.Heartbeat(heartbeat("a", 20, 1, false))
	if started := o.Leave("a", 10); started != 10 || published[0].State != membership.TargetReady {
		t.Errorf("start %d leaves, and the target is in state %d", started, published[0].State)
	}
	if started := o.Leave("a", 20); started != 20 || published[0].State != membership.TargetDraining {
		t.Errorf("start %d leaves, and the target is in state %d", started, published[0].State)
	}
}

// TestOddHeartbeatsLeaveTheTarget guards against a heartbeat of another writer that takes the place of the target, and against so many targets that other hosts refuse the record of this one.
func TestOddHeartbeatsLeaveTheTarget(t *testing.T) {
	var published []membership.Target
	o := newOwner(&published)
	o.cfg.KnowsService = func(s mesh.ServiceName) bool { return s == "galley" || s == "orderdesk" }
	_ = o.Heartbeat(heartbeat("a", 10, 5, false))
	odd := heartbeat("b", 20, 1, false)
	odd.Service = "unnamed"
	for _, id := range []mesh.TargetID{"a", "b"} {
		odd.ID = id
		if err := o.Heartbeat(odd); err == nil {
			t.Errorf("a heartbeat of %s with an unknown service is acknowledged", id)
		}
	}
	for i := range 3 * maxTargets {
		odd.ID, odd.Address = mesh.TargetID(fmt.Sprint("odd", i)), fmt.Sprintf("127.0.0.1:%d", 2+i)
		_ = o.Heartbeat(odd)
	}
	if len(published) > maxTargets {
		t.Errorf("%d targets", len(published))
	}
	ready := false
	for _, target := range published {
		ready = ready || target.ID == "a" && target.State == membership.TargetReady
	}
	if !ready {
		t.Errorf("the target is gone: %+v", published)
	}
	next := heartbeat("c", 30, 1, false) // the address is used again by another service
	next.Service = "orderdesk"
	if err := o.Heartbeat(next); err != nil || o.targets["a"] != nil || o.targets["c"] == nil {
		t.Errorf("the target that follows at the address: %v", err)
	}
}

// TestRunsOfRepeats guards against a repeated run that is taken for the first one of its request, by its attempt or since another runs already, and against a record that outlives the run.
func TestRunsOfRepeats(t *testing.T) {
	o := newOwner(nil)
	first, repeat := &hop.Request{ID: "a"}, &hop.Request{ID: "b", Repeat: true}
	o.beginRunning(first)
	o.beginRunning(repeat)
	if o.IsRepeat("a") || !o.IsRepeat("b") || o.IsRepeat("c") {
		t.Errorf("repeats: a %v, b %v, c %v", o.IsRepeat("a"), o.IsRepeat("b"), o.IsRepeat("c"))
	}
	o.beginRunning(first)
	if !o.IsRepeat("a") {
		t.Error("a second run of a request is not a repeat")
	}
	o.endRunning("a")
	o.endRunning("a")
	o.endRunning("b")
	if o.IsRepeat("a") || o.IsRepeat("b") {
		t.Error("runs that have ended are repeats")
	}
}
