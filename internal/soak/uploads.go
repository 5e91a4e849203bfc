package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/pause"
	"nutmeghoist.example/nutmeghoist/pkg/traffic"
	"nutmeghoist.example/nutmeghoist/platform"
)

const (
	uploadPrefix = "/uploads/"
	// uploadTimeout is longer than the time that is left to a stopping node when it
	// begins to refuse calls.
	uploadTimeout   = 4 * time.Second
	uploadersByNode = 4
	minUploadBytes  = 16 << 10
	maxUploadBytes  = 400 << 10
	uploadStep      = 40 * time.Millisecond // between two writes of a paced upload
	maxChunkBytes   = 8 << 10
	// Some uploads of runs with broken answers do not fit in the buffers of the kernel, so
	// that a node is still writing when the target resets the connection.
	maxLargeUploadBytes = 4 << 20
	answerTime          = 5 * time.Second // for an answer after its timeout; longer than pauses of this process
	unknownKey          = "key-of-no-team"
)

// teamKeys are the keys of the teams in runs with uploads. The ward has a limit, which
// its callers exceed.
var teamKeys = map[mesh.TeamName][]string{"clinic": {"clinic-key"}, "ward": {"ward-key"}}

// addUploads adds the teams and the route of uploads to a configuration.
func addUploads(c *traffic.Config) {
	for _, t := range []traffic.Team{{Name: "clinic"}, {Name: "ward", Rate: 2, Burst: 3}} {
		for _, key := range teamKeys[t.Name] {
			t.Keys = append(t.Keys, traffic.DigestKey(key))
		}
		c.Teams = append(c.Teams, t)
	}
	c.Routes = append(c.Routes, traffic.Route{
		Name: "uploads", Host: "mesh.example", Prefix: uploadPrefix, LargeBodies: true,
		Timeout: uploadTimeout, LatencyTarget: 2 * time.Second, Priority: 2, MaxAttempts: 2,
		Split: []traffic.WeightedService{{Service: services[0], Weight: 1}},
	})
}

// keyLine returns the header line with the key of callers that send no uploads.
func (c *cluster) keyLine() string {
	if !c.options.Uploads {
		return ""
	}
	return platform.Headers.APIKey + ": " + teamKeys["clinic"][0] + "\r\n"
}

// upload is what is particular to the call of an upload. Its caller reads nothing until it
// has sent everything.
type upload struct {
	key       string
	size      int
	chunked   bool
	expects   bool          // sends Expect: 100-continue, but does not wait
	pace      time.Duration // time that sending takes; 0 for as fast as possible
	timeout   time.Duration // of the caller
	neverRead bool
	whole     bool // all of it was sent
	// firstWrite is the time from the begin of the call to the end of the first write.
	firstWrite time.Duration
	// sent is when its last byte was sent, or would have been if the connection had lasted.
	sent time.Time
}

func (c *cluster) newUpload() *upload {
	u := &upload{
		key: teamKeys["clinic"][0], size: minUploadBytes + rand.IntN(maxUploadBytes-minUploadBytes),
		chunked: rand.IntN(2) == 0, expects: rand.IntN(10) == 0, timeout: uploadTimeout, neverRead: rand.IntN(20) == 0,
	}
	switch rand.IntN(5) {
	case 0:
		u.key = unknownKey
	case 1, 2:
		u.key = teamKeys["ward"][0]
	}
	if c.options.BrokenAnswers && rand.IntN(8) == 0 {
		u.size = maxUploadBytes + rand.IntN(maxLargeUploadBytes-maxUploadBytes)
	} else if rand.IntN(4) != 0 {
		u.pace = 100*time.Millisecond + rand.N(2900*time.Millisecond)
	}
	if rand.IntN(4) == 0 {
		u.timeout = uploadTimeout * 5 / 8
	}
	return u
}

// sendUploads sends uploads to a node until the context ends. Half of the callers open a
// connection for each, the others use one until the node closes it.
func (n *node) sendUploads(ctx context.Context) {
	var wg sync.WaitGroup
	for i := range uploadersByNode {
		wg.Go(func() {
			c := &caller{node: n}
			defer c.close()
			for k := 0; ctx.Err() == nil; k++ {
				if i%2 == 0 {
					c.close()
				}
				c.placeUpload(ctx, fmt.Sprintf("up-%d-%d-%d", n.index, i, k))
				pause.For(ctx, rand.N(200*time.Millisecond))
			}
		})
	}
	wg.Wait()
}

// placeUpload sends one upload and records its outcome.
func (c *caller) placeUpload(ctx context.Context, id string) {
	out := outcome{id: id, node: c.node, unsafe: true, upload: c.node.cluster.newUpload(), path: uploadPrefix + id}
	out.reused = c.stillOpen()
	if !out.reused && !c.connectToProcess() {
		pause.For(ctx, 50*time.Millisecond)
		return
	}
	body := uploadBody(id, out.upload.size)
	out.processNumber, out.begin = c.process, time.Now()
	if err := out.upload.send(c.conn, id, body, out.begin); err != nil {
		out.cause = err
		c.close()
	} else if out.upload.neverRead {
		pause.For(ctx, rand.N(3*time.Second))
		c.close()
	} else {
		_ = c.conn.SetReadDeadline(time.Now().Add(max(time.Until(out.begin.Add(out.upload.timeout)), 0) + answerTime)) // an error makes the read fail
		c.readAnswer(&out)
	}
	out.end = time.Now()
	c.node.cluster.journal.recordOutcome(out)
}

// stillOpen reports whether the connection can be used for another call.
func (c *caller) stillOpen() bool {
	if c.conn == nil {
		return false
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(time.Millisecond)) // an error makes the read fail
	if _, err := c.reader.Peek(1); isTimeout(err) {
		return true
	}
	c.close()
	return false
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// connectToProcess opens a connection to a process whose number is known.
func (c *caller) connectToProcess() bool {
	before := c.node.processNumber()
	if !c.connect() {
		return false
	}
	c.process = c.node.processNumber()
	if c.process != before {
		c.close()
		return false
	}
	return true
}

func (n *node) processNumber() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.starts
}

// send sends the upload.
func (u *upload) send(conn net.Conn, id string, body []byte, begin time.Time) error {
	names := platform.Headers
	length := fmt.Sprintf("Content-Length: %d\r\n", u.size)
	if u.chunked {
		length = "Transfer-Encoding: chunked\r\n"
	}
	if u.expects {
		length += "Expect: 100-continue\r\n"
	}
	w := bufio.NewWriter(&firstWriteTimer{Writer: conn, begin: begin, took: &u.firstWrite})
	fmt.Fprintf(w, "POST %s%s HTTP/1.1\r\nHost: mesh.example\r\n%s: %s\r\n%s: %d\r\n%s: forged\r\n%s: %s\r\n%s\r\n",
		uploadPrefix, id, names.RequestID, id, names.DeadlineMs, u.timeout.Milliseconds(), names.CallerService, names.APIKey, u.key, length)
	steps := int(u.pace/uploadStep) + 1
	for step := range steps {
		_ = conn.SetWriteDeadline(time.Now().Add(uploadTimeout)) // an error makes the write fail
		u.write(w, body[u.size*step/steps:u.size*(step+1)/steps])
		if step == steps-1 && u.chunked {
			_, _ = w.WriteString("0\r\n\r\n") // the error of a bufio.Writer is kept until Flush
		}
		err := w.Flush()
		u.sent = time.Now()
		if err != nil {
			u.sent = u.sent.Add(time.Duration(steps-1-step) * uploadStep)
			return err
		}
		if step < steps-1 {
			time.Sleep(time.Until(begin.Add(time.Duration(step+1) * uploadStep)))
		}
	}
	u.whole = true
	return nil
}

// firstWriteTimer measures the time until the first write has returned.
type firstWriteTimer struct {
	io.Writer
	begin time.Time
	took  *time.Duration
}

func (t *firstWriteTimer) Write(b []byte) (int, error) {
	n, err := t.Writer.Write(b)
	if *t.took == 0 {
		*t.took = time.Since(t.begin)
	}
	return n, err
}

// write writes a part of the body. Errors of a bufio.Writer are kept until Flush.
func (u *upload) write(w *bufio.Writer, part []byte) {
	if !u.chunked {
		_, _ = w.Write(part)
		return
	}
	for len(part) > 0 {
		chunk := part[:min(len(part), maxChunkBytes)]
		part = part[len(chunk):]
		fmt.Fprintf(w, "%x\r\n%s\r\n", len(chunk), chunk)
	}
}

// uploadBody returns the body of an upload.
func uploadBody(id string, size int) []byte {
	line := id + "\n"
	return []byte(strings.Repeat(line, size/len(line)+1)[:size])
}
