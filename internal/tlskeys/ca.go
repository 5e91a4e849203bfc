package tlskeys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

const (
	certFileMode = 0o644
	keyFileMode  = 0o600
	// notBeforeMargin backdates certificates, for hosts whose clocks are behind
	// that of the issuing host.
	notBeforeMargin = time.Hour
)

// CA is the certificate authority of a mesh.
type CA struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewCA creates a self-signed CA that is valid for the given time.
func NewCA(name string, validFor time.Duration) (*CA, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("generate key of CA %s: %w", name, err)
	}
	t, err := template(name, validFor)
	if err != nil {
		return nil, err
	}
	t.IsCA, t.BasicConstraintsValid, t.MaxPathLenZero = true, true, true
	t.KeyUsage = x509.KeyUsageCertSign | x509.KeyUsageCRLSign
	der, err := x509.CreateCertificate(rand.Reader, t, t, key.Public(), key)
	if err != nil {
		return nil, fmt.Errorf("create certificate of CA %s: %w", name, err)
	}
	cert, err := x509.ParseCertificate(der)
	return &CA{cert: cert, key: key}, err
}

// LoadCA reads a CA from the files written by Write.
func LoadCA(certFile, keyFile string) (*CA, error) {
	certs, err := readCertificates(certFile)
	if err != nil {
		return nil, err
	}
	pair, err := loadKeyPair(certFile, keyFile)
	if err != nil {
		return nil, err
	}
	key, ok := pair.PrivateKey.(*ecdsa.PrivateKey)
	if !ok || !certs[0].IsCA {
		return nil, fmt.Errorf("certificate file %s: not a CA certificate with an ECDSA key", certFile)
	}
	return &CA{cert: certs[0], key: key}, nil
}

// Write writes the CA's certificate and key as PEM files.
func (ca *CA) Write(certFile, keyFile string) error {
	return writeKeyPair(certFile, keyFile, ca.cert.Raw, ca.key)
}

// IssueHostCertificate creates a key and a certificate for a host and writes
// them as PEM files.
func (ca *CA) IssueHostCertificate(host mesh.HostID, ips []net.IP, validFor time.Duration, certFile, keyFile string) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fmt.Errorf("generate key of host %s: %w", host, err)
	}
	t, err := template(string(host), validFor)
	if err != nil {
		return err
	}
	t.DNSNames, t.IPAddresses = []string{string(host)}, ips
	t.KeyUsage = x509.KeyUsageDigitalSignature
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, t, ca.cert, key.Public(), ca.key)
	if err != nil {
		return fmt.Errorf("create certificate of host %s: %w", host, err)
	}
	return writeKeyPair(certFile, keyFile, der, key)
}

func template(name string, validFor time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 127))
	if err != nil {
		return nil, fmt.Errorf("generate serial number for %s: %w", name, err)
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-notBeforeMargin),
		NotAfter:     now.Add(validFor),
	}, nil
}

func writeKeyPair(certFile, keyFile string, der []byte, key *ecdsa.PrivateKey) error {
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return fmt.Errorf("key file %s: %w", keyFile, err)
	}
	if err := writePEM(keyFile, "PRIVATE KEY", keyDER, keyFileMode); err != nil {
		return err
	}
	return writePEM(certFile, "CERTIFICATE", der, certFileMode)
}

// writePEM removes an existing file first, because os.WriteFile would keep its
// mode.
func writePEM(file, kind string, der []byte, mode os.FileMode) error {
	if err := os.Remove(file); err != nil && !os.IsNotExist(err) {
		return fmt.Errorf("replace %s: %w", file, err)
	}
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), mode); err != nil {
		return fmt.Errorf("write %s: %w", file, err)
	}
	return nil
}
