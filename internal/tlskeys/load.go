// Package tlskeys issues and loads the TLS credentials of the connections
// between hosts: one CA for the mesh and a certificate for each host.
package tlskeys

import (
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// Keys holds the CA certificates and the certificate and private key of one
// host.
type Keys struct {
	cas    []*x509.Certificate
	caPool *x509.CertPool
	cert   tls.Certificate
	host   mesh.HostID
	// resetKey is computed once, since encoding the private key can fail.
	resetKey [32]byte

	crlFile string // "" without revocation lists
	revoked atomic.Pointer[revocations]

	mu      sync.Mutex
	crl     []byte // text of the lists in force
	tracked map[*tls.Conn]bool
}

// Load reads the CA certificates and the certificate and key of a host from PEM
// files. Its errors name the file.
func Load(caFile, certFile, keyFile string) (*Keys, error) {
	cas, err := readCertificates(caFile)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	now := time.Now()
	for _, ca := range cas {
		if !ca.IsCA {
			return nil, fmt.Errorf("CA file %s: certificate %q is not a CA", caFile, ca.Subject.CommonName)
		}
		if err := checkValidity(caFile, ca, now); err != nil {
			return nil, err
		}
		pool.AddCert(ca)
	}
	certs, err := readCertificates(certFile)
	if err != nil {
		return nil, err
	}
	leaf := certs[0]
	if err := checkValidity(certFile, leaf, now); err != nil {
		return nil, err
	}
	if _, err := leaf.Verify(x509.VerifyOptions{Roots: pool, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}}); err != nil {
		return nil, fmt.Errorf("certificate file %s: not signed by the CA in %s: %w", certFile, caFile, err)
	}
	host, err := certificateHost(leaf)
	if err != nil {
		return nil, fmt.Errorf("certificate file %s: %w", certFile, err)
	}
	cert, err := loadKeyPair(certFile, keyFile)
	if err != nil {
		return nil, err
	}
	cert.Leaf = leaf
	der, err := x509.MarshalPKCS8PrivateKey(cert.PrivateKey)
	if err != nil {
		return nil, fmt.Errorf("key file %s: %w", keyFile, err)
	}
	reset := sha256.Sum256(append([]byte("stateless reset\x00"), der...))
	return &Keys{cas: cas, caPool: pool, cert: cert, host: host, resetKey: reset, tracked: make(map[*tls.Conn]bool)}, nil
}

func loadKeyPair(certFile, keyFile string) (tls.Certificate, error) {
	certPEM, err := os.ReadFile(certFile)
	if err != nil {
		return tls.Certificate{}, fmt.Errorf("certificate file %s: %w", certFile, err)
	}
	keyPEM, err := os.ReadFile(keyFile)
	if err != nil {
		return tls.Certificate{}, fmt.Errorf("key file %s: %w", keyFile, err)
	}
	cert, err := tls.X509KeyPair(certPEM, keyPEM)
	if err != nil {
		return tls.Certificate{}, fmt.Errorf("key file %s: does not match certificate file %s: %w", keyFile, certFile, err)
	}
	return cert, nil
}

func readCertificates(file string) ([]*x509.Certificate, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("certificate file %s: %w", file, err)
	}
	var certs []*x509.Certificate
	for block, rest := pem.Decode(data); block != nil; block, rest = pem.Decode(rest) {
		if block.Type != "CERTIFICATE" {
			continue
		}
		c, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, fmt.Errorf("certificate file %s: %w", file, err)
		}
		certs = append(certs, c)
	}
	if len(certs) == 0 {
		return nil, fmt.Errorf("certificate file %s: contains no PEM certificate", file)
	}
	return certs, nil
}

func checkValidity(file string, c *x509.Certificate, now time.Time) error {
	if now.After(c.NotAfter) {
		return fmt.Errorf("certificate file %s: expired at %s", file, c.NotAfter.Format(time.RFC3339))
	}
	if now.Before(c.NotBefore) {
		return fmt.Errorf("certificate file %s: not valid before %s", file, c.NotBefore.Format(time.RFC3339))
	}
	return nil
}

// Host returns the host named in the certificate.
func (k *Keys) Host() mesh.HostID { return k.host }

// QUICResetKey returns the key for QUIC stateless resets. It is derived from the
// host's private key, so that a restarted process can reset its peers' old
// connections immediately.
func (k *Keys) QUICResetKey() [32]byte { return k.resetKey }

// ServerConfig returns the TLS configuration for accepting connections. It
// requires TLS 1.3 and a client certificate issued by the CA.
func (k *Keys) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:       tls.VersionTLS13,
		Certificates:     []tls.Certificate{k.cert},
		ClientAuth:       tls.RequireAndVerifyClientCert,
		ClientCAs:        k.caPool,
		VerifyConnection: k.verifyNotRevoked, // after the chain
		// A resumed session would not detect that the certificate has expired.
		SessionTicketsDisabled: true,
	}
}

// ClientConfig returns the TLS configuration for opening connections. The peer's
// certificate must be issued by the CA and name one host. Its IP addresses are
// not checked, because a host can be replaced at a new address.
func (k *Keys) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{k.cert},
		InsecureSkipVerify: true, // VerifyConnection verifies the chain, but not the server name
		VerifyConnection:   k.verifyServer,
	}
}

func (k *Keys) verifyServer(cs tls.ConnectionState) error {
	if len(cs.PeerCertificates) == 0 {
		return errors.New("peer presented no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range cs.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	opts := x509.VerifyOptions{
		Roots: k.caPool, Intermediates: intermediates,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	}
	if _, err := cs.PeerCertificates[0].Verify(opts); err != nil {
		return fmt.Errorf("verify certificate of peer: %w", err)
	}
	if _, err := certificateHost(cs.PeerCertificates[0]); err != nil {
		return err
	}
	return k.verifyNotRevoked(cs)
}

func (k *Keys) verifyNotRevoked(cs tls.ConnectionState) error {
	if k.IsRevoked(cs) {
		return fmt.Errorf("certificate %q of peer: %w", cs.PeerCertificates[0].Subject.CommonName, ErrRevoked)
	}
	return nil
}

// PeerHost returns the host named in the peer's certificate.
func PeerHost(cs tls.ConnectionState) (mesh.HostID, error) {
	if len(cs.PeerCertificates) == 0 {
		return "", errors.New("peer presented no certificate")
	}
	return certificateHost(cs.PeerCertificates[0])
}

func certificateHost(c *x509.Certificate) (mesh.HostID, error) {
	if c.IsCA || len(c.DNSNames) != 1 || c.DNSNames[0] == "" {
		return "", fmt.Errorf("certificate %q does not name exactly one host", c.Subject.CommonName)
	}
	return mesh.HostID(c.DNSNames[0]), nil
}
