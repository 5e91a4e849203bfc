package distribution

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"

	"pgregory.net/rapid"

	"nutmeghoist.example/nutmeghoist/pkg/source"
)

// Guards against texts that compression and decompression change, with or
// without a base, and against texts above the limit.
func TestCompressText(t *testing.T) {
	c := newTestCodec(t)
	rapid.Check(t, func(rt *rapid.T) {
		base := rapid.SliceOf(rapid.Byte()).Draw(rt, "base")
		text := rapid.SliceOf(rapid.Byte()).Draw(rt, "text")
		if rapid.Bool().Draw(rt, "edited") {
			text = append(bytes.Repeat(base, 3), text...)
		}
		delta, err := compressDelta(base, text)
		if err != nil && len(base) > 0 {
			rt.Fatal(err)
		}
		for _, compressed := range [][]byte{c.compressText(text), delta} {
			if compressed == nil {
				continue
			}
			if got, err := c.decompressText(compressed, base); err != nil || !bytes.Equal(got, text) {
				rt.Fatalf("got %q, %v", got, err)
			}
		}
	})
	if _, err := c.decompressText(c.compressText(make([]byte, MaxText+1)), nil); err == nil {
		t.Error("a text above the limit was decompressed")
	}
	if _, err := c.decompressText(nil, nil); err == nil {
		t.Error("an empty object was decompressed")
	}
}

// Guards against control traffic that grows with the size of the file instead
// of the size of the change: 930 changes a day of a file of the largest size
// must fit in a tenth of the 3 KB/s.
func TestDeltaSize(t *testing.T) {
	c := newTestCodec(t)
	rng := rand.New(rand.NewPCG(1, 1))
	var text []byte
	for i := 0; len(text) < MaxText-200; i++ {
		text = fmt.Appendf(text, "route GET /p-%d/%x to service%d v-%d # op: note %x\n", i, rng.Uint32(), i%140, i%9, rng.Uint64())
	}
	edited := bytes.Replace(text, []byte("to service70 v-3"), []byte("to service70 v-4 from v-3 by 2026-12-05T06:00:00Z"), 1)
	if bytes.Equal(edited, text) {
		t.Fatal("nothing was edited")
	}
	delta, err := compressDelta(text, edited)
	if err != nil {
		t.Fatal(err)
	}
	const changesPerDay, secondsPerDay, budget = 930, 86400, 3 << 10 / 10
	t.Logf("text=%d full=%d delta=%d", len(edited), len(c.compressText(edited)), len(delta))
	if perSecond := len(delta) * changesPerDay / secondsPerDay; perSecond > budget {
		t.Errorf("a change costs %d bytes, %d B/s", len(delta), perSecond)
	}
	if got, err := c.decompressText(delta, text); err != nil || !bytes.Equal(got, edited) {
		t.Errorf("the delta was not decompressed: %v", err)
	}
	if _, err := c.decompressText(delta, text[:100]); err == nil {
		t.Error("the delta was decompressed with another base")
	}
}

// Guards against simultaneous requests for a text that each compress it: eight
// encoders took 17 MB, which the node kept for minutes.
func TestTextIsCompressedOnce(t *testing.T) {
	text := bytes.Repeat([]byte("route GET /menus to orderdesk tray-1 # Oyuna:\n"), 100)
	for _, base := range []string{"", "before"} {
		g := &Gossip{codec: newTestCodec(t)}
		g.heads = headState{hasHead: true, head: source.Head{Hash: "now"}, text: text, prevHash: "before", prevText: text[:2000]}
		results := make([][]byte, 8)
		var wg sync.WaitGroup
		for i := range results {
			wg.Go(func() { results[i] = g.compressedText("now", base) })
		}
		wg.Wait()
		for _, r := range results {
			if len(r) == 0 || &r[0] != &results[0][0] {
				t.Fatalf("base %q: the text was compressed more than once", base)
			}
		}
	}
}
