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

// listener tracks the open connections of a target.
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
		c.firstReadDelay = time.Duration(ms) * time.Millisecond
	}
	l.mu.Lock()
	l.conns[c] = struct{}{}
	l.target.counters.recordConnections(len(l.conns))
	l.mu.Unlock()
	return c, nil
}

// silence makes all open connections except one silent.
func (l *listener) silence(except *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if c != except {
			c.silent.Store(true)
		}
	}
}

// closeAll closes the listener and all connections, including the silent ones.
func (l *listener) closeAll() {
	l.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.Conn.Close()
	}
	clear(l.conns)
}

// conn is a connection that can be made silent. A silent connection stays open,
// discards the data it receives and does not send the data written to it.
type conn struct {
	net.Conn
	listener       *listener
	firstReadDelay time.Duration // applied before the first read
	silent         atomic.Bool
}

// Read discards received data while the connection is silent, until the peer
// closes it.
func (c *conn) Read(p []byte) (int, error) {
	if c.firstReadDelay > 0 {
		time.Sleep(c.firstReadDelay)
		c.firstReadDelay = 0
	}
	for {
		n, err := c.Conn.Read(p)
		silent := c.silent.Load()
		if err != nil && silent && !errors.Is(err, os.ErrDeadlineExceeded) {
			_ = c.forceClose()
		}
		if err != nil || !silent {
			return n, err
		}
	}
}

// Write discards the data while the connection is silent.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close leaves a silent connection open, so that the peer does not notice when
// the server closes it, for example on a timeout.
func (c *conn) Close() error {
	if c.silent.Load() {
		return nil
	}
	return c.forceClose()
}

// forceClose closes the connection even if it is silent.
func (c *conn) forceClose() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

type connKey struct{}

func withConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

func connectionOf(r *http.Request) *conn {
	c, _ := r.Context().Value(connKey{}).(*conn)
	return c
}
