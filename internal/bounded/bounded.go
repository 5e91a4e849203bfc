// Package bounded limits how many bytes a process reads and buffers, so that a
// peer that sends without end cannot use up its memory.
package bounded

import (
	"errors"
	"io"
	"sync/atomic"
)

var (
	// ErrHeadTooLong means that a head exceeds its bound.
	ErrHeadTooLong = errors.New("head exceeds its size limit")
	// ErrBodyTooLong means that a body exceeds its bound.
	ErrBodyTooLong = errors.New("body exceeds its size limit")
	// ErrNoMemory means that a body does not fit in the budget of the process.
	ErrNoMemory = errors.New("no memory left for the body")
)

// HeadReader limits the bytes that are read for the head of a message. It passes
// on all others without a limit.
type HeadReader struct {
	r         io.Reader
	remaining int64 // -1 outside a head
	// Err is the last error of the reader. A parser on top of it may hide it.
	Err error
	// Total is the number of bytes that were read.
	Total int64
}

// NewHeadReader returns a reader without a limit.
func NewHeadReader(r io.Reader) *HeadReader { return &HeadReader{r: r, remaining: -1} }

// BeginHead limits the bytes that are read until EndHead.
func (h *HeadReader) BeginHead(limit int64) { h.remaining, h.Err = limit, nil }

// EndHead ends the limit.
func (h *HeadReader) EndHead() { h.remaining = -1 }

func (h *HeadReader) Read(b []byte) (int, error) {
	if h.remaining == 0 {
		h.Err = ErrHeadTooLong
		return 0, ErrHeadTooLong
	}
	if h.remaining > 0 && int64(len(b)) > h.remaining {
		b = b[:h.remaining]
	}
	n, err := h.r.Read(b)
	h.Err = err
	h.Total += int64(n)
	if h.remaining > 0 {
		h.remaining -= int64(n)
	}
	return n, err
}

// Budget is the memory that a process may use for buffered bodies. A nil Budget
// has no limit. It is safe for concurrent use.
type Budget struct {
	limit, used atomic.Int64 // bytes
}

// NewBudget returns a budget of a number of bytes.
func NewBudget(limit int64) *Budget {
	b := &Budget{}
	b.limit.Store(limit)
	return b
}

// SetLimit changes the budget. Bytes in use stay in use.
func (b *Budget) SetLimit(limit int64) { b.limit.Store(limit) }

// Used returns the bytes in use.
func (b *Budget) Used() int64 {
	if b == nil {
		return 0
	}
	return b.used.Load()
}

// Acquire takes n bytes, unless fewer are left.
func (b *Budget) Acquire(n int64) bool {
	if b == nil {
		return true
	}
	if b.used.Add(n) > b.limit.Load() {
		b.used.Add(-n)
		return false
	}
	return true
}

// Hold takes n bytes even if fewer are left. It is for a body that is already in
// memory: further ones are then refused sooner.
func (b *Budget) Hold(n int64) {
	if b != nil {
		b.used.Add(n)
	}
}

// Release returns n bytes.
func (b *Budget) Release(n int64) {
	if b != nil {
		b.used.Add(-n)
	}
}

const (
	// firstChunkBytes bounds what is allocated before the first bytes of a body have
	// arrived, whatever length its head announces.
	firstChunkBytes = 16 << 10
	minChunkBytes   = 512
	// announcedGrowth is the factor by which the buffer of a body with an announced
	// length grows, up to that length. It bounds the memory that a sender holds by the
	// bytes that it has sent, and copies most bodies once at most.
	announcedGrowth = 8
)

// ReadBody reads a body to its end. size is the announced length, or -1. It
// returns ErrBodyTooLong for a body of more than limit bytes. The memory grows
// with the bytes that arrive and is taken from the budget, of which the caller
// releases the capacity of the result; after an error nothing is held.
func ReadBody(r io.Reader, size, limit int64, budget *Budget) ([]byte, error) {
	if size > limit {
		return nil, ErrBodyTooLong
	}
	chunk := int64(minChunkBytes)
	if size >= 0 {
		chunk = min(size+1, firstChunkBytes) // the read of the end of the body needs room too
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			if size < 0 && cap(body) >= chunkBytes {
				return readLong(r, body, limit, budget)
			}
			grown := min(max(chunk, 2*int64(cap(body))), limit+1)
			if size >= int64(cap(body)) && cap(body) > 0 {
				grown = min(announcedGrowth*int64(cap(body)), size+1)
			}
			if !budget.Acquire(grown - int64(cap(body))) {
				budget.Release(int64(cap(body)))
				return nil, ErrNoMemory
			}
			body = append(make([]byte, 0, grown), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > limit:
			err = ErrBodyTooLong
		case err == nil:
			continue
		case errors.Is(err, io.EOF):
			return body, nil
		}
		budget.Release(int64(cap(body)))
		return nil, err
	}
}

// chunkBytes is the size of the chunks in which long bodies without an announced length
// are read.
const chunkBytes = 64 << 10

// freeChunks are chunks that are used again: peers that send without end, one call after
// the other, leave no garbage.
var freeChunks = make(chan []byte, 128)

func takeChunk() []byte {
	select {
	case c := <-freeChunks:
		return c
	default:
		return make([]byte, chunkBytes)
	}
}

func returnChunk(c []byte) {
	select {
	case freeChunks <- c:
	default:
	}
}

// readLong reads the rest of a body whose first part has been read. It allocates memory
// for the whole body only once that has ended within the limit.
func readLong(r io.Reader, first []byte, limit int64, budget *Budget) ([]byte, error) {
	held := int64(cap(first))
	var chunks [][]byte
	defer func() {
		budget.Release(held)
		for _, c := range chunks {
			returnChunk(c)
		}
	}()
	total, last := int64(len(first)), 0 // last is the number of bytes in the last chunk
	for {
		if len(chunks) == 0 || last == chunkBytes {
			if !budget.Acquire(chunkBytes) {
				return nil, ErrNoMemory
			}
			held += chunkBytes
			chunks, last = append(chunks, takeChunk()), 0
		}
		n, err := r.Read(chunks[len(chunks)-1][last:])
		last, total = last+n, total+int64(n)
		switch {
		case total > limit:
			return nil, ErrBodyTooLong
		case err == nil:
			continue
		case !errors.Is(err, io.EOF):
			return nil, err
		}
		if !budget.Acquire(total) {
			return nil, ErrNoMemory
		}
		body := append(make([]byte, 0, total), first...)
		for i, c := range chunks {
			if i == len(chunks)-1 {
				c = c[:last]
			}
			body = append(body, c...)
		}
		return body, nil
	}
}
