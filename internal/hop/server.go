package hop

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/distribution"
)

// preambleTimeout bounds the wait for the first byte of a new connection.
const preambleTimeout = 2 * time.Second

// Handler handles the messages of call connections.
type Handler interface {
	// Call runs a call. The context ends when the caller cancels the call.
	Call(ctx context.Context, r *Request) *Response
	// HandleNotification handles a one-way message.
	HandleNotification(message []byte)
}

// Server accepts the connections of other nodes.
type Server struct {
	listener net.Listener
	handler  Handler

	mu            sync.Mutex
	gossipHandler distribution.Handler // nil while no gossip links are accepted
	acceptGossip  func(*conn, distribution.Handler)
	conns         map[net.Conn]bool
	closed        bool
}

// NewServer returns a server on an open listener.
func NewServer(listener net.Listener, handler Handler) *Server {
	return &Server{listener: listener, handler: handler, conns: make(map[net.Conn]bool)}
}

// Run accepts connections until Close.
func (s *Server) Run() error {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			var temporary net.Error
			if errors.As(err, &temporary) {
				time.Sleep(10 * time.Millisecond) // wait for free file descriptors
				continue
			}
			return err
		}
		if !s.track(c, true) {
			_ = c.Close() // the server has stopped
			continue
		}
		go s.serve(c)
	}
}

// Close closes the listener and all call connections.
func (s *Server) Close() {
	_ = s.listener.Close() // nothing can be done about an error here
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.conns {
		_ = c.Close() // nothing can be done about an error here
	}
}

// track adds or removes an open connection. It reports whether the server is
// still running.
func (s *Server) track(c net.Conn, open bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !open {
		delete(s.conns, c)
	} else if !s.closed {
		s.conns[c] = true
	}
	return !s.closed
}

func (s *Server) serve(raw net.Conn) {
	if err := raw.SetReadDeadline(time.Now().Add(preambleTimeout)); err != nil {
		return
	}
	c := newConn(raw)
	preamble, err := c.r.ReadByte()
	if err == nil {
		err = raw.SetReadDeadline(time.Time{})
	}
	if err == nil && preamble == preambleGossip {
		s.track(raw, false)
		s.serveGossip(c)
		return
	}
	if err == nil && preamble == preambleCalls {
		s.serveCalls(c)
	}
	s.track(raw, false)
	_ = raw.Close() // the peer sees the close in any case
}

func (s *Server) serveGossip(c *conn) {
	h := s.loadGossipHandler()
	if h == nil {
		_ = c.Close() // gossip has not started yet or has ended
		return
	}
	s.acceptGossip(c, h)
}

func (s *Server) loadGossipHandler() distribution.Handler {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gossipHandler
}

func (s *Server) setGossipHandler(h distribution.Handler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gossipHandler = h
}

// serveCalls runs the calls of one connection until it closes, and then cancels
// those still in progress.
func (s *Server) serveCalls(c *conn) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	calls := &runningCalls{cancels: make(map[uint64]context.CancelFunc)}
	for {
		kind, payload, err := c.readFrame()
		if err != nil {
			return
		}
		switch kind {
		case frameHello:
			err = c.writeFrame(frameHelloAck, encodeUint(uint64(MonotonicMicros())))
		case framePing:
			err = c.writeFrame(framePong, nil)
		case frameNotification:
			s.handler.HandleNotification(payload)
		case frameCancel:
			stream, decodeErr := decodeUint(payload)
			err = decodeErr
			calls.remove(stream)
		case frameRequest:
			var r *Request
			if r, err = c.readRequest(payload); err == nil {
				callCtx, cancelCall := context.WithCancel(ctx)
				calls.add(r.Stream, cancelCall)
				go s.run(callCtx, c, r, calls)
			}
		default:
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return
		}
	}
}

func (s *Server) run(ctx context.Context, c *conn, r *Request, calls *runningCalls) {
	defer calls.remove(r.Stream)
	resp := s.handler.Call(ctx, r)
	resp.Stream = r.Stream
	// An error closes the connection, which the caller's node detects.
	_ = c.writeResponse(resp)
}

// runningCalls holds the cancel functions of a connection's calls in progress.
type runningCalls struct {
	mu      sync.Mutex
	cancels map[uint64]context.CancelFunc
}

func (r *runningCalls) add(stream uint64, cancel context.CancelFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancels[stream] = cancel
}

func (r *runningCalls) remove(stream uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if cancel, ok := r.cancels[stream]; ok {
		delete(r.cancels, stream)
		cancel()
	}
}
