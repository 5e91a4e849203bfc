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

// Guards against objects that do not survive compression, with or without a
// base, and against texts above the limit.
func TestPackText(t *testing.T) {
	c := testCodec(t)
	rapid.Check(t, func(rt *rapid.T) {
		base := rapid.SliceOf(rapid.Byte()).Draw(rt, "base")
		text := rapid.SliceOf(rapid.Byte()).Draw(rt, "text")
		if rapid.Bool().Draw(rt, "edited") {
			text = append(bytes.Repeat(base, 3), text...)
		}
		delta, err := packDelta(base, text)
		if err != nil && len(base) > 0 {
			rt.Fatal(err)
		}
		for _, packed := range [][]byte{c.packText(text), delta} {
			if packed == nil {
				continue
			}
			if got, err := c.unpackText(packed, base); err != nil || !bytes.Equal(got, text) {
				rt.Fatalf("got %q, %v", got, err)
			}
		}
	})
	if _, err := c.unpackText(c.packText(make([]byte, MaxText+1)), nil); err == nil {
		t.Error("a text above the limit was unpacked")
	}
	if _, err := c.unpackText(nil, nil); err == nil {
		t.Error("an empty object was unpacked")
	}
}

// Guards against control bytes that grow with the size of the file instead of
// the size of the change: 930 changes a day of a file of the largest size must
// fit in a tenth of the 3 KB/s.
func TestDeltaSize(t *testing.T) {
	c := testCodec(t)
	rng := rand.New(rand.NewPCG(1, 1))
	var text []byte
	for i := 0; len(text) < MaxText-200; i++ {
		text = fmt.Appendf(text, "route GET /p-%d/%x to service%d v-%d # op: note %x\n", i, rng.Uint32(), i%140, i%9, rng.Uint64())
	}
	edited := bytes.Replace(text, []byte("to service70 v-3"), []byte("to service70 v-4 from v-3 by 2026-12-05T06:00:00Z"), 1)
	if bytes.Equal(edited, text) {
		t.Fatal("nothing was edited")
	}
	delta, err := packDelta(text, edited)
	if err != nil {
		t.Fatal(err)
	}
	const changesPerDay, secondsPerDay, budget = 930, 86400, 3 << 10 / 10
	t.Logf("text=%d whole=%d delta=%d", len(edited), len(c.packText(edited)), len(delta))
	if perSecond := len(delta) * changesPerDay / secondsPerDay; perSecond > budget {
		t.Errorf("a change costs %d bytes, %d B/s", len(delta), perSecond)
	}
	if got, err := c.unpackText(delta, text); err != nil || !bytes.Equal(got, edited) {
		t.Errorf("delta does not unpack: %v", err)
	}
	if _, err := c.unpackText(delta, text[:100]); err == nil {
		t.Error("delta unpacks with another base")
	}
}

// Guards against neighbours that ask for a text at once and each make the node
// compress it: eight encoders took 17 MB, which the node kept for minutes.
func TestTextIsPackedOnce(t *testing.T) {
	text := bytes.Repeat([]byte("route GET /menus to orderdesk tray-1 # Oyuna:\n"), 100)
	for _, base := range []string{"", "before"} {
		g := &Gossip{codec: testCodec(t)}
		g.objects = headState{has: true, head: source.Head{Hash: "now"}, text: text, prevHash: "before", prevText: text[:2000]}
		results := make([][]byte, 8)
		var wg sync.WaitGroup
		for i := range results {
			wg.Go(func() { results[i] = g.packed("now", base) })
		}
		wg.Wait()
		for _, r := range results {
			if len(r) == 0 || &r[0] != &results[0][0] {
				t.Fatalf("base %q: the text was compressed more than once", base)
			}
		}
	}
}
