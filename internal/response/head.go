package response

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"nutmeghoist.example/nutmeghoist/internal/bounded"
)

// ErrMalformed means that the head or the trailer section of a response breaks the grammar
// of RFC 9110 and RFC 9112, so that nothing in it can be relied on.
var ErrMalformed = errors.New("malformed response")

// MaxHeadBytes bounds a head, and a trailer section.
const MaxHeadBytes = 64 << 10

// headCheck checks the lines of one head, or of one trailer section, as their bytes arrive.
// It is stricter than net/http, which takes names with blanks, folded lines, lines that
// end without a carriage return, and contradictory framing. RFC 9112 allows some of that,
// but peers that read the same head in two ways are how one response passes for another.
type headCheck struct {
	line []byte // the part of the current line that has arrived
	size int    // bytes of the complete lines

	isTrailer           bool // has no status line
	hasStatusLine       bool
	minorVersion        byte
	status              int
	hasLength, hasCoded bool // the fields that frame the body
}

// feed checks bytes up to the end of the head. It returns their number and whether the
// head has ended.
func (h *headCheck) feed(p []byte) (n int, ended bool, err error) {
	for n < len(p) {
		part := p[n:]
		end := bytes.IndexByte(part, '\n')
		if end >= 0 {
			part = part[:end+1]
		}
		n += len(part)
		if h.size+len(h.line)+len(part) > MaxHeadBytes {
			return n, false, bounded.ErrHeadTooLong
		}
		line := part
		if end < 0 || len(h.line) > 0 {
			h.line = append(h.line, part...)
			line = h.line
		}
		if end < 0 {
			break
		}
		h.size += len(line)
		h.line = h.line[:0]
		if ended, err = h.checkLine(line); ended || err != nil {
			return n, ended, err
		}
	}
	return n, false, nil
}

func (h *headCheck) checkLine(line []byte) (ended bool, err error) {
	line, ok := bytes.CutSuffix(line, []byte("\r\n"))
	switch {
	case !ok:
		return false, fmt.Errorf("%w: line ends without a carriage return", ErrMalformed)
	case !h.isTrailer && !h.hasStatusLine:
		h.hasStatusLine = true
		return false, h.checkStatusLine(line)
	case len(line) == 0:
		return true, h.checkFraming()
	}
	return false, h.checkField(line)
}

// checkStatusLine checks HTTP-version SP status-code SP [ reason-phrase ].
func (h *headCheck) checkStatusLine(line []byte) error {
	const version, length = "HTTP/1.", len("HTTP/1.1 200 ")
	if len(line) < length || !bytes.HasPrefix(line, []byte(version)) || !isDigit(line[7]) || line[8] != ' ' || line[12] != ' ' {
		return fmt.Errorf("%w: status line", ErrMalformed)
	}
	h.minorVersion = line[7] - '0'
	for _, c := range line[9:12] {
		if !isDigit(c) {
			return fmt.Errorf("%w: status", ErrMalformed)
		}
		h.status = 10*h.status + int(c-'0')
	}
	if h.status < 100 || h.status > 599 || h.status == http.StatusSwitchingProtocols { // no request asks for it
		return fmt.Errorf("%w: status %03d", ErrMalformed, h.status)
	}
	return checkText("reason phrase", line[length:])
}

// checkField checks field-name ":" OWS field-value OWS.
func (h *headCheck) checkField(line []byte) error {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || !IsFieldName(string(name)) {
		return fmt.Errorf("%w: field name", ErrMalformed)
	}
	switch {
	case strings.EqualFold(string(name), "Content-Length"):
		h.hasLength = true
	case strings.EqualFold(string(name), "Transfer-Encoding"):
		h.hasCoded = true
	}
	return checkText("field value", value)
}

// IsFieldName reports whether a text is the name of a field.
func IsFieldName(name string) bool {
	for _, c := range []byte(name) {
		if !isToken[c] {
			return false
		}
	}
	return name != ""
}

// checkFraming rejects fields that contradict each other on where the body ends. The
// values of each are checked by net/http.
func (h *headCheck) checkFraming() error {
	if !h.isTrailer && h.hasCoded && (h.hasLength || h.minorVersion == 0) {
		return fmt.Errorf("%w: transfer encoding beside a length, or in HTTP/1.0", ErrMalformed)
	}
	return nil
}

// checkText checks a text of visible characters, blanks, tabs and octets beyond ASCII.
func checkText(what string, text []byte) error {
	for _, c := range text {
		if c < ' ' && c != '\t' || c == 0x7f {
			return fmt.Errorf("%w: octet 0x%02x in a %s", ErrMalformed, c, what)
		}
	}
	return nil
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

// isToken has the octets of a token (RFC 9110, 5.6.2).
var isToken = func() (t [256]bool) {
	for c := range t {
		t[c] = isDigit(byte(c)) || 'a' <= c|0x20 && c|0x20 <= 'z' || c > 0 && strings.IndexByte("!#$%&'*+-.^_`|~", byte(c)) >= 0
	}
	return t
}()
