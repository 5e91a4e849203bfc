package hop

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/time/rate"

	"nutmeghoist.example/nutmeghoist/pkg/distribution"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

const (
	greetTimeout = 300 * time.Millisecond
	// acceptRate bounds the gossip links that a node accepts a second, so that
	// the survivors of a herd are not drowned in reconnects.
	acceptRate = 32
	// maxAsks bounds the requests of one peer that are answered at a time.
	maxAsks = 8
	// maxFrames bounds the frames that wait to be received; a peer that sends
	// more is slowed down.
	maxFrames = 16
)

// greeting opens a gossip link.
type greeting struct {
	Host mesh.HostID `cbor:"1,keyasint"`
	Want mesh.HostID `cbor:"2,keyasint,omitempty"` // the host that the dialler looks for
	Busy bool        `cbor:"3,keyasint,omitempty"` // no link is accepted now
}

// Transport carries the links of pkg/distribution. It implements
// distribution.Transport.
type Transport struct {
	self    mesh.HostID
	local   net.IP
	server  *Server
	limiter *rate.Limiter
}

var _ distribution.Transport = (*Transport)(nil)

// NewTransport returns a transport that accepts links through a server, which
// must not run yet.
func NewTransport(self mesh.HostID, local net.IP, server *Server) *Transport {
	t := &Transport{self: self, local: local, server: server, limiter: rate.NewLimiter(acceptRate, acceptRate)}
	server.welcome = t.accept
	return t
}

// Serve accepts links until the context ends.
func (t *Transport) Serve(ctx context.Context, h distribution.Handler) error {
	t.server.setGossip(h)
	<-ctx.Done()
	t.server.setGossip(nil)
	return nil
}

func (t *Transport) accept(c *conn, h distribution.Handler) {
	peer, err := t.welcome(c)
	if err != nil {
		_ = c.Close() // the peer sees the end in any case
		return
	}
	h.HandleLink(newLink(c, peer, false, h))
}

// welcome answers a greeting and returns the host that sent it.
func (t *Transport) welcome(c *conn) (mesh.HostID, error) {
	if err := c.SetDeadline(time.Now().Add(greetTimeout)); err != nil {
		return "", err
	}
	hello, err := c.readGreeting(frameHello)
	if err != nil {
		return "", err
	}
	wrong := hello.Want != "" && hello.Want != t.self
	busy := !t.limiter.Allow()
	if err := c.writeMessage(frameHelloAck, greeting{Host: t.self, Busy: busy}); err != nil {
		return "", err
	}
	if wrong || busy {
		return "", distribution.ErrBusy
	}
	return hello.Host, c.SetDeadline(time.Time{})
}

func (c *conn) readGreeting(want byte) (greeting, error) {
	kind, payload, err := c.readFrame()
	if err != nil {
		return greeting{}, err
	}
	var g greeting
	if kind != want || cbor.Unmarshal(payload, &g) != nil || g.Host == "" {
		return greeting{}, errFrame
	}
	return g, nil
}

// Dial opens a link. It fails when the peer is not the host of the endpoint.
func (t *Transport) Dial(ctx context.Context, to distribution.Endpoint) (distribution.Link, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	dialer := net.Dialer{KeepAlive: -1, LocalAddr: &net.TCPAddr{IP: t.local}}
	raw, err := dialer.DialContext(ctx, "tcp", to.Address)
	if err != nil {
		return nil, fmt.Errorf("dial %s at %s: %w", to.Host, to.Address, err)
	}
	c := newConn(raw)
	ack, err := t.greet(c, to.Host)
	if err != nil {
		_ = raw.Close() // the greeting's error is the one to tell
		return nil, fmt.Errorf("dial %s at %s: %w", to.Host, to.Address, err)
	}
	return newLink(c, ack.Host, true, t.server.gossipHandler()), nil
}

func (t *Transport) greet(c *conn, want mesh.HostID) (greeting, error) {
	if err := c.SetDeadline(time.Now().Add(greetTimeout)); err != nil {
		return greeting{}, err
	}
	if _, err := c.Write([]byte{preambleGossip}); err != nil {
		return greeting{}, err
	}
	if err := c.writeMessage(frameHello, greeting{Host: t.self, Want: want}); err != nil {
		return greeting{}, err
	}
	ack, err := c.readGreeting(frameHelloAck)
	switch {
	case err != nil:
		return ack, err
	case want != "" && ack.Host != want:
		return ack, distribution.ErrUnauthorized
	case ack.Busy:
		return ack, distribution.ErrBusy
	}
	return ack, c.SetDeadline(time.Time{})
}

// link is an open gossip link. It implements distribution.Link.
type link struct {
	c       *conn
	peer    mesh.HostID
	dialed  bool
	handler distribution.Handler
	ctx     context.Context // ends with the link
	cancel  context.CancelFunc
	slots   chan struct{} // asks of the peer that are answered now
	frames  chan []byte   // received and not taken yet

	mu     sync.Mutex
	next   uint64
	asks   map[uint64]chan answer
	closed *distribution.ClosedError
	failed error // why reading ended
}

type answer struct {
	body []byte
	err  error
}

// ask is a request or its answer on the wire.
type ask struct {
	Stream uint64 `cbor:"1,keyasint"`
	Body   []byte `cbor:"2,keyasint"`
}

var errAskFailed = errors.New("peer could not answer")

func newLink(c *conn, peer mesh.HostID, dialed bool, h distribution.Handler) *link {
	ctx, cancel := context.WithCancel(context.Background())
	l := &link{
		c: c, peer: peer, dialed: dialed, handler: h, ctx: ctx, cancel: cancel,
		slots: make(chan struct{}, maxAsks), asks: make(map[uint64]chan answer), frames: make(chan []byte, maxFrames),
	}
	go l.read()
	return l
}

// Peer implements distribution.Link.
func (l *link) Peer() mesh.HostID { return l.peer }

// Dialed implements distribution.Link.
func (l *link) Dialed() bool { return l.dialed }

// Send implements distribution.Link.
func (l *link) Send(_ context.Context, frame []byte) error {
	if len(frame) > distribution.MaxFrame {
		return distribution.ErrTooLarge
	}
	return l.c.writeFrame(frameGossip, frame)
}

// Receive implements distribution.Link.
func (l *link) Receive() ([]byte, error) {
	frame, ok := <-l.frames
	if !ok {
		return nil, l.why()
	}
	return frame, nil
}

// read takes frames until the link ends. It serves the peer's asks and passes
// on the answers to those of this end.
func (l *link) read() {
	defer close(l.frames)
	for {
		err := l.readOne()
		if err != nil {
			l.mu.Lock()
			l.failed = err
			l.mu.Unlock()
			l.cancel()
			_ = l.c.Close() // the link is over in any case
			return
		}
	}
}

func (l *link) readOne() error {
	kind, payload, err := l.c.readFrame()
	if err != nil {
		return err
	}
	switch kind {
	case frameGossip:
		select {
		case l.frames <- payload:
		case <-l.ctx.Done():
			return l.ctx.Err()
		}
	case frameAsk, frameAnswer, frameFailure:
		var a ask
		if err := cbor.Unmarshal(payload, &a); err != nil {
			return err
		}
		l.take(kind, a)
	case frameClose:
		if len(payload) == 1 {
			l.setClosed(distribution.CloseReason(payload[0]), true)
		}
	default:
		return errFrame
	}
	return nil
}

func (l *link) take(kind byte, a ask) {
	if kind == frameAsk {
		select {
		case l.slots <- struct{}{}:
			go l.serveAsk(a)
		default:
			// An error closes the link, which Receive finds out.
			_ = l.c.writeMessage(frameFailure, ask{Stream: a.Stream})
		}
		return
	}
	l.mu.Lock()
	reply := l.asks[a.Stream]
	delete(l.asks, a.Stream)
	l.mu.Unlock()
	switch {
	case reply == nil:
	case kind == frameFailure:
		reply <- answer{err: errAskFailed}
	default:
		reply <- answer{body: a.Body}
	}
}

func (l *link) serveAsk(a ask) {
	defer func() { <-l.slots }()
	ctx, cancel := context.WithTimeout(l.ctx, writeTimeout)
	defer cancel()
	body, err := l.handler.HandleRequest(ctx, l.peer, a.Body)
	kind := frameAnswer
	if err != nil || len(body) > distribution.MaxResponse {
		kind, body = frameFailure, nil
	}
	// An error closes the link, which Receive finds out.
	_ = l.c.writeMessage(kind, ask{Stream: a.Stream, Body: body})
}

// Request implements distribution.Link.
func (l *link) Request(ctx context.Context, request []byte) ([]byte, error) {
	if len(request) > distribution.MaxRequest {
		return nil, distribution.ErrTooLarge
	}
	reply := make(chan answer, 1)
	l.mu.Lock()
	l.next++
	stream := l.next
	l.asks[stream] = reply
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.asks, stream)
	}()
	if err := l.c.writeMessage(frameAsk, ask{Stream: stream, Body: request}); err != nil {
		return nil, err
	}
	select {
	case a := <-reply:
		return a.body, a.err
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-l.ctx.Done():
		return nil, l.why()
	}
}

// Close implements distribution.Link.
func (l *link) Close(reason distribution.CloseReason) {
	if !l.setClosed(reason, false) {
		return
	}
	go func() {
		// The reason is a courtesy; a peer that does not get it sees the end.
		_ = l.c.SetWriteDeadline(time.Now().Add(greetTimeout))
		_ = l.c.writeFrame(frameClose, []byte{byte(reason)})
		l.cancel()
		_ = l.c.Close()
	}()
}

func (l *link) setClosed(reason distribution.CloseReason, remote bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed != nil {
		return false
	}
	l.closed = &distribution.ClosedError{Reason: reason, Remote: remote}
	return true
}

// why returns the reason for which the link ended.
func (l *link) why() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed != nil {
		return l.closed
	}
	if l.failed != nil {
		return l.failed
	}
	return net.ErrClosed
}
