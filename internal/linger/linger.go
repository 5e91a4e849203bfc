// Package linger closes connections so that an answer reaches a peer that is still
// sending its request. Closing a connection with unread bytes resets it, and a reset
// discards what the peer has not read yet.
package linger

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxTime and maxSilence bound how long a closed connection is still read: in
	// total, and without a byte from the peer.
	maxTime    = 30 * time.Second
	maxSilence = 5 * time.Second

	bufferSize   = 16 << 10
	pollInterval = 10 * time.Millisecond
)

var buffers = sync.Pool{New: func() any { b := make([]byte, bufferSize); return &b }}

// Listener is a TCP listener whose connections are closed with a delay. Close of a
// connection sends what was written and the end of the stream, and returns; what the
// peer still sends is discarded until the peer closes, or a bound is reached.
type Listener struct {
	net.Listener
	closing atomic.Int64 // closed connections that are still read
}

// NewListener wraps a listener. Its connections must have a method CloseWrite, like
// those of TCP; others are closed at once.
func NewListener(l net.Listener) *Listener { return &Listener{Listener: l} }

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, listener: l}, nil
}

// Wait waits until no closed connection is read any more, or the context ends.
func (l *Listener) Wait(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for l.closing.Load() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// Stop ends an HTTP server on this listener. It waits for the requests in flight, and for
// answers to reach peers that are still sending. It closes the connections that remain
// when ctx ends.
func (l *Listener) Stop(ctx context.Context, s *http.Server) {
	if s.Shutdown(ctx) != nil {
		_ = s.Close()
	}
	_ = l.Wait(ctx) // the rest is cut at the end of ctx
}

type writeCloser interface{ CloseWrite() error }

type conn struct {
	net.Conn
	listener *Listener
	closed   atomic.Bool
	reading  sync.Mutex // held during a read from Conn
}

// CloseWrite sends the end of the stream.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(writeCloser); ok {
		return w.CloseWrite()
	}
	return errors.ErrUnsupported
}

// Close does not wait for the peer.
func (c *conn) Close() error {
	if c.closed.Swap(true) {
		return net.ErrClosed
	}
	if err := c.CloseWrite(); err != nil {
		return c.Conn.Close() // there is nobody to wait for
	}
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // ends a read in progress
	c.listener.closing.Add(1)
	go func() {
		defer c.listener.closing.Add(-1)
		c.reading.Lock()
		defer c.reading.Unlock()
		c.discard()
		_ = c.Conn.Close() // everything was written, and the end was sent
	}()
	return nil
}

// discard reads until the peer closes the connection or a bound is reached.
func (c *conn) discard() {
	buffer := buffers.Get().(*[]byte)
	defer buffers.Put(buffer)
	for end := time.Now().Add(maxTime); ; {
		deadline := time.Now().Add(maxSilence)
		if deadline.After(end) {
			deadline = end
		}
		if c.Conn.SetReadDeadline(deadline) != nil {
			return
		}
		if _, err := c.Conn.Read(*buffer); err != nil {
			return
		}
	}
}

// Read fails once the connection is closed, even with bytes that arrived before.
func (c *conn) Read(p []byte) (int, error) {
	c.reading.Lock()
	defer c.reading.Unlock()
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Read(p)
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	return n, err
}

// SetDeadline does not change the deadlines of a closed connection.
func (c *conn) SetDeadline(t time.Time) error {
	if c.closed.Load() {
		return net.ErrClosed
	}
	return c.Conn.SetDeadline(t)
}

// SetReadDeadline does not change the deadline of a closed connection.
func (c *conn) SetReadDeadline(t time.Time) error {
	if c.closed.Load() {
		return net.ErrClosed
	}
	return c.Conn.SetReadDeadline(t)
}
