package tlskeys_test

import (
	"crypto/tls"
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	"nutmeghoist.example/nutmeghoist/internal/tlskeys"
)

// testMesh holds the keys of two hosts with the revocation list of their CA.
type testMesh struct {
	testFiles
	ca   *tlskeys.CA
	a, b *tlskeys.Keys
}

func newMesh(t *testing.T) *testMesh {
	t.Helper()
	m := &testMesh{testFiles: testFiles{t.TempDir()}}
	m.ca = m.testFiles.ca(t, "ca")
	m.host(t, m.ca, "a", time.Hour)
	m.host(t, m.ca, "b", time.Hour)
	check(t, m.ca.Revoke(m.path("crl")))
	m.a, m.b = m.load(t, "a"), m.load(t, "b")
	return m
}

func check(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func (m *testMesh) load(t *testing.T, host string) *tlskeys.Keys {
	t.Helper()
	k, err := tlskeys.Load(m.path("ca"), m.path(host), m.path(host+"-key"))
	check(t, err)
	check(t, k.LoadRevocations(m.path("crl")))
	return k
}

// handshake connects two hosts and returns the errors of both sides.
func handshake(t *testing.T, client, server *tls.Config) (conn *tls.Conn, clientErr, serverErr error) {
	t.Helper()
	near, far := tcpPair(t)
	deadline := time.Now().Add(5 * time.Second)
	_, _ = near.SetDeadline(deadline), far.SetDeadline(deadline)
	served := make(chan error, 1)
	go func() {
		s := tls.Server(far, server)
		err := s.Handshake()
		if err == nil {
			_, err = s.Write([]byte{1})
		} else {
			far.Close()
		}
		served <- err
	}()
	conn = tls.Client(near, client)
	_, clientErr = conn.Read(make([]byte, 1))
	return conn, clientErr, <-served
}

// Guards against a withdrawn key that is accepted: by a host that runs, by one that
// is started again, in either direction, and by its own host.
func TestRevokedCertificateIsRefused(t *testing.T) {
	m := newMesh(t)
	if _, c, s := handshake(t, m.a.ClientConfig(), m.b.ServerConfig()); c != nil || s != nil {
		t.Fatalf("before: %v, %v", c, s)
	}
	check(t, m.ca.Revoke(m.path("crl"), m.path("b")))
	if changed, err := m.a.ReloadRevocations(); !changed || err != nil {
		t.Fatalf("reload: %v, %v", changed, err)
	}
	restarted, err := tlskeys.Load(m.path("ca"), m.path("a"), m.path("a-key"))
	check(t, err)
	check(t, restarted.LoadRevocations(m.path("crl")))
	for name, a := range map[string]*tlskeys.Keys{"running host": m.a, "restarted host": restarted} {
		if _, err, _ := handshake(t, a.ClientConfig(), m.b.ServerConfig()); !errors.Is(err, tlskeys.ErrRevoked) {
			t.Errorf("%s dials the host with the revoked key: %v", name, err)
		}
		if _, _, err := handshake(t, m.b.ClientConfig(), a.ServerConfig()); !errors.Is(err, tlskeys.ErrRevoked) {
			t.Errorf("host with the revoked key dials the %s: %v", name, err)
		}
	}
	own, err := tlskeys.Load(m.path("ca"), m.path("b"), m.path("b-key"))
	check(t, err)
	if err := own.LoadRevocations(m.path("crl")); !errors.Is(err, tlskeys.ErrRevoked) {
		t.Errorf("host starts with its own revoked key: %v", err)
	}
	m.host(t, m.ca, "b", time.Hour)
	if _, c, s := handshake(t, restarted.ClientConfig(), m.load(t, "b").ServerConfig()); c != nil || s != nil {
		t.Errorf("new key of the host: %v, %v", c, s)
	}
}

// Guards against a connection that outlives the key of its peer.
func TestTrackedConnectionEndsWithTheKey(t *testing.T) {
	m := newMesh(t)
	conn, c, s := handshake(t, m.a.ClientConfig(), m.b.ServerConfig())
	if c != nil || s != nil {
		t.Fatal(c, s)
	}
	tracked := m.a.Track(conn)
	check(t, m.ca.Revoke(m.path("crl"), m.path("a")))
	if _, err := m.a.ReloadRevocations(); err != nil {
		t.Fatal(err)
	}
	if _, err := tracked.Write([]byte("open")); err != nil {
		t.Errorf("connection to another host was closed: %v", err)
	}
	check(t, m.ca.Revoke(m.path("crl"), m.path("b")))
	if _, err := m.a.ReloadRevocations(); err != nil {
		t.Fatal(err)
	}
	if _, err := tracked.Write([]byte("closed")); err == nil {
		t.Error("the connection to the host with the revoked key is open")
	}
	if late := m.a.Track(conn); late.Close() == nil {
		t.Error("a connection whose key was revoked after the handshake is open")
	}
}

// Guards against lists that put a withdrawn key in use again: older, of another CA,
// damaged or missing ones leave the list in force, and a host does not start with
// them.
func TestUnusableListsLeaveTheOneInForce(t *testing.T) {
	m := newMesh(t)
	first, err := os.ReadFile(m.path("crl"))
	check(t, err)
	check(t, m.ca.Revoke(m.path("crl"), m.path("b")))
	if changed, err := m.a.ReloadRevocations(); !changed || err != nil {
		t.Fatalf("reload: %v, %v", changed, err)
	}
	foreign := m.testFiles.ca(t, "foreign")
	check(t, foreign.Revoke(m.path("foreign-crl")))
	other, err := os.ReadFile(m.path("foreign-crl"))
	check(t, err)
	for name, c := range map[string]struct {
		data    []byte
		message string
		starts  bool
	}{
		"older list": {first, "list 1 is older than list 2 in force", true},
		"other CA":   {other, "not signed by a CA of the mesh", false},
		"damaged":    {[]byte("-----BEGIN X509 CRL-----\nAAAA\n-----END X509 CRL-----\n"), "malformed", false},
		"no list":    {[]byte("nothing"), "no PEM revocation list", false},
		"missing":    {nil, "no such file", false},
	} {
		check(t, os.Remove(m.path("crl")))
		if c.data != nil {
			check(t, os.WriteFile(m.path("crl"), c.data, 0o600))
		}
		if changed, err := m.a.ReloadRevocations(); changed || err == nil || !strings.Contains(err.Error(), c.message) || !strings.Contains(err.Error(), m.path("crl")) {
			t.Errorf("%s: %v, %v", name, changed, err)
		}
		if _, err, _ := handshake(t, m.a.ClientConfig(), m.b.ServerConfig()); !errors.Is(err, tlskeys.ErrRevoked) {
			t.Errorf("%s: the revoked key is accepted: %v", name, err)
		}
		k, err := tlskeys.Load(m.path("ca"), m.path("a"), m.path("a-key"))
		check(t, err)
		// A host that starts knows of no newer list.
		if err := k.LoadRevocations(m.path("crl")); (err == nil) != c.starts {
			t.Errorf("%s: start: %v", name, err)
		}
		if c.data == nil {
			check(t, os.WriteFile(m.path("crl"), nil, 0o600))
		}
	}
}

// Guards against errors of the CA's list that are found on the hosts only.
func TestRevokeErrors(t *testing.T) {
	m := newMesh(t)
	foreign := m.testFiles.ca(t, "foreign")
	m.host(t, foreign, "stranger", time.Hour)
	check(t, os.WriteFile(m.path("empty"), nil, 0o600))
	for name, c := range map[string]struct{ crl, cert, message string }{
		"certificate of another CA": {"crl", "stranger", "not signed by this CA"},
		"no certificate":            {"crl", "none", "no such file"},
		"damaged list":              {"empty", "a", "no PEM revocation list"},
	} {
		if err := m.ca.Revoke(m.path(c.crl), m.path(c.cert)); err == nil || !strings.Contains(err.Error(), c.message) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if err := foreign.Revoke(m.path("crl")); err == nil || !strings.Contains(err.Error(), "not signed by this CA") {
		t.Errorf("list of another CA: %v", err)
	}
}
