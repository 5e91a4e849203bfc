package tlskeys

import (
	"bytes"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"net"
	"os"
	"time"
)

// ErrRevoked means that a certificate is on a revocation list in force.
var ErrRevoked = errors.New("certificate is revoked")

const crlBlock = "X509 CRL"

// crlValidity is written to a list as its next update. Hosts use a list until they
// read a newer one.
const crlValidity = 10 * 365 * 24 * time.Hour

// revocations are the revoked certificates of the mesh's CAs.
type revocations struct {
	numbers map[string]*big.Int // number of the list by issuer
	serials map[string]bool     // issuer and serial number
}

func revocationKey(issuer []byte, serial *big.Int) string {
	return string(issuer) + "\x00" + serial.String()
}

func (r *revocations) contains(c *x509.Certificate) bool {
	return r != nil && r.serials[revocationKey(c.RawIssuer, c.SerialNumber)]
}

// replaces returns an error when the lists are older than those in force, as those of
// a restored backup: a revoked key would be in use again.
func (r *revocations) replaces(old *revocations) error {
	if old == nil {
		return nil
	}
	for issuer, number := range old.numbers {
		switch next := r.numbers[issuer]; {
		case next == nil:
			return errors.New("the list of a CA is missing")
		case next.Cmp(number) < 0:
			return fmt.Errorf("list %s is older than list %s in force", next, number)
		}
	}
	return nil
}

// parseRevocations reads the lists of a PEM file. Each must be signed by one of the
// CAs.
func parseRevocations(data []byte, cas []*x509.Certificate) (*revocations, error) {
	r := &revocations{numbers: make(map[string]*big.Int), serials: make(map[string]bool)}
	for block, rest := pem.Decode(data); block != nil; block, rest = pem.Decode(rest) {
		if block.Type != crlBlock {
			continue
		}
		list, err := x509.ParseRevocationList(block.Bytes)
		if err != nil {
			return nil, err
		}
		if !isSignedByAny(list, cas) {
			return nil, fmt.Errorf("list of %q is not signed by a CA of the mesh", list.Issuer.CommonName)
		}
		if list.Number == nil {
			return nil, errors.New("list has no number")
		}
		issuer := string(list.RawIssuer)
		if number := r.numbers[issuer]; number == nil || number.Cmp(list.Number) < 0 {
			r.numbers[issuer] = list.Number
		}
		for _, e := range list.RevokedCertificateEntries {
			r.serials[revocationKey(list.RawIssuer, e.SerialNumber)] = true
		}
	}
	if len(r.numbers) == 0 {
		return nil, errors.New("contains no PEM revocation list")
	}
	return r, nil
}

func isSignedByAny(list *x509.RevocationList, cas []*x509.Certificate) bool {
	for _, ca := range cas {
		if bytes.Equal(list.RawIssuer, ca.RawSubject) && list.CheckSignatureFrom(ca) == nil {
			return true
		}
	}
	return false
}

// LoadRevocations reads the revocation lists of a PEM file, which ReloadRevocations
// reads again. This host's own certificate must not be on them.
func (k *Keys) LoadRevocations(file string) error {
	k.crlFile = file
	if _, err := k.ReloadRevocations(); err != nil {
		return err
	}
	if k.revoked.Load().contains(k.cert.Leaf) {
		return fmt.Errorf("CRL file %s: the certificate of host %s: %w", file, k.host, ErrRevoked)
	}
	return nil
}

// ReloadRevocations reads the lists again if LoadRevocations has read any, and
// closes the tracked connections to hosts that they revoke. It reports whether the
// lists have changed. After an error, the lists in force stay.
func (k *Keys) ReloadRevocations() (changed bool, err error) {
	if k.crlFile == "" {
		return false, nil
	}
	data, err := os.ReadFile(k.crlFile)
	if err != nil {
		return false, fmt.Errorf("CRL file %s: %w", k.crlFile, err)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if bytes.Equal(data, k.crl) {
		return false, nil
	}
	next, err := parseRevocations(data, k.cas)
	if err == nil {
		err = next.replaces(k.revoked.Load())
	}
	if err != nil {
		return false, fmt.Errorf("CRL file %s: %w", k.crlFile, err)
	}
	k.crl = data
	k.revoked.Store(next)
	for c := range k.tracked {
		if k.IsRevoked(c.ConnectionState()) {
			_ = c.NetConn().Close() // ends its reads and writes
		}
	}
	return true, nil
}

// RevokedCount returns the number of certificates on the lists in force.
func (k *Keys) RevokedCount() int {
	if r := k.revoked.Load(); r != nil {
		return len(r.serials)
	}
	return 0
}

// IsRevoked reports whether a certificate of the peer's chain is revoked.
func (k *Keys) IsRevoked(cs tls.ConnectionState) bool {
	r := k.revoked.Load()
	for _, c := range cs.PeerCertificates {
		if r.contains(c) {
			return true
		}
	}
	return false
}

// trackedConn is an open connection whose peer certificate can be revoked.
type trackedConn struct {
	*tls.Conn
	keys *Keys
}

// Track returns a connection with a complete handshake that is closed when the
// peer's certificate is revoked.
func (k *Keys) Track(c *tls.Conn) net.Conn {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.IsRevoked(c.ConnectionState()) { // since the handshake
		_ = c.NetConn().Close()
	}
	k.tracked[c] = true
	return &trackedConn{c, k}
}

// Close closes the connection and ends its tracking.
func (c *trackedConn) Close() error {
	c.keys.mu.Lock()
	delete(c.keys.tracked, c.Conn)
	c.keys.mu.Unlock()
	return c.Conn.Close()
}

// Revoke adds the certificates of PEM files to the CA's revocation list in a file,
// and writes it with the next number. Without files it writes an empty list.
func (ca *CA) Revoke(crlFile string, certFiles ...string) error {
	list := &x509.RevocationList{Number: new(big.Int), ThisUpdate: time.Now().Add(-notBeforeMargin)}
	list.NextUpdate = list.ThisUpdate.Add(crlValidity)
	data, err := os.ReadFile(crlFile)
	switch {
	case err == nil:
		old, err := ca.parseList(data)
		if err != nil {
			return fmt.Errorf("CRL file %s: %w", crlFile, err)
		}
		list.Number, list.RevokedCertificateEntries = old.Number, old.RevokedCertificateEntries
	case !errors.Is(err, os.ErrNotExist):
		return fmt.Errorf("CRL file %s: %w", crlFile, err)
	}
	list.Number = new(big.Int).Add(list.Number, big.NewInt(1))
	for _, file := range certFiles {
		certs, err := readCertificates(file)
		if err != nil {
			return err
		}
		if err := certs[0].CheckSignatureFrom(ca.cert); err != nil {
			return fmt.Errorf("certificate file %s: not signed by this CA: %w", file, err)
		}
		list.RevokedCertificateEntries = append(list.RevokedCertificateEntries,
			x509.RevocationListEntry{SerialNumber: certs[0].SerialNumber, RevocationTime: time.Now()})
	}
	der, err := x509.CreateRevocationList(rand.Reader, list, ca.cert, ca.key)
	if err != nil {
		return fmt.Errorf("create revocation list: %w", err)
	}
	return writePEM(crlFile, crlBlock, der, certFileMode)
}

// parseList returns the list of this CA in a PEM file.
func (ca *CA) parseList(data []byte) (*x509.RevocationList, error) {
	block, _ := pem.Decode(data)
	if block == nil || block.Type != crlBlock {
		return nil, errors.New("contains no PEM revocation list")
	}
	list, err := x509.ParseRevocationList(block.Bytes)
	if err != nil {
		return nil, err
	}
	if err := list.CheckSignatureFrom(ca.cert); err != nil {
		return nil, fmt.Errorf("not signed by this CA: %w", err)
	}
	return list, nil
}
