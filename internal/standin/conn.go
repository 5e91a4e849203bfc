package standin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// listener keeps the open connections of a target.
type listener struct {
	net.Listener
	target *Target
	mu     sync.Mutex
	conns  map[*conn]struct{}
}

func newListener(l net.Listener, t *Target) *listener {
	return &listener{Listener: l, target: t, conns: map[*conn]struct{}{}}
}

// Accept waits for the next connection.
func (l *listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: inner, listener: l}
	if ms := l.target.Faults().ConnectDelayMS; ms > 0 {
		c.delay = time.Duration(ms) * time.Millisecond
	}
	l.mu.Lock()
	l.conns[c] = struct{}{}
	l.target.counters.connected(len(l.conns))
	l.mu.Unlock()
	return c, nil
}

// silence stops all open connections except one.
func (l *listener) silence(except *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if c != except {
			c.silent.Store(true)
		}
	}
}

// closeAll closes the listener and all connections, also the silent ones.
func (l *listener) closeAll() {
	l.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.Conn.Close()
	}
	clear(l.conns)
}

// conn is a connection that can go silent. A silent connection stays open: what
// arrives is dropped, and what is written is not sent.
type conn struct {
	net.Conn
	listener *listener
	delay    time.Duration // before the first read
	silent   atomic.Bool
}

// Read drops what arrives while the connection is silent, until the other side
// closes it.
func (c *conn) Read(p []byte) (int, error) {
	if c.delay > 0 {
		time.Sleep(c.delay)
		c.delay = 0
	}
	for {
		n, err := c.Conn.Read(p)
		silent := c.silent.Load()
		if err != nil && silent && !errors.Is(err, os.ErrDeadlineExceeded) {
			_ = c.release()
		}
		if err != nil || !silent {
			return n, err
		}
	}
}

// Write drops the data while the connection is silent.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close keeps a silent connection open: a server that gives up on it must not
// tell the other side.
func (c *conn) Close() error {
	if c.silent.Load() {
		return nil
	}
	return c.release()
}

func (c *conn) release() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

func connOf(r *http.Request) *conn {
	c, _ := r.Context().Value(connKey{}).(*conn)
	return c
}
