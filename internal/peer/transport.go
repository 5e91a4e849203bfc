// Package peer carries the links of package distribution over QUIC with mutual
// TLS 1.3: one connection for each pair of neighbours, with one long stream
// for gossip and a short stream for each request.
package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"golang.org/x/time/rate"

	"nutmeghoist.example/nutmeghoist/internal/tlskeys"
	"nutmeghoist.example/nutmeghoist/pkg/distribution"
)

const (
	protocol = "nutmeghoist/1"

	// acceptsPerSecond bounds the handshakes after many hosts lose their links at
	// once. Each costs about 1 ms of a core.
	acceptsPerSecond = 32
	// defaultMaxPeers is several times the links that a host opens and accepts
	// in a mesh of 16 data centres.
	defaultMaxPeers = 64

	handshakeTimeout = time.Second
	// idleTimeout is the last resort; the engine gives a link up after 3 s.
	idleTimeout = 6 * time.Second
	maxRequests = 8 // open request streams of a peer

	// The receive windows bound what a peer can make this host buffer.
	streamWindow     = 64 << 10
	connectionWindow = 128 << 10
)

// Config is what a Transport needs.
type Config struct {
	Keys     *tlskeys.Keys
	Listen   string // IP:port, UDP
	MaxPeers int    // links at a time; 0 means the default
}

// Transport implements distribution.Transport over QUIC.
type Transport struct {
	keys     *tlskeys.Keys
	maxPeers int
	socket   *net.UDPConn
	quic     *quic.Transport
	listener *quic.Listener
	limit    *rate.Limiter
	stats    counters

	ready   chan struct{} // closed when handler is set
	handler distribution.Handler

	mu      sync.Mutex
	conns   map[*quic.Conn]bool
	pending int // accepted connections whose handshake is not complete
	stopped bool
}

// New opens the UDP socket. Links are accepted once Serve runs.
func New(cfg Config) (*Transport, error) {
	addr, err := net.ResolveUDPAddr("udp", cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("peer address %q: %w", cfg.Listen, err)
	}
	socket, err := net.ListenUDP("udp", addr)
	if err != nil {
		return nil, fmt.Errorf("peer address %q: %w", cfg.Listen, err)
	}
	t := &Transport{
		keys: cfg.Keys, maxPeers: cfg.MaxPeers, socket: socket,
		limit: rate.NewLimiter(acceptsPerSecond, acceptsPerSecond),
		ready: make(chan struct{}), conns: make(map[*quic.Conn]bool),
	}
	if t.maxPeers == 0 {
		t.maxPeers = defaultMaxPeers
	}
	resetKey := quic.StatelessResetKey(cfg.Keys.ResetKey())
	t.quic = &quic.Transport{Conn: socket, StatelessResetKey: &resetKey, ConnContext: t.watchHandshake}
	server := cfg.Keys.Server()
	server.NextProtos = []string{protocol}
	config := quicConfig()
	config.GetConfigForClient = t.admit
	if t.listener, err = t.quic.Listen(server, config); err != nil {
		_ = socket.Close()
		return nil, fmt.Errorf("peer address %q: %w", cfg.Listen, err)
	}
	return t, nil
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIdleTimeout:                 idleTimeout,
		InitialStreamReceiveWindow:     streamWindow,
		MaxStreamReceiveWindow:         streamWindow,
		InitialConnectionReceiveWindow: connectionWindow,
		MaxConnectionReceiveWindow:     connectionWindow,
		MaxIncomingStreams:             maxRequests,
		MaxIncomingUniStreams:          -1,
		// Probe packets of full size on each new link cost more than the larger
		// packets would save.
		DisablePathMTUDiscovery: true,
	}
}

// Addr returns the address that accepts links.
func (t *Transport) Addr() string { return t.socket.LocalAddr().String() }

var errLimit = errors.New("limit of new links or of peers is reached")

// admit refuses connection attempts beyond the limits before they cost a
// handshake.
func (t *Transport) admit(*quic.ClientInfo) (*quic.Config, error) {
	t.mu.Lock()
	full := len(t.conns)+t.pending >= t.maxPeers || t.stopped
	t.mu.Unlock()
	if full || !t.limit.Allow() {
		t.stats.refused.Add(1)
		return nil, errLimit
	}
	return quicConfig(), nil
}

// watchHandshake counts the handshakes in progress and those that fail for a
// wrong certificate.
func (t *Transport) watchHandshake(ctx context.Context, _ *quic.ClientInfo) (context.Context, error) {
	t.mu.Lock()
	t.pending++
	t.mu.Unlock()
	h := &handshake{t: t}
	context.AfterFunc(ctx, func() {
		h.end()
		if isCertificateError(context.Cause(ctx)) {
			t.stats.unauthorized.Add(1)
		}
	})
	return context.WithValue(ctx, handshakeKey{}, h), nil
}

type handshakeKey struct{}

type handshake struct {
	t    *Transport
	once sync.Once
}

func (h *handshake) end() {
	h.once.Do(func() {
		h.t.mu.Lock()
		h.t.pending--
		h.t.mu.Unlock()
	})
}

// Serve implements distribution.Transport. It closes the transport when the
// context ends.
func (t *Transport) Serve(ctx context.Context, h distribution.Handler) error {
	t.handler = h
	close(t.ready)
	var tasks sync.WaitGroup
	var err error
	for {
		var conn *quic.Conn
		if conn, err = t.listener.Accept(ctx); err != nil {
			break
		}
		if hs, ok := conn.Context().Value(handshakeKey{}).(*handshake); ok {
			hs.end()
		}
		if !t.track(conn) {
			continue
		}
		tasks.Go(func() { t.accept(ctx, conn) })
	}
	t.close()
	tasks.Wait()
	if ctx.Err() != nil {
		return nil
	}
	return fmt.Errorf("accept links: %w", err)
}

func (t *Transport) close() {
	t.mu.Lock()
	t.stopped = true
	conns := make([]*quic.Conn, 0, len(t.conns))
	for c := range t.conns {
		conns = append(conns, c)
	}
	t.mu.Unlock()
	for _, c := range conns {
		closeConn(c, distribution.CloseShutdown)
	}
	_ = t.listener.Close()
	_ = t.quic.Close()
	_ = t.socket.Close()
}

// track adds a connection to those that are counted and closed at the end.
func (t *Transport) track(conn *quic.Conn) bool {
	t.mu.Lock()
	stopped := t.stopped
	if !stopped {
		t.conns[conn] = true
	}
	t.mu.Unlock()
	if stopped {
		closeConn(conn, distribution.CloseShutdown)
		return false
	}
	context.AfterFunc(conn.Context(), func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.conns, conn)
		t.stats.add(conn.ConnectionStats())
	})
	return true
}

// accept completes an accepted connection: the peer opens the gossip stream.
func (t *Transport) accept(ctx context.Context, conn *quic.Conn) {
	host, err := tlskeys.PeerHost(conn.ConnectionState().TLS)
	if err != nil {
		t.stats.unauthorized.Add(1)
		closeConn(conn, distribution.CloseProtocol)
		return
	}
	wait, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	stream, err := conn.AcceptStream(wait)
	if err != nil {
		closeConn(conn, distribution.CloseSilent)
		return
	}
	l := newLink(t, conn, stream, host, false)
	if err := l.greet(); err != nil {
		l.Close(distribution.CloseProtocol)
		return
	}
	t.handler.HandleLink(l)
	l.serveRequests(ctx)
}

// Dial implements distribution.Transport. It succeeds only after the peer has
// accepted this host's certificate and its link.
func (t *Transport) Dial(ctx context.Context, to distribution.Endpoint) (distribution.Link, error) {
	select {
	case <-t.ready:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	l, err := t.dial(ctx, to)
	if err != nil {
		if isCertificateError(err) {
			t.stats.unauthorized.Add(1)
			err = fmt.Errorf("%w: %w", distribution.ErrUnauthorized, err)
		}
		return nil, fmt.Errorf("dial host %q at %s: %w", to.Host, to.Address, linkError(err))
	}
	return l, nil
}

func (t *Transport) dial(ctx context.Context, to distribution.Endpoint) (*link, error) {
	addr, err := net.ResolveUDPAddr("udp", to.Address)
	if err != nil {
		return nil, err
	}
	client := t.keys.Client()
	client.NextProtos = []string{protocol}
	client.ServerName = string(to.Host)
	conn, err := t.quic.Dial(ctx, addr, client, quicConfig())
	if err != nil {
		return nil, err
	}
	if !t.track(conn) {
		return nil, net.ErrClosed
	}
	host, err := tlskeys.PeerHost(conn.ConnectionState().TLS)
	if err == nil && to.Host != "" && host != to.Host {
		t.stats.unauthorized.Add(1)
		err = fmt.Errorf("is host %s: %w", host, distribution.ErrUnauthorized)
	}
	if err != nil {
		closeConn(conn, distribution.CloseProtocol)
		return nil, err
	}
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		closeConn(conn, distribution.CloseSilent)
		return nil, err
	}
	l := newLink(t, conn, stream, host, true)
	if err := l.awaitGreeting(ctx); err != nil {
		l.Close(distribution.CloseSilent)
		return nil, err
	}
	go l.serveRequests(conn.Context())
	return l, nil
}

// isCertificateError reports whether a handshake failed because one side did
// not accept the other's certificate.
func isCertificateError(err error) bool {
	var te *quic.TransportError
	if !errors.As(err, &te) || !te.ErrorCode.IsCryptoError() {
		return false
	}
	const cryptoErrorBase = 0x100
	switch tls.AlertError(te.ErrorCode - cryptoErrorBase) {
	case alertBadCertificate, alertCertificateExpired, alertUnknownCA, alertCertificateRequired, alertUnknownCertificate:
		return true
	}
	return false
}

// TLS alerts (RFC 8446, section 6) that concern certificates.
const (
	alertBadCertificate      = 42
	alertCertificateExpired  = 45
	alertUnknownCertificate  = 46
	alertUnknownCA           = 48
	alertCertificateRequired = 116
)
