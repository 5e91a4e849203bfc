package hop

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

const (
	// dialTimeout bounds a connect and its greeting. Data centres are about 1 ms
	// apart; a SYN that was lost is sent again after a second or more.
	dialTimeout = 300 * time.Millisecond
	// quietLimit is how long a connection may be silent before it is probed, while
	// a call waits or before a call is sent.
	quietLimit = 300 * time.Millisecond
	// probeTimeout is how long a probe may take. A busy node answers late.
	probeTimeout = 600 * time.Millisecond
	// freshProbeTimeout bounds the probe before a call is sent on a connection
	// that was idle; a new connection replaces one that fails it.
	freshProbeTimeout = 150 * time.Millisecond
	// idleLimit is how long a connection may be idle before it is probed first.
	idleLimit = time.Second
	// maxConns bounds the connections to one node. More than one keeps a lost
	// packet from holding up every call to the node.
	maxConns = 4
)

// Errors of a call that got no response.
var (
	// ErrNotSent means that no byte of the call left this node.
	ErrNotSent = errors.New("node is unreachable")
	// ErrBroken means that the connection ended after the call was sent.
	ErrBroken = errors.New("connection to the node broke")
)

// Pool holds the connections to one node. It is safe for concurrent use.
type Pool struct {
	address string
	dialer  net.Dialer

	mu    sync.Mutex
	conns []*clientConn
	dials int // connections being opened
}

// NewPool returns a pool of connections to a node, opened from a local address.
func NewPool(local net.IP, address string) *Pool {
	return &Pool{address: address, dialer: net.Dialer{
		Timeout: dialTimeout, KeepAlive: -1, LocalAddr: &net.TCPAddr{IP: local},
	}}
}

// Call sends a request and waits for the response. deadline and aim are put on
// the node's clock. When the context ends first, the call is cancelled at the
// node.
func (p *Pool) Call(ctx context.Context, r Request, deadline, aim time.Time) (*Response, error) {
	c, err := p.take(ctx)
	if err != nil {
		return nil, err
	}
	return c.call(ctx, r, deadline, aim)
}

// Notify sends a message that has no answer.
func (p *Pool) Notify(ctx context.Context, message []byte) error {
	c, err := p.take(ctx)
	if err != nil {
		return err
	}
	return c.writeFrame(frameNote, message)
}

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	conns := p.conns
	p.conns = nil
	p.mu.Unlock()
	for _, c := range conns {
		c.fail()
	}
}

// take returns a connection that was heard from lately: an idle one, a new one
// while there are few, or the one with the fewest calls.
func (p *Pool) take(ctx context.Context) (*clientConn, error) {
	for {
		c := p.choose()
		if c == nil {
			return p.dial(ctx)
		}
		if c.quiet() < idleLimit || c.probe(ctx, freshProbeTimeout) {
			return c, nil
		}
		if ctx.Err() != nil {
			return nil, errors.Join(ErrNotSent, ctx.Err())
		}
		c.fail()
	}
}

func (p *Pool) choose() *clientConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var best *clientConn
	alive := p.conns[:0]
	for _, c := range p.conns {
		if c.dead() {
			continue
		}
		alive = append(alive, c)
		if best == nil || c.load() < best.load() {
			best = c
		}
	}
	p.conns = alive
	if best != nil && best.load() > 0 && len(p.conns)+p.dials < maxConns {
		return nil
	}
	return best
}

func (p *Pool) dial(ctx context.Context) (*clientConn, error) {
	p.mu.Lock()
	p.dials++
	p.mu.Unlock()
	c, err := p.open(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dials--
	if err != nil {
		return nil, errors.Join(ErrNotSent, err)
	}
	p.conns = append(p.conns, c)
	return c, nil
}

func (p *Pool) open(ctx context.Context) (*clientConn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := p.dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	c := &clientConn{conn: newConn(raw), pending: make(map[uint64]chan *Response), heard: time.Now(), ended: make(chan struct{})}
	if err := c.greet(); err != nil {
		_ = raw.Close() // the greeting's error is the one to tell
		return nil, err
	}
	c.watch = time.AfterFunc(time.Hour, c.check)
	go c.read()
	return c, nil
}

// clientConn is one connection with the calls that wait on it.
type clientConn struct {
	*conn
	offset int64 // the node's clock less this one, at least, in microseconds
	watch  *time.Timer
	ended  chan struct{} // closed when the connection has failed

	mu      sync.Mutex
	next    uint64
	pending map[uint64]chan *Response
	heard   time.Time // when the last frame came
	probed  time.Time // when the unanswered probe was sent; zero without one
	pong    chan struct{}
	failed  bool
}

// greet opens the connection and reads the node's clock. The clock was read
// before the answer came, so deadlines on it are early by a round trip at most.
func (c *clientConn) greet() error {
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
		return errFrame
	}
	c.offset = int64(clock) - MonotonicMicros()
	return c.SetDeadline(time.Time{})
}

func (c *clientConn) call(ctx context.Context, r Request, deadline, aim time.Time) (*Response, error) {
	reply := make(chan *Response, 1)
	c.mu.Lock()
	if c.failed {
		c.mu.Unlock()
		return nil, ErrNotSent
	}
	c.next++
	r.Stream = c.next
	c.pending[r.Stream] = reply
	if len(c.pending) == 1 {
		c.watch.Reset(quietLimit)
	}
	c.mu.Unlock()
	r.DeadlineAt = c.toPeer(deadline)
	r.SoftDeadlineAt = c.toPeer(aim)
	if err := c.writeRequest(&r); err != nil {
		c.forget(r.Stream)
		return nil, errors.Join(ErrBroken, err)
	}
	select {
	case resp := <-reply:
		if resp == nil {
			return nil, ErrBroken
		}
		return resp, nil
	case <-ctx.Done():
		c.forget(r.Stream)
		// An error means that the connection is gone, and the call with it.
		_ = c.writeFrame(frameCancel, encodeUint(r.Stream))
		return nil, errors.Join(ErrBroken, ctx.Err())
	}
}

func (c *clientConn) toPeer(t time.Time) int64 { return t.Sub(processStart).Microseconds() + c.offset }

func (c *clientConn) forget(stream uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, stream)
}

func (c *clientConn) load() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending)
}

func (c *clientConn) dead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failed
}

func (c *clientConn) quiet() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.heard)
}

// check runs while calls wait: it probes a quiet connection and gives up one
// that does not answer.
func (c *clientConn) check() {
	c.mu.Lock()
	waiting, quiet, probed := len(c.pending) > 0, time.Since(c.heard), c.probed
	if waiting && !c.failed {
		c.watch.Reset(quietLimit)
	}
	c.mu.Unlock()
	switch {
	case !waiting || quiet < quietLimit:
	case probed.IsZero():
		c.sendProbe()
	case time.Since(probed) > probeTimeout:
		c.fail()
	}
}

// sendProbe asks the node for a sign of life; the channel is closed by it.
func (c *clientConn) sendProbe() <-chan struct{} {
	c.mu.Lock()
	if c.pong == nil {
		c.pong = make(chan struct{})
		c.probed = time.Now()
	}
	pong := c.pong
	c.mu.Unlock()
	// An error has closed the connection, which read finds out.
	_ = c.writeFrame(framePing, nil)
	return pong
}

func (c *clientConn) probe(ctx context.Context, timeout time.Duration) bool {
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case <-c.sendProbe():
		return true
	case <-c.ended:
	case <-t.C:
	case <-ctx.Done():
	}
	return false
}

func (c *clientConn) read() {
	defer c.fail()
	for {
		kind, payload, err := c.readFrame()
		if err != nil {
			return
		}
		c.mu.Lock()
		c.heard = time.Now()
		if c.pong != nil {
			close(c.pong)
			c.pong, c.probed = nil, time.Time{}
		}
		c.mu.Unlock()
		if kind != frameResponse {
			continue
		}
		resp, err := c.readResponse(payload)
		if err != nil {
			return
		}
		c.mu.Lock()
		reply := c.pending[resp.Stream]
		delete(c.pending, resp.Stream)
		c.mu.Unlock()
		if reply != nil {
			reply <- resp
		}
	}
}

// fail closes the connection and ends the calls that wait on it.
func (c *clientConn) fail() {
	c.mu.Lock()
	if c.failed {
		c.mu.Unlock()
		return
	}
	c.failed = true
	pending := c.pending
	c.pending = make(map[uint64]chan *Response)
	c.mu.Unlock()
	close(c.ended)
	c.watch.Stop()
	_ = c.Close() // nothing more is sent or read
	for _, reply := range pending {
		reply <- nil
	}
}
