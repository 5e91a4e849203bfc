// Package hop carries calls and gossip between nodes over plain TCP. Each
// connection begins with one byte that says which of the two it carries. A
// call connection carries many calls at once; each end learns soon when the
// other is silent.
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

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// Request is a call on its way to the node of its target's host.
type Request struct {
	Stream     uint64 // names the call on its connection
	Target     mesh.TargetID
	Service    mesh.ServiceName
	Version    mesh.TargetVersion
	Caller     mesh.ServiceName // service of the host where the call began
	ID         string           // the caller's name of the attempt
	Method     string
	URI        string
	Host       string
	Header     http.Header
	Body       []byte
	Priority   int // 0 is the highest
	Idempotent bool
	Route      string
	// DeadlineAt and AimAt are on the steady clock of the receiving node, in
	// microseconds since its start, so that a call that was held up on the way
	// arrives as late as it is. AimAt is when the answer stops being worth its
	// full benefit.
	DeadlineAt     int64
	SoftDeadlineAt int64
}

// Outcome says what is known of a call after an attempt.
type Outcome uint8

// The outcomes.
const (
	Answered Outcome = iota + 1 // the target's whole answer
	NotRun                      // no target ran the call, and none will
	Unknown                     // the target may have run the call
)

// Load is the work at a target as its owner sees it.
type Load struct {
	InFlight int   `cbor:"1,keyasint"`
	Queued   int   `cbor:"2,keyasint"`
	Limit    int   `cbor:"3,keyasint"` // calls that run at once
	MeanUs   int64 `cbor:"4,keyasint"` // mean time of a call at the target, in microseconds
}

// Response is how a call ended at the owner of its target.
type Response struct {
	Stream       uint64
	Outcome      Outcome
	Reason       string
	RetryAfterMs int64
	SentToTarget bool // bytes of the call reached the target
	Status       int
	Stamp        string // the target's proof that it made the answer
	Header       http.Header
	Body         []byte
	Load         *Load
	ServiceUs    int64 // time at the target, in microseconds
}

// The kinds of frames on a call connection.
const (
	frameHello    byte = iota + 1 // opens a connection
	frameHelloAck                 // carries the receiver's steady clock
	frameRequest
	frameResponse
	frameCancel // the caller no longer waits
	framePing
	framePong
	frameNote    // a message without an answer
	frameGossip  // one frame of pkg/distribution
	frameAsk     // a request of pkg/distribution
	frameAnswer  // the answer to frameAsk
	frameFailure // frameAsk failed
	frameClose   // the reason for closing a gossip link
)

// The first byte of a connection.
const (
	preambleCalls  byte = 'c'
	preambleGossip byte = 'g'
)

const (
	// MaxFrame bounds a frame in bytes: a body of 8 MB and its headers.
	MaxFrame = 9 << 20
	// writeTimeout bounds the write of one frame to a peer that does not read.
	writeTimeout = 2 * time.Second
	frameHeader  = 5 // bytes: length and kind
)

var errFrame = errors.New("frame is malformed")

// processStart is the origin of this process's steady clock.
var processStart = time.Now()

// MonotonicMicros returns the steady clock of this process in microseconds.
func MonotonicMicros() int64 { return time.Since(processStart).Microseconds() }

// TimeAt converts a reading of this process's steady clock.
func TimeAt(us int64) time.Time { return processStart.Add(time.Duration(us) * time.Microsecond) }

var encMode = sync.OnceValue(func() cbor.EncMode {
	m, err := cbor.EncOptions{Sort: cbor.SortNone}.EncMode()
	if err != nil {
		panic(err) // constant options
	}
	return m
})

// conn writes and reads frames. Writes are serialized; one goroutine reads.
type conn struct {
	net.Conn
	r      *bufio.Reader
	fields fieldReader

	mu  sync.Mutex // of what follows
	out fieldWriter
}

func newConn(c net.Conn) *conn { return &conn{Conn: c, r: bufio.NewReaderSize(c, 4<<10)} }

// writeFrame sends one frame. A frame that was cut short leaves the connection
// unusable, so every error closes it.
func (c *conn) writeFrame(kind byte, payload []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writeLocked(kind, payload)
}

// writeLocked is writeFrame with c.mu held.
func (c *conn) writeLocked(kind byte, payload []byte) error {
	buf := make([]byte, frameHeader, frameHeader+len(payload))
	binary.BigEndian.PutUint32(buf, uint32(len(payload)))
	buf[4] = kind
	buf = append(buf, payload...)
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if _, err := c.Write(buf); err != nil {
		_ = c.Close() // the write's error is the one to tell
		return err
	}
	return nil
}

func (c *conn) writeMessage(kind byte, message any) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writeMessageLocked(kind, message)
}

// writeMessageLocked is writeMessage with c.mu held.
func (c *conn) writeMessageLocked(kind byte, message any) error {
	payload, err := encMode().Marshal(message)
	if err != nil {
		return fmt.Errorf("encode frame: %w", err)
	}
	if len(payload) > MaxFrame {
		return fmt.Errorf("%w: %d bytes", errFrame, len(payload))
	}
	return c.writeLocked(kind, payload)
}

func (c *conn) readFrame() (byte, []byte, error) {
	var head [frameHeader]byte
	if _, err := io.ReadFull(c.r, head[:]); err != nil {
		return 0, nil, err
	}
	size := binary.BigEndian.Uint32(head[:4])
	if size > MaxFrame {
		return 0, nil, fmt.Errorf("%w: %d bytes", errFrame, size)
	}
	payload := make([]byte, size)
	if _, err := io.ReadFull(c.r, payload); err != nil {
		return 0, nil, err
	}
	return head[4], payload, nil
}

func encodeUint(v uint64) []byte { return binary.BigEndian.AppendUint64(nil, v) }

func decodeUint(b []byte) (uint64, error) {
	if len(b) != 8 {
		return 0, errFrame
	}
	return binary.BigEndian.Uint64(b), nil
}
