package proxy

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"nutmeghoist.example/nutmeghoist/internal/response"
)

var (
	errSealed = errors.New("attempt was sealed before anything was written")
	errReplay = errors.New("request was already written on another connection")
)

// attempt records the connection on which a request was written, if any. Once an
// attempt is sealed, no connection writes its request any more, so that it is
// certain whether the target can have received any byte. It also prevents
// http.Transport from replaying a request on a second connection.
type attempt struct {
	writer atomic.Pointer[trackedConn]
}

// sealMarker is the writer of a sealed attempt.
var sealMarker = new(trackedConn)

// seal prevents any write of an attempt that was not written yet. It reports
// whether nothing was written.
func (a *attempt) seal() bool {
	return a.writer.CompareAndSwap(nil, sealMarker) || a.writer.Load() == sealMarker
}

// withTrace returns a context whose trace binds the attempt to the connection
// that the transport selects for it.
func (a *attempt) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			if c, ok := i.Conn.(*trackedConn); ok {
				c.ExpectResponse()
				c.current.Store(a)
			}
		},
	})
}

// trackedConn is a connection that writes only for the attempt it is bound to.
type trackedConn struct {
	*response.Conn
	current atomic.Pointer[attempt]
}

func (c *trackedConn) Write(b []byte) (int, error) {
	a := c.current.Load()
	if a == nil {
		return 0, errSealed
	}
	first := a.writer.CompareAndSwap(nil, c)
	switch w := a.writer.Load(); {
	case w == sealMarker:
		return 0, errSealed
	case w != c:
		return 0, errReplay
	}
	n, err := c.Conn.Write(b)
	if _, plain := c.Conn.Conn.(*net.TCPConn); first && n == 0 && err != nil && plain {
		// The kernel accepted no byte, so the attempt provably was not written. A
		// TLS connection may have sent a part of its record.
		a.writer.CompareAndSwap(c, sealMarker)
	}
	if err != nil {
		c.AwaitEnd() // http.Transport drops the response when a write fails
	}
	return n, err
}

type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// newTransport returns an HTTP/1.1 transport whose connections are tracked.
func newTransport(dial dialFunc, maxConns, maxIdle int) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := dial(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			conn := response.NewConn(c)
			conn.ExpectResponse() // the first may come before the request
			return &trackedConn{Conn: conn}, nil
		},
		DisableCompression:     true,
		MaxConnsPerHost:        maxConns,
		MaxIdleConnsPerHost:    maxIdle,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		WriteBufferSize:        bufferSize,
		ReadBufferSize:         bufferSize,
	}
}

const (
	// connectTimeout leaves time for another target within the default timeout
	// of 2 s. Opening a connection takes about 1 ms.
	connectTimeout  = 300 * time.Millisecond
	idleConnTimeout = 90 * time.Second
	maxHeaderBytes  = 64 << 10
	bufferSize      = 16 << 10
)
