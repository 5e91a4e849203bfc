// Package listencheck finds out whether a process has ended after one of its
// connections has broken.
package listencheck

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	// timeout bounds a check, which the response to a call waits for.
	timeout = 100 * time.Millisecond
	// closeTime is how long a process that ends may take from the close of its first
	// connection to that of its listener.
	closeTime = 10 * time.Millisecond
)

// Check reports whether something accepts connections at an address, or whether that
// cannot be told. It returns the connection that it has opened, if that is still open
// and nothing was received on it.
func Check(ctx context.Context, address string) (net.Conn, bool) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	dialer := net.Dialer{KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, !errors.Is(err, syscall.ECONNREFUSED)
	}
	var waited net.Error
	_ = conn.SetReadDeadline(time.Now().Add(closeTime)) // an error shows at the read
	if _, err = conn.Read(make([]byte, 1)); errors.As(err, &waited) && waited.Timeout() {
		_ = conn.SetReadDeadline(time.Time{}) // as above, at the next read
		return conn, true
	}
	_ = conn.Close() // it is of no use
	if err == nil {
		return nil, true
	}
	// The listener was open for longer than the connection. A process that only closes
	// new connections accepts the next one as well.
	conn, err = dialer.DialContext(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close() // the first one was closed too
	}
	return nil, !errors.Is(err, syscall.ECONNREFUSED)
}
