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

	"nutmeghoist.example/nutmeghoist/pkg/pause"
	"nutmeghoist.example/nutmeghoist/platform"
)

// callerConns is the number of connections that callers of a node keep open.
const callerConns = 4

// call sends calls to a node over connections that are kept until the process
// that holds the other end is gone.
func (n *node) call(ctx context.Context) {
	var wg sync.WaitGroup
	for i := range callerConns {
		wg.Go(func() {
			c := &caller{n: n}
			defer c.close()
			for k := 0; ctx.Err() == nil; k++ {
				c.once(ctx, fmt.Sprintf("%d-%d-%d", n.index, i, k))
				pause.For(ctx, time.Duration(rand.ExpFloat64()*float64(time.Second)*callerConns/callsPerNode))
			}
		})
	}
	wg.Wait()
}

type caller struct {
	n    *node
	conn net.Conn
	r    *bufio.Reader
}

func (c *caller) close() {
	if c.conn != nil {
		_ = c.conn.Close() // nothing is expected on it any more
		c.conn = nil
	}
}

// once places one call and keeps what came of it.
func (c *caller) once(ctx context.Context, id string) {
	version := c.n.w.config.newest()
	out := outcome{id: id, n: c.n, begin: time.Now(), unsafe: rand.IntN(3) == 0, version: version}
	path := fmt.Sprintf("/lookups/%s", id)
	switch {
	case out.unsafe:
		path = "/orders/" + id
	case rand.IntN(10) == 0 && version > 1:
		// This route came with the newest configuration.
		out.added = true
		path = fmt.Sprintf("/added%d/%s", version, id)
	}
	out.path = path
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.n.w.address(c.n.index, portCaller).String(), 500*time.Millisecond)
		if err != nil {
			pause.For(ctx, 50*time.Millisecond)
			return // the process is down
		}
		c.conn, c.r = conn, bufio.NewReader(conn)
	} else {
		out.kept = true
	}
	c.n.mu.Lock()
	out.start = c.n.starts
	c.n.mu.Unlock()
	c.exchange(&out)
	out.end = time.Now()
	c.n.w.journal.ended(out)
}

func (c *caller) exchange(out *outcome) {
	names := platform.Headers
	method, body := "GET", ""
	if out.unsafe {
		method, body = "POST", "order "+out.id
	}
	_ = c.conn.SetDeadline(time.Now().Add(deadline + time.Second)) // an error shows at the read
	_, err := fmt.Fprintf(c.conn, "%s %s HTTP/1.1\r\nHost: mesh.example\r\n%s: %s\r\n%s: %d\r\n%s: forged\r\nContent-Length: %d\r\n\r\n%s",
		method, out.path, names.RequestID, out.id, names.DeadlineMs, deadline.Milliseconds(), names.CallerService, len(body), body)
	if err != nil {
		c.close()
		return
	}
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		var timeout net.Error
		out.timeout = errors.As(err, &timeout) && timeout.Timeout()
		c.close()
		return
	}
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		c.close()
		return
	}
	out.status = resp.StatusCode
	if resp.StatusCode == http.StatusOK {
		target, found := strings.CutPrefix(strings.SplitN(string(text), "\n", 2)[0], out.id+" by ")
		out.whole = found && string(text) == strings.Repeat(out.id+" by "+target+"\n", 20) && resp.Header.Get(names.Stamp) != ""
	}
	if resp.Close {
		c.close()
	}
}
