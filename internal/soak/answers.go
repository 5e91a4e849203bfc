package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/pause"
)

// answerFault is what a target does to a tenth of its answers.
type answerFault int32

const (
	noAnswerFault answerFault = iota
	endlessHead               // bytes that are no answer, until the node closes the connection
	endlessBody
	lateCopy // a second copy of the answer, when the connection may be in use again
	lateCopyWithoutID
)

var answerFaultNames = []string{"none", "answer-endless-head", "answer-endless-body", "answer-twice", "answer-twice-without-id"}

const (
	// maxEndlessTime is the time within which a node must close a connection on which
	// bytes come without end. It is longer than a call and the longest pause of a node.
	maxEndlessTime = 10 * time.Second
	// maxNodeMemory is the memory that the settings give to a node.
	maxNodeMemory = 128 << 20
)

// answerConn is a connection to a target on which late copies and answers do not mix.
type answerConn struct {
	net.Conn
	mu sync.Mutex
}

func (c *answerConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Conn.Write(b)
}

// send sends the answer to a call, or what the fault makes of it. It reports whether
// the connection stays open. withoutID is the answer without the ID of its call.
func (f answerFault) send(t *target, c *answerConn, answer, withoutID string) bool {
	switch f {
	case endlessHead:
		return t.sendEndless(c, "HTTP/1.1 200 OK\r\nX-Padding: ", strings.Repeat("x", 4096))
	case endlessBody:
		return t.sendEndless(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\n"+strings.Repeat("x", 4096)+"\r\n")
	}
	if _, err := fmt.Fprint(c, answer); err != nil {
		return false // the caller's node sees a broken connection
	}
	late := map[answerFault]string{lateCopy: answer, lateCopyWithoutID: withoutID}[f]
	if late != "" {
		time.AfterFunc(rand.N(100*time.Millisecond), func() { _, _ = fmt.Fprint(c, late) }) // the connection may be closed
	}
	return true
}

// sendEndless sends bytes until the node closes the connection, and returns false.
func (t *target) sendEndless(c net.Conn, head, more string) bool {
	began := time.Now()
	_, err := fmt.Fprint(c, head)
	for err == nil {
		_ = c.SetWriteDeadline(time.Now().Add(time.Second)) // a node that does not read stops the write
		if _, err = fmt.Fprint(c, more); err != nil && os.IsTimeout(err) {
			err = nil
		}
		if err == nil && time.Since(began) > maxEndlessTime {
			t.node.cluster.journal.addViolation("%s has not closed a connection on which target %s sent bytes without end for %s", t.node.host, t.id, maxEndlessTime)
			return false
		}
	}
	return false
}

// injectAnswerFaults starts faults of targets' answers at random times for the
// duration. names are those of the faults, of which the first is none; set starts one at a
// target. The schedule has a source of its own, so that the other faults of a seed are the
// same with and without it.
func (c *cluster) injectAnswerFaults(ctx context.Context, source uint64, names []string, set func(t *target, fault int32)) {
	rng := rand.New(rand.NewPCG(c.options.Seed, source))
	for end := time.Now().Add(c.options.Duration); time.Now().Before(end) && ctx.Err() == nil; {
		n := c.nodes[rng.IntN(len(c.nodes))]
		fault := 1 + rng.IntN(len(names)-1)
		duration := time.Duration(500+rng.IntN(2500)) * time.Millisecond
		entry := c.journal.beginFault(names[fault], n, n)
		n.eachServingTarget(func(t *target) { set(t, int32(fault)) })
		pause.For(ctx, duration)
		n.eachServingTarget(func(t *target) { set(t, 0) })
		c.journal.endFault(entry)
	}
}

// checkMemory reports a process that has used more memory than its settings give it.
func (n *node) checkMemory() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil {
		return
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
	if err != nil {
		return // the process has ended
	}
	if peak := peakMemory(string(status)); peak > maxNodeMemory {
		n.cluster.journal.addViolation("the process of %s has used %d MB, its settings give %d MB", n.host, peak>>20, maxNodeMemory>>20)
	}
}

// peakMemory returns the highest resident size in a /proc status file, in bytes.
func peakMemory(status string) int64 {
	for _, line := range strings.Split(status, "\n") {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kB, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
			if err != nil {
				return 0
			}
			return kB << 10
		}
	}
	return 0
}
