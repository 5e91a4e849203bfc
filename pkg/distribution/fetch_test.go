package distribution

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
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

// Guards against a host that asks for a text just after its neighbour has received
// the next one, and is refused.
func TestPreviousTextIsServed(t *testing.T) {
	runEngine(t, nil, func(g *Gossip) {
		texts := []string{"rules", "further rules", "last rules"}
		for i, text := range texts {
			if err := g.AnnounceHead(revision(uint64(i+1), text), []byte(text)); err != nil {
				t.Fatal(err)
			}
			if g.compressedText(revision(0, text).Hash, "") == nil {
				t.Fatalf("revision %d is not served", i+1)
			}
		}
		got, err := g.codec.decompressText(g.compressedText(revision(0, texts[1]).Hash, ""), nil)
		if err != nil || string(got) != texts[1] {
			t.Errorf("previous text: %q, %v", got, err)
		}
		if got := g.compressedText(revision(0, texts[0]).Hash, ""); got != nil {
			t.Errorf("the text before is served: %q", got)
		}
		if got := g.compressedText(revision(0, texts[1]).Hash, "unknown"); got == nil {
			t.Error("previous text is not served in full to a host with another text")
		}
	})
}
