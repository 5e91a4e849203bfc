package entry

import (
	"bytes"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
)

// connectionHeaders concern one connection only and are not forwarded.
var connectionHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Expect": true,
}

// endToEnd returns the headers without those that concern one connection.
func endToEnd(h http.Header) http.Header {
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

// encodeAnswer returns the bytes of an answer with its length.
func encodeAnswer(a *Answer, method string, last bool) []byte {
	var b bytes.Buffer
	b.Grow(512 + len(a.Body))
	text := http.StatusText(a.Status)
	if text == "" {
		text = "Status"
	}
	b.WriteString("HTTP/1.1 " + strconv.Itoa(a.Status) + " " + text + "\r\n")
	for name, values := range endToEnd(a.Header) {
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	if a.Status != http.StatusNoContent && a.Status != http.StatusNotModified {
		b.WriteString("Content-Length: " + strconv.Itoa(len(a.Body)) + "\r\n")
	}
	if last {
		b.WriteString("Connection: close\r\n")
	}
	b.WriteString("\r\n")
	if method != http.MethodHead {
		b.Write(a.Body)
	}
	return b.Bytes()
}
