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
	// maxIdlePerPeer bounds the warm connections to one other node.
	maxIdlePerPeer = 64
	keepAlive      = 15 * time.Second
)

var dialer = net.Dialer{Timeout: connectTimeout, KeepAlive: keepAlive}

// peer returns the connection pool to another node. Each node has its own, so
// that a silent link costs no other node its warm connections.
func (p *Proxy) peer(addr string) *http.Transport {
	if t, ok := p.peers.Load(addr); ok {
		return t.(*http.Transport)
	}
	t, _ := p.peers.LoadOrStore(addr, newTransport(p.dialPeer, 0, maxIdlePerPeer))
	return t.(*http.Transport)
}

// dropPeers forgets the pools of nodes to which no target leads any more.
func (p *Proxy) dropPeers(known map[string]bool) {
	p.peers.Range(func(addr, t any) bool {
		if !known[addr.(string)] {
			p.peers.Delete(addr)
			t.(*http.Transport).CloseIdleConnections()
		}
		return true
	})
}

// dialPeer opens a connection to another node, including the TLS handshake, so
// that the tracked connection counts application bytes only.
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
	return tc, nil
}
