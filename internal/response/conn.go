// Package response reads HTTP/1.1 responses. It tells a whole response from the part of one
// that a broken connection leaves, and from bytes that are no response.
package response

import (
	"errors"
	"io"
	"net"
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
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, net.ErrClosed): // this side has ended the write
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
