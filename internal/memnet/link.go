package memnet

import (
	"bytes"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/distribution"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// maxQueuedFrames is the number of frames queued for a receiver. Frames beyond
// it are dropped.
const maxQueuedFrames = 1024

// link is one end of a connection.
type link struct {
	transport *Transport
	local     mesh.HostID
	peer      mesh.HostID
	dialed    bool
	remote    *link
	inbox     chan []byte
	closed    chan struct{}
	once      sync.Once
	err       error
	silent    atomic.Bool
}

func newLink(transport *Transport, peer mesh.HostID, dialed bool) *link {
	return &link{
		transport: transport, local: transport.host, peer: peer, dialed: dialed,
		inbox: make(chan []byte, maxQueuedFrames), closed: make(chan struct{}),
	}
}

func (l *link) Peer() mesh.HostID { return l.peer }
func (l *link) Dialed() bool      { return l.dialed }

// transmit calls deliver after the delay set by the network, unless the message
// is lost.
func (l *link) transmit(from, to mesh.HostID, size int, deliver func()) {
	impairment := l.transport.net.impair(from, to, size)
	switch {
	case impairment.Lost || l.silent.Load():
	case impairment.Delay == 0:
		deliver()
	default:
		time.AfterFunc(impairment.Delay, deliver)
	}
}

func (l *link) Send(_ context.Context, frame []byte) error {
	if len(frame) > distribution.MaxFrame {
		return distribution.ErrTooLarge
	}
	select {
	case <-l.closed:
		return l.err
	default:
	}
	frame = bytes.Clone(frame)
	l.transmit(l.local, l.peer, len(frame), func() {
		select {
		case l.remote.inbox <- frame:
		default:
		}
	})
	return nil
}

func (l *link) Receive() ([]byte, error) {
	select {
	case f := <-l.inbox:
		return f, nil
	case <-l.closed:
		return nil, l.err
	}
}

type response struct {
	body []byte
	err  error
}

func (l *link) Request(ctx context.Context, request []byte) ([]byte, error) {
	if len(request) > distribution.MaxRequest {
		return nil, distribution.ErrTooLarge
	}
	select {
	case <-l.closed:
		return nil, l.err
	default:
	}
	l.transport.net.mu.Lock()
	h := l.remote.transport.handler
	l.transport.net.mu.Unlock()
	done := make(chan response, 1)
	if h != nil {
		l.transmit(l.local, l.peer, len(request), func() {
			body, err := h.HandleRequest(ctx, l.local, request)
			if err == nil && len(body) > distribution.MaxResponse {
				err = distribution.ErrTooLarge
			}
			body = l.transport.net.applyTamper(l.peer, body)
			l.transmit(l.peer, l.local, len(body), func() { done <- response{body, err} })
		})
	}
	select {
	case r := <-done:
		return r.body, r.err
	case <-l.closed:
		return nil, l.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (l *link) Close(reason distribution.CloseReason) {
	if !l.closeWith(&distribution.ClosedError{Reason: reason}) {
		return
	}
	l.transmit(l.local, l.peer, 0, func() {
		l.remote.closeWith(&distribution.ClosedError{Reason: reason, Remote: true})
	})
}

// closeWith closes this end with an error and reports whether it was open.
func (l *link) closeWith(err error) bool {
	wasOpen := false
	l.once.Do(func() {
		l.err = err
		close(l.closed)
		wasOpen = true
	})
	if wasOpen {
		l.transport.net.mu.Lock()
		delete(l.transport.links, l)
		l.transport.net.mu.Unlock()
	}
	return wasOpen
}
