// Package response reads the responses of targets over connections that may break, and
// tells a whole response from a part of one.
package response

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"nutmeghoist.example/nutmeghoist/internal/header"
)

// Conn is the client's side of a connection. Its Read returns io.EOF only when the peer has
// sent the end of the stream, and no head that breaks the grammar, see ExpectResponse.
//
// The kernel reports a reset once, to the system call that comes first. When a write gets
// it, the reads after it see the end of the stream as if the peer had sent one.
type Conn struct {
	net.Conn

	mu     sync.Mutex // held during a write
	broken error      // the connection broke before the peer has sent the end of the stream

	ended chan struct{} // closed after the last read
	end   func()

	head atomic.Pointer[expectedHead] // nil if heads are not checked
}

// expectedHead is the check of the head of one final response and of the interim ones
// before it.
type expectedHead struct {
	check headCheck   // used by reads only
	ended atomic.Bool // what follows is the body
}

// ExpectResponse makes reads check the head of the next response. It is called before a
// request is sent. A read that would return the rest of a line that breaks the grammar
// returns ErrMalformed instead.
func (c *Conn) ExpectResponse() {
	if h := c.head.Load(); h == nil || h.ended.Load() {
		c.head.Store(&expectedHead{})
	}
}

func (h *expectedHead) feed(p []byte) error {
	for len(p) > 0 && !h.ended.Load() {
		n, ended, err := h.check.feed(p)
		if err != nil {
			return err
		}
		p = p[n:]
		if ended {
			isInterim := h.check.status < http.StatusOK
			h.check = headCheck{}
			h.ended.Store(!isInterim)
		}
	}
	return nil
}

// NewConn wraps a connection.
func NewConn(c net.Conn) *Conn {
	ended := make(chan struct{})
	return &Conn{Conn: c, ended: ended, end: sync.OnceFunc(func() { close(ended) })}
}

func (c *Conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(b)
	c.noteWriteError(err)
	return n, err
}

// WriteMessage writes the head and the body of a message, as header.Write does.
func (c *Conn) WriteMessage(head, body []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	err := header.Write(c.Conn, head, body)
	c.noteWriteError(err)
	return err
}

// noteWriteError keeps the error of a write to a broken connection; c.mu must be held.
func (c *Conn) noteWriteError(err error) {
	switch {
	case err == nil, c.broken != nil:
	case errors.Is(err, syscall.EPIPE): // after the end of the stream, or after a read got the reset
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, net.ErrClosed):
	default:
		c.broken = err
	}
}

// AwaitEnd waits until a read has failed, or the connection is closed. A client that gives
// up a response because its request could not be written waits for it first: the peer may
// have sent a whole response before it stopped reading.
func (c *Conn) AwaitEnd() { <-c.ended }

// Close ends reads and writes in progress.
func (c *Conn) Close() error {
	defer c.end()
	return c.Conn.Close()
}

func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.read(b)
	if err != nil {
		c.end()
	}
	return n, err
}

func (c *Conn) read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) {
		if broken := c.writeError(); broken != nil {
			return n, broken
		}
	}
	if h := c.head.Load(); h != nil {
		if bad := h.feed(b[:n]); bad != nil {
			return 0, bad
		}
	}
	return n, err
}

// writeError returns the error of a write to a broken connection, or nil. It ends a write
// in progress, whose error counts too.
func (c *Conn) writeError() error {
	_ = c.SetWriteDeadline(time.Unix(1, 0)) // it fails on a closed connection, on which no write waits
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.broken
}
