// Package exchange sends calls to the target of this host over HTTP/1.1 and
// classifies the outcome: a complete response of the target, a guarantee that
// the call did not run, or neither.
package exchange

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"nutmeghoist.example/nutmeghoist/internal/bounded"
	"nutmeghoist.example/nutmeghoist/internal/header"
	"nutmeghoist.example/nutmeghoist/internal/listencheck"
	"nutmeghoist.example/nutmeghoist/internal/response"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/traffic"
)

const (
	dialTimeout = 500 * time.Millisecond
	// responseGrace is how long after the deadline a late response of the target
	// is still accepted.
	responseGrace = 50 * time.Millisecond
	// maxBodyBytes bounds the body of a response.
	maxBodyBytes = 8 << 20
	// maxIdleTime bounds how long an idle connection is kept. Targets close idle
	// connections after some seconds. A Keep-Alive header of the target can
	// shorten the time.
	maxIdleTime = 4 * time.Second
	// keepAliveShare is the share of the target's idle timeout after which a
	// connection is no longer used.
	keepAliveShare = 0.6
	// maxIdleNonIdempotent is how long a connection may have been idle when a
	// non-idempotent call is sent on it. Such a call must not be sent twice, and
	// its outcome would be unknown if the target had closed the connection
	// meanwhile.
	maxIdleNonIdempotent = 100 * time.Millisecond
	// maxStaleResponses bounds the responses that are read for a call, since late
	// responses to earlier calls are skipped.
	maxStaleResponses = 4
	// maxCarriedCalls bounds the calls of a connection, since it remembers them all.
	maxCarriedCalls = 2048
)

// Call is a call to a target.
type Call struct {
	ID         string // request ID, set by the caller for each attempt
	Method     string
	URI        string
	Host       string
	Header     http.Header
	Body       []byte
	Caller     mesh.ServiceName
	Team       mesh.TeamName // of the caller; "" without one
	Expect     mesh.TargetID
	Idempotent bool
	Deadline   time.Time
	// MaySend, if set, is asked right before each send. A call is not sent when it
	// returns false.
	MaySend func() bool
}

func (c *Call) maySend() bool { return c.MaySend == nil || c.MaySend() }

// Kind is what is known about a call after the exchange.
type Kind uint8

// The kinds.
const (
	Answered Kind = iota + 1 // a complete response of the target
	NotRun                   // the target has not run the call and will not run it
	Unknown                  // the target may have run the call
)

// Result is the outcome of an exchange.
type Result struct {
	Kind   Kind
	Reason Reason
	Status int
	Header http.Header
	Body   []byte
	Sent   bool // bytes of the call reached the target
	// Signals is what the target says of itself; empty without an answer that is
	// certainly its own.
	Signals Signals
	Err     error
}

// Reason says why a call has no usable response.
type Reason string

// The reasons.
const (
	Unreachable      Reason = "target_unreachable" // no connection
	Shed             Reason = "target_shed"        // the target refused without running the call
	Misdirected      Reason = "target_replaced"    // another target may now have the address
	ConnectionBroken Reason = "connection_broken"  // reset or closed before a complete response
	Malformed        Reason = "answer_garbled"     // not a complete, valid response of the target
	Oversized        Reason = "answer_oversized"   // head or body exceeds its bound
	NoMemory         Reason = "memory"             // the body does not fit in the buffers of the process
	DeadlineExceeded Reason = "deadline"           // no response in time
	Cancelled        Reason = "cancelled"          // the caller cancelled the call
	Withdrawn        Reason = "withdrawn"          // MaySend forbade the send
)

// Client sends calls to one target. It is safe for concurrent use.
type Client struct {
	// Buffers is the memory for bodies that are being read. It is set before the
	// first call.
	Buffers *bounded.Budget

	address string
	names   traffic.Headers

	mu   sync.Mutex
	idle []*targetConn // most recently used last
}

// NewClient returns a client for the target at an address.
func NewClient(address string, names traffic.Headers) *Client {
	return &Client{address: address, names: names}
}

// targetConn is a connection to the target. One call uses it at a time.
type targetConn struct {
	*response.Conn
	r           *bufio.Reader
	reused      bool
	carried     map[uint64]bool // hashes of the IDs of the calls that were sent on it
	idleSince   time.Time
	idleTimeout time.Duration
}

// Do sends a call and returns its outcome. When the context ends first, the
// connection is closed, so that the target stops working on the call.
func (c *Client) Do(ctx context.Context, call *Call) Result {
	conn, err := c.idleConn(call)
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
	wasReused := conn.reused
	res := c.exchange(ctx, conn, call)
	if wasReused && call.Idempotent && res.Reason == ConnectionBroken && ctx.Err() == nil {
		// The target closed the idle connection while the call was being sent.
		if conn, err = c.dial(ctx); err == nil {
			if again := c.exchange(ctx, conn, call); again.Kind != NotRun {
				return again
			}
			// The first send may have run all the same.
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

// idleConn returns a usable idle connection, or nil. The most recently used one
// comes first. One that has carried the call before is passed over: a second copy of
// the earlier response on it could not be told from the response to this send.
func (c *Client) idleConn(call *Call) (*targetConn, error) {
	now, id := time.Now(), xxhash.Sum64String(call.ID)
	for {
		c.mu.Lock()
		i := len(c.idle) - 1
		for i >= 0 && c.idle[i].carried[id] {
			i--
		}
		if i < 0 {
			c.mu.Unlock()
			return nil, nil
		}
		conn := c.idle[i]
		idle := now.Sub(conn.idleSince)
		if !call.Idempotent && idle > maxIdleNonIdempotent && idle <= conn.idleTimeout {
			c.mu.Unlock()
			return nil, nil // the others have been idle for longer
		}
		c.idle = slices.Delete(c.idle, i, i+1)
		c.mu.Unlock()
		if idle <= conn.idleTimeout && conn.isUsable() {
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
	return newTargetConn(raw), nil
}

func newTargetConn(raw net.Conn) *targetConn {
	conn := response.NewConn(raw)
	return &targetConn{Conn: conn, r: bufio.NewReaderSize(conn, 4<<10), idleTimeout: maxIdleTime}
}

// Listening reports whether something accepts connections at the target's address, or
// whether that cannot be told. The connection that it opens is kept for a call.
func (c *Client) Listening(ctx context.Context) bool {
	raw, listening := listencheck.Check(ctx, c.address)
	if raw != nil {
		c.putIdle(newTargetConn(raw))
	}
	return listening
}

func (c *Client) putIdle(conn *targetConn) {
	if conn.SetDeadline(time.Time{}) != nil {
		_ = conn.Close() // it carries no call
		return
	}
	conn.reused, conn.idleSince = true, time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, conn)
}

// exchange sends the call on a connection and reads the response. The
// connection is kept only after a complete response without bytes after it and without
// responses to other calls before it.
func (c *Client) exchange(ctx context.Context, conn *targetConn, call *Call) Result {
	if ctx.Err() != nil || !time.Now().Before(call.Deadline) {
		c.putIdle(conn)
		return Result{Kind: NotRun, Reason: DeadlineExceeded, Err: ctx.Err()}
	}
	if !call.maySend() {
		c.putIdle(conn)
		return Result{Kind: NotRun, Reason: Withdrawn}
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
		c.putIdle(conn)
	} else {
		_ = conn.Close() // bytes that may still arrive belong to no call
	}
	return res
}

func (c *Client) roundTrip(conn *targetConn, call *Call) (Result, bool) {
	// A failure shows at the write or the read.
	_ = conn.SetDeadline(call.Deadline.Add(responseGrace))
	conn.recordCall(call.ID)
	onlyOwn := true
	if err := c.writeRequest(conn, call); err != nil {
		return unknownResult(ConnectionBroken, err), false
	}
	for range maxStaleResponses {
		resp, body, err := c.readResponse(conn, call)
		if err != nil {
			return unknownResult(readReason(err), err), false
		}
		if resp.StatusCode < 200 {
			continue
		}
		if c.belongsToOther(resp.Header, call) {
			onlyOwn = false
			continue
		}
		res := c.classify(resp, body, call, conn.reused)
		conn.idleTimeout = idleTimeoutOf(resp.Header)
		hasLength := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
		clean := conn.r.Buffered() == 0 && res.Reason != Malformed
		return res, hasLength && clean && onlyOwn && len(conn.carried) < maxCarriedCalls && !resp.Close && len(call.Body) < earlyResponseBytes
	}
	return unknownResult(Malformed, errors.New("too many responses to earlier calls")), false
}

// writeRequest writes the request. A long body is written in the background: a target
// that responds before it has read all of it may never read the rest. When the write
// fails, the response shows whether the target has one.
func (c *Client) writeRequest(conn *targetConn, call *Call) error {
	head := c.encodeHead(call)
	if len(call.Body) < earlyResponseBytes {
		return conn.WriteMessage(head, call.Body)
	}
	go func() { _ = conn.WriteMessage(head, call.Body) }() // ends with the response or the connection
	return nil
}

func (t *targetConn) recordCall(id string) {
	if t.carried == nil {
		t.carried = make(map[uint64]bool)
	}
	t.carried[xxhash.Sum64String(id)] = true
}

// readResponse reads one response with its body, which is in memory once.
func (c *Client) readResponse(conn *targetConn, call *Call) (*http.Response, []byte, error) {
	resp, err := response.Read(conn.r, call.Method)
	if err != nil {
		return nil, nil, err
	}
	if resp.StatusCode < 200 {
		return resp, nil, nil
	}
	body, err := bounded.ReadBody(resp.Body, resp.ContentLength, maxBodyBytes, c.Buffers)
	c.Buffers.Release(int64(cap(body))) // whoever passes it on accounts for it
	return resp, body, err
}

// belongsToOther reports whether a response names another call: it is a late
// response to an earlier one.
func (c *Client) belongsToOther(h http.Header, call *Call) bool {
	id := h.Get(c.names.RequestID)
	return id != "" && id != call.ID
}

// earlyResponseBytes is the size of a request body from which a target may
// respond before it has read all of it. The connection is not reused then.
const earlyResponseBytes = 16 << 10

func unknownResult(reason Reason, err error) Result {
	return Result{Kind: Unknown, Reason: reason, Sent: true, Err: err}
}

// readReason distinguishes timeouts, failed connections and malformed
// responses.
func readReason(err error) Reason {
	var timeout net.Error
	switch {
	case errors.Is(err, bounded.ErrHeadTooLong), errors.Is(err, bounded.ErrBodyTooLong):
		return Oversized
	case errors.Is(err, bounded.ErrNoMemory):
		return NoMemory
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

// classify returns the result of a complete response. On a connection that was
// used before, a response without the call's ID proves nothing: it can be a late
// second copy of the response to an earlier call. A target that is not the expected one
// has not run the call, which its status says without a mark. With a stamp but no mark the
// response can also be that of a target that has run it.
func (c *Client) classify(resp *http.Response, body []byte, call *Call, reusedConn bool) Result {
	res := Result{Kind: Answered, Status: resp.StatusCode, Header: resp.Header, Body: body, Sent: true, Signals: c.signalsOf(resp.Header)}
	ids := resp.Header.Values(c.names.RequestID)
	idMatches := len(ids) == 1 && ids[0] == call.ID
	isOwn := idMatches || len(ids) == 0 && !reusedConn
	marked, stamped := resp.Header.Get(c.names.NotRun) != "", resp.Header.Get(c.names.Stamp) != ""
	switch {
	case isOwn && resp.StatusCode == http.StatusMisdirectedRequest && (marked || !stamped):
		return Result{Kind: NotRun, Reason: Misdirected, Sent: true}
	case isOwn && resp.StatusCode == http.StatusMisdirectedRequest:
		return unknownResult(Misdirected, errors.New("a misdirected call has a stamp and no mark that it has not run"))
	case isOwn && marked:
		return Result{Kind: NotRun, Reason: Shed, Sent: true, Signals: c.signalsOf(resp.Header)}
	case !idMatches, !stamped, resp.Header.Get("Content-Encoding") != "":
		return unknownResult(Malformed, errors.New("response lacks the request ID or stamp, or its body is encoded"))
	}
	return res
}

func idleTimeoutOf(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return min(maxIdleTime, time.Duration(float64(seconds)*keepAliveShare*float64(time.Second)))
		}
	}
	return maxIdleTime
}

// encodeHead returns the HTTP/1.1 encoding of the call without its body, with a
// Content-Length.
func (c *Client) encodeHead(call *Call) []byte {
	var b bytes.Buffer
	b.Grow(header.HeadBytes)
	b.WriteString(call.Method + " " + call.URI + " HTTP/1.1\r\nHost: " + call.Host + "\r\n")
	write := func(name, value string) { b.WriteString(name + ": " + value + "\r\n") }
	nodeHeaders := map[string]bool{
		c.names.DeadlineMs: true, c.names.ExpectInstance: true, c.names.CallerService: true, c.names.RequestID: true,
		c.names.APIKey: true, c.names.Team: true, "Content-Length": true, "Host": true,
	}
	for name, values := range call.Header {
		if nodeHeaders[name] {
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
	if call.Team != "" {
		write(c.names.Team, string(call.Team))
	}
	if len(call.Body) > 0 || call.Method != http.MethodGet && call.Method != http.MethodHead {
		write("Content-Length", strconv.Itoa(len(call.Body)))
	}
	b.WriteString("\r\n")
	return b.Bytes()
}
