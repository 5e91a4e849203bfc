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

// maxInbox bounds the frames that wait for a receiver; more are lost.
const maxInbox = 1024

// link is one end of a connection.
type link struct {
	owner  *Transport
	local  mesh.HostID
	peer   mesh.HostID
	dialed bool
	other  *link
	inbox  chan []byte
	closed chan struct{}
	once   sync.Once
	err    error
	silent atomic.Bool
}

func newLink(owner *Transport, peer mesh.HostID, dialed bool) *link {
	return &link{
		owner: owner, local: owner.host, peer: peer, dialed: dialed,
		inbox: make(chan []byte, maxInbox), closed: make(chan struct{}),
	}
}

func (l *link) Peer() mesh.HostID { return l.peer }
func (l *link) Dialed() bool      { return l.dialed }

// carry calls deliver after the delay that the network sets, unless it loses it.
func (l *link) carry(from, to mesh.HostID, size int, deliver func()) {
	f := l.owner.net.decide(from, to, size)
	switch {
	case f.Lost || l.silent.Load():
	case f.Delay == 0:
		deliver()
	default:
		time.AfterFunc(f.Delay, deliver)
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
	l.carry(l.local, l.peer, len(frame), func() {
		select {
		case l.other.inbox <- frame:
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
	l.owner.net.mu.Lock()
	h := l.other.owner.handler
	l.owner.net.mu.Unlock()
	done := make(chan response, 1)
	if h != nil {
		l.carry(l.local, l.peer, len(request), func() {
			body, err := h.HandleRequest(ctx, l.local, request)
			if err == nil && len(body) > distribution.MaxResponse {
				err = distribution.ErrTooLarge
			}
			body = l.owner.net.pass(l.peer, body)
			l.carry(l.peer, l.local, len(body), func() { done <- response{body, err} })
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
	if !l.end(&distribution.ClosedError{Reason: reason}) {
		return
	}
	l.carry(l.local, l.peer, 0, func() {
		l.other.end(&distribution.ClosedError{Reason: reason, Remote: true})
	})
}

// end closes this end and reports whether it was open.
func (l *link) end(err error) bool {
	ended := false
	l.once.Do(func() {
		l.err = err
		close(l.closed)
		ended = true
	})
	if ended {
		l.owner.net.mu.Lock()
		delete(l.owner.links, l)
		l.owner.net.mu.Unlock()
	}
	return ended
}
