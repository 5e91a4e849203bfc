// Package header tells which headers travel with a call through the mesh.
package header

import (
	"net/http"
	"net/textproto"
	"strings"
)

// connectionHeaders concern one connection only and are not forwarded.
var connectionHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Expect": true,
}

// EndToEnd returns the headers without those that concern one connection.
func EndToEnd(h http.Header) http.Header {
	out := make(http.Header, len(h))
	named := map[string]bool{}
	for _, v := range h["Connection"] {
		for _, name := range strings.Split(v, ",") {
			named[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range h {
		if !connectionHeaders[name] && !named[name] {
			out[name] = values
		}
	}
	return out
}
