package soak

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"nutmeghoist.example/nutmeghoist/internal/owner"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/pause"
	"nutmeghoist.example/nutmeghoist/platform"
)

const (
	targetSlots     = 8
	meanServiceTime = 25 * time.Millisecond
)

// target is a backend that records its runs in the journal.
type target struct {
	node             *node
	id               mesh.TargetID
	version          mesh.TargetVersion
	address          string
	started          time.Time
	failing          atomic.Bool  // half of the calls fail
	slowFactor       atomic.Int64 // multiplies the service time
	losesAnswers     atomic.Bool  // a tenth of the calls get no answer
	truncatesAnswers atomic.Bool  // a tenth of the answers are cut short
	answers          atomic.Int32 // an answerFault
	broken           atomic.Int32 // a brokenAnswer
	rateLimit        atomic.Int64 // calls a second that its answers name; 0 for none
	uploads          atomic.Int32 // an uploadFault

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	ended    bool
	draining bool
	acked    time.Time // when its drain was acknowledged
	sequence uint64
	cancel   context.CancelFunc
	cold     coldState
}

func newTarget(n *node, id mesh.TargetID, version mesh.TargetVersion) *target {
	t := &target{node: n, id: id, version: version, started: time.Now(), conns: make(map[net.Conn]bool)}
	t.slowFactor.Store(1)
	if n.cluster.options.ColdTargets && time.Since(n.cluster.started) > startupTime {
		t.cold = coldState{until: t.started.Add(coldTime), from: t.started}
	}
	return t
}

func (t *target) start(ctx context.Context) {
	l, err := net.Listen("tcp", t.node.cluster.address(t.node.index, 0).String())
	if err != nil {
		t.node.cluster.journal.addViolation("target %s cannot listen: %v", t.id, err)
		return
	}
	ctx, t.cancel = context.WithCancel(ctx)
	t.listener, t.address = l, l.Addr().String()
	go t.accept()
	go t.sendHeartbeats(ctx)
}

func (t *target) serves() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.ended && !t.draining
}

// crash stops the target immediately, without announcing it.
func (t *target) crash() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended || t.listener == nil {
		return
	}
	t.ended = true
	t.cancel()
	_ = t.listener.Close() // an error cannot be handled here
	for c := range t.conns {
		_ = c.Close() // errors are ignored as above
	}
}

// leave announces that the target drains, waits for the acknowledgement, serves
// slightly longer than the drain time, and stops.
func (t *target) leave(ctx context.Context) {
	t.mu.Lock()
	t.draining = true
	t.mu.Unlock()
	for begin := time.Now(); time.Since(begin) < 4*time.Second && ctx.Err() == nil; pause.For(ctx, 100*time.Millisecond) {
		if t.sendHeartbeat(ctx) {
			break
		}
	}
	serving := bounds.Drain + time.Second
	if t.node.cluster.options.Departures {
		serving += lateHeartbeatTime + restartDelay // targets may serve for longer
	}
	pause.For(ctx, serving)
	t.crash()
}

func (t *target) sendHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		if !t.node.cluster.options.Departures || !t.wasAcked() {
			t.sendHeartbeat(ctx) // one that has left may send no more
		}
		pause.For(ctx, bounds.HeartbeatInterval)
	}
}

// sendHeartbeat sends a heartbeat and reports whether it was acknowledged.
func (t *target) sendHeartbeat(ctx context.Context) bool {
	t.mu.Lock()
	draining, coldLeft := t.draining, max(0, time.Until(t.cold.until))
	t.mu.Unlock()
	path, body := t.encodeHeartbeat(draining)
	if !t.post(ctx, path, body) {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if draining && t.acked.IsZero() {
		t.acked = time.Now()
	}
	if coldLeft > 0 && t.cold.from.IsZero() {
		t.cold.from = time.Now()
	}
	return true
}

// encodeHeartbeat returns the path and the body of the next heartbeat.
func (t *target) encodeHeartbeat(draining bool) (path string, body []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sequence++
	return platform.EncodeHeartbeat(owner.Heartbeat{
		ID: t.id, Address: t.address, Service: t.node.service, Version: t.version, Slots: targetSlots,
		Draining: draining, Sequence: t.sequence, Started: t.started.UnixMilli(), WarmUp: max(0, time.Until(t.cold.until)),
	})
}

// post sends a heartbeat and reports whether it was acknowledged.
func (t *target) post(ctx context.Context, path string, body []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+t.node.cluster.address(t.node.index, portAnnounce).String()+path, bytes.NewReader(body))
	if err != nil {
		return false
	}
	resp, err := heartbeatClient.Do(req)
	if err != nil {
		return false // the node is down; the next heartbeat tries again
	}
	_ = resp.Body.Close() // the body is not used
	return resp.StatusCode/100 == 2
}

var heartbeatClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func (t *target) accept() {
	for {
		c, err := t.listener.Accept()
		if err != nil {
			return
		}
		t.mu.Lock()
		t.conns[c] = true
		t.mu.Unlock()
		go t.serve(c)
	}
}

func (t *target) serve(raw net.Conn) {
	c := &answerConn{Conn: raw}
	defer func() {
		_ = c.Close() // the connection is closed even on an error
		t.mu.Lock()
		delete(t.conns, raw)
		t.mu.Unlock()
	}()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil || !t.handle(req, c, r) {
			return
		}
	}
}

// handle runs one call and reports whether the connection stays open.
func (t *target) handle(req *http.Request, c *answerConn, r *bufio.Reader) bool {
	if strings.HasPrefix(req.URL.Path, uploadPrefix) {
		return t.handleUpload(req, c, r)
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return false
	}
	names := platform.Headers
	id := req.Header.Get(names.RequestID)
	if req.Header.Get(names.ExpectInstance) != string(t.id) {
		fmt.Fprint(c, "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n")
		return true
	}
	if t.exceedsColdBound() {
		t.node.cluster.journal.addViolation("target %s got more than %v calls within a second while it was cold", t.id, coldBound)
		t.crash()
		time.AfterFunc(crashDowntime, t.restart)
		return false
	}
	t.mu.Lock()
	acked, draining := t.acked, t.draining
	t.mu.Unlock()
	t.node.cluster.journal.recordRun(run{
		id: id, target: t, at: time.Now(), acked: acked, path: req.RequestURI,
		caller: req.Header.Get(names.CallerService),
	})
	if t.runCrashing(req.RequestURI, id) {
		return false
	}
	remainingMS, err := strconv.Atoi(req.Header.Get(names.DeadlineMs))
	if err != nil || remainingMS > int(callTimeout.Milliseconds())+500 {
		t.node.cluster.journal.addViolation("call %s: target %s received a deadline of %q ms", id, t.id, req.Header.Get(names.DeadlineMs))
	}
	time.Sleep(time.Duration((0.5 + rand.Float64()) * float64(meanServiceTime) * float64(t.slowFactor.Load())))
	status := 200
	if t.failing.Load() && rand.IntN(2) == 0 {
		status = 500
	}
	if broken := t.takeBroken(10); broken != noBrokenAnswer {
		broken.send(t, c, id)
		return false
	}
	body := answerBody(id, t.id)
	switch {
	case t.losesAnswers.Load() && rand.IntN(10) == 0:
		return false
	case t.truncatesAnswers.Load() && rand.IntN(10) == 0:
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Length: %d\r\n\r\n%s", names.RequestID, id, names.Stamp, len(body)+9, body)
		return false
	}
	fault := answerFault(t.answers.Load())
	if rand.IntN(10) != 0 {
		fault = noAnswerFault
	}
	rest := fmt.Sprintf("%s%s: s\r\nContent-Length: %d\r\n\r\n%s", t.signals(draining), names.Stamp, len(body), body)
	statusLine := fmt.Sprintf("HTTP/1.1 %d X\r\n", status)
	return fault.send(t, c, statusLine+names.RequestID+": "+id+"\r\n"+rest, statusLine+rest)
}

// answerBody returns the body of a target's answer to a call.
func answerBody(id string, t mesh.TargetID) string {
	return strings.Repeat(id+" by "+string(t)+"\n", 20)
}
