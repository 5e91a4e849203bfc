package hop

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"slices"
	"sync"
	"time"

	"nutmeghoist.example/nutmeghoist/internal/guard"
)

const (
	// dialTimeout bounds a dial, and again the handshake after it. Data centres
	// are about 1 ms apart; a lost SYN is retransmitted after a second or more.
	dialTimeout = 300 * time.Millisecond
	// maxSilence is how long a connection with pending calls may receive nothing
	// before it is pinged, and the time between two checks.
	maxSilence = 300 * time.Millisecond
	// pingTimeout bounds the wait for the response to a ping. A busy node is slow
	// to respond.
	pingTimeout = 600 * time.Millisecond
	// suspectChecks and silentChecks are the numbers of checks in a row, the first of
	// which sends a ping, from which a connection takes no more calls and its idempotent
	// calls are sent elsewhere.
	suspectChecks = 2
	silentChecks  = 1 + int(pingTimeout/maxSilence)
	// maxCheckDelay is how late a check may be and still count. After a pause of this
	// process the responses may have arrived and not been read.
	maxCheckDelay = 100 * time.Millisecond
	// reusePingTimeout bounds the ping before a call is sent on an idle
	// connection. A connection that fails it takes no calls until it is heard again.
	reusePingTimeout = 150 * time.Millisecond
	// maxIdleWithoutPing is how long a connection may be idle and still be used
	// without a ping for a call that must not run twice: its outcome would be unknown
	// if the connection had gone silent meanwhile.
	maxIdleWithoutPing = time.Second
	// maxIdleIdempotent is the same for a call that can be repeated. In a large mesh
	// most calls find their connection idle for seconds, and a ping costs as much as
	// the call.
	maxIdleIdempotent = 5 * time.Second
	// maxConns bounds the connections to one node. More than one keeps a lost
	// packet from delaying every call to the node (head-of-line blocking).
	maxConns = 4
	// maxUnresponsiveConns bounds the connections that do not respond and the dials
	// beside them. A call beyond it is refused at once.
	maxUnresponsiveConns = 2 * maxConns
	// surplusIdleTime is how long a connection beyond the first to a node may be idle.
	// The two ends of a connection hold some 100 KB for buffers and compression, and a new
	// one costs two round trips.
	surplusIdleTime = 5 * time.Second
	// backgroundBytes is the size of a body from which a request is written in the
	// background. A smaller one mostly fits in the socket's buffer.
	backgroundBytes = 16 << 10
	// fullBufferTime is how long the socket's buffer can still be full after the write of
	// such a request. Until then others are written in the background as well.
	fullBufferTime = time.Second
)

// Errors of a call without a response.
var (
	// ErrNotSent means that the call was not sent, or not to its end, or that the other
	// node has said that it does not handle the call. It does not run.
	ErrNotSent = errors.New("node is unreachable")
	// ErrBroken means that the connection failed or the call was cancelled when
	// the whole call may have been sent.
	ErrBroken = errors.New("connection to the node failed")

	errRetired = fmt.Errorf("%w: the connection was idle and is closed", ErrNotSent)
)

// Pool holds the connections to one node. It is safe for concurrent use.
type Pool struct {
	// Guard recovers panics. It is set before the first call.
	Guard *guard.Guard

	address string
	dialer  net.Dialer

	mu      sync.Mutex
	conns   []*clientConn
	dialing int // connections being opened
	closed  bool
}

// NewPool returns a pool of connections to a node, opened from a local address.
func NewPool(local net.IP, address string) *Pool {
	return &Pool{address: address, dialer: net.Dialer{
		Timeout: dialTimeout, KeepAlive: -1, LocalAddr: &net.TCPAddr{IP: local},
	}}
}

// Call sends a request and waits for the response. The deadlines are converted
// to the clock of the node. When the context ends first, the call is cancelled
// at the node.
func (p *Pool) Call(ctx context.Context, r Request, deadline, softDeadline time.Time) (*Response, error) {
	maxIdle := maxIdleWithoutPing
	if r.Idempotent {
		maxIdle = maxIdleIdempotent
	}
	for {
		c, err := p.acquire(ctx, maxIdle)
		if err != nil {
			return nil, err
		}
		resp, err := c.call(ctx, r, deadline, softDeadline)
		if !errors.Is(err, errRetired) {
			return resp, err
		}
	}
}

// Notify sends a one-way message.
func (p *Pool) Notify(ctx context.Context, message []byte) error {
	c, err := p.acquire(ctx, maxIdleIdempotent)
	if err != nil {
		return err
	}
	return c.writeFrame(frameNotification, message)
}

// CloseSurplus closes the connections beyond the first that have been idle for
// surplusIdleTime.
func (p *Pool) CloseSurplus() {
	p.mu.Lock()
	var surplus []*clientConn
	for i, c := range slices.DeleteFunc(slices.Clone(p.conns), func(c *clientConn) bool { return !c.isUsable() }) {
		if i > 0 && c.retire(surplusIdleTime) {
			surplus = append(surplus, c)
		}
	}
	p.mu.Unlock()
	for _, c := range surplus {
		c.fail()
	}
}

// Close closes the connections, each after its last call. Further calls are not sent.
func (p *Pool) Close() {
	p.mu.Lock()
	conns := p.conns
	p.conns, p.closed = nil, true
	p.mu.Unlock()
	for _, c := range conns {
		if c.leave(math.MaxUint64) == 0 {
			c.fail()
		}
	}
}

// acquire returns a live connection: an idle one, a new one while there are
// fewer than maxConns, or the one with the fewest calls. A connection that has
// received nothing for maxIdle is pinged first; one that does not respond takes no
// more calls until it is heard again.
func (p *Pool) acquire(ctx context.Context, maxIdle time.Duration) (*clientConn, error) {
	for {
		c, mayDial := p.leastLoaded()
		switch {
		case p.isClosed():
			return nil, errors.Join(ErrNotSent, net.ErrClosed)
		case c == nil && mayDial:
			return p.dial(ctx)
		case c == nil:
			return nil, errors.Join(ErrNotSent, errUnresponsive)
		}
		if c.sinceReceived() < maxIdle || c.ping(ctx, reusePingTimeout) {
			return c, nil
		}
		if ctx.Err() != nil {
			return nil, errors.Join(ErrNotSent, ctx.Err())
		}
		c.markSilent()
	}
}

var errUnresponsive = errors.New("the node does not respond on its open connections")

// leastLoaded returns the connection to use. Without one it reports whether another
// may be opened.
func (p *Pool) leastLoaded() (best *clientConn, mayDial bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns = slices.DeleteFunc(p.conns, (*clientConn).isFinal)
	usable := 0
	for _, c := range p.conns {
		if !c.isUsable() {
			continue
		}
		usable++
		if best == nil || c.pendingCalls() < best.pendingCalls() {
			best = c
		}
	}
	if best != nil && best.pendingCalls() > 0 && usable+p.dialing < maxConns {
		return nil, true
	}
	unresponsive := len(p.conns) - usable
	return best, unresponsive == 0 || unresponsive+p.dialing < maxUnresponsiveConns
}

func (p *Pool) dial(ctx context.Context) (*clientConn, error) {
	p.mu.Lock()
	p.dialing++
	p.mu.Unlock()
	c, err := p.open(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialing--
	if err != nil {
		return nil, errors.Join(ErrNotSent, err)
	}
	if p.closed {
		c.fail()
		return nil, errors.Join(ErrNotSent, net.ErrClosed)
	}
	p.conns = append(p.conns, c)
	return c, nil
}

func (p *Pool) isClosed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closed
}

func (p *Pool) open(ctx context.Context) (*clientConn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := p.dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	c := &clientConn{conn: newConn(raw), pending: make(map[uint64]*pendingCall), lastReceived: time.Now(), failedCh: make(chan struct{})}
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() }) // ends the handshake
	err = c.handshake()
	if !stop() {
		err = errors.Join(ctx.Err(), err)
	}
	if err != nil {
		_ = raw.Close() // the handshake error is returned
		return nil, err
	}
	c.guard = p.Guard
	c.livenessTimer = time.AfterFunc(time.Hour, c.checkLiveness) // reset to maxSilence by a pending call
	go func() {
		defer c.fail()
		p.Guard.Run("hop_connection", c.readLoop)
	}()
	return c, nil
}

// clientConn is a connection with its pending calls.
type clientConn struct {
	*conn
	guard         *guard.Guard
	clockOffset   int64 // lower bound of the node's clock minus this one, in microseconds
	livenessTimer *time.Timer
	failedCh      chan struct{} // closed when the connection has failed
	largeWritten  time.Time     // when a large request was last written; guarded by conn.mu

	mu           sync.Mutex
	lastStream   uint64
	pending      map[uint64]*pendingCall
	lastReceived time.Time     // when the last frame was received
	lastCheck    time.Time     // when the connection was last checked, or its first call sent
	silentFor    int           // checks in a row that found it silent
	pongReceived chan struct{} // closed by the next frame; nil without an unanswered ping
	failed       bool
	readErr      error // ended readLoop
	leaving      bool  // the node takes no further calls on this connection
	silent       bool  // the node has not responded to a ping, and nothing was received since
	retired      bool  // closed because it was idle
}

// pendingCall is a call that waits for its response.
type pendingCall struct {
	ended      chan reply
	idempotent bool
	sent       time.Time
	begun      bool // its request is being written, or has been; guarded by clientConn.mu
	cancelled  bool // the node is told once the request is written; guarded by clientConn.mu
}

// reply is the end of a pending call: its response, or an error.
type reply struct {
	resp   *Response
	err    error
	closed bool // the connection has closed, so that the write of the request ends
}

// handshake opens the connection and determines the offset of the node's clock.
// The node reads its clock before the response arrives, so converted deadlines
// are early by a round trip at most.
func (c *clientConn) handshake() error {
	if err := c.SetDeadline(time.Now().Add(dialTimeout)); err != nil {
		return err
	}
	if _, err := c.Write([]byte{preambleCalls}); err != nil {
		return err
	}
	if err := c.writeFrame(frameHello, nil); err != nil {
		return err
	}
	kind, payload, err := c.readFrame()
	if err != nil {
		return err
	}
	clock, err := decodeUint(payload)
	if err != nil || kind != frameHelloAck {
		return errMalformedFrame
	}
	c.clockOffset = int64(clock) - MonotonicMicros()
	return c.SetDeadline(time.Time{})
}

func (c *clientConn) call(ctx context.Context, r Request, deadline, softDeadline time.Time) (*Response, error) {
	ended := make(chan reply, 1)
	c.mu.Lock()
	if c.retired {
		c.mu.Unlock()
		return nil, errRetired
	}
	if c.failed || c.leaving || c.silent {
		c.mu.Unlock()
		return nil, ErrNotSent
	}
	c.lastStream++
	r.Stream = c.lastStream
	call := &pendingCall{ended: ended, idempotent: r.Idempotent, sent: time.Now()}
	c.pending[r.Stream] = call
	if len(c.pending) == 1 {
		c.lastCheck = time.Now()
		c.livenessTimer.Reset(maxSilence)
	}
	c.mu.Unlock()
	r.DeadlineAt = c.toPeerClock(deadline)
	r.SoftDeadlineAt = c.toPeerClock(softDeadline)
	written := c.startWrite(call, &r)
	for {
		select {
		case end := <-ended:
			if end.closed && written != nil {
				if err := <-written; err != nil {
					return nil, errors.Join(ErrNotSent, err)
				}
			}
			return end.resp, end.err
		case err := <-written:
			if err != nil {
				c.dropPending(r.Stream)
				return nil, errors.Join(ErrNotSent, err) // a node runs only what it has received whole
			}
			written = nil
		case <-ctx.Done():
			return nil, errors.Join(c.cancel(r.Stream, call, written), ctx.Err())
		}
	}
}

// errDropped means that a call had ended before its request was written.
var errDropped = errors.New("the call has ended")

// startWrite writes the request of a call. It does not wait for others that are being
// written, or for a large body: the returned channel receives the result.
func (c *clientConn) startWrite(call *pendingCall, r *Request) <-chan error {
	written := make(chan error, 1)
	if len(r.Body) < backgroundBytes && c.conn.mu.TryLock() {
		if time.Since(c.largeWritten) > fullBufferTime {
			defer c.conn.mu.Unlock()
			written <- c.writeIfPending(call, r)
			return written
		}
		c.conn.mu.Unlock()
	}
	request := *r
	go func() {
		err := error(errMalformedFrame)
		c.guard.Run("hop_request", func() {
			c.conn.mu.Lock()
			defer c.conn.mu.Unlock()
			err = c.writeIfPending(call, &request)
			if len(request.Body) >= backgroundBytes {
				c.largeWritten = time.Now()
			}
		})
		written <- err
		if err == nil && c.isCancelled(call) {
			c.sendCancel(request.Stream)
		}
	}()
	return written
}

// writeIfPending writes the request of a call that has not ended; c.conn.mu must be held.
func (c *clientConn) writeIfPending(call *pendingCall, r *Request) error {
	c.mu.Lock()
	call.begun = c.pending[r.Stream] == call
	begun := call.begun
	c.mu.Unlock()
	if !begun {
		return errDropped
	}
	return c.writeRequestLocked(r)
}

func (c *clientConn) isCancelled(call *pendingCall) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return call.cancelled
}

// cancel drops a call and tells the node, once the request is written: then startWrite
// does, if it has not passed on the result of the write yet. It returns ErrNotSent if the
// request has not been and will not be written whole, and ErrBroken otherwise.
func (c *clientConn) cancel(stream uint64, call *pendingCall, written <-chan error) error {
	c.mu.Lock()
	c.removePending(stream)
	call.cancelled = true
	begun := call.begun
	c.mu.Unlock()
	if !begun {
		return ErrNotSent
	}
	if written != nil {
		select {
		case err := <-written:
			if err != nil {
				return ErrNotSent
			}
		default:
			return ErrBroken
		}
	}
	go c.sendCancel(stream)
	return ErrBroken
}

// sendCancel tells the node that a call is cancelled. After an error the connection is
// closed, which cancels the call too.
func (c *clientConn) sendCancel(stream uint64) {
	_ = c.writeFrame(frameCancel, encodeUint(stream))
}

func (c *clientConn) toPeerClock(t time.Time) int64 {
	return t.Sub(processStart).Microseconds() + c.clockOffset
}

func (c *clientConn) dropPending(stream uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.removePending(stream)
}

// removePending removes a call; c.mu must be held. Without a call, the connection
// needs no check, and its timer would wake an idle process. One that takes no more
// calls is closed by the timer.
func (c *clientConn) removePending(stream uint64) {
	delete(c.pending, stream)
	if len(c.pending) == 0 && !c.isUnresponsive() {
		c.livenessTimer.Stop()
	}
}

// isUnresponsive reports whether the node has not responded to a ping; c.mu must be
// held.
func (c *clientConn) isUnresponsive() bool { return c.silent || c.silentFor >= suspectChecks }

func (c *clientConn) pendingCalls() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending)
}

// isUsable reports whether a call can be sent on the connection.
func (c *clientConn) isUsable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.failed && !c.leaving && !c.retired && !c.isUnresponsive()
}

// retire keeps further calls from a connection that has no call and has been idle for
// long enough. It reports whether it has done so.
func (c *clientConn) retire(idle time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) > 0 || time.Since(c.lastReceived) < idle {
		return false
	}
	c.retired = true
	return true
}

// isFinal reports whether no call will be sent on the connection any more.
func (c *clientConn) isFinal() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failed || c.leaving || c.retired
}

// leave ends the calls after the last one that the node handles, and those of which
// nothing is sent: they have not run. The others wait for their responses; leave returns
// their number.
func (c *clientConn) leave(last uint64) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = true
	for stream, call := range c.pending {
		if stream > last || !call.begun {
			call.ended <- reply{err: ErrNotSent}
			c.removePending(stream)
		}
	}
	return len(c.pending)
}

func (c *clientConn) sinceReceived() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.lastReceived)
}

// checkLiveness runs periodically while calls are pending. It pings a connection
// that has received nothing, ends the calls of one that does not respond, and closes
// it when its last call has ended.
func (c *clientConn) checkLiveness() {
	c.mu.Lock()
	now := time.Now()
	waiting := len(c.pending) > 0
	if waiting && !c.failed {
		c.livenessTimer.Reset(maxSilence)
	}
	onTime := now.Sub(c.lastCheck) < maxSilence+maxCheckDelay
	c.lastCheck = now
	if waiting && onTime && now.Sub(c.lastReceived) >= maxSilence {
		c.silentFor++
	}
	unresponsive, silentFor := c.isUnresponsive(), c.silentFor
	c.mu.Unlock()
	switch {
	case unresponsive && !waiting:
		c.fail()
	case !waiting || !onTime:
	case silentFor >= silentChecks:
		c.markSilent()
		c.endSilentCalls()
	case silentFor == 1:
		c.sendPing()
	}
}

// markSilent keeps further calls from the connection until it is heard again.
func (c *clientConn) markSilent() {
	c.mu.Lock()
	if c.failed {
		c.mu.Unlock()
		return
	}
	if !c.silent {
		c.silent = true
		c.livenessTimer.Reset(maxSilence)
	}
	c.mu.Unlock()
}

// endSilentCalls ends the calls that can be sent to another node and have heard
// nothing for as long as a connection may be silent. The others wait until their
// deadlines: a node without processor time is as silent as one behind a cut, its
// target may be at work, and an early "unknown" helps no caller.
func (c *clientConn) endSilentCalls() {
	c.mu.Lock()
	var ended []uint64
	for stream, call := range c.pending {
		if !call.idempotent || time.Since(call.sent) < maxSilence+pingTimeout {
			continue
		}
		c.removePending(stream)
		if call.begun {
			ended = append(ended, stream)
			call.ended <- reply{err: ErrBroken}
		} else {
			call.ended <- reply{err: ErrNotSent}
		}
	}
	c.mu.Unlock()
	for _, stream := range ended {
		c.sendCancel(stream)
	}
}

// sendPing sends a ping. Any frame from the node closes the returned channel.
func (c *clientConn) sendPing() <-chan struct{} {
	c.mu.Lock()
	if c.pongReceived == nil {
		c.pongReceived = make(chan struct{})
	}
	pong := c.pongReceived
	c.mu.Unlock()
	// The ping may have to wait for a large frame. An error closes the connection, which
	// ends readLoop.
	go func() { _ = c.writeFrame(framePing, nil) }()
	return pong
}

func (c *clientConn) ping(ctx context.Context, timeout time.Duration) bool {
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case <-c.sendPing():
		return true
	case <-c.failedCh:
	case <-t.C:
	case <-ctx.Done():
	}
	return false
}

func (c *clientConn) readLoop() {
	for {
		kind, payload, err := c.readFrame()
		if err != nil {
			c.mu.Lock()
			c.readErr = err
			c.mu.Unlock()
			return
		}
		c.mu.Lock()
		c.lastReceived, c.silentFor, c.silent = time.Now(), 0, false
		if c.pongReceived != nil {
			close(c.pongReceived)
			c.pongReceived = nil
		}
		c.mu.Unlock()
		if kind == frameGoAway {
			last, err := decodeUint(payload)
			if err != nil {
				return
			}
			if c.leave(last) == 0 {
				return
			}
		}
		if kind != frameResponse {
			continue
		}
		resp, err := c.readResponse(payload)
		if err != nil {
			return
		}
		c.mu.Lock()
		call, waiting := c.pending[resp.Stream]
		c.removePending(resp.Stream)
		done := c.leaving && len(c.pending) == 0
		c.mu.Unlock()
		if waiting {
			call.ended <- reply{resp: resp}
		}
		if done {
			return
		}
	}
}

// fail closes the connection and fails its pending calls.
func (c *clientConn) fail() {
	c.mu.Lock()
	if c.failed {
		c.mu.Unlock()
		return
	}
	c.failed = true
	pending, err := c.pending, errors.Join(ErrBroken, c.readErr)
	c.pending = make(map[uint64]*pendingCall)
	c.mu.Unlock()
	close(c.failedCh)
	c.livenessTimer.Stop()
	_ = c.Close() // nothing more is sent or read
	for _, call := range pending {
		call.ended <- reply{err: err, closed: true}
	}
}
