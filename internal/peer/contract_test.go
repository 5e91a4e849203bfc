package peer_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"path/filepath"
	"testing"
	"time"

	"nutmeghoist.example/nutmeghoist/internal/hop"
	"nutmeghoist.example/nutmeghoist/internal/memnet"
	"nutmeghoist.example/nutmeghoist/internal/peer"
	"nutmeghoist.example/nutmeghoist/internal/tlskeys"
	"nutmeghoist.example/nutmeghoist/pkg/distribution"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// authority issues host certificates for tests.
type authority struct {
	ca  *tlskeys.CA
	dir string
}

func newAuthority(t testing.TB) *authority {
	t.Helper()
	ca, err := tlskeys.NewCA("test", time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	a := &authority{ca: ca, dir: t.TempDir()}
	if err := ca.Write(a.file("ca"), a.file("ca-key")); err != nil {
		t.Fatal(err)
	}
	return a
}

func (a *authority) file(name string) string { return filepath.Join(a.dir, name+".pem") }

func (a *authority) keys(t testing.TB, host mesh.HostID) *tlskeys.Keys {
	t.Helper()
	cert, key := a.file(string(host)), a.file(string(host)+"-key")
	if err := a.ca.IssueHostCertificate(host, nil, time.Hour, cert, key); err != nil {
		t.Fatal(err)
	}
	k, err := tlskeys.Load(a.file("ca"), cert, key)
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// endpoint is a transport under test with its address.
type endpoint struct {
	distribution.Transport
	addr string
}

type endpointFactory func(host mesh.HostID) endpoint

func newQUICFactory(t testing.TB) endpointFactory {
	a := newAuthority(t)
	return func(host mesh.HostID) endpoint {
		tr, err := peer.New(peer.Config{Keys: a.keys(t, host), Listen: "127.0.0.1:0"})
		if err != nil {
			t.Fatal(err)
		}
		return endpoint{tr, tr.Addr()}
	}
}

func newTCPFactory(t testing.TB) endpointFactory {
	return func(host mesh.HostID) endpoint {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server := hop.NewServer(l, nil)
		transport := hop.NewTransport(host, net.IPv4(127, 0, 0, 1), server)
		go func() { _ = server.Run() }()
		t.Cleanup(server.Close)
		return endpoint{transport, l.Addr().String()}
	}
}

func newMemoryFactory(testing.TB) endpointFactory {
	n := memnet.New()
	return func(host mesh.HostID) endpoint {
		return endpoint{n.Transport(host, string(host)+":1"), string(host) + ":1"}
	}
}

// handler stores accepted links and echoes requests.
type handler struct{ links chan distribution.Link }

func (h *handler) HandleLink(l distribution.Link) { h.links <- l }

func (h *handler) HandleRequest(ctx context.Context, p mesh.HostID, r []byte) ([]byte, error) {
	switch string(r) {
	case "fail":
		return nil, errors.New("no such thing")
	case "large":
		return bytes.Repeat([]byte("x"), distribution.MaxResponse), nil
	case "too large":
		return make([]byte, distribution.MaxResponse+1), nil
	case "hang":
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return []byte(string(p) + ":" + string(r)), nil
}

func serve(t testing.TB, e endpoint) *handler {
	t.Helper()
	h := &handler{links: make(chan distribution.Link, 100)}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- e.Serve(ctx, h) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return h
}

func contextWithTimeout(t testing.TB, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

// linkPair returns the dialling and the accepting end of a link.
func linkPair(t *testing.T, mk endpointFactory) (near, far distribution.Link) {
	t.Helper()
	a, b := mk("a"), mk("b")
	serve(t, a)
	hb := serve(t, b)
	near = dial(t, a, distribution.Endpoint{Host: "b", Address: b.addr})
	return near, <-hb.links
}

// dial retries while the other endpoint is starting.
func dial(t testing.TB, from endpoint, to distribution.Endpoint) distribution.Link {
	t.Helper()
	var l distribution.Link
	var err error
	for range 20 {
		if l, err = from.Dial(contextWithTimeout(t, 300*time.Millisecond), to); err == nil {
			return l
		}
		time.Sleep(20 * time.Millisecond) // Dial returns at once when the connection is refused
	}
	t.Fatal(err)
	return nil
}

func forEachTransport(t *testing.T, test func(t *testing.T, mk endpointFactory)) {
	for name, mk := range map[string]func(testing.TB) endpointFactory{"quic": newQUICFactory, "tcp": newTCPFactory, "memory": newMemoryFactory} {
		t.Run(name, func(t *testing.T) { test(t, mk(t)) })
	}
}

// Guards against a transport that loses, merges or reorders frames, or returns
// the wrong peer.
func TestFrames(t *testing.T) {
	forEachTransport(t, func(t *testing.T, mk endpointFactory) {
		near, far := linkPair(t, mk)
		if near.Peer() != "b" || far.Peer() != "a" || !near.Dialed() || far.Dialed() {
			t.Errorf("ends: %v %v, %v %v", near.Peer(), near.Dialed(), far.Peer(), far.Dialed())
		}
		sizes := []int{1, 2, 300, distribution.MaxFrame, 5}
		go func() {
			for _, n := range sizes {
				if err := near.Send(contextWithTimeout(t, 5*time.Second), bytes.Repeat([]byte{byte(n)}, n)); err != nil {
					t.Error(err)
				}
			}
		}()
		for _, n := range sizes {
			f, err := far.Receive()
			if err != nil || !bytes.Equal(f, bytes.Repeat([]byte{byte(n)}, n)) {
				t.Fatalf("frame of %d bytes: got %d bytes, %v", n, len(f), err)
			}
		}
		if err := near.Send(contextWithTimeout(t, time.Second), make([]byte, distribution.MaxFrame+1)); !errors.Is(err, distribution.ErrTooLarge) {
			t.Errorf("oversized frame: %v", err)
		}
	})
}

// Guards against requests that hang, exceed the size limits or lose their error.
func TestRequests(t *testing.T) {
	forEachTransport(t, func(t *testing.T, mk endpointFactory) {
		near, far := linkPair(t, mk)
		for _, l := range []distribution.Link{near, far} {
			responder := map[mesh.HostID]string{"a": "b", "b": "a"}[l.Peer()]
			if b, err := l.Request(contextWithTimeout(t, time.Second), []byte("x")); err != nil || string(b) != responder+":x" {
				t.Errorf("request: %q, %v", b, err)
			}
		}
		if b, err := near.Request(contextWithTimeout(t, 5*time.Second), []byte("large")); err != nil || len(b) != distribution.MaxResponse {
			t.Errorf("large response: %d bytes, %v", len(b), err)
		}
		for _, r := range []string{"fail", "too large", string(make([]byte, distribution.MaxRequest+1))} {
			if _, err := near.Request(contextWithTimeout(t, 2*time.Second), []byte(r)); err == nil {
				t.Errorf("request %.9q: no error", r)
			}
		}
		if _, err := near.Request(contextWithTimeout(t, 50*time.Millisecond), []byte("hang")); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("hanging request: %v", err)
		}
		for i := range 30 { // would exceed the peer's limit if ended requests kept their streams
			if _, err := near.Request(contextWithTimeout(t, time.Second), []byte(fmt.Sprint(i))); err != nil {
				t.Fatalf("request %d: %v", i, err)
			}
		}
	})
}

// Guards against Close blocking, and against a reason that does not reach the
// peer.
func TestClose(t *testing.T) {
	forEachTransport(t, func(t *testing.T, mk endpointFactory) {
		near, far := linkPair(t, mk)
		near.Close(distribution.CloseUnneeded)
		for l, remote := range map[distribution.Link]bool{near: false, far: true} {
			_, err := l.Receive()
			var closed *distribution.ClosedError
			if !errors.As(err, &closed) || closed.Reason != distribution.CloseUnneeded || closed.Remote != remote {
				t.Errorf("remote=%v: %v", remote, err)
			}
		}
		if _, err := near.Request(contextWithTimeout(t, time.Second), []byte("x")); err == nil {
			t.Error("request on a closed link succeeded")
		}
		near.Close(distribution.CloseSilent)
	})
}

// Guards against links to the wrong host, and dials that exceed their deadline.
func TestDialFailures(t *testing.T) {
	forEachTransport(t, func(t *testing.T, mk endpointFactory) {
		a, b := mk("a"), mk("b")
		serve(t, a)
		serve(t, b)
		dial(t, a, distribution.Endpoint{Address: b.addr}).Close(distribution.CloseUnneeded)
		if _, err := a.Dial(contextWithTimeout(t, time.Second), distribution.Endpoint{Host: "c", Address: b.addr}); !errors.Is(err, distribution.ErrUnauthorized) {
			t.Errorf("other host: %v", err)
		}
		start := time.Now()
		if _, err := a.Dial(contextWithTimeout(t, 300*time.Millisecond), distribution.Endpoint{Host: "d", Address: "127.0.0.1:1"}); err == nil {
			t.Error("dial of an unused address succeeded")
		}
		if d := time.Since(start); d > 2*time.Second {
			t.Errorf("dial took %v", d)
		}
	})
}

// Guards against a reconnect storm that uses all cores. Links beyond the limit
// are rejected with ErrBusy, which also shows that the peer is alive.
func TestAcceptLimit(t *testing.T) {
	forEachTransport(t, func(t *testing.T, mk endpointFactory) {
		a, b := mk("a"), mk("b")
		serve(t, a)
		serve(t, b)
		dial(t, a, distribution.Endpoint{Host: "b", Address: b.addr})
		start := time.Now()
		accepted, busy := 0, 0
		for range 60 {
			l, err := a.Dial(contextWithTimeout(t, time.Second), distribution.Endpoint{Host: "b", Address: b.addr})
			switch {
			case err == nil:
				accepted++
				l.Close(distribution.CloseUnneeded)
			case errors.Is(err, distribution.ErrBusy):
				busy++
			default:
				t.Fatal(err)
			}
		}
		const perSecond = 32
		if allowed := perSecond + int(time.Since(start).Seconds()*perSecond) + 1; accepted > allowed || accepted+busy != 60 {
			t.Errorf("accepted %d of 60, allowed %d", accepted, allowed)
		}
	})
}
