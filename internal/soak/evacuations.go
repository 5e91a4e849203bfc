package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"nutmeghoist.example/nutmeghoist/internal/bench/relay"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/pause"
	platformwire "nutmeghoist.example/nutmeghoist/platform"
)

const (
	// evacuationTime is the bound for evacuations in the settings of all nodes.
	evacuationTime = 4 * time.Second
	// evacuationStoreTime is added to it when the store is disturbed meanwhile: the time
	// until the nodes notice that it is back, and until a restored one has settled.
	evacuationStoreTime = 3 * time.Second
)

// storeFaults are the kinds of faults of the store itself.
var storeFaults = map[string]bool{"store-down": true, "store-lost": true, "store-restored": true}

// evacuationSpan is a time in which a data centre was evacuated.
type evacuationSpan struct {
	dataCentre mesh.DataCentre
	acked      time.Time
	ended      time.Time // zero while it is evacuated
}

// injectEvacuations evacuates data centres one after the other. Half of the time, one of
// them is cut off from the others when the evacuation is asked for. The last evacuation
// outlasts the faults and faultMargin after them, and the time in which the mesh must
// recover begins at its end. The schedule has a source of its own, see
// injectAnswerFaults.
func (c *cluster) injectEvacuations(ctx context.Context) {
	rng := rand.New(rand.NewPCG(c.options.Seed, 5))
	end := time.Now().Add(c.options.Duration)
	lastStart := end.Add(faultMargin - evacuationTime - evacuationStoreTime)
	for last := false; !last && ctx.Err() == nil; {
		wait := time.Duration(500+rng.IntN(2000)) * time.Millisecond
		hold := time.Duration(1500+rng.IntN(3000)) * time.Millisecond
		if last = time.Now().Add(wait + hold).After(lastStart); last {
			wait, hold = time.Until(lastStart), time.Until(end.Add(faultMargin+time.Second))-time.Until(lastStart)
		}
		pause.For(ctx, wait)
		c.evacuate(ctx, rng, hold)
	}
}

// evacuate evacuates a data centre for a time.
func (c *cluster) evacuate(ctx context.Context, rng *rand.Rand, hold time.Duration) {
	dcs := []mesh.DataCentre{"north", "south", "west"}
	dc, cutOff, cut := dcs[rng.IntN(len(dcs))], dcs[rng.IntN(len(dcs))], rng.IntN(2) == 0
	if cut {
		c.eachLinkOf(cutOff, c.relay.Cut)
	}
	key := platformwire.EvacuationKey(dc)
	c.config.putOrder(ctx, key, []byte("{}"))
	span := c.journal.beginEvacuation(dc)
	pause.For(ctx, hold/2)
	if cut {
		c.eachLinkOf(cutOff, c.relay.Heal)
	}
	pause.For(ctx, hold/2)
	c.journal.endEvacuation(span)
	c.config.removeOrder(ctx, key)
}

// eachLinkOf calls f for each pair of nodes of which one is in the data centre.
func (c *cluster) eachLinkOf(dc mesh.DataCentre, f func(a, b relay.Zone)) {
	for _, a := range c.nodes {
		for _, b := range c.nodes {
			if a.dataCentre == dc && b.dataCentre != dc {
				f(zone(a.index), zone(b.index))
			}
		}
	}
}

func (j *journal) beginEvacuation(dc mesh.DataCentre) *evacuationSpan {
	j.mu.Lock()
	defer j.mu.Unlock()
	s := &evacuationSpan{dataCentre: dc, acked: time.Now()}
	j.evacuations = append(j.evacuations, s)
	return s
}

func (j *journal) endEvacuation(s *evacuationSpan) {
	j.mu.Lock()
	defer j.mu.Unlock()
	s.ended = time.Now()
}

// checkEvacuation reports a call that reached a target of an evacuated data centre. Faults
// of a node excuse it only until it has been free of them for faultMargin.
func (j *journal) checkEvacuation(r *run) {
	for _, s := range j.evacuations {
		late, bound := r.at.Sub(s.acked), evacuationTime
		if j.storeWasDisturbed(s.acked.Add(-faultMargin), s.acked.Add(evacuationTime)) {
			bound += evacuationStoreTime
		}
		if s.dataCentre != r.target.node.dataCentre || late <= bound || !s.ended.IsZero() && r.at.After(s.ended) {
			continue
		}
		if !j.hadFault(r.target.node, r.at.Add(-faultMargin), r.at, storeFaults) {
			j.addViolationLocked("call %s reached target %s %s after %s was evacuated", r.id, r.target.id, late, s.dataCentre)
		}
	}
}

// storeWasDisturbed reports whether the store had a fault between two times.
func (j *journal) storeWasDisturbed(from, to time.Time) bool {
	return slices.ContainsFunc(j.faults, func(f *fault) bool {
		return storeFaults[f.kind] && f.begin.Before(to) && (f.end.IsZero() || f.end.After(from))
	})
}
