package hop

import (
	"encoding/binary"
	"fmt"
	"time"

	"nutmeghoist.example/nutmeghoist/internal/header"
)

// The keys of the bodies in the encodings of requests and responses.
const (
	requestBodyKey  byte = 5
	responseBodyKey byte = 8
)

const (
	cborMap        byte = 0xa0
	cborBytes      byte = 0x40
	cborTypeMask   byte = 0xe0
	maxInlineCount      = 23 // entries or bytes that the first byte of an item can count
)

// writeWithBodyLocked writes a message that is encoded as a map with a small number
// of entries, and adds its body as the last entry without copying it.
func (c *conn) writeWithBodyLocked(kind byte, message any, key byte, body []byte) error {
	payload, err := cborEncMode().Marshal(message)
	if err != nil {
		return fmt.Errorf("encode frame: %w", err)
	}
	if len(body) > 0 {
		if payload[0]&cborTypeMask != cborMap || payload[0]-cborMap >= maxInlineCount {
			return fmt.Errorf("%w: message is not a small map", errMalformedFrame)
		}
		payload[0]++
		payload = appendBytesHead(append(payload, key), len(body))
	}
	size := len(payload) + len(body)
	if size > MaxFrame {
		return fmt.Errorf("%w: %d bytes", errMalformedFrame, size)
	}
	frame := make([]byte, frameHeaderBytes, frameHeaderBytes+len(payload)+min(len(body), header.MinSeparateBody))
	binary.BigEndian.PutUint32(frame, uint32(size))
	frame[4] = kind
	return c.sendLocked(append(frame, payload...), body)
}

// sendLocked writes the head and the body of one frame; c.mu must be held. A truncated
// frame leaves the connection unusable, so every write error closes it.
func (c *conn) sendLocked(head, body []byte) error {
	for more := true; more; more = len(body) > 0 {
		piece := body[:min(len(body), maxPiece)]
		if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return err
		}
		if err := header.Write(c.Conn, head, piece); err != nil {
			_ = c.Close() // the write error is returned
			return err
		}
		head, body = nil, body[len(piece):]
	}
	// Its timer would wake an idle process. An error here says nothing about the frame,
	// which is written.
	_ = c.SetWriteDeadline(time.Time{})
	return nil
}

// appendBytesHead appends the head of a byte string of the given length.
func appendBytesHead(b []byte, n int) []byte {
	switch {
	case n <= maxInlineCount:
		return append(b, cborBytes|byte(n))
	case n <= 0xff:
		return append(b, cborBytes|24, byte(n))
	case n <= 0xffff:
		return binary.BigEndian.AppendUint16(append(b, cborBytes|25), uint16(n))
	}
	return binary.BigEndian.AppendUint32(append(b, cborBytes|26), uint32(n))
}

// sharedBytes is a byte string that shares the memory of the frame from which it was
// decoded. A frame is read into memory of its own, which nothing else writes to.
type sharedBytes []byte

// UnmarshalCBOR implements cbor.Unmarshaler.
func (b *sharedBytes) UnmarshalCBOR(data []byte) error {
	if len(data) == 0 || data[0]&cborTypeMask != cborBytes {
		return fmt.Errorf("%w: body is not a byte string", errMalformedFrame)
	}
	head := 1
	switch count := data[0] &^ cborTypeMask; {
	case count <= maxInlineCount:
	case count <= 27:
		head += 1 << (count - 24)
	default: // in pieces
		return fmt.Errorf("%w: body without a length", errMalformedFrame)
	}
	*b = data[head:]
	return nil
}
