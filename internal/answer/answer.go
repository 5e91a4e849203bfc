// Package answer builds and verifies the responses of the target stand-in, so
// that a caller can tell whether it got the complete response to its own
// request.
package answer

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Headers of calls and answers.
const (
	HeaderOrder    = "Order-Number"
	HeaderVersion  = "Target-Version"
	HeaderTarget   = "Target-Id"
	HeaderLength   = "Answer-Length"   // size of the body in bytes
	HeaderChecksum = "Answer-Checksum" // xxHash64 of the body in hex
	HeaderNotRun   = "Target-Not-Run"  // "true" when the target did not run the call
)

// Errors returned by Verify.
var (
	ErrShort   = errors.New("answer is incomplete")
	ErrForeign = errors.New("answer belongs to another order")
)

const filler = "tray menus, delivery slots and rope lengths; "

// Body returns the body for an order, padded to the given size.
func Body(order, version, target string, size int) []byte {
	head := fmt.Sprintf("order=%s version=%s target=%s\n", order, version, target)
	pad := max(0, size-len(head))
	return []byte(head + strings.Repeat(filler, pad/len(filler)+1)[:pad])
}

// SetHeaders sets the response headers that describe the given body.
func SetHeaders(h http.Header, order, version, target string, body []byte) {
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(HeaderOrder, order)
	h.Set(HeaderVersion, version)
	h.Set(HeaderTarget, target)
	h.Set(HeaderLength, strconv.Itoa(len(body)))
	h.Set(HeaderChecksum, checksum(body))
}

func checksum(body []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(body)) }

// Verify returns an error unless a response with the given headers and body is
// the complete answer to the order. A HEAD response has no body to compare.
func Verify(method, order string, h http.Header, body []byte) error {
	if got := h.Get(HeaderOrder); got != order {
		return fmt.Errorf("%w: order %q got the headers of %q", ErrForeign, order, got)
	}
	if method == http.MethodHead {
		return nil
	}
	if got := bodyOrder(body); got != order {
		if len(body) == 0 || !strings.Contains(string(body), "\n") {
			return fmt.Errorf("%w: order %q got %d bytes", ErrShort, order, len(body))
		}
		return fmt.Errorf("%w: order %q got the body of %q", ErrForeign, order, got)
	}
	if want := h.Get(HeaderLength); want != strconv.Itoa(len(body)) {
		return fmt.Errorf("%w: order %q got %d of %s bytes", ErrShort, order, len(body), want)
	}
	if h.Get(HeaderChecksum) != checksum(body) {
		return fmt.Errorf("%w: order %q got a body with a wrong checksum", ErrShort, order)
	}
	return nil
}

func bodyOrder(body []byte) string {
	head, _, _ := strings.Cut(string(body), "\n")
	order, _, _ := strings.Cut(strings.TrimPrefix(head, "order="), " version=")
	return order
}
