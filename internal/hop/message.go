// Package hop carries calls and gossip between nodes over plain TCP. The first
// byte of a connection selects which of the two it carries. A call connection
// multiplexes calls, and pings detect a peer that no longer responds.
package hop

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"nutmeghoist.example/nutmeghoist/internal/bounded"
	"nutmeghoist.example/nutmeghoist/pkg/distribution"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/suspect"
)

// Request is a call that is forwarded to the node on its target's host.
type Request struct {
	Stream     uint64 // identifies the call on its connection
	Target     mesh.TargetID
	Service    mesh.ServiceName
	Version    mesh.TargetVersion
	Caller     mesh.ServiceName // service of the host where the call began
	ID         string           // request ID, set by the caller for each attempt
	Method     string
	URI        string
	Host       string
	Header     http.Header
	Body       []byte
	Priority   int           // 0 is the highest
	Team       mesh.TeamName // of the caller; "" without one
	Nested     bool          // a call of a target, whose own call waits for it
	Idempotent bool
	// Repeat means that an attempt before this one may have reached a target, or that the
	// call is made by a run that is itself a repeat.
	Repeat bool
	// MayResend means that the call may be sent a second time when a connection to the
	// target that was used before breaks. The retry budget of the caller's node pays.
	MayResend bool
	Route     string
	// DeadlineAt and SoftDeadlineAt are readings of the receiving node's monotonic
	// clock, in microseconds since its start, so that time lost on the way counts.
	// A response after SoftDeadlineAt is late and no longer has its full benefit.
	DeadlineAt     int64
	SoftDeadlineAt int64
	// Signals is what the target has said of itself, as far as the caller's node knows.
	Signals *TargetSignals
}

// TargetSignals is what a target has said of itself in its answers.
type TargetSignals struct {
	Started int64 `cbor:"1,keyasint"` // start of the target that said so, in Unix milliseconds
	// RateLimit is the number of calls a second that the target takes from all nodes
	// together, 0 without a limit.
	RateLimit float64 `cbor:"2,keyasint,omitempty"`
	Leaving   bool    `cbor:"3,keyasint,omitempty"` // it takes no calls once the drain time is over
}

// Outcome is what is known about a call after an attempt.
type Outcome uint8

// The outcomes.
const (
	Answered Outcome = iota + 1 // the target's complete response
	NotRun                      // no target has run the call or will run it
	Unknown                     // the target may have run the call
)

// Load is the load of a target as measured by its owner.
type Load struct {
	InFlight int   `cbor:"1,keyasint"`
	Queued   int   `cbor:"2,keyasint"`
	Limit    int   `cbor:"3,keyasint"` // concurrent calls
	MeanUs   int64 `cbor:"4,keyasint"` // mean time of a call at the target, in microseconds
	// RateLimit is the number of calls a second that the target takes, 0 without a limit,
	// and RateWaitUs how long a new call would wait for it, in microseconds.
	RateLimit  float64 `cbor:"5,keyasint,omitempty"`
	RateWaitUs int64   `cbor:"6,keyasint,omitempty"`
}

// Response is the outcome of a call at the owner of its target.
type Response struct {
	Stream       uint64
	Outcome      Outcome
	Reason       string
	RetryAfterMs int64
	SentToTarget bool // bytes of the call reached the target
	Status       int
	Stamp        string // set by the target to prove that the response is its own
	Header       http.Header
	Body         []byte
	Load         *Load
	ServiceUs    int64          // time at the target, in microseconds
	Signals      *TargetSignals // in force at the owner; nil without any
	Resent       bool           // the call was sent to the target a second time
	// Ended identifies the end of the target's process while it ran the call; 0 if it
	// has not ended.
	Ended suspect.EndID
	// NestedFailed means that a call failed which the target made for this one.
	NestedFailed bool
}

// The kinds of frames on call connections and gossip links.
const (
	frameHello    byte = iota + 1 // opens a connection
	frameHelloAck                 // carries the receiver's monotonic clock
	frameRequest
	frameResponse
	frameCancel // the caller has cancelled the call
	framePing
	framePong
	frameNotification   // a one-way message
	frameGossip         // one frame of pkg/distribution
	frameGossipRequest  // a request of pkg/distribution
	frameGossipResponse // the response to frameGossipRequest
	frameGossipError    // frameGossipRequest failed
	frameGossipClose    // the reason for closing a gossip link
	frameGoAway         // the server handles no request after the stream it names
)

// The first byte of a connection.
const (
	preambleCalls  byte = 'c'
	preambleGossip byte = 'g'
)

const (
	// MaxFrame bounds a frame in bytes: a body of 8 MB and its headers.
	MaxFrame = 9 << 20
	// maxGossipFrame bounds a frame of a gossip link.
	maxGossipFrame = distribution.MaxResponse + 1<<10
	// writeTimeout bounds the write of each maxPiece bytes of a frame to a peer that does
	// not read. A slow link can take longer for a whole frame.
	writeTimeout     = 2 * time.Second
	maxPiece         = 64 << 10 // bytes
	frameHeaderBytes = 5        // bytes: length and kind
)

var errMalformedFrame = errors.New("malformed frame")

// processStart is the origin of this process's monotonic clock.
var processStart = time.Now()

// MonotonicMicros returns the microseconds since the start of this process, by
// the monotonic clock.
func MonotonicMicros() int64 { return time.Since(processStart).Microseconds() }

// TimeAt converts a reading of MonotonicMicros to a time.
func TimeAt(us int64) time.Time { return processStart.Add(time.Duration(us) * time.Microsecond) }

var cborEncMode = sync.OnceValue(func() cbor.EncMode {
	m, err := cbor.EncOptions{Sort: cbor.SortNone}.EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return m
})

// conn writes and reads frames. Writes are serialized; one goroutine reads.
type conn struct {
	net.Conn
	r        *bufio.Reader
	maxFrame int // bytes of a received frame
	decoder  fieldReader

	mu      sync.Mutex // guards encoder and writes
	encoder fieldWriter
}

func newConn(c net.Conn) *conn {
	return &conn{Conn: c, r: bufio.NewReaderSize(c, 4<<10), maxFrame: MaxFrame}
}

// writeFrame sends one frame.
func (c *conn) writeFrame(kind byte, payload []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writeLocked(kind, payload)
}

// writeLocked is writeFrame with c.mu held.
func (c *conn) writeLocked(kind byte, payload []byte) error {
	buf := make([]byte, frameHeaderBytes, frameHeaderBytes+len(payload))
	binary.BigEndian.PutUint32(buf, uint32(len(payload)))
	buf[4] = kind
	return c.sendLocked(append(buf, payload...), nil)
}

func (c *conn) writeMessage(kind byte, message any) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writeMessageLocked(kind, message)
}

// writeMessageLocked is writeMessage with c.mu held.
func (c *conn) writeMessageLocked(kind byte, message any) error {
	payload, err := cborEncMode().Marshal(message)
	if err != nil {
		return fmt.Errorf("encode frame: %w", err)
	}
	if len(payload) > MaxFrame {
		return fmt.Errorf("%w: %d bytes", errMalformedFrame, len(payload))
	}
	return c.writeLocked(kind, payload)
}

func (c *conn) readFrame() (byte, []byte, error) {
	var head [frameHeaderBytes]byte
	if _, err := io.ReadFull(c.r, head[:]); err != nil {
		return 0, nil, err
	}
	size := binary.BigEndian.Uint32(head[:4])
	if int64(size) > int64(c.maxFrame) {
		return 0, nil, fmt.Errorf("%w: %d bytes", errMalformedFrame, size)
	}
	payload, err := bounded.ReadBody(io.LimitReader(c.r, int64(size)), int64(size), int64(c.maxFrame), nil)
	if err == nil && len(payload) < int(size) {
		err = io.ErrUnexpectedEOF
	}
	return head[4], payload, err
}

func encodeUint(v uint64) []byte { return binary.BigEndian.AppendUint64(nil, v) }

func decodeUint(b []byte) (uint64, error) {
	if len(b) != 8 {
		return 0, errMalformedFrame
	}
	return binary.BigEndian.Uint64(b), nil
}
