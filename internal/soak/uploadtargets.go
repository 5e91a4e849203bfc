package soak

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/pause"
	"nutmeghoist.example/nutmeghoist/platform"
)

// uploadFault is what a target does to half of its uploads.
type uploadFault int32

const (
	answersUploads uploadFault = iota
	muteUploads                // never answers
	earlyAnswers               // answers before it has read the body
)

// handleUpload runs one upload and reports whether the connection stays open.
func (t *target) handleUpload(req *http.Request, c *answerConn, r *bufio.Reader) bool {
	names, journal := platform.Headers, t.node.cluster.journal
	id := req.Header.Get(names.RequestID)
	if req.Header.Get(names.ExpectInstance) != string(t.id) {
		_, err := io.Copy(io.Discard, req.Body)
		fmt.Fprint(c, "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	fault := uploadFault(t.uploads.Load())
	if rand.IntN(2) == 0 {
		fault = answersUploads
	}
	broken := t.takeBroken(2)
	if broken != noBrokenAnswer {
		fault = answersUploads
	}
	if fault != earlyAnswers && broken != resetPart && !t.readUpload(req, id) {
		return false
	}
	t.mu.Lock()
	acked, draining := t.acked, t.draining
	t.mu.Unlock()
	number := journal.recordRun(run{
		id: id, target: t, at: time.Now(), acked: acked, path: req.RequestURI, caller: req.Header.Get(names.CallerService),
	})
	brokenOff := false
	defer func() { journal.endRun(number, brokenOff) }()
	remainingMS, err := strconv.Atoi(req.Header.Get(names.DeadlineMs))
	if err != nil || remainingMS > int(uploadTimeout.Milliseconds())+500 {
		journal.addViolation("upload %s: target %s received a deadline of %q ms", id, t.id, req.Header.Get(names.DeadlineMs))
	}
	if broken != noBrokenAnswer {
		broken.send(t, c, id)
		return false
	}
	deadline := time.Now().Add(time.Duration(remainingMS) * time.Millisecond)
	work := time.Duration((0.5 + rand.Float64()) * float64(meanServiceTime) * float64(t.slowFactor.Load()))
	switch {
	case fault == muteUploads:
		work = time.Minute
	case rand.IntN(4) == 0:
		work += rand.N(2500 * time.Millisecond)
	}
	if fault != earlyAnswers {
		if err := awaitWork(c, r, work); err != nil {
			// Otherwise the target has ended, or must stop work by itself.
			brokenOff = !errors.Is(err, net.ErrClosed) && time.Now().Before(deadline)
			return false
		}
	}
	body := answerBody(id, t.id)
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s%s: s\r\nContent-Length: %d\r\n\r\n%s", names.RequestID, id, t.signals(draining), names.Stamp, len(body), body); err != nil {
		return false
	}
	if fault == earlyAnswers {
		time.Sleep(rand.N(400 * time.Millisecond))
		return t.readUpload(req, id)
	}
	return true
}

var errUnexpectedBytes = errors.New("bytes came while a call was run")

// awaitWork works for some time. It returns an error when the connection ends meanwhile.
func awaitWork(c *answerConn, r *bufio.Reader, duration time.Duration) error {
	_ = c.SetReadDeadline(time.Now().Add(duration)) // an error makes the read fail
	_, err := r.Peek(1)
	_ = c.SetReadDeadline(time.Time{}) // as above
	switch {
	case err == nil:
		return errUnexpectedBytes
	case isTimeout(err):
		return nil
	}
	return err
}

// readUpload reads the body of an upload and reports whether it arrived whole.
func (t *target) readUpload(req *http.Request, id string) bool {
	body, err := io.ReadAll(req.Body)
	if !bytes.Equal(body, uploadBody(id, len(body))) {
		t.node.cluster.journal.addViolation("upload %s: target %s got a body that its caller has not sent", id, t.id)
	}
	return err == nil
}

// uploadFaultKinds are the faults of runs with uploads: planned stops and changes for the
// most part, since unplanned faults excuse calls without an answer.
var uploadFaultKinds = []faultKind{
	{"term", stopSeries},
	{"term", stopSeries},
	{"term", stopSeries},
	{"term", stopSeries},
	{"term", stopOne},
	{"term", stopOne},
	{"term", stopOne},
	{"term", stopOne},
	{"term", stopDuringChanges},
	{"term", stopDuringChanges},
	{"term", stopDuringChanges},
	{"term", stopWithTarget},
	{"hup", changeSettings},
	{"hup", changeSettings},
	{"mute", uploadFaultRun(muteUploads)},
	{"mute", uploadFaultRun(muteUploads)},
	{"mute", uploadFaultRun(muteUploads)},
	{"early", uploadFaultRun(earlyAnswers)},
	{"early", uploadFaultRun(earlyAnswers)},
	{"early", uploadFaultRun(earlyAnswers)},
	{"rollout", func(ctx context.Context, c *cluster, p faultParams) {
		p.variant = false // a bad version fails calls for longer than the run has planned stops
		c.rollOut(ctx, p)
	}},
	{"delay", func(ctx context.Context, c *cluster, p faultParams) {
		c.relay.Delay(zone(p.node.index), zone(p.other.index), p.duration/20)
		pause.For(ctx, p.duration)
		c.relay.Delay(zone(p.node.index), zone(p.other.index), 0)
	}},
	{"pause", func(ctx context.Context, _ *cluster, p faultParams) {
		p.node.signal(syscall.SIGSTOP)
		pause.For(ctx, p.duration)
		p.node.signal(syscall.SIGCONT)
	}},
	{"kill", func(_ context.Context, _ *cluster, p faultParams) { p.node.terminate(syscall.SIGKILL) }},
}

func stopOne(_ context.Context, _ *cluster, p faultParams) { p.node.terminate(syscall.SIGTERM) }

// stopSeries stops a quarter of the nodes, two at least, at once or one after the other.
func stopSeries(ctx context.Context, c *cluster, p faultParams) {
	gap := p.duration / 3
	if p.variant {
		gap = 50 * time.Millisecond
	}
	for i := range max(2, len(c.nodes)/4) {
		if i > 0 {
			pause.For(ctx, gap)
		}
		n := c.nodes[(p.node.index+i)%len(c.nodes)]
		f := c.journal.beginFault("term", n, n)
		n.terminate(syscall.SIGTERM)
		c.journal.endFault(f)
	}
}

// stopDuringChanges stops a node between two changes of its settings.
func stopDuringChanges(ctx context.Context, c *cluster, p faultParams) {
	shorter := bounds
	shorter.Drain /= 2
	p.node.change(shorter)
	pause.For(ctx, p.duration/8)
	p.node.terminate(syscall.SIGTERM)
	pause.For(ctx, p.duration/4)
	p.node.change(bounds)
	p.other.change(bounds)
}

// stopWithTarget stops a node whose target leaves.
func stopWithTarget(ctx context.Context, _ *cluster, p faultParams) {
	for _, t := range p.node.servingTargets("") {
		p.node.startTarget(ctx, t.version)
		go t.leave(ctx)
		pause.For(ctx, p.duration/10)
		p.node.terminate(syscall.SIGTERM)
		return
	}
}

func changeSettings(ctx context.Context, _ *cluster, p faultParams) {
	shorter := bounds
	shorter.Drain /= 2
	p.node.change(shorter)
	pause.For(ctx, p.duration)
	p.node.change(bounds)
}

// minHandlerTime is the age of a process from which SIGHUP is sent to it: one that has
// just started does not handle signals yet.
const minHandlerTime = time.Second

// change writes settings and signals the process.
func (n *node) change(b platform.Bounds) {
	if err := n.writeSettings(b); err != nil {
		n.cluster.journal.addViolation("settings of %s: %v", n.host, err)
	}
	n.mu.Lock()
	handles := time.Since(n.startedAt) > minHandlerTime
	n.mu.Unlock()
	if handles {
		n.signal(syscall.SIGHUP)
	}
}

func uploadFaultRun(f uploadFault) func(context.Context, *cluster, faultParams) {
	return func(ctx context.Context, _ *cluster, p faultParams) {
		set := func(f uploadFault) {
			for _, n := range []*node{p.node, p.other} {
				n.eachServingTarget(func(t *target) { t.uploads.Store(int32(f)) })
			}
		}
		set(f)
		pause.For(ctx, 2*p.duration)
		set(answersUploads)
	}
}
