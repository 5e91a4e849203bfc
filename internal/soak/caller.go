package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"nutmeghoist.example/nutmeghoist/internal/response"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/pause"
	"nutmeghoist.example/nutmeghoist/platform"
)

// callerConns is the number of connections that callers open to each node.
const callerConns = 4

// sendCalls sends calls to a node over persistent connections, each of which is
// used until it breaks or the node closes it.
func (n *node) sendCalls(ctx context.Context) {
	var wg sync.WaitGroup
	for i := range callerConns {
		wg.Go(func() {
			c := &caller{node: n}
			defer c.close()
			for k := 0; ctx.Err() == nil; k++ {
				c.placeCall(ctx, fmt.Sprintf("%d-%d-%d", n.index, i, k))
				pause.For(ctx, time.Duration(rand.ExpFloat64()*float64(time.Second)*callerConns/callsPerNode))
			}
		})
	}
	wg.Wait()
}

type caller struct {
	node    *node
	conn    net.Conn
	reader  *bufio.Reader
	process int // number of the process that accepted the connection; only of uploads
}

func (c *caller) close() {
	if c.conn != nil {
		_ = c.conn.Close() // no further response is read
		c.conn = nil
	}
}

// placeCall places one call and records its outcome.
func (c *caller) placeCall(ctx context.Context, id string) {
	version := c.node.cluster.config.newestAcked()
	out := outcome{id: id, node: c.node, begin: time.Now(), unsafe: rand.IntN(3) == 0, version: version}
	path := fmt.Sprintf("/lookups/%s", id)
	switch {
	case out.unsafe:
		path = "/orders/" + id
	case rand.IntN(10) == 0 && version > 1:
		// This route was added by the newest acknowledged configuration.
		out.addedRoute = true
		path = fmt.Sprintf("/added%d/%s", version, id)
	}
	out.path = path
	if c.conn == nil {
		if !c.connect() {
			pause.For(ctx, 50*time.Millisecond)
			return
		}
	} else {
		out.reused = true
	}
	c.node.mu.Lock()
	out.processNumber = c.node.starts
	c.node.mu.Unlock()
	c.exchange(&out)
	out.end = time.Now()
	c.node.cluster.journal.recordOutcome(out)
}

// connect opens a connection and reports whether the node accepts it.
func (c *caller) connect() bool {
	conn, err := net.DialTimeout("tcp", c.node.cluster.address(c.node.index, portCaller).String(), 500*time.Millisecond)
	if err != nil {
		return false
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return true
}

func (c *caller) exchange(out *outcome) {
	names := platform.Headers
	method, body := "GET", ""
	if out.unsafe {
		method, body = "POST", "order "+out.id
	}
	if out.crashing && out.unsafe {
		body = "order"
	}
	_ = c.conn.SetDeadline(time.Now().Add(callTimeout + time.Second)) // an error makes the read fail
	_, err := fmt.Fprintf(c.conn, "%s %s HTTP/1.1\r\nHost: mesh.example\r\n%s: %s\r\n%s: %d\r\n%s: forged\r\n%sContent-Length: %d\r\n\r\n%s",
		method, out.path, names.RequestID, out.id, names.DeadlineMs, callTimeout.Milliseconds(), names.CallerService, c.node.cluster.keyLine(), len(body), body)
	if err != nil {
		c.close()
		return
	}
	c.readAnswer(out)
}

// readAnswer reads the answer to a call that has been sent, and records it.
func (c *caller) readAnswer(out *outcome) {
	names := platform.Headers
	resp, err := response.Read(c.reader, http.MethodGet)
	for err == nil && resp.StatusCode == http.StatusContinue {
		resp, err = response.Read(c.reader, http.MethodGet)
	}
	if err != nil {
		out.cause, out.malformed = err, errors.Is(err, response.ErrMalformed)
		var timeout net.Error
		out.timeout = errors.As(err, &timeout) && timeout.Timeout()
		c.close()
		return
	}
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		out.cause = err
		c.close()
		return
	}
	out.status = resp.StatusCode
	if resp.StatusCode == http.StatusOK {
		target, found := strings.CutPrefix(strings.SplitN(string(text), "\n", 2)[0], out.id+" by ")
		out.target = mesh.TargetID(target)
		out.saysLimit, out.saysLeaving = resp.Header.Get(names.RateLimit) != "", resp.Header.Get(names.Leaving) != ""
		out.complete = found && string(text) == strings.Repeat(out.id+" by "+target+"\n", 20) && resp.Header.Get(names.Stamp) != ""
	}
	if resp.Close {
		c.close()
	}
}
