package exchange

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
)

// tokenChars are the octets that a field name may hold (RFC 9110, 5.6.2).
const tokenChars = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"

// brokenNames returns a field line with each octet that its name may not hold, at its
// start, in its middle and at its end. A colon that is not the first octet ends the name,
// and is left out.
func brokenNames(line string) []string {
	name, _, _ := strings.Cut(line, ":")
	var lines []string
	for octet := range 256 {
		if strings.IndexByte(tokenChars, byte(octet)) >= 0 {
			continue
		}
		for _, at := range []int{0, len(name) / 2, len(name)} {
			if octet != ':' || at == 0 {
				lines = append(lines, line[:at]+string([]byte{byte(octet)})+line[at:])
			}
		}
	}
	return lines
}

// responsesOf returns whole responses that hold a field line each, in all places where the
// field of that name says something about the call "b". They are valid if the line is.
func responsesOf(name, line string) map[string]string {
	all := map[string][2]string{
		"first":          {"HTTP/1.1 200 X\r\n", "Call-Name: b\r\nProof: p\r\nContent-Length: 4\r\n\r\nmenu"},
		"last":           {"HTTP/1.1 200 X\r\nCall-Name: b\r\nProof: p\r\nContent-Length: 4\r\n", "\r\nmenu"},
		"without length": {"HTTP/1.1 200 X\r\nCall-Name: b\r\nProof: p\r\n", "\r\nmenu"},
		"failure":        {"HTTP/1.1 500 X\r\nCall-Name: b\r\nProof: p\r\n", "Content-Length: 2\r\n\r\nno"},
		"not run":        {"HTTP/1.1 503 X\r\nCall-Name: b\r\nNot-Run: 1\r\n", "Content-Length: 0\r\n\r\n"},
		"misdirected":    {"HTTP/1.1 421 X\r\nCall-Name: b\r\n", "Content-Length: 0\r\n\r\n"},
		"interim":        {"HTTP/1.1 103 X\r\n", "\r\n" + rawResponse(200, "b", "", "menu")},
		"interim to one that has not run": {
			"HTTP/1.1 100 X\r\nNot-Run: 1\r\n", "\r\nHTTP/1.1 503 X\r\nCall-Name: b\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		},
		"late response to another call": {"HTTP/1.1 200 X\r\nCall-Name: z\r\n", "Content-Length: 4\r\n\r\nrope" + rawResponse(200, "b", "", "menu")},
	}
	switch name {
	case "Content-Length":
		all = map[string][2]string{
			"framed":  {"HTTP/1.1 200 X\r\nCall-Name: b\r\nProof: p\r\n", "\r\nmenu"},
			"not run": {"HTTP/1.1 503 X\r\nNot-Run: 1\r\nCall-Name: b\r\n", "\r\nmenu"},
		}
	case "Transfer-Encoding":
		all = map[string][2]string{"framed": {"HTTP/1.1 200 X\r\nCall-Name: b\r\nProof: p\r\n", "\r\n4\r\nmenu\r\n0\r\n\r\n"}}
	case "Call-Name":
		all = map[string][2]string{
			"answer":  {"HTTP/1.1 200 X\r\nProof: p\r\n", "Content-Length: 4\r\n\r\nmenu"},
			"not run": {"HTTP/1.1 503 X\r\nNot-Run: 1\r\n", "Content-Length: 0\r\n\r\n"},
		}
	case "Proof":
		all = map[string][2]string{"answer": {"HTTP/1.1 200 X\r\nCall-Name: b\r\n", "Content-Length: 4\r\n\r\nmenu"}}
	case "Not-Run":
		all = map[string][2]string{"not run": {"HTTP/1.1 503 X\r\nCall-Name: b\r\n", "Content-Length: 0\r\n\r\n"}}
	}
	responses := make(map[string]string, len(all))
	for place, parts := range all {
		responses[place] = parts[0] + line + "\r\n" + parts[1]
	}
	return responses
}

// responder is a target that sends a response to call "b" and ends the stream.
type responder struct {
	client   *Client
	response atomic.Pointer[string]
}

func newResponder(t *testing.T) *responder {
	r := &responder{}
	r.client, _ = startTarget(t, func(_ int, req *http.Request, conn net.Conn) bool {
		if id := req.Header.Get("Call-Name"); id != "b" {
			_, _ = conn.Write([]byte(rawResponse(200, id, "", "menu")))
			return true
		}
		_, _ = conn.Write([]byte(*r.response.Load()))
		_ = conn.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, conn) // the port of the side that closes first stays in use
		return false
	})
	return r
}

// answer makes call "b" and answers it with a response, on a connection that has carried a
// call before if reused.
func (r *responder) answer(t *testing.T, response string, reused bool) Result {
	r.client.Close()
	r.response.Store(&response)
	if reused {
		r.client.Do(t.Context(), getCall("a"))
	}
	call := getCall("b")
	call.Idempotent = false
	return r.client.Do(t.Context(), call)
}

// checkProvesNothing reports a response that was taken for an answer, or for the
// target's word that it has not run the call.
func checkProvesNothing(t *testing.T, response string, res Result) {
	t.Helper()
	if res.Kind != Unknown || res.Reason != Malformed || !res.Sent {
		t.Errorf("%q: kind %d, status %d, reason %q, header %q, body %q (%v)", response, res.Kind, res.Status, res.Reason, res.Header, res.Body, res.Err)
	}
}

// Guards against a response with a field name that is none, which is passed on with that
// line, framed by other fields than the target's, or taken for "not run".
func TestBrokenFieldNamesProveNothing(t *testing.T) {
	for _, line := range []string{"X-Menu: rope", "Call-Name: b", "Proof: p", "Not-Run: 1", "Content-Length: 4", "Transfer-Encoding: chunked"} {
		t.Run(line, func(t *testing.T) {
			t.Parallel()
			r := newResponder(t)
			name, _, _ := strings.Cut(line, ":")
			for place, response := range responsesOf(name, line) {
				if res := r.answer(t, response, false); res.Kind == Unknown {
					t.Errorf("%s, unbroken: %+v", place, res)
				}
			}
			for i, broken := range brokenNames(line) {
				for _, response := range responsesOf(name, broken) {
					checkProvesNothing(t, response, r.answer(t, response, i%8 == 0))
				}
			}
		})
	}
}

// Guards against other heads that break the grammar (RFC 9112, 4, 5 and 6).
func TestBrokenHeadsProveNothing(t *testing.T) {
	const own = "Call-Name: b\r\nProof: p\r\nNot-Run: 1\r\n"
	with := func(status, fields, body string) string { return status + "\r\n" + own + fields + "\r\n" + body }
	const ok, busy, sized = "HTTP/1.1 200 X", "HTTP/1.1 503 X", "Content-Length: 4\r\n"
	responses := []string{
		with(ok, "X-Menu\r\n"+sized, "menu"),
		with(ok, "X-Menu: a\r\n b\r\n"+sized, "menu"),
		with(ok, "X-Menu: a\r\n\tb: c\r\n"+sized, "menu"),
		with(ok, "X-Menu: a\n"+sized, "menu"),
		with(ok, sized+"\n", "menu"),
		with(ok, sized+"Content-Length: 5\r\n", "menu"),
		with(ok, "Content-Length: 4, 5\r\n", "menu"),
		with(ok, "Content-Length: +4\r\n", "menu"),
		with(ok, "Content-Length: -1\r\n", "menu"),
		with(ok, "Content-Length: 4x\r\n", "menu"),
		with(ok, "Content-Length:\r\n", "menu"),
		with(ok, sized+"Transfer-Encoding: chunked\r\n", "4\r\nmenu\r\n0\r\n\r\n"),
		with(ok, "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", "4\r\nmenu\r\n0\r\n\r\n"),
		with(ok, "Transfer-Encoding: identity\r\n", "menu"),
		with(ok, "Transfer-Encoding: gzip, chunked\r\n", "4\r\nmenu\r\n0\r\n\r\n"),
		with("HTTP/1.0 200 X", "Transfer-Encoding: chunked\r\n", "4\r\nmenu\r\n0\r\n\r\n"),
		with("HTTP/1.0 503 X", "Transfer-Encoding: chunked\r\n", "4\r\nmenu\r\n0\r\n\r\n"),
		with(ok, "Transfer-Encoding: chunked\r\n", "4\r\nmenu\r\n0\r\nX Menu: a\r\n\r\n"),
		with(ok, "Transfer-Encoding: chunked\r\n", "4\r\nmenu\r\n0\r\n X-Menu: a\r\n\r\n"),
		with(ok, "Transfer-Encoding: chunked\r\n", "4\r\nmenu\r\n0\r\nX-Menu: a\n\r\n"),
		with("HTTP/1.1 200 X\r", sized, "menu"),
		"HTTP/1.1 200 X\n" + own + sized + "\r\nmenu",
		"\r\n" + with(ok, sized, "menu"),
		with(" "+ok, sized, "menu"),
		" " + own + with(ok, sized, "menu"),
	}
	for _, line := range []string{ok, busy} {
		_, rest, _ := strings.Cut(line, "/1.1")
		for _, version := range []string{"HTTP/2.0", "HTTP/0.9", "HTTP/1.x", "HTTP/1.", "HTTP/01.1", "HTTP/1.10", "http/1.1", "HTTQ/1.1", "HTTP 1.1", "ICY"} {
			responses = append(responses, with(version+rest, sized, "menu"))
		}
		for _, bad := range []string{"  ", "\t", "\v", ""} {
			responses = append(responses, with(strings.Replace(line, " ", bad, 1), sized, "menu"))
		}
	}
	for octet := range 256 {
		if octet < ' ' && octet != '\t' || octet == 0x7f {
			responses = append(
				responses,
				with("HTTP/1.1 200 a"+string([]byte{byte(octet)})+"b", sized, "menu"),
				with(busy, "X-Menu: a"+string([]byte{byte(octet)})+"b\r\n"+sized, "menu"),
				with(ok, "X-Menu:"+string([]byte{byte(octet)})+"b\r\n"+sized, "menu"),
			)
		}
	}
	r := newResponder(t)
	for i, response := range responses {
		checkProvesNothing(t, response, r.answer(t, response, i%2 == 0))
	}
}

// Guards against a status that is none: an answer with it is passed on, or counts as the
// target's word that it has not run the call.
func TestStatusesThatAreNone(t *testing.T) {
	r := newResponder(t)
	var statuses []string
	for code := range 1000 {
		if code == 101 || code < 100 || code > 599 {
			statuses = append(statuses, fmt.Sprintf("%03d", code))
		}
	}
	statuses = append(statuses, "", "0", "2", "20", "2000", "0200", "+20", "-20", "2 0", "20x", "x00", " 200", "2\x0000", "２００")
	for _, status := range statuses {
		// The second response would answer the call if the first were skipped.
		skipped := "HTTP/1.1 " + status + " X\r\n\r\n" + rawResponse(200, "b", "", "menu")
		checkProvesNothing(t, skipped, r.answer(t, skipped, true))
		for _, extra := range []string{"", "Not-Run: 1\r\n"} {
			response := "HTTP/1.1 " + status + " X\r\nCall-Name: b\r\nProof: p\r\n" + extra + "Content-Length: 4\r\n\r\nmenu"
			checkProvesNothing(t, response, r.answer(t, response, false))
		}
	}
}

// Guards against valid heads that are refused.
func TestValidHeads(t *testing.T) {
	r := newResponder(t)
	const own = "Call-Name: b\r\nProof: p\r\n"
	for code := 200; code < 600; code++ {
		want, body := Answered, "menu"
		switch code {
		case http.StatusMisdirectedRequest: // stamped, without a mark
			want, body = Unknown, ""
		case http.StatusNoContent, http.StatusNotModified:
			body = ""
		}
		if res := r.answer(t, "HTTP/1.1 "+strconv.Itoa(code)+" X\r\n"+own+"Content-Length: 4\r\n\r\nmenu", false); res.Kind != want || string(res.Body) != body {
			t.Errorf("status %d: %+v", code, res)
		}
	}
	for _, head := range []string{
		"HTTP/1.1 200 \r\n" + own,
		"HTTP/1.0 200 OK\r\n" + own,
		"HTTP/1.1 200 caf\xe9 \t\xff!\r\n" + own,
		"HTTP/1.1 200 X\r\n" + own + tokenChars + ": a\r\n",
		"HTTP/1.1 200 X\r\n" + own + "X-Menu:\r\nX-Menu: \t \r\nX-Menu:a b\tc\xff\"(),/:;<=>?@[\\]{}\r\n",
		"HTTP/1.1 200 X\r\ncall-name:b\r\nPROOF:\tp \r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: a\r\n\r\nHTTP/1.1 200 X\r\n" + own,
		"HTTP/1.1 103 Early\r\nNot-Run: 1\r\nCall-Name: b\r\n\r\nHTTP/1.1 200 X\r\n" + own,
	} {
		for _, framed := range []string{
			"Content-Length: 4\r\n\r\nmenu", "Content-Length: 4\r\nContent-Length: 4\r\n\r\nmenu", "content-length:  4 \r\n\r\nmenu", "\r\nmenu",
			"Transfer-Encoding: chunked\r\n\r\n4\r\nmenu\r\n0\r\n\r\n", "transfer-encoding: Chunked\r\n\r\n1\r\nm\r\n003;a=b\r\nenu\r\n0\r\nX-Sum: 1\r\n\r\n",
		} {
			if strings.HasPrefix(head, "HTTP/1.0") && strings.Contains(framed, "hunked") {
				continue
			}
			if res := r.answer(t, head+framed, false); res.Kind != Answered || res.Status != 200 || string(res.Body) != "menu" {
				t.Errorf("%q: %+v", head+framed, res)
			}
		}
	}
	// An interim response alone says nothing about the call.
	if res := r.answer(t, "HTTP/1.1 103 Early\r\nNot-Run: 1\r\nCall-Name: b\r\n\r\n", false); res.Kind != Unknown || res.Reason != ConnectionBroken {
		t.Errorf("interim response alone: %+v", res)
	}
}
