package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"sync"

	"github.com/quic-go/quic-go"
)

// watchHandshake counts the handshakes in progress and those that fail for a
// wrong certificate.
func (t *Transport) watchHandshake(ctx context.Context, _ *quic.ClientInfo) (context.Context, error) {
	t.mu.Lock()
	t.pending++
	t.mu.Unlock()
	h := &handshake{t: t}
	context.AfterFunc(ctx, func() {
		h.end()
		if isCertificateError(context.Cause(ctx)) {
			t.stats.unauthorized.Add(1)
		}
	})
	return context.WithValue(ctx, handshakeKey{}, h), nil
}

type handshakeKey struct{}

type handshake struct {
	t    *Transport
	once sync.Once
}

func (h *handshake) end() {
	h.once.Do(func() {
		h.t.mu.Lock()
		h.t.pending--
		h.t.mu.Unlock()
	})
}

// isCertificateError reports whether a handshake failed because one side did
// not accept the other's certificate.
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
