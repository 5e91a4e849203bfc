package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"sync"

	"github.com/quic-go/quic-go"
)

// trackHandshake counts the handshakes in progress and those that fail because
// of a certificate.
func (t *Transport) trackHandshake(ctx context.Context, _ *quic.ClientInfo) (context.Context, error) {
	t.mu.Lock()
	t.pending++
	t.mu.Unlock()
	h := &handshake{transport: t}
	context.AfterFunc(ctx, func() {
		h.finish()
		if isCertificateError(context.Cause(ctx)) {
			t.stats.unauthorized.Add(1)
		}
	})
	return context.WithValue(ctx, handshakeKey{}, h), nil
}

type handshakeKey struct{}

type handshake struct {
	transport *Transport
	once      sync.Once
}

func (h *handshake) finish() {
	h.once.Do(func() {
		h.transport.mu.Lock()
		h.transport.pending--
		h.transport.mu.Unlock()
	})
}

// isCertificateError reports whether a handshake failed because one side
// rejected the other's certificate.
func isCertificateError(err error) bool {
	var te *quic.TransportError
	if !errors.As(err, &te) || !te.ErrorCode.IsCryptoError() {
		return false
	}
	const cryptoErrorBase = 0x100
	switch tls.AlertError(te.ErrorCode - cryptoErrorBase) {
	case alertBadCertificate, alertCertificateExpired, alertUnknownCA, alertCertificateRequired, alertUnknownCertificate:
		return true
	}
	return false
}

// TLS alerts (RFC 8446, section 6) that concern certificates.
const (
	alertBadCertificate      = 42
	alertCertificateExpired  = 45
	alertUnknownCertificate  = 46
	alertUnknownCA           = 48
	alertCertificateRequired = 116
)
