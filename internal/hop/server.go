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

// preambleTimeout bounds the time until a new connection says what it carries.
const preambleTimeout = 2 * time.Second

// Handler takes what arrives on call connections.
type Handler interface {
	// Call runs a call. The context ends when the caller no longer waits.
	Call(ctx context.Context, r *Request) *Response
	// HandleNotification takes a message without an answer.
	HandleNotification(message []byte)
}

// Server accepts the connections of other nodes.
type Server struct {
	listener net.Listener
	handler  Handler

	mu      sync.Mutex
	gossip  distribution.Handler // takes gossip links; nil accepts none
	welcome func(*conn, distribution.Handler)
	conns   map[net.Conn]bool
	done    bool
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
				time.Sleep(10 * time.Millisecond) // descriptors may be free again
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
	s.done = true
	for c := range s.conns {
		_ = c.Close() // nothing can be done about an error here
	}
}

// track keeps the open connections; it reports whether the server still runs.
func (s *Server) track(c net.Conn, open bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !open {
		delete(s.conns, c)
	} else if !s.done {
		s.conns[c] = true
	}
	return !s.done
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
	_ = raw.Close() // the peer sees the end in any case
}

func (s *Server) serveGossip(c *conn) {
	h := s.gossipHandler()
	if h == nil {
		_ = c.Close() // gossip does not run yet, or no more
		return
	}
	s.welcome(c, h)
}

func (s *Server) gossipHandler() distribution.Handler {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gossip
}

func (s *Server) setGossip(h distribution.Handler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gossip = h
}

// serveCalls runs the calls of one connection until it ends, and then cancels
// those that still run.
func (s *Server) serveCalls(c *conn) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	calls := &running{cancel: make(map[uint64]context.CancelFunc)}
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
		case frameNote:
			s.handler.HandleNotification(payload)
		case frameCancel:
			stream, decodeErr := decodeUint(payload)
			err = decodeErr
			calls.stop(stream)
		case frameRequest:
			var r *Request
			if r, err = c.readRequest(payload); err == nil {
				call, stop := context.WithCancel(ctx)
				calls.start(r.Stream, stop)
				go s.run(call, c, r, calls)
			}
		default:
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return
		}
	}
}

func (s *Server) run(ctx context.Context, c *conn, r *Request, calls *running) {
	defer calls.stop(r.Stream)
	resp := s.handler.Call(ctx, r)
	resp.Stream = r.Stream
	// An error closes the connection, and the caller's node sees that.
	_ = c.writeResponse(resp)
}

// running holds the calls of a connection.
type running struct {
	mu     sync.Mutex
	cancel map[uint64]context.CancelFunc
}

func (r *running) start(stream uint64, cancel context.CancelFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancel[stream] = cancel
}

func (r *running) stop(stream uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if cancel, ok := r.cancel[stream]; ok {
		delete(r.cancel, stream)
		cancel()
	}
}
