// Package header selects the HTTP headers that the mesh forwards with a call, and
// writes messages.
package header

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Expect": true,
}

// EndToEnd returns the headers without the hop-by-hop headers, which include
// those listed in the Connection header.
func EndToEnd(h http.Header) http.Header {
	out := make(http.Header, len(h))
	listed := map[string]bool{}
	for _, v := range h["Connection"] {
		for _, name := range strings.Split(v, ",") {
			listed[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range h {
		if !hopByHopHeaders[name] && !listed[name] {
			out[name] = values
		}
	}
	return out
}
