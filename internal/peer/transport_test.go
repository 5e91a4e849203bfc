package peer_test

import (
	"crypto/tls"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quic-go/quic-go"

	"nutmeghoist.example/nutmeghoist/internal/peer"
	"nutmeghoist.example/nutmeghoist/pkg/distribution"
	"nutmeghoist.example/nutmeghoist/pkg/membership"
)

func newTransport(t *testing.T, cfg peer.Config) *peer.Transport {
	t.Helper()
	cfg.Listen = "127.0.0.1:0"
	tr, err := peer.New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return tr
}

// Guards against links to processes outside the mesh, and against such attempts
// that are not counted.
func TestWrongKeysAreRefusedAndCounted(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	a := newTransport(t, peer.Config{Keys: ours.keys(t, "a")})
	x := newTransport(t, peer.Config{Keys: theirs.keys(t, "x")})
	for _, tr := range []*peer.Transport{a, x} {
		serve(t, endpoint{tr, tr.Addr()})
	}
	for name, c := range map[string]struct{ from, to *peer.Transport }{
		"foreign host dials this host": {x, a}, "this host dials a foreign host": {a, x},
	} {
		before := a.Stats().Unauthorized
		_, err := c.from.Dial(contextWithTimeout(t, 2*time.Second), distribution.Endpoint{Address: c.to.Addr()})
		if !errors.Is(err, distribution.ErrUnauthorized) {
			t.Errorf("%s: %v", name, err)
		}
		expectOneUnauthorized(t, name, a, before)
	}
	// This client verifies nothing, so that only the server can reject it.
	cert, err := tls.LoadX509KeyPair(theirs.file("x"), theirs.file("x-key"))
	if err != nil {
		t.Fatal(err)
	}
	for name, certs := range map[string][]tls.Certificate{"foreign certificate": {cert}, "no certificate": nil} {
		before := a.Stats().Unauthorized
		conf := &tls.Config{Certificates: certs, InsecureSkipVerify: true, NextProtos: []string{"nutmeghoist/1"}}
		if conn, err := quic.DialAddr(contextWithTimeout(t, time.Second), a.Addr(), conf, nil); err == nil {
			<-conn.Context().Done()
		}
		expectOneUnauthorized(t, name, a, before)
	}
	if n := a.Stats().Connections; n != 0 {
		t.Errorf("%d connections are open", n)
	}
}

func expectOneUnauthorized(t *testing.T, name string, tr *peer.Transport, before int64) {
	t.Helper()
	deadline := time.Now().Add(2 * time.Second)
	for tr.Stats().Unauthorized == before && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	if got := tr.Stats().Unauthorized - before; got != 1 {
		t.Errorf("%s: unauthorized count rose by %d, want 1", name, got)
	}
}

// Guards against a link that outlives the withdrawn key of its peer, and against new
// links with that key.
func TestLinksToRevokedPeersAreClosed(t *testing.T) {
	ca := newAuthority(t)
	crl := ca.file("crl")
	if err := ca.ca.Revoke(crl); err != nil {
		t.Fatal(err)
	}
	keys := ca.keys(t, "a")
	if err := keys.LoadRevocations(crl); err != nil {
		t.Fatal(err)
	}
	a := newTransport(t, peer.Config{Keys: keys})
	b, c := newTransport(t, peer.Config{Keys: ca.keys(t, "b")}), newTransport(t, peer.Config{Keys: ca.keys(t, "c")})
	accepted := serve(t, endpoint{a, a.Addr()})
	for _, tr := range []*peer.Transport{b, c} {
		serve(t, endpoint{tr, tr.Addr()})
		if _, err := tr.Dial(contextWithTimeout(t, 2*time.Second), distribution.Endpoint{Address: a.Addr()}); err != nil {
			t.Fatal(err)
		}
	}
	links := map[string]distribution.Link{}
	for range 2 {
		l := <-accepted.links
		links[string(l.Peer())] = l
	}
	if err := ca.ca.Revoke(crl, ca.file("b")); err != nil {
		t.Fatal(err)
	}
	if changed, err := keys.ReloadRevocations(); !changed || err != nil {
		t.Fatal(changed, err)
	}
	a.CloseRevoked()
	var closed *distribution.ClosedError
	if _, err := links["b"].Receive(); !errors.As(err, &closed) {
		t.Errorf("link to the host with the revoked key: %v", err)
	}
	if err := links["c"].Send(contextWithTimeout(t, time.Second), []byte("frame")); err != nil {
		t.Errorf("link to another host: %v", err)
	}
	for name, tr := range map[string]struct{ from, to *peer.Transport }{"revoked host dials": {b, a}, "revoked host is dialled": {a, b}} {
		if _, err := tr.from.Dial(contextWithTimeout(t, 2*time.Second), distribution.Endpoint{Address: tr.to.Addr()}); !errors.Is(err, distribution.ErrUnauthorized) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Guards against an unlimited number of peers.
func TestPeerLimit(t *testing.T) {
	auth := newAuthority(t)
	a := newTransport(t, peer.Config{Keys: auth.keys(t, "a"), MaxPeers: 3})
	b := newTransport(t, peer.Config{Keys: auth.keys(t, "b")})
	serve(t, endpoint{a, a.Addr()})
	serve(t, endpoint{b, b.Addr()})
	var links []distribution.Link
	to := distribution.Endpoint{Host: "a", Address: a.Addr()}
	for range 3 {
		links = append(links, dial(t, endpoint{b, b.Addr()}, to))
	}
	if _, err := b.Dial(contextWithTimeout(t, time.Second), to); !errors.Is(err, distribution.ErrBusy) {
		t.Errorf("fourth link: %v", err)
	}
	links[0].Close(distribution.CloseUnneeded)
	dial(t, endpoint{b, b.Addr()}, to)
	if s := a.Stats(); s.Connections != 3 || s.Refused == 0 || s.BytesSent == 0 || s.BytesReceived == 0 {
		t.Errorf("stats %+v", s)
	}
}

// relay forwards datagrams between one client and a server. Incrementing epoch
// drops the datagrams of all existing connections; new ones work.
type relay struct {
	conn   *net.UDPConn
	server *net.UDPAddr
	epoch  atomic.Int64
}

func newRelay(t *testing.T, server string) *relay {
	t.Helper()
	addr, err := net.ResolveUDPAddr("udp", server)
	if err != nil {
		t.Fatal(err)
	}
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{conn: conn, server: addr}
	go r.forward()
	t.Cleanup(func() { conn.Close() })
	return r
}

// forward forwards the client's datagrams. Each epoch has its own socket to the
// server. Datagrams with a connection ID of an earlier epoch are dropped.
func (r *relay) forward() {
	flows := make(map[int64]*net.UDPConn)
	defer func() {
		for _, f := range flows {
			f.Close()
		}
	}()
	epochByConnID := make(map[string]int64) // by destination connection ID
	buf := make([]byte, 2048)
	for {
		n, client, err := r.conn.ReadFromUDP(buf)
		if err != nil {
			return
		}
		epoch := r.epoch.Load()
		const longHeader, idLength = 0x80, 4
		if buf[0]&longHeader == 0 {
			id := string(buf[1 : 1+idLength])
			if e, ok := epochByConnID[id]; ok && e != epoch {
				continue // belongs to a connection from before the epoch changed
			}
			epochByConnID[id] = epoch
		}
		f := flows[epoch]
		if f == nil {
			if f, err = net.DialUDP("udp", nil, r.server); err != nil {
				return
			}
			flows[epoch] = f
			go r.forwardReplies(f, epoch, client)
		}
		_, _ = f.Write(buf[:n])
	}
}

func (r *relay) forwardReplies(f *net.UDPConn, epoch int64, client *net.UDPAddr) {
	buf := make([]byte, 2048)
	for {
		n, err := f.Read(buf)
		if err != nil {
			return
		}
		if r.epoch.Load() == epoch {
			_, _ = r.conn.WriteToUDP(buf[:n], client)
		}
	}
}

// Guards against a node that keeps using a connection that has gone silent for
// good while new ones work. The link must be replaced within 5 s without any
// host becoming suspect.
func TestSilentConnectionIsReplaced(t *testing.T) {
	const bound = 5 * time.Second
	var relay *relay
	nodes := newQUICMeshAt(t, 2, 1, func(i int, addr string) string {
		if i == 0 {
			relay = newRelay(t, addr)
			return relay.conn.LocalAddr().String()
		}
		return addr
	})
	announce(t, nodes[0], 1, []byte("one"))
	eventually(t, bound, "first head", nodes, func(n *quicNode) bool { return n.active.Load() == 1 })
	relay.epoch.Add(1)
	announce(t, nodes[0], 2, []byte("two"))
	eventually(t, bound, "head over a new connection", nodes, func(n *quicNode) bool { return n.active.Load() == 2 })
	for _, n := range nodes {
		for _, h := range n.table.Hosts() {
			if h.Status != membership.StatusAlive {
				t.Errorf("host %s has status %d", h.ID, h.Status)
			}
		}
	}
}
