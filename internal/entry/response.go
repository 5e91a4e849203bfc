package entry

import (
	"bytes"
	"net/http"
	"strconv"

	"nutmeghoist.example/nutmeghoist/internal/header"
)

// encodeResponse returns the HTTP/1.1 encoding of a response, with a
// Content-Length.
func encodeResponse(r *Response, method string, last bool) []byte {
	var b bytes.Buffer
	b.Grow(512 + len(r.Body))
	text := http.StatusText(r.Status)
	if text == "" {
		text = "Status"
	}
	b.WriteString("HTTP/1.1 " + strconv.Itoa(r.Status) + " " + text + "\r\n")
	for name, values := range header.EndToEnd(r.Header) {
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	if r.Status != http.StatusNoContent && r.Status != http.StatusNotModified {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	if last {
		b.WriteString("Connection: close\r\n")
	}
	b.WriteString("\r\n")
	if method != http.MethodHead {
		b.Write(r.Body)
	}
	return b.Bytes()
}
