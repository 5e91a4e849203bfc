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
	targetSlots = 8
	targetWork  = 25 * time.Millisecond
)

// target is a back end. It keeps what it runs in the journal.
type target struct {
	n       *node
	id      mesh.TargetID
	version mesh.TargetVersion
	address string
	born    time.Time
	bad     atomic.Bool  // fails half of its calls
	slow    atomic.Int64 // factor of its work
	lose    atomic.Bool  // loses a tenth of its answers
	garble  atomic.Bool  // spoils a tenth of its answers

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	ended    bool
	draining bool
	acked    time.Time // when its leaving was acknowledged
	sequence uint64
	cancel   context.CancelFunc
}

func newTarget(n *node, id mesh.TargetID, version mesh.TargetVersion) *target {
	t := &target{n: n, id: id, version: version, born: time.Now(), conns: make(map[net.Conn]bool)}
	t.slow.Store(1)
	return t
}

func (t *target) start(ctx context.Context) {
	l, err := net.Listen("tcp", t.n.w.address(t.n.index, 0).String())
	if err != nil {
		t.n.w.journal.broken("target %s cannot listen: %v", t.id, err)
		return
	}
	ctx, t.cancel = context.WithCancel(ctx)
	t.listener, t.address = l, l.Addr().String()
	go t.accept()
	go t.beat(ctx)
}

func (t *target) serves() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.ended && !t.draining
}

// crash ends the target without a word.
func (t *target) crash() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended || t.listener == nil {
		return
	}
	t.ended = true
	t.cancel()
	_ = t.listener.Close() // nothing can be done about an error here
	for c := range t.conns {
		_ = c.Close() // the same
	}
}

// leave drains the target, waits for the acknowledgement, serves a little
// longer than the drain time, and ends.
func (t *target) leave(ctx context.Context) {
	t.mu.Lock()
	t.draining = true
	t.mu.Unlock()
	for begin := time.Now(); time.Since(begin) < 4*time.Second && ctx.Err() == nil; pause.For(ctx, 100*time.Millisecond) {
		if t.report(ctx) {
			break
		}
	}
	pause.For(ctx, bounds.Drain+time.Second)
	t.crash()
}

func (t *target) beat(ctx context.Context) {
	for ctx.Err() == nil {
		t.report(ctx)
		pause.For(ctx, bounds.HeartbeatInterval)
	}
}

// report sends a heartbeat and reports whether it was acknowledged.
func (t *target) report(ctx context.Context) bool {
	t.mu.Lock()
	t.sequence++
	draining := t.draining
	path, body := platform.EncodeHeartbeat(owner.Heartbeat{
		ID: t.id, Address: t.address, Service: t.n.service, Version: t.version, Slots: targetSlots,
		Draining: draining, Sequence: t.sequence, Started: t.born.UnixMilli(),
	})
	t.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+t.n.w.address(t.n.index, portAnnounce).String()+path, bytes.NewReader(body))
	if err != nil {
		return false
	}
	resp, err := heartbeats.Do(req)
	if err != nil {
		return false // the node is down; the next heartbeat tries again
	}
	_ = resp.Body.Close() // it holds nothing of interest
	if resp.StatusCode/100 != 2 {
		return false
	}
	if draining {
		t.mu.Lock()
		if t.acked.IsZero() {
			t.acked = time.Now()
		}
		t.mu.Unlock()
	}
	return true
}

var heartbeats = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

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

func (t *target) serve(c net.Conn) {
	defer func() {
		_ = c.Close() // the peer sees the end in any case
		t.mu.Lock()
		delete(t.conns, c)
		t.mu.Unlock()
	}()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil || !t.run(req, c) {
			return
		}
	}
}

// run runs one call and reports whether the connection stays open.
func (t *target) run(req *http.Request, c net.Conn) bool {
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return false
	}
	names := platform.Headers
	id := req.Header.Get(names.RequestID)
	if req.Header.Get(names.ExpectInstance) != string(t.id) {
		fmt.Fprint(c, "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n")
		return true
	}
	t.mu.Lock()
	acked := t.acked
	t.mu.Unlock()
	t.n.w.journal.ran(run{
		id: id, target: t, at: time.Now(), acked: acked, path: req.RequestURI,
		caller: req.Header.Get(names.CallerService),
	})
	left, err := strconv.Atoi(req.Header.Get(names.DeadlineMs))
	if err != nil || left > int(deadline.Milliseconds())+500 {
		t.n.w.journal.broken("call %s: target %s was given %q ms", id, t.id, req.Header.Get(names.DeadlineMs))
	}
	time.Sleep(time.Duration((0.5 + rand.Float64()) * float64(targetWork) * float64(t.slow.Load())))
	status := 200
	if t.bad.Load() && rand.IntN(2) == 0 {
		status = 500
	}
	body := bodyOf(id, t.id)
	switch {
	case t.lose.Load() && rand.IntN(10) == 0:
		return false
	case t.garble.Load() && rand.IntN(10) == 0:
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Length: %d\r\n\r\n%s", names.RequestID, id, names.Stamp, len(body)+9, body)
		return false
	}
	// The caller's node sees a failed write as a broken connection.
	_, err = fmt.Fprintf(c, "HTTP/1.1 %d X\r\n%s: %s\r\n%s: s\r\nContent-Length: %d\r\n\r\n%s", status, names.RequestID, id, names.Stamp, len(body), body)
	return err == nil
}

// bodyOf is the body of a target's answer to a call.
func bodyOf(id string, t mesh.TargetID) string {
	return strings.Repeat(id+" by "+string(t)+"\n", 20)
}
