package proxy

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// maxBuffered bounds the part of a request body that is kept for a retry.
const maxBuffered = 64 << 10

// lingerTime and maxLinger bound how long and how much the node still takes of a
// body that no target wants, so that the caller can read its answer before the
// connection closes.
const (
	lingerTime = 250 * time.Millisecond
	maxLinger  = 256 << 10
)

var (
	errBodyClosed   = errors.New("request body is closed")
	errBodyConsumed = errors.New("request body was consumed and cannot be sent again")
)

// requestBody gives an incoming request body to several attempts in turn. It
// keeps what was read, up to maxBuffered; a body of which more was read cannot
// be sent again.
type requestBody struct {
	length  int64     // as declared; -1 when unknown
	src     io.Reader // nil when kept is the whole body
	control *http.ResponseController

	closed   atomic.Bool
	aborted  atomic.Bool // the connection is about to be closed
	overflow atomic.Bool
	ended    atomic.Bool

	mu    sync.Mutex // held while src is read
	kept  []byte
	total int64 // bytes read from src
}

// newRequestBody takes the body of a request. A small body of known length is
// read at once, so that a slow caller holds no slot of a target.
func newRequestBody(w http.ResponseWriter, r *http.Request, deadline time.Time) (*requestBody, error) {
	n := r.ContentLength
	b := &requestBody{length: n}
	if n == 0 {
		return b, nil
	}
	b.control = http.NewResponseController(w)
	// Test recorders support no deadlines.
	_ = b.control.SetReadDeadline(deadline.Add(lingerTime))
	if n > 0 && n <= maxBuffered {
		b.kept = make([]byte, n)
		_, err := io.ReadFull(r.Body, b.kept)
		// Without the reset the deadline would end the watch for a caller that
		// leaves, and cancel the call.
		_ = b.control.SetReadDeadline(time.Time{})
		return b, err
	}
	_ = b.control.EnableFullDuplex()
	b.src = r.Body
	return b, nil
}

// open returns the body for the next attempt.
func (b *requestBody) open() io.ReadCloser {
	if b.length == 0 {
		return http.NoBody
	}
	if b.src == nil {
		return io.NopCloser(bytes.NewReader(b.kept))
	}
	return &bodyReader{body: b}
}

// replayable reports whether the body can be sent from its start.
func (b *requestBody) replayable() bool { return !b.overflow.Load() }

// close ends all reads before the handler returns. It takes the rest of the
// body itself: when net/http does so in full-duplex mode and reaches the end,
// it panics because of its own watch for the next request.
func (b *requestBody) close() {
	if b.src == nil {
		return
	}
	b.closed.Store(true)
	if b.aborted.Load() || b.ended.Load() {
		return
	}
	_ = b.control.Flush() // the answer is complete
	_ = b.control.SetReadDeadline(time.Now().Add(lingerTime))
	b.mu.Lock()
	defer b.mu.Unlock()
	_, _ = io.CopyN(io.Discard, b.src, maxLinger)
}

// bodyReader reads the body for one attempt.
type bodyReader struct {
	body   *requestBody
	offset int64
	closed atomic.Bool
}

func (r *bodyReader) Read(p []byte) (int, error) {
	b := r.body
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed.Load() || r.closed.Load() {
		return 0, errBodyClosed
	}
	if r.offset < b.total {
		if b.overflow.Load() {
			return 0, errBodyConsumed
		}
		n := copy(p, b.kept[r.offset:])
		r.offset += int64(n)
		return n, nil
	}
	n, err := b.src.Read(p)
	b.take(p[:n])
	r.offset = b.total
	if err == io.EOF {
		b.ended.Store(true)
	}
	return n, err
}

func (b *requestBody) take(p []byte) {
	b.total += int64(len(p))
	switch {
	case b.overflow.Load():
	case b.total <= maxBuffered:
		b.kept = append(b.kept, p...)
	default:
		b.overflow.Store(true)
		b.kept = nil
	}
}

// Close does not wait for a read that is under way.
func (r *bodyReader) Close() error {
	r.closed.Store(true)
	return nil
}
