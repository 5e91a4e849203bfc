package distribution

import (
	"fmt"

	"github.com/klauspost/compress/zstd"
)

// codec compresses and decompresses. Each engine has its own, since the
// library's objects hold channels, which must not cross synctest bubbles.
type codec struct {
	enc *zstd.Encoder
	dec *zstd.Decoder
}

func newCodec() (*codec, error) {
	enc, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true),
		zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithWindowSize(128<<10))
	if err != nil {
		return nil, fmt.Errorf("zstd encoder: %w", err)
	}
	dec, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(MaxText))
	if err != nil {
		return nil, fmt.Errorf("zstd decoder: %w", err)
	}
	return &codec{enc: enc, dec: dec}, nil
}

// The first byte of a packed object.
const (
	packedWhole byte = 0
	packedDelta byte = 1 // compressed with the base of the request as dictionary
)

// deltaDictionary is the ID of the dictionary of a delta. There is only one.
const deltaDictionary = 1

// smallDelta is the window in bytes up to which the tables of the fastest level
// find the matches of a delta; those of the default level take 2 MB more.
const smallDelta = 64 << 10

// packText compresses a rules text.
func (c *codec) packText(text []byte) []byte { return c.enc.EncodeAll(text, []byte{packedWhole}) }

// packDelta compresses a rules text against an earlier one. Most changes edit
// a few lines, and 930 whole texts a day would exceed the control budget.
func packDelta(base, text []byte) ([]byte, error) {
	window := 1 << 10
	for window < len(base)+len(text) {
		window <<= 1
	}
	level := zstd.SpeedFastest
	if window > smallDelta {
		level = zstd.SpeedDefault
	}
	enc, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true),
		zstd.WithEncoderLevel(level), zstd.WithWindowSize(window), zstd.WithEncoderDictRaw(deltaDictionary, base))
	if err != nil {
		return nil, fmt.Errorf("zstd encoder: %w", err)
	}
	defer enc.Close()
	return enc.EncodeAll(text, []byte{packedDelta}), nil
}

// unpackText reverses packText and packDelta; the result is at most MaxText bytes.
func (c *codec) unpackText(packed, base []byte) ([]byte, error) {
	if len(packed) == 0 {
		return nil, fmt.Errorf("packed object is empty")
	}
	dec := c.dec
	if packed[0] == packedDelta {
		d, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
			zstd.WithDecoderMaxMemory(MaxText), zstd.WithDecoderMaxWindow(4*MaxText), zstd.WithDecoderDictRaw(deltaDictionary, base))
		if err != nil {
			return nil, fmt.Errorf("zstd decoder: %w", err)
		}
		defer d.Close()
		dec = d
	}
	text, err := dec.DecodeAll(packed[1:], nil)
	if err != nil {
		return nil, fmt.Errorf("decompress object: %w", err)
	}
	return text, nil
}
