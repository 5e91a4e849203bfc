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

// maxVetoes bounds the set of vetoes. At 930 changes a day and one bad version
// in ten, the set is filled only after months. Each veto takes about half a
// kilobyte.
const maxVetoes = 10_000

// AddVeto adds a veto and distributes it to all hosts. Adding it again has no
// effect.
func (g *Gossip) AddVeto(v source.Veto) error {
	if err := validateVeto(&v); err != nil {
		return err
	}
	g.mergeVetoes([]source.Veto{v}, nil)
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

// mergeVetoes adds vetoes and forwards the new ones to all links except the one
// they came from. Of two vetoes with the same key the first received is kept,
// since their effect is the same.
func (g *Gossip) mergeVetoes(vetoes []source.Veto, from *link) {
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
		g.vetoDigests[bucket] += hash
		added = append(added, v)
	}
	g.undelivered = append(g.undelivered, added...)
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
			l.enqueueVetoes(added)
		}
	}
	signal(g.vetoPending)
}

func (g *Gossip) vetoesInBuckets(buckets map[int]bool) []source.Veto {
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
		case <-g.vetoPending:
		}
		g.mu.Lock()
		vetoes := g.undelivered
		g.undelivered = nil
		g.mu.Unlock()
		for _, v := range vetoes {
			g.cfg.OnVeto(v)
		}
	}
}
