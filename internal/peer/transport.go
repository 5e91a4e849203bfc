// Package peer implements the transport of package distribution over QUIC with
// mutual TLS 1.3: one connection for each pair of neighbours, with one
// long-lived stream for gossip and a short-lived stream for each request.
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
	alpnProtocol = "nutmeghoist/1"

	// maxHandshakesPerSecond limits the handshakes when many hosts reconnect at
	// once. Each takes about 1 ms of CPU time.
	maxHandshakesPerSecond = 32
	// defaultMaxPeers is several times the number of links that a host opens and
	// accepts in a mesh of 16 data centres.
	defaultMaxPeers = 64

	handshakeTimeout = time.Second
	// idleTimeout is only a fallback for links; package distribution closes a
	// silent one after 3 s. It also limits the time to serve a request.
	idleTimeout       = 6 * time.Second
	maxRequestStreams = 8 // open at a time on one connection

	// The receive windows limit the bytes that a peer can make this host buffer.
	streamWindow     = 64 << 10
	connectionWindow = 128 << 10
)

// Config configures a Transport.
type Config struct {
	Keys     *tlskeys.Keys
	Listen   string // IP:port, UDP
	MaxPeers int    // maximum number of links; 0 means the default
}

// Transport implements distribution.Transport over QUIC.
type Transport struct {
	keys          *tlskeys.Keys
	maxPeers      int
	socket        *net.UDPConn
	quic          *quic.Transport
	listener      *quic.Listener
	acceptLimiter *rate.Limiter
	stats         counters

	ready   chan struct{} // closed when handler is set
	handler distribution.Handler

	mu      sync.Mutex
	conns   map[*quic.Conn]bool
	pending int // accepted connections whose handshake is not complete
	stopped bool
}

// New returns a Transport with an open UDP socket. It accepts links once Serve
// runs.
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
		acceptLimiter: rate.NewLimiter(maxHandshakesPerSecond, maxHandshakesPerSecond),
		ready:         make(chan struct{}), conns: make(map[*quic.Conn]bool),
	}
	if t.maxPeers == 0 {
		t.maxPeers = defaultMaxPeers
	}
	resetKey := quic.StatelessResetKey(cfg.Keys.QUICResetKey())
	t.quic = &quic.Transport{Conn: socket, StatelessResetKey: &resetKey, ConnContext: t.trackHandshake}
	server := cfg.Keys.ServerConfig()
	server.NextProtos = []string{alpnProtocol}
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
		MaxIncomingStreams:             maxRequestStreams,
		MaxIncomingUniStreams:          -1,
		// Path MTU probes on each new link cost more than larger packets would
		// save.
		DisablePathMTUDiscovery: true,
	}
}

// Addr returns the local address on which links are accepted.
func (t *Transport) Addr() string { return t.socket.LocalAddr().String() }

var errLimit = errors.New("limit of peers or of new links per second reached")

// admit rejects connection attempts beyond the limits before the costly part of
// the handshake.
func (t *Transport) admit(*quic.ClientInfo) (*quic.Config, error) {
	t.mu.Lock()
	full := len(t.conns)+t.pending >= t.maxPeers || t.stopped
	t.mu.Unlock()
	if full || !t.acceptLimiter.Allow() {
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
			hs.finish()
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
	return fmt.Errorf("accept link: %w", err)
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
		closeConnection(c, distribution.CloseShutdown)
	}
	_ = t.listener.Close()
	_ = t.quic.Close()
	_ = t.socket.Close()
}

// CloseRevoked closes the links to peers whose certificates are revoked.
func (t *Transport) CloseRevoked() {
	t.mu.Lock()
	var revoked []*quic.Conn
	for c := range t.conns {
		if t.keys.IsRevoked(c.ConnectionState().TLS) {
			revoked = append(revoked, c)
		}
	}
	t.mu.Unlock()
	for _, c := range revoked {
		t.stats.unauthorized.Add(1)
		closeConnection(c, distribution.CloseProtocol)
	}
}

// track registers a connection, so that it counts towards the limit and is
// closed on shutdown. It reports false if the transport has been closed.
func (t *Transport) track(conn *quic.Conn) bool {
	t.mu.Lock()
	stopped := t.stopped
	if !stopped {
		t.conns[conn] = true
	}
	t.mu.Unlock()
	if stopped {
		closeConnection(conn, distribution.CloseShutdown)
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

// accept sets up the link of an accepted connection, on which the peer opens the
// gossip stream, and serves the peer's requests.
func (t *Transport) accept(ctx context.Context, conn *quic.Conn) {
	host, err := tlskeys.PeerHost(conn.ConnectionState().TLS)
	if err != nil {
		t.stats.unauthorized.Add(1)
		closeConnection(conn, distribution.CloseProtocol)
		return
	}
	streamCtx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	stream, err := conn.AcceptStream(streamCtx)
	if err != nil {
		closeConnection(conn, distribution.CloseSilent)
		return
	}
	l := newLink(t, conn, stream, host, false)
	if err := l.acceptGreeting(); err != nil {
		l.Close(distribution.CloseProtocol)
		return
	}
	t.handler.HandleLink(l)
	l.serveRequests(ctx)
}
