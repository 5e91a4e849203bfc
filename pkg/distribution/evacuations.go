package distribution

import (
	"slices"

	"nutmeghoist.example/nutmeghoist/pkg/evacuation"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// maxEvacuationBytes bounds the encoding of a record of pkg/evacuation.
const maxEvacuationBytes = maxNameBytes + 32

// SpreadEvacuations sends records to all hosts that this one has learned of otherwise
// than by gossip.
func (g *Gossip) SpreadEvacuations(records []evacuation.Record) {
	g.spreadEvacuations(records, nil, nil)
}

// mergeEvacuations adds the records of the peer and forwards those that are new.
func (l *link) mergeEvacuations(received []evacuation.Record) {
	l.g.spreadEvacuations(l.g.cfg.Evacuations.Merge(received, string(l.peer)), l, received)
}

// spreadEvacuations queues records for all links, except those records that came from
// the link. A link that opens later gets all records, and repairs send what was missed.
func (g *Gossip) spreadEvacuations(records []evacuation.Record, from *link, received []evacuation.Record) {
	if len(records) == 0 {
		return
	}
	g.mu.Lock()
	links := g.openLinks()
	g.mu.Unlock()
	for _, l := range links {
		for _, r := range records {
			if l != from || !slices.Contains(received, r) {
				l.enqueueEvacuations([]evacuation.Record{r})
			}
		}
	}
}

func (l *link) enqueueEvacuations(records []evacuation.Record) {
	if len(records) == 0 {
		return
	}
	l.enqueue(func(o *outbox) {
		if o.evacuations == nil {
			o.evacuations = make(map[mesh.DataCentre]evacuation.Record)
		}
		for _, r := range records {
			if queued, ok := o.evacuations[r.DataCentre]; !ok || r.Replaces(&queued) {
				o.evacuations[r.DataCentre] = r
			}
		}
	})
}
