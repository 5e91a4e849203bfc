package hop

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"nutmeghoist.example/nutmeghoist/internal/bounded"
	"nutmeghoist.example/nutmeghoist/internal/guard"
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

// The reasons for the server's own refusals. The call has not run.
const (
	reasonNoMemory = "memory"
	reasonStopping = "stopping"
)

// reasonInternal is the reason of a call that failed by an unexpected error and
// may have run.
const reasonInternal = "internal_error"

// memoryRetryAfterMs is sent with a refusal for memory.
const memoryRetryAfterMs = 500

// Server accepts the connections of other nodes.
type Server struct {
	// Buffers is the memory for the bodies of calls and responses, Guard recovers
	// panics, and OnRefusal is called with the reason of each refusal of the server
	// itself. They are set before Run.
	Buffers   *bounded.Budget
	Guard     *guard.Guard
	OnRefusal func(reason string)

	listener net.Listener
	handler  Handler
	pending  atomic.Int64 // calls received and not answered yet

	mu            sync.Mutex
	gossipHandler distribution.Handler // nil while no gossip links are accepted
	acceptGossip  func(*conn, distribution.Handler)
	conns         map[net.Conn]bool
	callConns     map[*serverConn]bool
	draining      bool // no connection takes further calls
	closed        bool
}

// NewServer returns a server on an open listener.
func NewServer(listener net.Listener, handler Handler) *Server {
	return &Server{OnRefusal: func(string) {}, listener: listener, handler: handler, conns: make(map[net.Conn]bool), callConns: make(map[*serverConn]bool)}
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

// PendingCalls returns the number of calls that were received and whose responses
// are not written yet.
func (s *Server) PendingCalls() int { return int(s.pending.Load()) }

// Drain makes each connection tell its peer which call is the last that the node
// handles. The peer knows that later ones have not run, and closes the connection
// when it has the responses to the others. Drain waits for the calls during the limit,
// and then for the connections: all of them for minClose, and during the limit those
// whose last responses can still be on their way. A connection that is closed while a
// request arrives on it is reset, and loses them.
func (s *Server) Drain(limit, minClose time.Duration) {
	until := time.Now().Add(limit)
	s.goAway()
	waitUntil(until, func() bool { return s.PendingCalls() == 0 })
	waitUntil(time.Now().Add(minClose), func() bool { return s.openCallConns(false) == 0 })
	waitUntil(until, func() bool { return s.openCallConns(true) == 0 })
}

func waitUntil(until time.Time, done func() bool) {
	for !done() && time.Now().Before(until) {
		time.Sleep(drainPollInterval)
	}
}

const (
	drainPollInterval = 5 * time.Millisecond
	// deliveryTime is how long a response can be on its way over a slow link. A peer
	// behind a cut holds up a stop no longer.
	deliveryTime = 2 * time.Second
)

// openCallConns returns the number of open connections with calls, or of those among
// them whose last response can still be on its way.
func (s *Server) openCallConns(delivering bool) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !delivering {
		return len(s.callConns)
	}
	n := 0
	for c := range s.callConns {
		if c.isDelivering() {
			n++
		}
	}
	return n
}

// goAway ends the acceptance of calls on all connections, and begins to tell the peers.
func (s *Server) goAway() {
	s.mu.Lock()
	s.draining = true
	conns := make([]*serverConn, 0, len(s.callConns))
	for c := range s.callConns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	for _, c := range conns {
		if last, first := c.leave(); first {
			// A peer that does not read must not hold up the others. An error closes the
			// connection, which the peer detects.
			go func() { _ = c.writeFrame(frameGoAway, encodeUint(last)) }()
		}
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
	c := newConn(raw)
	var preamble byte
	err := raw.SetReadDeadline(time.Now().Add(preambleTimeout))
	if err == nil {
		preamble, err = c.r.ReadByte()
	}
	if err == nil {
		err = raw.SetReadDeadline(time.Time{})
	}
	if err == nil && preamble == preambleGossip {
		s.track(raw, false)
		if s.Guard.Run("gossip_link", func() { s.serveGossip(c) }) {
			_ = raw.Close() // the peer sees the close in any case
		}
		return
	}
	if err == nil && preamble == preambleCalls {
		s.Guard.Run("hop_connection", func() { s.serveCalls(c) })
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

// serverConn is a connection whose calls the server runs.
type serverConn struct {
	*conn
	calls runningCalls

	mu         sync.Mutex
	lastStream uint64    // of the calls that were accepted
	leaving    bool      // no further call is accepted
	responded  time.Time // when a response was last written
}

func (c *serverConn) respond(r *Response) error {
	err := c.writeResponse(r)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responded = time.Now()
	return err
}

func (c *serverConn) isDelivering() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.responded) < deliveryTime
}

// leave ends the acceptance of calls. It returns the last one that was accepted, and
// whether it has not been called before.
func (c *serverConn) leave() (last uint64, first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	first = !c.leaving
	c.leaving = true
	return c.lastStream, first
}

// accept counts a call that is to be run. It reports false when the connection takes
// no further call.
func (s *Server) accept(c *serverConn, stream uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaving {
		return false
	}
	c.lastStream = max(c.lastStream, stream)
	s.pending.Add(1)
	return true
}

// trackCalls adds or removes a connection with calls. It reports whether the server
// takes further calls.
func (s *Server) trackCalls(c *serverConn, open bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if open {
		s.callConns[c] = true
	} else {
		delete(s.callConns, c)
	}
	return !s.draining
}

// serveCalls runs the calls of one connection until it closes, and then cancels
// those still in progress.
func (s *Server) serveCalls(raw *conn) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c := &serverConn{conn: raw, calls: runningCalls{cancels: make(map[uint64]context.CancelFunc)}}
	accepting := s.trackCalls(c, true)
	defer s.trackCalls(c, false)
	for {
		kind, payload, err := c.readFrame()
		if err != nil {
			return
		}
		switch kind {
		case frameHello:
			if !accepting {
				return // the peer sends nothing before its hello is answered
			}
			err = c.writeFrame(frameHelloAck, encodeUint(uint64(MonotonicMicros())))
		case framePing:
			err = c.writeFrame(framePong, nil)
		case frameNotification:
			s.Guard.Run("hop_notification", func() { s.handler.HandleNotification(payload) })
		case frameCancel:
			stream, decodeErr := decodeUint(payload)
			err = decodeErr
			c.calls.remove(stream)
		case frameRequest:
			err = s.startCall(ctx, c, payload)
		default:
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return
		}
	}
}

// startCall runs a call in the background. It refuses a call that arrives after the
// server has told the peer which one is the last.
func (s *Server) startCall(ctx context.Context, c *serverConn, payload []byte) error {
	r, err := c.readRequest(payload)
	if err != nil {
		return err
	}
	if !s.accept(c, r.Stream) {
		s.OnRefusal(reasonStopping)
		return c.respond(&Response{Stream: r.Stream, Outcome: NotRun, Reason: reasonStopping})
	}
	callCtx, cancelCall := context.WithCancel(ctx)
	c.calls.add(r.Stream, cancelCall)
	go func() {
		defer s.pending.Add(-1)
		s.run(callCtx, c, r)
	}()
	return nil
}

func (s *Server) run(ctx context.Context, c *serverConn, r *Request) {
	defer c.calls.remove(r.Stream)
	held := int64(len(r.Body))
	resp := &Response{Outcome: NotRun, Reason: reasonNoMemory, RetryAfterMs: memoryRetryAfterMs}
	if s.Buffers.Acquire(held) {
		defer s.Buffers.Release(held)
		if s.Guard.Run("hop_call", func() { resp = s.handler.Call(ctx, r) }) {
			resp = &Response{Outcome: Unknown, Reason: reasonInternal, SentToTarget: true}
		}
	} else {
		s.OnRefusal(reasonNoMemory)
	}
	resp.Stream = r.Stream
	s.Buffers.Hold(int64(len(resp.Body)))
	defer s.Buffers.Release(int64(len(resp.Body)))
	// An error closes the connection, which the caller's node detects.
	s.Guard.Run("hop_response", func() { _ = c.respond(resp) })
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
