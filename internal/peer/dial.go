package peer

import (
	"context"
	"fmt"
	"net"

	"nutmeghoist.example/nutmeghoist/internal/tlskeys"
	"nutmeghoist.example/nutmeghoist/pkg/distribution"
)

// Dial implements distribution.Transport. It returns a link only after the peer
// has accepted this host's certificate and the link.
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
	client := t.keys.ClientConfig()
	client.NextProtos = []string{alpnProtocol}
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
		err = fmt.Errorf("certificate is for host %q: %w", host, distribution.ErrUnauthorized)
	}
	if err != nil {
		closeConnection(conn, distribution.CloseProtocol)
		return nil, err
	}
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		closeConnection(conn, distribution.CloseSilent)
		return nil, err
	}
	l := newLink(t, conn, stream, host, true)
	if err := l.exchangeGreetings(ctx); err != nil {
		l.Close(distribution.CloseSilent)
		return nil, err
	}
	go l.serveRequests(conn.Context())
	return l, nil
}
