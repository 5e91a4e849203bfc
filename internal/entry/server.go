// Package entry takes the calls that begin on this host, picks a target for
// each, and gives callers the target's whole answer or a truthful one of its
// own.
package entry

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/traffic"
)

const (
	// maxPipelined bounds the calls of one connection that run at a time.
	maxPipelined = 32
	// maxBuffered bounds the body of one call in bytes, since bodies are held
	// until the call has ended.
	maxBuffered = 8 << 20
	// idleSlack is how much longer than told an idle connection stays open, so
	// that a caller that keeps to the time never meets a close.
	idleSlack = 3 * time.Second
	// closeLinger is how long a closed connection is read, so that unread bytes
	// do not reset it before the caller has the answer.
	closeLinger = 300 * time.Millisecond
	// answerTimeout bounds the write of one answer to a caller that does not read.
	answerTimeout = 10 * time.Second
	// bodyTimeout bounds the time to read a body.
	bodyTimeout = 15 * time.Second
	// headerSlack is what a header may exceed its bound by, in bytes, since its
	// line ends count differently in places.
	headerSlack = 512
	// defaultIdle and defaultHeader apply until a configuration is known.
	defaultIdle        = 30 * time.Second
	defaultHeader      = 5 * time.Second
	defaultHeaderBytes = 64 << 10
)

// Server takes connections of callers. It is made by NewServer.
type Server struct {
	listener net.Listener
	handle   func(ctx context.Context, r *Request) *Response
	limits   func() (traffic.Limits, bool)

	draining atomic.Bool
	busy     atomic.Int64 // calls that were read and not answered yet
	mu       sync.Mutex
	conns    map[*callerConn]bool
	idleMax  time.Duration // the longest idle timeout of any configuration yet
}

// Request is a call as the caller sent it.
type Request struct {
	Method  string
	URI     string
	Path    string
	Host    string
	Header  http.Header
	Body    []byte
	Arrived time.Time
}

// Response is what a caller gets.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Abort closes the connection in place of an answer.
	Abort bool
}

// NewServer returns a server on an open listener.
func NewServer(l net.Listener, handle func(context.Context, *Request) *Response, limits func() (traffic.Limits, bool)) *Server {
	return &Server{listener: l, handle: handle, limits: limits, conns: make(map[*callerConn]bool), idleMax: defaultIdle}
}

// Run accepts connections until Close.
func (s *Server) Run() error {
	for {
		raw, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond) // descriptors may be free again
			continue
		}
		c := newCallerConn(s, raw)
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go c.serve()
	}
}

// Drain makes each answer the last one of its connection.
func (s *Server) Drain() { s.draining.Store(true) }

// PendingCalls returns the number of calls that were read and not answered yet.
func (s *Server) PendingCalls() int { return int(s.busy.Load()) }

// Close closes the listener and the connections.
func (s *Server) Close() {
	_ = s.listener.Close() // nothing can be done about an error here
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.conn.Close() // nothing can be done about an error here
	}
}

// timeouts returns the limits in force. The idle time never falls, since
// callers may know only an earlier configuration.
func (s *Server) timeouts() traffic.Limits {
	l, ok := s.limits()
	if !ok {
		l = traffic.Limits{HeaderBytes: defaultHeaderBytes, BodyBytes: maxBuffered, HeaderTimeout: defaultHeader}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idleMax = max(s.idleMax, l.IdleTimeout)
	l.IdleTimeout = s.idleMax
	return l
}

// callerConn is a connection of a caller. One goroutine reads calls, one
// writes answers in the order of the calls, and each call has its own.
type callerConn struct {
	s      *Server
	conn   net.Conn
	input  *meter
	r      *bufio.Reader
	ctx    context.Context // ends when the caller has left
	cancel context.CancelFunc
	queue  chan *exchange

	mu      sync.Mutex
	pending int  // calls that were read and not answered yet
	closing bool // the answer being written is the last
}

// exchange is one call with its answer.
type exchange struct {
	req    *Request
	last   bool // the caller asked to close the connection after it
	answer chan *Response
}

func newCallerConn(s *Server, raw net.Conn) *callerConn {
	ctx, cancel := context.WithCancel(context.Background())
	input := &meter{r: raw, left: -1}
	return &callerConn{
		s: s, conn: raw, input: input, r: bufio.NewReaderSize(input, 4<<10),
		ctx: ctx, cancel: cancel, queue: make(chan *exchange, maxPipelined),
	}
}

func (c *callerConn) serve() {
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.write()
	}()
	c.read()
	close(c.queue)
	<-written
	c.cancel()
	_ = c.conn.Close() // every answer has been written or is of no use
	c.s.mu.Lock()
	delete(c.s.conns, c)
	c.s.mu.Unlock()
}

// read takes calls until the caller leaves or the connection is to close. It
// goes on watching for the caller's leaving while the last call runs.
func (c *callerConn) read() {
	for {
		limits := c.s.timeouts()
		if !c.awaitCall(limits.IdleTimeout + idleSlack) {
			return
		}
		if !c.admit() {
			return
		}
		x := &exchange{answer: make(chan *Response, 1)}
		refusal := c.readCall(x, limits)
		c.queue <- x
		if refusal != nil {
			x.last = true
			x.answer <- refusal
			return
		}
		go c.run(x)
		if x.last {
			c.watch()
			return
		}
	}
}

// awaitCall waits for the first byte of a call.
func (c *callerConn) awaitCall(idle time.Duration) bool {
	for {
		_ = c.conn.SetReadDeadline(time.Now().Add(idle)) // an error shows at the read
		_, err := c.r.Peek(1)
		if err == nil {
			return true
		}
		c.mu.Lock()
		waiting := c.pending > 0
		c.mu.Unlock()
		var timeout net.Error
		if waiting && errors.As(err, &timeout) && timeout.Timeout() {
			continue
		}
		c.cancel() // the caller has left, or is idle for too long
		return false
	}
}

// watch notices that the caller leaves while its last call runs.
func (c *callerConn) watch() {
	_ = c.conn.SetReadDeadline(time.Time{}) // an error shows at the read
	if _, err := c.r.Peek(1); err != nil {
		c.cancel()
	}
}

// admit counts a call that begins; it reports false when an answer that is
// being written closes the connection.
func (c *callerConn) admit() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.pending++
	c.s.busy.Add(1)
	return true
}

// readCall reads one call. It returns the answer to one that cannot be read.
func (c *callerConn) readCall(x *exchange, limits traffic.Limits) *Response {
	if limits.HeaderTimeout > 0 {
		_ = c.conn.SetReadDeadline(time.Now().Add(limits.HeaderTimeout)) // an error shows at the read
	}
	c.input.left, c.input.err = int64(limits.HeaderBytes)+headerSlack, nil
	req, err := http.ReadRequest(c.r)
	c.input.left = -1
	if err != nil {
		return c.unreadable(err)
	}
	x.last = req.Close
	bound := min(limits.BodyBytes, maxBuffered)
	if limits.BodyBytes > 0 && req.ContentLength > limits.BodyBytes {
		return failure(http.StatusRequestEntityTooLarge)
	}
	if strings.EqualFold(req.Header.Get("Expect"), "100-continue") {
		if _, err := io.WriteString(c.conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return &Response{Abort: true}
		}
	}
	var body []byte
	if req.ContentLength != 0 {
		_ = c.conn.SetReadDeadline(time.Now().Add(bodyTimeout)) // an error shows at the read
		body, err = io.ReadAll(io.LimitReader(req.Body, bound+1))
		switch {
		case err != nil:
			return c.unreadable(err)
		case int64(len(body)) > limits.BodyBytes:
			return failure(http.StatusRequestEntityTooLarge)
		case len(body) > maxBuffered:
			return failure(http.StatusServiceUnavailable)
		}
	}
	path, _, _ := strings.Cut(req.RequestURI, "?")
	x.req = &Request{
		Method: req.Method, URI: req.RequestURI, Path: path, Host: req.Host,
		Header: req.Header, Body: body, Arrived: time.Now(),
	}
	return nil
}

// unreadable returns the answer to a call that could not be read. The parser's
// error hides why the input ended.
func (c *callerConn) unreadable(err error) *Response {
	if c.input.err != nil {
		err = c.input.err
	}
	var timeout net.Error
	switch {
	case errors.Is(err, errTooLong):
		return failure(http.StatusRequestHeaderFieldsTooLarge)
	case errors.As(err, &timeout) && timeout.Timeout():
		return failure(http.StatusRequestTimeout)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &timeout):
		c.cancel()
		return &Response{Abort: true}
	default:
		return failure(http.StatusBadRequest)
	}
}

func failure(status int) *Response { return &Response{Status: status, Header: http.Header{}} }

func (c *callerConn) run(x *exchange) { x.answer <- c.s.handle(c.ctx, x.req) }

// write sends the answers in order.
func (c *callerConn) write() {
	for x := range c.queue {
		a := <-x.answer
		last := c.finish(x.last || a.Abort)
		ok := !a.Abort && c.ctx.Err() == nil && c.send(x, a, last)
		c.s.busy.Add(-1)
		if ok && !last {
			continue
		}
		if ok {
			c.linger()
		}
		c.cancel()
		_ = c.conn.Close() // ends read as well
		for range c.queue {
			c.s.busy.Add(-1)
		}
		return
	}
}

// finish counts an answer and reports whether the connection closes after it:
// when the caller asked for that, or while the node drains and no further call
// has been read.
func (c *callerConn) finish(last bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
	if last || c.pending == 0 && c.s.draining.Load() {
		c.closing = true
	}
	return c.closing
}

func (c *callerConn) send(x *exchange, a *Response, last bool) bool {
	method := http.MethodGet
	if x.req != nil {
		method = x.req.Method
	}
	_ = c.conn.SetWriteDeadline(time.Now().Add(answerTimeout)) // an error shows at the write
	_, err := c.conn.Write(encodeAnswer(a, method, last))
	return err == nil
}

// linger half-closes the connection and reads what the caller still sends.
func (c *callerConn) linger() {
	if half, ok := c.conn.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		select {
		case <-c.ctx.Done(): // the caller closed its side
		case <-time.After(closeLinger):
		}
	}
}

var errTooLong = errors.New("header is too long")

// meter bounds what is read while a header is being read.
type meter struct {
	r    io.Reader
	left int64 // -1 means no bound
	err  error // the last error of r
}

func (m *meter) Read(b []byte) (int, error) {
	if m.left == 0 {
		m.err = errTooLong
		return 0, errTooLong
	}
	if m.left > 0 && int64(len(b)) > m.left {
		b = b[:m.left]
	}
	n, err := m.r.Read(b)
	m.err = err
	if m.left > 0 {
		m.left -= int64(n)
	}
	return n, err
}
