package distribution

import (
	"fmt"

	"github.com/klauspost/compress/zstd"
)

// codec compresses and decompresses frames and texts. Each engine has its own,
// since the library's objects hold channels, which must not cross synctest
// bubbles.
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

// The first byte of a compressed text gives its format.
const (
	formatFull  byte = 0
	formatDelta byte = 1 // compressed with the base text of the request as dictionary
)

// deltaDictionary is the dictionary ID of all deltas, since each uses only one.
const deltaDictionary = 1

// smallDeltaWindow is the window in bytes up to which the tables of the fastest
// level find the matches of a delta. Those of the default level take 2 MB more.
const smallDeltaWindow = 64 << 10

// compressText compresses a rules text.
func (c *codec) compressText(text []byte) []byte { return c.enc.EncodeAll(text, []byte{formatFull}) }

// compressDelta compresses a rules text as a delta to an earlier one. Most
// changes edit a few lines, and 930 full texts a day would exceed the bandwidth
// budget of the control traffic.
func compressDelta(base, text []byte) ([]byte, error) {
	window := 1 << 10
	for window < len(base)+len(text) {
		window <<= 1
	}
	level := zstd.SpeedFastest
	if window > smallDeltaWindow {
		level = zstd.SpeedDefault
	}
	enc, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true),
		zstd.WithEncoderLevel(level), zstd.WithWindowSize(window), zstd.WithEncoderDictRaw(deltaDictionary, base))
	if err != nil {
		return nil, fmt.Errorf("zstd encoder: %w", err)
	}
	defer enc.Close()
	return enc.EncodeAll(text, []byte{formatDelta}), nil
}

// decompressText reverses compressText and compressDelta. The result has at
// most MaxText bytes.
func (c *codec) decompressText(compressed, base []byte) ([]byte, error) {
	if len(compressed) == 0 {
		return nil, fmt.Errorf("compressed object is empty")
	}
	dec := c.dec
	if compressed[0] == formatDelta {
		d, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
			zstd.WithDecoderMaxMemory(MaxText), zstd.WithDecoderMaxWindow(4*MaxText), zstd.WithDecoderDictRaw(deltaDictionary, base))
		if err != nil {
			return nil, fmt.Errorf("zstd decoder: %w", err)
		}
		defer d.Close()
		dec = d
	}
	text, err := dec.DecodeAll(compressed[1:], nil)
	if err != nil {
		return nil, fmt.Errorf("decompress object: %w", err)
	}
	return text, nil
}
