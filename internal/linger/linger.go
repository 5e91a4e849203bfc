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

	// maxUnusedTime is how old a connection without a request is at most that a stop
	// waits for, as in Shutdown.
	maxUnusedTime = 5 * time.Second

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
	unused  sync.Map     // connections that have had no request, with the time since when
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

// ConnState is the ConnState of an HTTP server on this listener. Stop needs it.
func (l *Listener) ConnState(c net.Conn, state http.ConnState) {
	if state == http.StateNew {
		l.unused.Store(c, time.Now())
		return
	}
	l.unused.Delete(c)
}

// Stop ends an HTTP server on this listener. It waits for the requests in flight, for
// the first request of connections that were accepted before, and for answers to reach
// peers that are still sending. It closes the connections that remain when ctx ends.
func (l *Listener) Stop(ctx context.Context, s *http.Server) {
	_ = l.Close() // Shutdown reports the same error
	s.SetKeepAlivesEnabled(false)
	l.waitForFirstRequests(ctx)
	if s.Shutdown(ctx) != nil {
		_ = s.Close()
	}
	_ = l.Wait(ctx) // the rest is cut at the end of ctx
}

// waitForFirstRequests waits until each connection has got a request: once Shutdown has
// begun, net/http drops the requests that it reads without an answer.
func (l *Listener) waitForFirstRequests(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for isUnused := true; isUnused; {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		isUnused = false
		l.unused.Range(func(_, since any) bool {
			isUnused = time.Since(since.(time.Time)) < maxUnusedTime
			return !isUnused
		})
	}
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

// Reset closes a connection at once, so that the peer gets an error instead of the end of
// the stream. What the peer has not received yet may be lost.
func Reset(c net.Conn) {
	if lingering, ok := c.(*conn); ok {
		if lingering.closed.Swap(true) {
			return
		}
		c = lingering.Conn
	}
	if tcp, ok := c.(interface{ SetLinger(int) error }); ok {
		_ = tcp.SetLinger(0) // it fails on a connection that is broken already
	}
	_ = c.Close() // as above
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
