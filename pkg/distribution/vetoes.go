package distribution

import (
	"context"
	"encoding/binary"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/source"
)

// maxVetoes bounds the set. At 930 changes a day and one bad version in ten it
// lasts for months; each veto takes about half a kilobyte.
const maxVetoes = 10_000

// AddVeto adds a veto to the set of all hosts. Adding it again has no effect.
func (g *Gossip) AddVeto(v source.Veto) error {
	if err := checkVeto(&v); err != nil {
		return err
	}
	g.joinVetoes([]source.Veto{v}, nil)
	return nil
}

// Vetoes returns the known vetoes ordered by service, version and attempt.
func (g *Gossip) Vetoes() []source.Veto {
	g.mu.Lock()
	vetoes := make([]source.Veto, 0, len(g.vetoes))
	for _, v := range g.vetoes {
		vetoes = append(vetoes, v)
	}
	g.mu.Unlock()
	slices.SortFunc(vetoes, func(a, b source.Veto) int {
		if c := strings.Compare(string(a.Service), string(b.Service)); c != 0 {
			return c
		}
		if c := strings.Compare(string(a.Version), string(b.Version)); c != 0 {
			return c
		}
		return a.Attempt - b.Attempt
	})
	return vetoes
}

// joinVetoes adds vetoes and passes the new ones on, except to the link they
// came from. Of two vetoes with the same key the first heard is kept; their
// effect is the same.
func (g *Gossip) joinVetoes(vetoes []source.Veto, from *link) {
	g.mu.Lock()
	var added []source.Veto
	full := false
	for _, v := range vetoes {
		if _, ok := g.vetoes[v.Key()]; ok {
			continue
		}
		if len(g.vetoes) >= maxVetoes {
			full = true
			continue
		}
		g.vetoes[v.Key()] = v
		bucket, hash := vetoHash(v.Key())
		g.vetoSums[bucket] += hash
		added = append(added, v)
	}
	g.unsent = append(g.unsent, added...)
	links := g.openLinks()
	g.mu.Unlock()
	if full {
		g.fault(FaultVetoLimit, "", fmt.Errorf("more than %d vetoes", maxVetoes))
	}
	if len(added) == 0 {
		return
	}
	for _, l := range links {
		if l != from {
			l.queueVetoes(added)
		}
	}
	wake(g.deliverVeto)
}

func (g *Gossip) vetoesIn(buckets map[int]bool) []source.Veto {
	g.mu.Lock()
	defer g.mu.Unlock()
	var vetoes []source.Veto
	for k, v := range g.vetoes {
		if bucket, _ := vetoHash(k); buckets[bucket] {
			vetoes = append(vetoes, v)
		}
	}
	return vetoes
}

func vetoHash(k source.VetoKey) (bucket int, hash uint64) {
	b := append([]byte("veto\x00"), k.Service...)
	b = append(append(b, 0), k.Version...)
	b = binary.LittleEndian.AppendUint64(append(b, 0), uint64(k.Attempt))
	hash = xxhash.Sum64(b)
	return int(hash % membership.BucketCount), hash
}

// deliverVetoes calls OnVeto for each new veto.
func (g *Gossip) deliverVetoes(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.deliverVeto:
		}
		g.mu.Lock()
		vetoes := g.unsent
		g.unsent = nil
		g.mu.Unlock()
		for _, v := range vetoes {
			g.cfg.OnVeto(v)
		}
	}
}
