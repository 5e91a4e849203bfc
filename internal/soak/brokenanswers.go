package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"nutmeghoist.example/nutmeghoist/platform"
)

// brokenAnswer is what a target sends in place of a tenth of its answers, and of half of
// those to uploads. A caller must get none of it, nor a refusal.
type brokenAnswer int32

const (
	noBrokenAnswer brokenAnswer = iota
	brokenName                  // a field name holds an octet that it may not hold
	brokenLength                // the same of the field that tells the length of the body
	brokenRefusal               // the same of a field beside the word that the call has not run
	brokenInterim               // the same in an interim answer before the answer
	brokenStatus                // a status that is none
	resetPart                   // a part of an answer without a length, then a reset
)

var brokenAnswerNames = []string{
	"none", "answer-broken-name", "answer-broken-length", "answer-broken-refusal", "answer-broken-interim", "answer-broken-status", "answer-reset",
}

// maxResetDelay bounds the time from the part of an answer to the reset.
const maxResetDelay = 5 * time.Millisecond

// takeBroken returns the broken answer that a target sends instead of the answer to a call,
// which every n-th one gets.
func (t *target) takeBroken(n int) brokenAnswer {
	if rand.IntN(n) != 0 {
		return noBrokenAnswer
	}
	return brokenAnswer(t.broken.Load())
}

// response returns the bytes of a broken answer to a call.
func (b brokenAnswer) response(t *target, id string) string {
	names := platform.Headers
	body := answerBody(id, t.id)
	own := fmt.Sprintf("%s: %s\r\n%s: s\r\n", names.RequestID, id, names.Stamp)
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	answer := "HTTP/1.1 200 OK\r\n" + own + length + "\r\n" + body
	switch b {
	case brokenName:
		return "HTTP/1.1 200 OK\r\n" + own + breakName("X-Padding: x\r\n") + length + "\r\n" + body
	case brokenLength:
		return "HTTP/1.1 200 OK\r\n" + own + breakName(length) + "\r\n" + body
	case brokenRefusal:
		return "HTTP/1.1 503 Busy\r\n" + own + names.NotRun + ": 1\r\n" + breakName("X-Padding: x\r\n") + "Content-Length: 0\r\n\r\n"
	case brokenInterim:
		return "HTTP/1.1 103 Early\r\n" + breakName("X-Padding: x\r\n") + "\r\n" + answer
	case brokenStatus:
		status := rand.IntN(500) // 000 to 099, 600 to 999
		if status >= 100 {
			status += 500
		}
		return fmt.Sprintf("HTTP/1.1 %03d None\r\n%s%s: 1\r\nContent-Length: 0\r\n\r\n", status, own, names.NotRun) + answer
	default:
		return "HTTP/1.1 200 OK\r\n" + own + "\r\n" + body[:rand.IntN(len(body))]
	}
}

// breakName puts an octet that a field name may not hold at its start, in its middle or at
// its end.
func breakName(line string) string {
	const octets = " \t\n\r\x00\x01\x7f\x80\xff()/;<=>?@[\\]{}\",\v"
	name := strings.IndexByte(line, ':')
	at := []int{0, name / 2, name}[rand.IntN(3)]
	octet := rand.IntN(len(octets))
	return line[:at] + octets[octet:octet+1] + line[at:]
}

// send sends a broken answer to a call, after which the connection is closed.
func (b brokenAnswer) send(t *target, c *answerConn, id string) {
	if _, err := fmt.Fprint(c, b.response(t, id)); err != nil || b != resetPart {
		return
	}
	time.Sleep(rand.N(maxResetDelay))
	_ = c.Conn.(*net.TCPConn).SetLinger(0) // makes the close a reset
}
