package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"nutmeghoist.example/nutmeghoist/platform"
)

// answer is what a client got for one request.
type answer struct {
	id         string
	sent       time.Time
	took       time.Duration
	status     int // 0 without an answer
	stamp      string
	body       string
	retryAfter string
	err        error
}

// served reports whether the answer is a success of a server.
func (a *answer) served() bool { return a.status/100 == 2 && a.stamp != "" }

// service returns the service that ran the request, as the body says.
func (a *answer) service() string {
	_, s, _ := strings.Cut(strings.TrimSpace(a.body), " of ")
	return s
}

var lastID atomic.Uint64

func newID() string { return fmt.Sprintf("%016x", 0x9c41d07b00000000+lastID.Add(1)) }

// send sends one request on a new connection and waits for its answer.
func send(m *machine, method, uri, body string, deadline time.Duration) answer {
	a := answer{id: newID(), sent: time.Now()}
	defer func() { a.took = time.Since(a.sent) }()
	c, err := net.DialTimeout("tcp", m.at(portOutbound).String(), time.Second)
	if err != nil {
		a.err = err
		return a
	}
	defer c.Close()
	_ = c.SetDeadline(a.sent.Add(deadline))
	_, a.err = fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s", method, uri, hostHeader,
		platform.Headers.RequestID, a.id, platform.Headers.DeadlineMs, deadline.Milliseconds(), len(body), body)
	if a.err != nil {
		return a
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		a.err = err
		return a
	}
	text, err := io.ReadAll(resp.Body)
	a.status, a.stamp, a.body, a.err = resp.StatusCode, resp.Header.Get(platform.Headers.Stamp), string(text), err
	a.retryAfter = resp.Header.Get("Retry-After")
	return a
}
