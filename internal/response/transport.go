package response

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
)

// Transport is an http.Transport for plain HTTP whose connections are each a Conn that
// expects a response to each request.
type Transport struct{ *http.Transport }

// NewTransport wraps a transport that has no connection yet, and its DialContext.
func NewTransport(t *http.Transport) Transport {
	dial := t.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		conn := NewConn(c)
		conn.ExpectResponse() // the first may come before the request
		return conn, nil
	}
	return Transport{t}
}

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	return t.Transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			if c, ok := i.Conn.(*Conn); ok {
				c.ExpectResponse()
			}
		},
	})))
}
