// Package entry accepts the calls that begin on this host, picks a target for
// each, and returns to the caller the target's complete response or one that
// the node generates and that states whether the call may have run.
package entry

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"nutmeghoist.example/nutmeghoist/internal/bounded"
	"nutmeghoist.example/nutmeghoist/internal/guard"
	"nutmeghoist.example/nutmeghoist/internal/header"
	"nutmeghoist.example/nutmeghoist/pkg/quota"
	"nutmeghoist.example/nutmeghoist/pkg/traffic"
)

const (
	// maxPipelined bounds the pipelined calls of one connection.
	maxPipelined = 32
	// maxBodyBytes bounds the body of one call, since bodies are buffered until
	// the call has ended.
	maxBodyBytes = 8 << 20
	// memoryRetryAfter is sent when the process has no memory left for a body.
	memoryRetryAfter = 500 * time.Millisecond
	// idleSlack is how much longer than the idle timeout a connection stays open,
	// so that a caller that respects the timeout never sends on a closed
	// connection.
	idleSlack = 3 * time.Second
	// lingerTimeout bounds the wait for the caller to close a connection after the last
	// response, when the caller has nothing more to send. A close with unread bytes resets
	// the connection, and the caller may not have read the response yet.
	lingerTimeout = 300 * time.Millisecond
	// unknownLingerTimeout is the same for each pause of a caller of which it is not known
	// whether it still sends. bodyReadTimeout bounds both, and the rest of a body.
	unknownLingerTimeout = time.Second
	// maxDiscardedBytes bounds what is read of a connection after its last call.
	maxDiscardedBytes = 64 << 20
	// writeTimeout bounds the write of one response to a caller that does not
	// read.
	writeTimeout = 10 * time.Second
	// bodyReadTimeout bounds the time to read a body.
	bodyReadTimeout = 15 * time.Second
	// readBufferBytes is the size of a connection's read buffer. The heads of most calls
	// fit, and bodies are read past it.
	readBufferBytes = 1 << 10
	// screenedBytes is the length of a body from which a call is screened.
	screenedBytes = 16 << 10
	// headerSlack is the number of bytes by which a header may exceed its limit,
	// since its size depends on how the line ends are counted.
	headerSlack = 512
	// lastArrivalTime is how long a server that shuts down waits for connections and
	// calls that have arrived already.
	lastArrivalTime = 50 * time.Millisecond
	// maxLastLooks bounds how often it waits for connections again. Without a bound it
	// would not end while callers connect.
	maxLastLooks = 2
	// finalLookTime bounds the last look, which takes the connections that came meanwhile.
	finalLookTime = 2 * time.Millisecond
	// LastAnswerTime is how much longer than its limit a shutdown takes to answer the
	// calls that have not ended.
	LastAnswerTime       = 150 * time.Millisecond
	shutdownPollInterval = 5 * time.Millisecond
	// The defaults apply until the node has a configuration.
	defaultIdleTimeout   = 30 * time.Second
	defaultHeaderTimeout = 5 * time.Second
	defaultHeaderBytes   = 64 << 10
)

// ErrStopping is why the context of a call ends when the server no longer waits for it.
var ErrStopping = errors.New("the node stops")

// Server accepts the connections of callers. Use NewServer to create one.
type Server struct {
	// Buffers is the memory for the bodies of calls and responses, Guard recovers
	// panics, and OnRefusal is called with the reason of each refusal of the server
	// itself. They are set before Run.
	Buffers   *bounded.Budget
	Guard     *guard.Guard
	OnRefusal func(reason string)
	// Log and Metrics tell how calls ended; IDHeader is the header with the ID of a call.
	// They may be unset, and are set before Run.
	Log      *log.Logger
	Metrics  metrics.Registry
	IDHeader string
	// Screen returns the response to a call that is refused before its large body is
	// read, or nil. OnUnread is called with a call that passed it and whose body could not
	// be read. They may be nil, and are set before Run.
	Screen   func(ctx context.Context, r *Request) *Response
	OnUnread func(r *Request)

	listener net.Listener
	handle   func(ctx context.Context, r *Request) *Response
	limits   func() (traffic.Limits, bool)

	draining       atomic.Bool
	shuttingDown   atomic.Bool
	ending         atomic.Bool  // the calls that have not ended are answered without a target's response
	accepting      atomic.Bool  // Run accepts connections, or will
	pendingCalls   atomic.Int64 // calls read and not answered yet
	mu             sync.Mutex
	conns          map[*callerConn]bool
	maxIdleTimeout time.Duration // the longest idle timeout of all configurations so far
}

// Request is a call as the caller sent it.
type Request struct {
	Method  string
	URI     string
	Path    string
	Host    string
	Header  http.Header
	Body    []byte
	Arrived time.Time // when the head was read

	limited    bool // the call holds limitToken of its team
	limitToken quota.Token
}

// Response is the response to a caller.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// PassedOn means that a target may have run the call.
	PassedOn bool
	// Abort closes the connection without a response.
	Abort bool
}

// NewServer returns a server on an open listener.
func NewServer(l net.Listener, handle func(context.Context, *Request) *Response, limits func() (traffic.Limits, bool)) *Server {
	s := &Server{OnRefusal: func(string) {}, listener: l, handle: handle, limits: limits, conns: make(map[*callerConn]bool), maxIdleTimeout: defaultIdleTimeout}
	s.accepting.Store(true)
	return s
}

// Run accepts connections until Close.
func (s *Server) Run() error {
	defer s.accepting.Store(false)
	looks := 0
	for {
		raw, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if errors.Is(err, os.ErrDeadlineExceeded) && s.shuttingDown.Load() {
			// The deadline can pass before a process without processor time has looked for
			// a connection. An accept looks once when its deadline has not passed before.
			if looks++; looks <= maxLastLooks && s.setAcceptDeadline(lastArrivalTime) || looks == maxLastLooks+1 && s.setAcceptDeadline(finalLookTime) {
				continue
			}
			_ = s.listener.Close() // no connection waits
			return nil
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond) // wait for free file descriptors
			continue
		}
		c := newCallerConn(s, raw)
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go c.serve()
	}
}

// Drain closes each connection after the response to its last call in progress.
func (s *Server) Drain() { s.draining.Store(true) }

// Shutdown ends the server without cutting a call: it accepts the connections that
// wait, handles the calls that have arrived, and closes idle connections. Calls that have
// not ended after the given time are answered without their targets' responses: the
// contexts of their handlers end with ErrStopping. It returns when no connection is open,
// or LastAnswerTime after that.
func (s *Server) Shutdown(limit time.Duration) {
	until := time.Now().Add(limit)
	s.draining.Store(true)
	s.shuttingDown.Store(true)
	if !s.setAcceptDeadline(lastArrivalTime) {
		_ = s.listener.Close() // without a deadline, waiting connections cannot be told from none
	}
	s.mu.Lock()
	for c := range s.conns {
		c.endIdleTime()
	}
	s.mu.Unlock()
	isOpen := func() bool { return s.accepting.Load() || s.openConns() > 0 }
	waitWhile(isOpen, until)
	if isOpen() {
		s.endCalls()
		waitWhile(isOpen, until.Add(LastAnswerTime))
	}
}

func waitWhile(condition func() bool, until time.Time) {
	for time.Now().Before(until) && condition() {
		time.Sleep(shutdownPollInterval)
	}
}

// endCalls ends the calls that are being read or handled.
func (s *Server) endCalls() {
	s.ending.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.endCalls()
	}
}

// setAcceptDeadline bounds the wait for connections that have arrived already.
func (s *Server) setAcceptDeadline(wait time.Duration) bool {
	l, ok := s.listener.(interface{ SetDeadline(time.Time) error })
	return ok && l.SetDeadline(time.Now().Add(wait)) == nil
}

func (s *Server) openConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// PendingCalls returns the number of calls read and not answered yet.
func (s *Server) PendingCalls() int { return int(s.pendingCalls.Load()) }

// Close closes the listener and the connections.
func (s *Server) Close() {
	_ = s.listener.Close() // nothing can be done about an error here
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.recordEnd(connEnd{closedByNode, causeStopOver})
		_ = c.conn.Close() // nothing can be done about an error here
		c.reportCalls()
	}
}

// limitsInForce returns the limits in force. The idle timeout is never reduced,
// since callers may still use that of an earlier configuration.
func (s *Server) limitsInForce() traffic.Limits {
	l, ok := s.limits()
	if !ok {
		l = traffic.Limits{HeaderBytes: defaultHeaderBytes, BodyBytes: maxBodyBytes, HeaderTimeout: defaultHeaderTimeout}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxIdleTimeout = max(s.maxIdleTimeout, l.IdleTimeout)
	l.IdleTimeout = s.maxIdleTimeout
	return l
}

// callerConn is a connection of a caller. One goroutine reads calls, one writes
// responses in the order of the calls, and each call runs in its own. Most connections
// are idle most of the time, and then have only the first.
type callerConn struct {
	server *Server
	conn   net.Conn
	input  *bounded.HeadReader
	r      *bufio.Reader
	ctx    context.Context // ends when the caller disconnects
	cancel context.CancelFunc
	// callCtx is that of the calls. It ends with ErrStopping when the server no longer
	// waits for them.
	callCtx    context.Context
	cancelCall context.CancelCauseFunc

	mu       sync.Mutex
	changed  *sync.Cond       // of pipeline and writing
	pipeline []*pipelinedCall // calls whose responses are not being written yet
	writing  bool             // writeLoop runs
	broken   bool             // no further response can be written
	pending  int              // calls read and not answered yet
	closing  bool             // the connection closes after the response being written
	idle     bool             // the next call has not begun to arrive
	reading  bool             // a call is being read
	rest     restOfInput      // what the caller may still send of a call that is not run
	noMore   bool             // no further call is taken
	finished time.Time        // when the node ended its side
	calls    []*callEnd       // without those whose end is not reported
	end      connEnd
}

// restOfInput is what a caller may still send of a call that is not run.
type restOfInput uint8

const (
	restNone    restOfInput = iota
	restBody                // the rest of the body
	restUnknown             // where the call ends is not known
)

// pipelinedCall is one call with its response.
type pipelinedCall struct {
	req      *Request
	buffered int64 // bytes of the budget that the body of the call holds
	last     bool  // the connection closes after this call
	response chan *Response
	unread   io.Reader // body of a refused call that the caller still sends
	withheld bool      // the caller may not send it, since it has asked for 100 Continue
	ended    *callEnd  // guarded by callerConn.mu
}

func newCallerConn(s *Server, raw net.Conn) *callerConn {
	ctx, cancel := context.WithCancel(context.Background())
	callCtx, cancelCall := context.WithCancelCause(ctx)
	input := bounded.NewHeadReader(raw)
	c := &callerConn{
		server: s, conn: raw, input: input, r: bufio.NewReaderSize(input, readBufferBytes),
		ctx: ctx, cancel: cancel, callCtx: callCtx, cancelCall: cancelCall,
	}
	c.changed = sync.NewCond(&c.mu)
	return c
}

func (c *callerConn) serve() {
	if c.readLoop() {
		c.endInput()
		c.discardInput()
	}
	c.awaitWritten()
	c.cancel()
	_ = c.conn.Close() // no further response can be written
	c.reportCalls()
	c.server.mu.Lock()
	delete(c.server.conns, c)
	c.server.mu.Unlock()
}

// readLoop reads calls until the caller disconnects, the connection is idle for too
// long, or no further call is taken. It reports whether more may arrive.
func (c *callerConn) readLoop() bool {
	for {
		limits := c.server.limitsInForce()
		if !c.awaitCall(limits.IdleTimeout + idleSlack) {
			return false
		}
		if !c.beginCall() {
			return true
		}
		pc := &pipelinedCall{response: make(chan *Response, 1), ended: &callEnd{begun: c.consumed()}}
		var refusal *Response
		c.setReading(true)
		if c.server.Guard.Run("caller_read", func() { refusal = c.readCall(pc, limits) }) {
			refusal = &Response{Abort: true}
		}
		c.setReading(false)
		c.recordRead(pc, refusal == nil)
		if refusal == nil {
			c.enqueue(pc)
			go c.run(pc)
			if pc.last {
				return true
			}
			continue
		}
		pc.last = pc.last || pc.unread == nil
		if pc.unread == nil || pc.withheld {
			c.setRest(restUnknown)
		} else {
			c.setRest(restBody)
		}
		c.enqueue(pc)
		c.server.Buffers.Hold(int64(len(refusal.Body)))
		pc.response <- refusal
		if pc.unread == nil {
			return true
		}
		discarded := c.discardBody(pc)
		c.recordRead(pc, discarded)
		if !discarded {
			c.setRest(restUnknown)
			return true
		}
		c.setRest(restNone)
		if pc.last {
			return true
		}
	}
}

// awaitCall waits for the first byte of a call. It reports false when the
// caller has disconnected or the connection was idle for too long.
func (c *callerConn) awaitCall(idle time.Duration) bool {
	checkedAgain := false
	for {
		c.setIdle(idle)
		_, err := c.r.Peek(1)
		c.mu.Lock()
		c.idle = false
		finished := !c.finished.IsZero()
		waiting := c.pending > 0 || c.writing && !finished
		c.mu.Unlock()
		if err == nil {
			return true
		}
		var timeout net.Error
		isTimeout := errors.As(err, &timeout) && timeout.Timeout()
		if isTimeout && waiting {
			continue
		}
		if isTimeout && !checkedAgain && !finished && c.server.shuttingDown.Load() {
			// As for connections: a call can have arrived before the deadline.
			checkedAgain = true
			continue
		}
		c.recordReadEnd(err)
		if !isTimeout {
			c.cancel() // after a timeout the caller is still there, and a response may be on its way
		}
		return false
	}
}

// setIdle bounds the wait for the next call.
func (c *callerConn) setIdle(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.server.shuttingDown.Load() {
		timeout = lastArrivalTime
	}
	c.idle = true
	c.setReadDeadlineLocked(time.Now().Add(timeout))
}

// endIdleTime shortens the wait for the next call because the server shuts down.
func (c *callerConn) endIdleTime() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle {
		c.setReadDeadlineLocked(time.Now().Add(lastArrivalTime))
	}
}

// setReadDeadline bounds the next reads; zero is no bound.
func (c *callerConn) setReadDeadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setReadDeadlineLocked(t)
}

// setReadDeadlineLocked is setReadDeadline for a holder of c.mu. Once the node has ended
// its side, reads end when the caller has had its time to close the connection.
func (c *callerConn) setReadDeadlineLocked(t time.Time) {
	if !c.finished.IsZero() {
		latest := c.finished.Add(bodyReadTimeout)
		switch c.rest {
		case restNone:
			t = time.Now().Add(lingerTimeout)
		case restBody:
			t = latest
		case restUnknown:
			t = time.Now().Add(unknownLingerTimeout)
		}
		if latest.Before(t) {
			t = latest
		}
	}
	if c.reading && c.server.ending.Load() {
		t = time.Now()
	}
	_ = c.conn.SetReadDeadline(t) // a failure shows at the read
}

func (c *callerConn) setReading(reading bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = reading
}

// endCalls ends the calls of the connection that are being read or handled.
func (c *callerConn) endCalls() {
	c.cancelCall(ErrStopping)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reading {
		_ = c.conn.SetReadDeadline(time.Now()) // a failure shows at the read
	}
}

func (c *callerConn) setRest(rest restOfInput) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rest = rest
}

// endInput records that no further call is taken. The node ends its side after the last
// response.
func (c *callerConn) endInput() {
	c.mu.Lock()
	c.noMore = true
	writing := c.writing
	c.mu.Unlock()
	if !writing {
		c.finish()
	}
}

// discardInput reads what still arrives after the last call, so that the close of the
// connection does not reset it before the caller has read the response. It ends when the
// caller closes its side, or when its time to do so is over. A caller that closes its side
// before the last response has left.
func (c *callerConn) discardInput() {
	n, err := io.Copy(io.Discard, io.LimitReader(inputReader{c}, maxDiscardedBytes))
	if n == maxDiscardedBytes {
		c.recordEnd(connEnd{closedByNode, causeUnread})
		return
	}
	if err == nil {
		err = io.EOF
	}
	c.recordReadEnd(err)
	var timeout net.Error
	if !errors.As(err, &timeout) || !timeout.Timeout() {
		c.cancel()
	}
}

// inputReader reads the connection and bounds each wait for the caller.
type inputReader struct{ c *callerConn }

func (r inputReader) Read(b []byte) (int, error) {
	r.c.setReadDeadline(time.Time{})
	return r.c.r.Read(b)
}

// beginCall counts a new call. It reports false when the connection closes
// after the response that is being written.
func (c *callerConn) beginCall() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.pending++
	c.server.pendingCalls.Add(1)
	return true
}

// readCall reads one call. It returns the response to a call that is malformed
// or exceeds the limits, nil otherwise.
func (c *callerConn) readCall(pc *pipelinedCall, limits traffic.Limits) *Response {
	if limits.HeaderTimeout > 0 {
		c.setReadDeadline(time.Now().Add(limits.HeaderTimeout))
	}
	c.input.BeginHead(int64(limits.HeaderBytes) + headerSlack)
	req, err := http.ReadRequest(c.r)
	c.input.EndHead()
	if err != nil {
		return c.readErrorResponse(err)
	}
	pc.last = req.Close
	bound := min(limits.BodyBytes, maxBodyBytes)
	if limits.BodyBytes > 0 && req.ContentLength > limits.BodyBytes {
		pc.refuseBody(req)
		return statusResponse(http.StatusRequestEntityTooLarge)
	}
	path, _, _ := strings.Cut(req.RequestURI, "?")
	pc.req = &Request{
		Method: req.Method, URI: req.RequestURI, Path: path, Host: req.Host, Header: req.Header, Arrived: time.Now(),
	}
	waits := awaitsContinue(req)
	if refusal := c.screen(pc, req, waits); refusal != nil {
		return refusal
	}
	if waits {
		if _, err := io.WriteString(c.conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			c.dropUnread(pc)
			return &Response{Abort: true}
		}
	}
	var body []byte
	if req.ContentLength != 0 {
		c.setReadDeadline(time.Now().Add(bodyReadTimeout))
		body, err = bounded.ReadBody(req.Body, req.ContentLength, bound, c.server.Buffers)
		if err != nil {
			c.dropUnread(pc)
		}
		switch {
		case errors.Is(err, bounded.ErrBodyTooLong) && bound == limits.BodyBytes:
			pc.refuseBody(req)
			return statusResponse(http.StatusRequestEntityTooLarge)
		case errors.Is(err, bounded.ErrBodyTooLong), errors.Is(err, bounded.ErrNoMemory):
			pc.refuseBody(req)
			c.server.OnRefusal(reasonNoMemory)
			return notRunResponse(memoryRetryAfter)
		case err != nil:
			return c.readErrorResponse(err)
		}
		pc.buffered = int64(cap(body))
	}
	pc.req.Body = body
	return nil
}

// refuseBody makes the call the last one of its connection, of which the rest of the body
// is discarded.
func (pc *pipelinedCall) refuseBody(req *http.Request) {
	pc.last, pc.unread, pc.withheld = true, req.Body, awaitsContinue(req)
}

func awaitsContinue(req *http.Request) bool {
	return strings.EqualFold(req.Header.Get("Expect"), "100-continue")
}

func (c *callerConn) dropUnread(pc *pipelinedCall) {
	if c.server.OnUnread != nil {
		c.server.OnUnread(pc.req)
	}
}

// screen refuses a call before its body is read. The rest of a body without
// Expect: 100-continue arrives all the same.
func (c *callerConn) screen(pc *pipelinedCall, req *http.Request, waits bool) *Response {
	if c.server.Screen == nil || req.ContentLength >= 0 && req.ContentLength < screenedBytes {
		return nil
	}
	refusal := c.server.Screen(c.callCtx, pc.req)
	switch {
	case refusal != nil && waits:
		pc.refuseBody(req)
	case refusal != nil:
		pc.unread = req.Body
	}
	return refusal
}

// discardBody reads the body of a refused call, so that the connection can be used again.
func (c *callerConn) discardBody(pc *pipelinedCall) bool {
	c.setReadDeadline(time.Now().Add(bodyReadTimeout))
	if pc.withheld {
		if _, err := c.r.Peek(1); err != nil {
			return false
		}
		c.setRest(restBody)
		c.setReadDeadline(time.Now().Add(bodyReadTimeout))
	}
	n, err := io.Copy(io.Discard, io.LimitReader(pc.unread, maxBodyBytes+1))
	return err == nil && n <= maxBodyBytes
}

// readErrorResponse returns the response to a call that could not be read. The
// connection's own error takes precedence, since the parser's error hides it.
func (c *callerConn) readErrorResponse(err error) *Response {
	if c.input.Err != nil {
		err = c.input.Err
	}
	var timeout net.Error
	switch {
	case errors.Is(err, bounded.ErrHeadTooLong):
		return statusResponse(http.StatusRequestHeaderFieldsTooLarge)
	case errors.As(err, &timeout) && timeout.Timeout() && c.server.ending.Load():
		c.server.OnRefusal(reasonStopping)
		return notRunResponse(stopRetryAfter)
	case errors.As(err, &timeout) && timeout.Timeout():
		return statusResponse(http.StatusRequestTimeout)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &timeout):
		c.recordReadEnd(err)
		c.cancel()
		return &Response{Abort: true}
	default:
		return statusResponse(http.StatusBadRequest)
	}
}

func statusResponse(status int) *Response { return &Response{Status: status, Header: http.Header{}} }

// notRunResponse refuses a call that has not run.
func notRunResponse(retryAfter time.Duration) *Response {
	return &Response{Status: http.StatusServiceUnavailable, Header: http.Header{"Retry-After": {formatSeconds(retryAfter)}}}
}

// run handles a call. After a panic the call may have run, so that its response
// promises nothing.
func (c *callerConn) run(pc *pipelinedCall) {
	var resp *Response
	if c.server.Guard.Run("caller_call", func() { resp = c.server.handle(c.callCtx, pc.req) }) {
		resp = statusResponse(http.StatusBadGateway)
	}
	c.server.Buffers.Hold(int64(len(resp.Body)))
	pc.response <- resp
}

// end releases what a call holds once its response is written or dropped.
func (s *Server) end(pc *pipelinedCall, resp *Response) {
	s.pendingCalls.Add(-1)
	s.Buffers.Release(pc.buffered + int64(len(resp.Body)))
}

// enqueue adds a call to the pipeline, and starts writeLoop when it does not run. It
// waits while the pipeline is full.
func (c *callerConn) enqueue(pc *pipelinedCall) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.pipeline) >= maxPipelined {
		c.changed.Wait()
	}
	c.pipeline = append(c.pipeline, pc)
	c.calls = append(c.calls, pc.ended)
	if !c.writing {
		c.writing = true
		go c.writeLoop()
	}
}

// next returns the next call of the pipeline, or nil when there is none and writeLoop
// ends.
func (c *callerConn) next() *pipelinedCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.changed.Signal()
	if len(c.pipeline) == 0 {
		c.pipeline, c.writing = nil, false
		return nil
	}
	pc := c.pipeline[0]
	c.pipeline = c.pipeline[1:]
	return pc
}

// awaitWritten waits until the responses to all calls are written or dropped.
func (c *callerConn) awaitWritten() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.writing {
		c.changed.Wait()
	}
}

// writeLoop writes the responses in the order of their calls until the pipeline is
// empty.
func (c *callerConn) writeLoop() {
	for pc := c.next(); pc != nil; pc = c.next() {
		resp := <-pc.response
		if c.broken {
			c.server.end(pc, resp)
			continue
		}
		last := c.endCall(pc.last || resp.Abort)
		ok := !resp.Abort && c.send(pc, resp, last) // a caller that has closed its side may still read
		c.recordWritten(pc, resp, ok)
		c.server.end(pc, resp)
		if ok && !last {
			continue
		}
		c.setBroken()
		switch {
		case ok:
			c.finish() // readLoop or discardInput ends the connection
			continue
		case resp.Abort:
			c.recordEnd(connEnd{closedByNode, causeAborted})
		default:
			c.recordEnd(connEnd{closedByNode, causeWrite})
		}
		c.cancel()
		_ = c.conn.Close() // ends readLoop as well
	}
	c.mu.Lock()
	noMore := c.noMore && !c.broken
	c.mu.Unlock()
	if noMore {
		c.finish()
	}
}

func (c *callerConn) setBroken() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = true
}

// endCall counts a response and reports whether the connection closes after it:
// when last is set, or when the node drains and no further call has been read.
func (c *callerConn) endCall(last bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
	if last || c.pending == 0 && c.server.draining.Load() {
		c.closing = true
	}
	return c.closing
}

func (c *callerConn) send(pc *pipelinedCall, resp *Response, last bool) bool {
	method := http.MethodGet
	if pc.req != nil {
		method = pc.req.Method
	}
	body := resp.Body
	if method == http.MethodHead {
		body = nil
	}
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // a failure shows at the write
	sent := false
	c.server.Guard.Run("caller_write", func() {
		sent = header.Write(c.conn, encodeHead(resp, last), body) == nil
		_ = c.conn.SetWriteDeadline(time.Time{}) // its timer would wake an idle process
	})
	return sent
}

// finish ends the node's side of the connection after the last response, and bounds the
// wait for the caller to close its own.
func (c *callerConn) finish() {
	c.mu.Lock()
	finished := !c.finished.IsZero()
	if !finished {
		c.finished = time.Now()
	}
	c.mu.Unlock()
	if finished {
		return
	}
	if half, ok := c.conn.(interface{ CloseWrite() error }); !ok || half.CloseWrite() != nil {
		_ = c.conn.Close() // the caller has closed it
		return
	}
	c.setReadDeadline(time.Time{})
}
