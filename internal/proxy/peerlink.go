package proxy

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"time"
)

const (
	// maxIdlePerPeer bounds the idle connections to one other node.
	maxIdlePerPeer = 64
	keepAlive      = 15 * time.Second
)

var dialer = net.Dialer{Timeout: connectTimeout, KeepAlive: keepAlive}

// peerTransport returns the connection pool to another node. Each node has its
// own pool, so that a timeout on one link does not close the idle connections to
// other nodes.
func (p *Proxy) peerTransport(addr string) *http.Transport {
	if t, ok := p.peerTransports.Load(addr); ok {
		return t.(*http.Transport)
	}
	t, _ := p.peerTransports.LoadOrStore(addr, newTransport(p.dialPeer, 0, maxIdlePerPeer))
	return t.(*http.Transport)
}

// prunePeers removes the pools of nodes that have no targets any more.
func (p *Proxy) prunePeers(known map[string]bool) {
	p.peerTransports.Range(func(addr, t any) bool {
		if !known[addr.(string)] {
			p.peerTransports.Delete(addr)
			t.(*http.Transport).CloseIdleConnections()
		}
		return true
	})
}

// dialPeer opens a connection to another node. It completes the TLS handshake, so
// that the tracked connection sees writes of application data only.
func (p *Proxy) dialPeer(ctx context.Context, network, addr string) (net.Conn, error) {
	d := dialer
	if p.cfg.PeerSource.IsValid() {
		d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(p.cfg.PeerSource, 0))
	}
	c, err := d.DialContext(ctx, network, addr)
	if err != nil || p.cfg.PeerTLS == nil {
		return c, err
	}
	conf := p.cfg.PeerTLS.Clone()
	conf.NextProtos = []string{"http/1.1"}
	if conf.ServerName == "" {
		conf.ServerName, _, _ = net.SplitHostPort(addr)
	}
	tc := tls.Client(c, conf)
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	if err := tc.HandshakeContext(ctx); err != nil {
		_ = c.Close()
		return nil, err
	}
	if p.cfg.TrackPeer != nil {
		return p.cfg.TrackPeer(tc), nil
	}
	return tc, nil
}
