package entry

import (
	"bytes"
	"net/http"
	"strconv"

	"nutmeghoist.example/nutmeghoist/internal/header"
)

// encodeAnswer returns the bytes of an answer with its length.
func encodeAnswer(a *Response, method string, last bool) []byte {
	var b bytes.Buffer
	b.Grow(512 + len(a.Body))
	text := http.StatusText(a.Status)
	if text == "" {
		text = "Status"
	}
	b.WriteString("HTTP/1.1 " + strconv.Itoa(a.Status) + " " + text + "\r\n")
	for name, values := range header.EndToEnd(a.Header) {
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
