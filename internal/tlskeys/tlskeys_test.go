package tlskeys_test

import (
	"crypto/tls"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"nutmeghoist.example/nutmeghoist/internal/tlskeys"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

type testFiles struct{ dir string }

func (f testFiles) path(name string) string { return filepath.Join(f.dir, name+".pem") }

func (f testFiles) ca(t *testing.T, name string) *tlskeys.CA {
	t.Helper()
	ca, err := tlskeys.NewCA(name, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	if err := ca.Write(f.path(name), f.path(name+"-key")); err != nil {
		t.Fatal(err)
	}
	if ca, err = tlskeys.LoadCA(f.path(name), f.path(name+"-key")); err != nil {
		t.Fatal(err)
	}
	return ca
}

func (f testFiles) host(t *testing.T, ca *tlskeys.CA, host string, validFor time.Duration) {
	t.Helper()
	if err := ca.IssueHostCertificate(mesh.HostID(host), []net.IP{net.IPv4(127, 0, 0, 1)}, validFor, f.path(host), f.path(host+"-key")); err != nil {
		t.Fatal(err)
	}
}

// Guards against invalid files that are detected only when connections fail, and
// against errors that do not name the file.
func TestLoadErrors(t *testing.T) {
	f := testFiles{t.TempDir()}
	ca, other := f.ca(t, "ca"), f.ca(t, "other")
	f.host(t, ca, "a", time.Hour)
	f.host(t, ca, "b", time.Hour)
	f.host(t, ca, "old", -time.Minute)
	f.host(t, other, "foreign", time.Hour)
	if err := os.WriteFile(f.path("empty"), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ ca, cert, key, file, wantErr string }{
		{"ca", "a", "a-key", "", ""},
		{"none", "a", "a-key", "none", "no such file"},
		{"ca", "none", "a-key", "none", "no such file"},
		{"ca", "a", "none", "none", "no such file"},
		{"ca", "empty", "a-key", "empty", "no PEM certificate"},
		{"ca", "a", "empty", "empty", "does not match"},
		{"ca", "a", "b-key", "b-key", "does not match"},
		{"other", "a", "a-key", "a", "not signed by the CA"},
		{"ca", "foreign", "foreign-key", "foreign", "not signed by the CA"},
		{"ca", "old", "old-key", "old", "expired"},
		{"a", "a", "a-key", "a", "not a CA"},
		{"ca", "ca", "ca-key", "ca", "exactly one host"},
	} {
		_, err := tlskeys.Load(f.path(c.ca), f.path(c.cert), f.path(c.key))
		if c.wantErr == "" {
			if err != nil {
				t.Error(err)
			}
			continue
		}
		if err == nil || !strings.Contains(err.Error(), c.wantErr) || !strings.Contains(err.Error(), f.path(c.file)) {
			t.Errorf("%s, %s, %s: error %v does not name %q and %s.pem", c.ca, c.cert, c.key, err, c.wantErr, c.file)
		}
	}
	for _, name := range []string{"ca-key", "a-key"} {
		if info, err := os.Stat(f.path(name)); err != nil || info.Mode().Perm() != 0o600 {
			t.Errorf("%s: %v, %v", name, info.Mode(), err)
		}
	}
}

// Guards against connections to processes outside the mesh and from clients
// without a certificate.
func TestHandshake(t *testing.T) {
	f := testFiles{t.TempDir()}
	ca, other := f.ca(t, "ca"), f.ca(t, "other")
	f.host(t, ca, "a", time.Hour)
	f.host(t, ca, "b", time.Hour)
	f.host(t, other, "c", time.Hour)
	load := func(ca, host string) *tlskeys.Keys {
		k, err := tlskeys.Load(f.path(ca), f.path(host), f.path(host+"-key"))
		if err != nil {
			t.Fatal(err)
		}
		return k
	}
	a, b, c := load("ca", "a"), load("ca", "b"), load("other", "c")
	anonymous := a.ClientConfig()
	anonymous.Certificates = nil
	tls12 := a.ClientConfig()
	tls12.MaxVersion, tls12.MinVersion = tls.VersionTLS12, tls.VersionTLS12
	for name, tc := range map[string]struct {
		client, server *tls.Config
		ok             bool
	}{
		"same mesh":      {a.ClientConfig(), b.ServerConfig(), true},
		"foreign client": {c.ClientConfig(), b.ServerConfig(), false},
		"foreign server": {a.ClientConfig(), c.ServerConfig(), false},
		"no certificate": {anonymous, b.ServerConfig(), false},
		"TLS 1.2":        {tls12, b.ServerConfig(), false},
	} {
		near, far := tcpPair(t)
		deadline := time.Now().Add(5 * time.Second)
		_, _ = near.SetDeadline(deadline), far.SetDeadline(deadline)
		server := tls.Server(far, tc.server)
		served := make(chan error, 1)
		go func() {
			err := server.Handshake()
			if err == nil {
				_, err = server.Write([]byte{1})
			}
			far.Close()
			served <- err
		}()
		client := tls.Client(near, tc.client)
		_, err := client.Read(make([]byte, 1)) // the server's rejection arrives after the client's handshake
		serverErr := <-served
		if ok := err == nil && serverErr == nil; ok != tc.ok {
			t.Errorf("%s: client %v, server %v", name, err, serverErr)
		}
		if tc.ok {
			p, errP := tlskeys.PeerHost(client.ConnectionState())
			q, errQ := tlskeys.PeerHost(server.ConnectionState())
			if p != "b" || q != "a" || errP != nil || errQ != nil {
				t.Errorf("peers %q %q: %v %v", p, q, errP, errQ)
			}
		}
	}
}

// tcpPair returns both ends of a TCP connection. With net.Pipe, which has no
// buffer, both sides would block when they send alerts at the same time.
func tcpPair(t *testing.T) (near, far net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if near, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if far, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { near.Close(); far.Close() })
	return near, far
}
