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

// maxReplayBytes bounds the part of a request body that is buffered for a retry.
const maxReplayBytes = 64 << 10

// deadlineSlack is how long after the deadline of a call its connection is still read
// and written, so that the caller gets the answer that reports the deadline.
const deadlineSlack = 250 * time.Millisecond

var (
	errBodyClosed   = errors.New("request body is closed")
	errBodyConsumed = errors.New("request body was consumed and cannot be sent again")
)

// requestBody provides an incoming request body to successive attempts. It
// buffers up to maxReplayBytes. Once more than that was read, the body cannot be
// sent again.
type requestBody struct {
	length  int64     // as declared; -1 when unknown
	src     io.Reader // nil when buffered is the whole body
	control *http.ResponseController

	closed     atomic.Bool
	aborted    atomic.Bool // the connection is about to be closed
	overflow   atomic.Bool
	reachedEOF atomic.Bool

	mu        sync.Mutex // locked while src is read
	buffered  []byte
	bytesRead int64 // bytes read from src
	prefix    bodyIdentity

	// prefixSum is the hash of the part of the body that identifies the request, once
	// that part was read. It is read without mu, which a read from src can hold for long.
	prefixSum atomic.Pointer[[]byte]
}

// newRequestBody returns the body of a request. A small body of known length is
// read completely before the call is admitted, so that a slow caller occupies no
// slot of a target.
func newRequestBody(w http.ResponseWriter, r *http.Request, deadline time.Time) (*requestBody, error) {
	n := r.ContentLength
	b := &requestBody{length: n}
	if n == 0 {
		return b, nil
	}
	b.control = http.NewResponseController(w)
	// The error is ignored because test recorders support no deadlines.
	_ = b.control.SetReadDeadline(deadline.Add(deadlineSlack))
	if n > 0 && n <= maxReplayBytes {
		b.buffered = make([]byte, n)
		if _, err := io.ReadFull(r.Body, b.buffered); err != nil {
			// The answer must not wait for the rest, nor the rest be taken for a call.
			w.Header()["Connection"] = []string{"close"}
			_ = b.control.SetReadDeadline(time.Unix(1, 0))
			return nil, err
		}
		// If the deadline stayed, it would fail net/http's background read, which
		// detects that the caller disconnects, and so cancel the call.
		_ = b.control.SetReadDeadline(time.Time{})
		return b, nil
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
		return io.NopCloser(bytes.NewReader(b.buffered))
	}
	return &bodyReader{body: b}
}

// replayable reports whether the body can be sent again from its start.
func (b *requestBody) replayable() bool { return !b.overflow.Load() }

// endConnection makes an answer the last one of its connection unless the whole request
// was read: the rest of the body would be taken for the next call. It must be called
// before the headers are written.
func (b *requestBody) endConnection(h http.Header) {
	if b.src != nil && !b.reachedEOF.Load() {
		h["Connection"] = []string{"close"}
	}
}

// close ends all reads before the handler returns. The rest of the body is discarded
// when the connection is closed.
func (b *requestBody) close() {
	if b.src == nil {
		return
	}
	b.closed.Store(true)
	if b.aborted.Load() || b.reachedEOF.Load() {
		return
	}
	_ = b.control.SetReadDeadline(time.Unix(1, 0)) // ends a read in progress, and those of net/http
	b.mu.Lock()
	defer b.mu.Unlock()
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
	if r.offset < b.bytesRead {
		if b.overflow.Load() {
			return 0, errBodyConsumed
		}
		n := copy(p, b.buffered[r.offset:])
		r.offset += int64(n)
		return n, nil
	}
	n, err := b.readSource(p)
	r.offset = b.bytesRead
	return n, err
}

// readSource reads from the caller; b.mu must be held.
func (b *requestBody) readSource(p []byte) (int, error) {
	n, err := b.src.Read(p)
	b.record(p[:n])
	if err == io.EOF {
		b.reachedEOF.Store(true)
	}
	if b.prefixSum.Load() == nil && (err == io.EOF || b.prefix.size >= maxReplayBytes) {
		sum := b.prefix.sum()
		b.prefixSum.Store(&sum)
	}
	return n, err
}

func (b *requestBody) record(p []byte) {
	b.prefix.add(p)
	b.bytesRead += int64(len(p))
	switch {
	case b.overflow.Load():
	case b.bytesRead <= maxReplayBytes:
		b.buffered = append(b.buffered, p...)
	default:
		b.overflow.Store(true)
		b.buffered = nil
	}
}

// Close does not wait for a read in progress.
func (r *bodyReader) Close() error {
	r.closed.Store(true)
	return nil
}
