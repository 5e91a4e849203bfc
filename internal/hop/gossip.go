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

	"nutmeghoist.example/nutmeghoist/internal/guard"
	"nutmeghoist.example/nutmeghoist/pkg/distribution"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

const (
	handshakeTimeout = 300 * time.Millisecond
	// maxAcceptsPerSecond limits the rate of accepted gossip links, so that a
	// reconnect storm (thundering herd) does not overload the remaining nodes.
	maxAcceptsPerSecond = 32
	// maxPeerRequests bounds the concurrent requests of one peer.
	maxPeerRequests = 8
	// maxQueuedFrames bounds the received frames that wait for Receive. A full
	// queue stops reading, which applies back-pressure to the peer.
	maxQueuedFrames = 16
)

// helloMessage is the handshake message of a gossip link, in both directions.
type helloMessage struct {
	Host     mesh.HostID `cbor:"1,keyasint"`
	WantHost mesh.HostID `cbor:"2,keyasint,omitempty"` // the host that the dialler expects
	Busy     bool        `cbor:"3,keyasint,omitempty"` // the link is refused by the rate limit
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
	t := &Transport{self: self, local: local, server: server, limiter: rate.NewLimiter(maxAcceptsPerSecond, maxAcceptsPerSecond)}
	server.acceptGossip = t.accept
	return t
}

// Serve accepts links until the context ends.
func (t *Transport) Serve(ctx context.Context, h distribution.Handler) error {
	t.server.setGossipHandler(h)
	<-ctx.Done()
	t.server.setGossipHandler(nil)
	return nil
}

func (t *Transport) accept(c *conn, h distribution.Handler) {
	c.maxFrame = maxGossipFrame
	peer, err := t.serverHandshake(c)
	if err != nil {
		_ = c.Close() // the peer sees the close in any case
		return
	}
	h.HandleLink(newLink(c, peer, false, h, t.server.Guard))
}

// serverHandshake responds to the hello of a peer and returns the peer's host.
func (t *Transport) serverHandshake(c *conn) (mesh.HostID, error) {
	if err := c.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return "", err
	}
	hello, err := c.readHello(frameHello)
	if err != nil {
		return "", err
	}
	wrongHost := hello.WantHost != "" && hello.WantHost != t.self
	busy := !t.limiter.Allow()
	if err := c.writeMessage(frameHelloAck, helloMessage{Host: t.self, Busy: busy}); err != nil {
		return "", err
	}
	if wrongHost || busy {
		return "", distribution.ErrBusy
	}
	return hello.Host, c.SetDeadline(time.Time{})
}

func (c *conn) readHello(wantKind byte) (helloMessage, error) {
	kind, payload, err := c.readFrame()
	if err != nil {
		return helloMessage{}, err
	}
	var hello helloMessage
	if kind != wantKind || cbor.Unmarshal(payload, &hello) != nil || hello.Host == "" {
		return helloMessage{}, errMalformedFrame
	}
	return hello, nil
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
	c.maxFrame = maxGossipFrame
	ack, err := t.clientHandshake(c, to.Host)
	if err != nil {
		_ = raw.Close() // the handshake error is returned
		return nil, fmt.Errorf("dial %s at %s: %w", to.Host, to.Address, err)
	}
	return newLink(c, ack.Host, true, t.server.loadGossipHandler(), t.server.Guard), nil
}

func (t *Transport) clientHandshake(c *conn, want mesh.HostID) (helloMessage, error) {
	if err := c.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return helloMessage{}, err
	}
	if _, err := c.Write([]byte{preambleGossip}); err != nil {
		return helloMessage{}, err
	}
	if err := c.writeMessage(frameHello, helloMessage{Host: t.self, WantHost: want}); err != nil {
		return helloMessage{}, err
	}
	ack, err := c.readHello(frameHelloAck)
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
	c            *conn
	peer         mesh.HostID
	dialed       bool
	handler      distribution.Handler
	guard        *guard.Guard
	ctx          context.Context // ends when the link closes
	cancel       context.CancelFunc
	requestSlots chan struct{} // holds an element per request of the peer in progress
	frames       chan []byte   // received and not returned by Receive yet

	mu         sync.Mutex
	lastStream uint64
	pending    map[uint64]chan rpcResult
	closed     *distribution.ClosedError
	readErr    error // the error that ended readLoop
}

// rpcResult is the response to a request, or its error.
type rpcResult struct {
	body []byte
	err  error
}

// rpcFrame is the encoding of a request or its response.
type rpcFrame struct {
	Stream uint64 `cbor:"1,keyasint"`
	Body   []byte `cbor:"2,keyasint"`
}

var errRequestFailed = errors.New("peer failed to serve the request")

func newLink(c *conn, peer mesh.HostID, dialed bool, h distribution.Handler, g *guard.Guard) *link {
	ctx, cancel := context.WithCancel(context.Background())
	l := &link{
		c: c, peer: peer, dialed: dialed, handler: h, guard: g, ctx: ctx, cancel: cancel,
		requestSlots: make(chan struct{}, maxPeerRequests), pending: make(map[uint64]chan rpcResult), frames: make(chan []byte, maxQueuedFrames),
	}
	go l.readLoop()
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
		return nil, l.endReason()
	}
	return frame, nil
}

// readLoop reads frames until the link closes. It serves the requests of the
// peer and delivers the responses to those of this end.
func (l *link) readLoop() {
	defer close(l.frames)
	for {
		var err error
		if l.guard.Run("gossip_link", func() { err = l.readNext() }) {
			err = errMalformedFrame
		}
		if err != nil {
			l.mu.Lock()
			l.readErr = err
			l.mu.Unlock()
			l.cancel()
			_ = l.c.Close() // the link is no longer usable
			return
		}
	}
}

func (l *link) readNext() error {
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
	case frameGossipRequest, frameGossipResponse, frameGossipError:
		var frame rpcFrame
		if err := cbor.Unmarshal(payload, &frame); err != nil {
			return err
		}
		l.handleRPC(kind, frame)
	case frameGossipClose:
		if len(payload) == 1 {
			l.setClosed(distribution.CloseReason(payload[0]), true)
		}
	default:
		return errMalformedFrame
	}
	return nil
}

func (l *link) handleRPC(kind byte, frame rpcFrame) {
	if kind == frameGossipRequest {
		select {
		case l.requestSlots <- struct{}{}:
			go l.serveRequest(frame)
		default:
			// An error closes the link, which Receive reports.
			_ = l.c.writeMessage(frameGossipError, rpcFrame{Stream: frame.Stream})
		}
		return
	}
	l.mu.Lock()
	reply := l.pending[frame.Stream]
	delete(l.pending, frame.Stream)
	l.mu.Unlock()
	switch {
	case reply == nil:
	case kind == frameGossipError:
		reply <- rpcResult{err: errRequestFailed}
	default:
		reply <- rpcResult{body: frame.Body}
	}
}

func (l *link) serveRequest(frame rpcFrame) {
	defer func() { <-l.requestSlots }()
	ctx, cancel := context.WithTimeout(l.ctx, writeTimeout)
	defer cancel()
	var body []byte
	var err error
	panicked := l.guard.Run("gossip_request", func() { body, err = l.handler.HandleRequest(ctx, l.peer, frame.Body) })
	kind := frameGossipResponse
	if panicked || err != nil || len(body) > distribution.MaxResponse {
		kind, body = frameGossipError, nil
	}
	// An error closes the link, which Receive reports.
	_ = l.c.writeMessage(kind, rpcFrame{Stream: frame.Stream, Body: body})
}

// Request implements distribution.Link.
func (l *link) Request(ctx context.Context, request []byte) ([]byte, error) {
	if len(request) > distribution.MaxRequest {
		return nil, distribution.ErrTooLarge
	}
	reply := make(chan rpcResult, 1)
	l.mu.Lock()
	l.lastStream++
	stream := l.lastStream
	l.pending[stream] = reply
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.pending, stream)
	}()
	if err := l.c.writeMessage(frameGossipRequest, rpcFrame{Stream: stream, Body: request}); err != nil {
		return nil, err
	}
	select {
	case a := <-reply:
		return a.body, a.err
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-l.ctx.Done():
		return nil, l.endReason()
	}
}

// Close implements distribution.Link.
func (l *link) Close(reason distribution.CloseReason) {
	if !l.setClosed(reason, false) {
		return
	}
	go func() {
		// The reason is sent on a best-effort basis. Without it the peer only sees
		// the connection close.
		_ = l.c.SetWriteDeadline(time.Now().Add(handshakeTimeout))
		_ = l.c.writeFrame(frameGossipClose, []byte{byte(reason)})
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

// endReason returns why the link has closed.
func (l *link) endReason() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed != nil {
		return l.closed
	}
	if l.readErr != nil {
		return l.readErr
	}
	return net.ErrClosed
}
