package entry

import (
	"bytes"
	"net/http"
	"strconv"

	"nutmeghoist.example/nutmeghoist/internal/header"
)

// encodeHead returns the HTTP/1.1 encoding of a response without its body, with a
// Content-Length.
func encodeHead(r *Response, last bool) []byte {
	var b bytes.Buffer
	b.Grow(header.HeadBytes)
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
	return b.Bytes()
}
