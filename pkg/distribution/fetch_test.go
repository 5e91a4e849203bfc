package distribution

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/source"
)

// textLink is a link to a peer that serves texts.
type textLink struct {
	*stubLink
	request func(ctx context.Context, hash string) ([]byte, error)
}

func (l *textLink) Request(ctx context.Context, b []byte) ([]byte, error) {
	var r request
	if err := decMode().Unmarshal(b, &r); err != nil {
		return nil, err
	}
	return l.request(ctx, r.Object)
}

func noAnswer(ctx context.Context, _ string) ([]byte, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func revision(n uint64, text string) source.Head {
	sum := sha256.Sum256([]byte(text))
	return source.Head{Revision: n, Hash: hex.EncodeToString(sum[:])}
}

// runEngine runs an engine with links to the given peers in a bubble with virtual
// time until test returns.
func runEngine(t *testing.T, peers map[mesh.HostID]func(context.Context, string) ([]byte, error), test func(g *Gossip)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		g, err := New(Config{
			Members:   membership.NewTable(membership.Host{ID: "self"}, membership.Options{}),
			Transport: newStubLink("", false), ActiveVersion: func() (v mesh.ConfigVersion) { return },
			OnHead: func(source.Head, []byte) {},
		})
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- g.Run(ctx) }()
		synctest.Wait()
		for id, request := range peers {
			g.HandleLink(&textLink{newStubLink(id, false), request})
		}
		test(g)
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

func (g *Gossip) advertise(peer mesh.HostID, head source.Head) {
	g.handleAdvertisedHead(head, g.linkTo(peer))
}

func (g *Gossip) linkTo(peer mesh.HostID) *link {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.links[peer]
}

// untilHead waits until the engine has the revision and returns how long it took.
func (g *Gossip) untilHead(t *testing.T, revision uint64, limit time.Duration) {
	t.Helper()
	began := time.Now()
	for time.Since(began) < limit {
		if head, _, _ := g.Head(); head.Revision >= revision {
			return
		}
		time.Sleep(time.Millisecond)
	}
	head, _, _ := g.Head()
	t.Errorf("revision %d after %s, want %d", head.Revision, limit, revision)
}

// Guards against a host that waits for a neighbour in a data centre that was just
// cut off, and does not ask those that offer the same text meanwhile.
func TestFetchAsksNeighboursThatOfferTheTextLater(t *testing.T) {
	const text = "rules"
	compressor, err := newCodec()
	if err != nil {
		t.Fatal(err)
	}
	runEngine(t, map[mesh.HostID]func(context.Context, string) ([]byte, error){
		"cut":  noAnswer,
		"near": func(context.Context, string) ([]byte, error) { return compressor.compressText([]byte(text)), nil },
	}, func(g *Gossip) {
		g.advertise("cut", revision(1, text))
		time.Sleep(hedgeDelay + 100*time.Millisecond)
		g.advertise("near", revision(1, text))
		g.untilHead(t, 1, 2*hedgeDelay)
	})
}

// Guards against a host that stays behind while one revision follows the other:
// the text that it requests is no longer held by its neighbours.
func TestFetchGoesOnWithTheNewestHead(t *testing.T) {
	const first, second = "rules", "further rules"
	compressor, err := newCodec()
	if err != nil {
		t.Fatal(err)
	}
	var g *Gossip
	runEngine(t, map[mesh.HostID]func(context.Context, string) ([]byte, error){
		"cut": noAnswer,
		"near": func(_ context.Context, hash string) ([]byte, error) {
			if hash == revision(1, first).Hash {
				g.advertise("near", revision(2, second))
				return nil, errObjectNotFound
			}
			return compressor.compressText([]byte(second)), nil
		},
	}, func(engine *Gossip) {
		g = engine
		g.advertise("near", revision(1, first))
		g.advertise("cut", revision(1, first))
		g.untilHead(t, 2, 2*hedgeDelay)
	})
}

// Guards against a host that asks for a text after its neighbour has received newer
// ones, and is refused, and against texts that are kept without bound.
func TestReplacedTextsAreServed(t *testing.T) {
	runEngine(t, nil, func(g *Gossip) {
		text := func(r int) string { return fmt.Sprintf("rules of revision %d", r) }
		const newest = maxReplaced + 2
		for r := 1; r <= newest; r++ {
			if err := g.AnnounceHead(revision(uint64(r), text(r)), []byte(text(r))); err != nil {
				t.Fatal(err)
			}
		}
		for r := 1; r <= newest; r++ {
			for _, base := range []string{"", "unknown"} {
				compressed := g.compressedText(revision(0, text(r)).Hash, base)
				if r == 1 {
					if compressed != nil {
						t.Error("the oldest text is still kept")
					}
					continue
				}
				if got, err := g.codec.decompressText(compressed, nil); err != nil || string(got) != text(r) {
					t.Errorf("revision %d with base %q: %q, %v", r, base, got, err)
				}
			}
		}
	})
}

// Guards against replaced texts that take all the memory.
func TestReplacedTextsAreBoundedInSize(t *testing.T) {
	var s headState
	for range maxReplaced {
		s.keepReplaced(&replacedText{text: make([]byte, maxReplacedBytes/4)})
	}
	if n := len(s.replaced); n != 4 {
		t.Errorf("%d texts of a quarter of the bound are kept", n)
	}
	s.keepReplaced(&replacedText{text: make([]byte, maxReplacedBytes+1)})
	if n := len(s.replaced); n != 1 {
		t.Errorf("%d texts are kept beside one above the bound", n-1)
	}
}
