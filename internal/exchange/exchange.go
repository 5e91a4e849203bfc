// Package exchange sends calls to the target of this host over HTTP/1.1 and
// judges what comes back: a whole answer of the target, a promise that the call
// did not run, or neither.
package exchange

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/traffic"
)

const (
	dialTimeout = 500 * time.Millisecond
	// answerGrace is how long after the deadline the target's own late answer is
	// waited for.
	answerGrace = 50 * time.Millisecond
	// maxBody bounds an answer's body in bytes.
	maxBody = 8 << 20
	// maxIdle bounds how long an idle connection is kept. Targets close idle
	// connections after some seconds; a Keep-Alive header shortens it.
	maxIdle = 4 * time.Second
	// keepAliveShare is the part of the target's own idle timeout that is used.
	keepAliveShare = 0.6
	// maxIdleOnce is the same for calls that must not be sent twice: a connection
	// that the target has closed meanwhile would leave their outcome unknown.
	maxIdleOnce = 100 * time.Millisecond
	// maxStale bounds the late answers to earlier calls that are skipped.
	maxStale = 4
)

// Call is a call to a target.
type Call struct {
	ID         string // the caller's name of the attempt
	Method     string
	URI        string
	Host       string
	Header     http.Header
	Body       []byte
	Caller     mesh.ServiceName
	Expect     mesh.TargetID
	Idempotent bool
	Deadline   time.Time
}

// Kind says what is known of a call after the exchange.
type Kind uint8

// The kinds.
const (
	Answered Kind = iota + 1 // a whole answer of the target
	NotRun                   // the target did not and will not run the call
	Unknown                  // the target may have run the call
)

// Result is the end of an exchange.
type Result struct {
	Kind   Kind
	Reason Reason
	Status int
	Header http.Header
	Body   []byte
	Sent   bool // bytes of the call reached the target
	Err    error
}

// Reason says why there is no answer.
type Reason string

// The reasons.
const (
	Unreachable      Reason = "target_unreachable" // no connection
	Shed             Reason = "target_shed"        // the target refused without running the call
	Misdirected      Reason = "target_replaced"    // another target has the address
	ConnectionBroken Reason = "connection_broken"  // reset or closed before a whole answer
	Malformed        Reason = "answer_garbled"     // bytes that are no whole answer of the target
	DeadlineExceeded Reason = "deadline"           // no answer in time
	Cancelled        Reason = "cancelled"          // the caller left
)

// Client sends calls to one target. It is safe for concurrent use.
type Client struct {
	address string
	names   traffic.Headers

	mu   sync.Mutex
	idle []*targetConn // the last used one at the end
}

// NewClient returns a client of the target at an address.
func NewClient(address string, names traffic.Headers) *Client {
	return &Client{address: address, names: names}
}

// targetConn is a connection to the target. One call uses it at a time.
type targetConn struct {
	net.Conn
	r       *bufio.Reader
	used    bool
	idleAt  time.Time
	keepFor time.Duration
}

// Do sends a call and returns how it ended. When the context ends first, the
// connection is closed, so that the target stops work.
func (c *Client) Do(ctx context.Context, call *Call) Result {
	conn, err := c.take(call.Idempotent)
	if err == nil && conn == nil {
		conn, err = c.dial(ctx)
	}
	if err != nil {
		reason := Unreachable
		if ctx.Err() != nil {
			reason = Cancelled
		}
		return Result{Kind: NotRun, Reason: reason, Err: err}
	}
	reused := conn.used
	res := c.exchange(ctx, conn, call)
	if reused && call.Idempotent && res.Reason == ConnectionBroken && ctx.Err() == nil {
		// The target closed the idle connection as the call was sent.
		if conn, err = c.dial(ctx); err == nil {
			return c.exchange(ctx, conn, call)
		}
	}
	return res
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle {
		_ = conn.Close() // it carries no call
	}
	c.idle = nil
}

// take returns an idle connection that is sound, or nil.
func (c *Client) take(idempotent bool) (*targetConn, error) {
	now := time.Now()
	for {
		c.mu.Lock()
		n := len(c.idle)
		if n == 0 {
			c.mu.Unlock()
			return nil, nil
		}
		conn := c.idle[n-1]
		idle := now.Sub(conn.idleAt)
		if !idempotent && idle > maxIdleOnce && idle <= conn.keepFor {
			c.mu.Unlock()
			return nil, nil // the others are idle for longer
		}
		c.idle = c.idle[:n-1]
		c.mu.Unlock()
		if idle <= conn.keepFor && conn.quiet() {
			return conn, nil
		}
		_ = conn.Close() // it carries no call
	}
}

func (c *Client) dial(ctx context.Context) (*targetConn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	raw, err := d.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return nil, err
	}
	return &targetConn{Conn: raw, r: bufio.NewReaderSize(raw, 4<<10), keepFor: maxIdle}, nil
}

func (c *Client) keep(conn *targetConn) {
	if conn.SetDeadline(time.Time{}) != nil {
		_ = conn.Close() // it carries no call
		return
	}
	conn.used, conn.idleAt = true, time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, conn)
}

// exchange sends the call on a connection and reads the answer. The connection
// is kept only after a whole answer with nothing behind it.
func (c *Client) exchange(ctx context.Context, conn *targetConn, call *Call) Result {
	if ctx.Err() != nil || !time.Now().Before(call.Deadline) {
		c.keep(conn)
		return Result{Kind: NotRun, Reason: DeadlineExceeded, Err: ctx.Err()}
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() }) // unblocks the exchange
	res, keep := c.roundTrip(conn, call)
	if !stop() {
		keep = false
		if res.Kind == Unknown {
			res.Reason = Cancelled
		}
	}
	if keep {
		c.keep(conn)
	} else {
		_ = conn.Close() // what may still come belongs to no call
	}
	return res
}

func (c *Client) roundTrip(conn *targetConn, call *Call) (Result, bool) {
	// A failure shows at the write or the read.
	_ = conn.SetDeadline(call.Deadline.Add(answerGrace))
	if _, err := conn.Write(c.encode(call)); err != nil {
		return lost(ConnectionBroken, err), false
	}
	for range maxStale {
		resp, err := http.ReadResponse(conn.r, &http.Request{Method: call.Method})
		if err != nil {
			return lost(readReason(err), err), false
		}
		if resp.StatusCode < 200 {
			continue
		}
		body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
		if id := resp.Header.Get(c.names.RequestID); err == nil && id != "" && id != call.ID {
			continue // a late answer to an earlier call
		}
		if err != nil || len(body) > maxBody {
			return lost(readReason(err), err), false
		}
		res := c.judge(resp, body, call, conn.used)
		conn.keepFor = keepAlive(resp.Header)
		framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
		clean := conn.r.Buffered() == 0 && res.Reason != Malformed
		return res, framed && clean && !resp.Close && len(call.Body) < earlyAnswer
	}
	return lost(Malformed, errors.New("too many answers to other calls")), false
}

// earlyAnswer is the size of a body, in bytes, from which a target may answer
// before it has read all of it; the connection is not used again then.
const earlyAnswer = 16 << 10

func lost(reason Reason, err error) Result {
	return Result{Kind: Unknown, Reason: reason, Sent: true, Err: err}
}

// readReason tells a broken connection from bytes that are no answer.
func readReason(err error) Reason {
	var timeout net.Error
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		return DeadlineExceeded
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed):
		return ConnectionBroken
	case errors.As(err, &timeout):
		return ConnectionBroken // a reset
	default:
		return Malformed
	}
}

// judge decides what a whole answer says.
func (c *Client) judge(resp *http.Response, body []byte, call *Call, used bool) Result {
	res := Result{Kind: Answered, Status: resp.StatusCode, Header: resp.Header, Body: body, Sent: true}
	named := resp.Header.Get(c.names.RequestID) == call.ID
	switch {
	case resp.StatusCode == http.StatusMisdirectedRequest:
		return Result{Kind: NotRun, Reason: Misdirected, Sent: true}
	case resp.Header.Get(c.names.NotRun) != "" && (named || !used || call.Idempotent):
		return Result{Kind: NotRun, Reason: Shed, Sent: true}
	case !named, resp.Header.Get(c.names.Stamp) == "", resp.Header.Get("Content-Encoding") != "":
		return lost(Malformed, errors.New("answer lacks the target's proof"))
	}
	return res
}

func keepAlive(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return min(maxIdle, time.Duration(float64(seconds)*keepAliveShare*float64(time.Second)))
		}
	}
	return maxIdle
}

// encode returns the bytes of the call. The body is sent with its length.
func (c *Client) encode(call *Call) []byte {
	var b bytes.Buffer
	b.Grow(512 + len(call.Body))
	b.WriteString(call.Method + " " + call.URI + " HTTP/1.1\r\nHost: " + call.Host + "\r\n")
	write := func(name, value string) { b.WriteString(name + ": " + value + "\r\n") }
	own := map[string]bool{
		c.names.DeadlineMs: true, c.names.ExpectInstance: true, c.names.CallerService: true, c.names.RequestID: true,
		"Content-Length": true, "Host": true,
	}
	for name, values := range call.Header {
		if own[name] {
			continue
		}
		for _, v := range values {
			write(name, v)
		}
	}
	write(c.names.RequestID, call.ID)
	write(c.names.DeadlineMs, strconv.FormatInt(max(1, time.Until(call.Deadline).Milliseconds()), 10))
	write(c.names.ExpectInstance, string(call.Expect))
	write(c.names.CallerService, string(call.Caller))
	if len(call.Body) > 0 || call.Method != http.MethodGet && call.Method != http.MethodHead {
		write("Content-Length", strconv.Itoa(len(call.Body)))
	}
	b.WriteString("\r\n")
	b.Write(call.Body)
	return b.Bytes()
}
