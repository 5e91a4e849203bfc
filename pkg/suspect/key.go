// Package suspect recognizes requests that come again after targets have ended
// while they ran them, and decides whether such a request may be sent once more.
package suspect

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"
)

// Request is what makes two requests the same: they have the same method, host, path
// with query, caller and body. What differs between two attempts of a caller, such as
// the request ID and the deadline, is not a part of it.
type Request struct {
	Method string
	Host   string
	URI    string // path and query
	Caller string // service of the host where the request began; empty when it is not known
	Body   []byte
}

// Key identifies all requests that are the same.
type Key [16]byte

// Key returns the key of the request. It is a cryptographic hash, so that no caller can
// make a request that is taken for another one.
func (r *Request) Key() Key {
	h := sha256.New()
	var length [8]byte
	for _, s := range [...]string{r.Method, hostName(r.Host), r.URI, r.Caller} {
		binary.LittleEndian.PutUint64(length[:], uint64(len(s)))
		h.Write(length[:])
		h.Write([]byte(s))
	}
	h.Write(r.Body)
	return Key(h.Sum(nil)[:len(Key{})])
}

// hostName returns a host as requests are matched by it: without port, in lower case.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// String returns the first half of the key, in hexadecimal digits.
func (k Key) String() string { return hex.EncodeToString(k[:len(k)/2]) }
