// Package peer carries the links of package distribution over QUIC with mutual
// TLS 1.3: one connection for each pair of neighbours, with one long stream
// for gossip and a short stream for each request.
package peer

import (
	"context"
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
	resetKey := quic.StatelessResetKey(cfg.Keys.StatelessResetKey())
	t.quic = &quic.Transport{Conn: socket, StatelessResetKey: &resetKey, ConnContext: t.watchHandshake}
	server := cfg.Keys.ServerConfig()
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
