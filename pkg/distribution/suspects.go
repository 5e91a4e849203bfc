package distribution

import "nutmeghoist.example/nutmeghoist/pkg/suspect"

// maxSuspectBytes bounds the encoding of a record of pkg/suspect.
const maxSuspectBytes = 128

// SpreadSuspects sends records to all hosts that this one has learned of otherwise than
// by gossip.
func (g *Gossip) SpreadSuspects(records []suspect.Record) { g.spreadSuspects(records, nil) }

// spreadSuspects queues records for all links except the one that they came from. A
// link that opens later gets all records, so that a host that has just started, or was
// cut off, needs nothing else.
func (g *Gossip) spreadSuspects(records []suspect.Record, from *link) {
	if len(records) == 0 {
		return
	}
	g.mu.Lock()
	links := g.openLinks()
	g.mu.Unlock()
	for _, l := range links {
		if l != from {
			l.enqueueSuspects(records)
		}
	}
}

func (l *link) enqueueSuspects(records []suspect.Record) {
	if len(records) == 0 {
		return
	}
	l.enqueue(func(o *outbox) {
		if o.suspects == nil {
			o.suspects = make(map[suspect.Key]suspect.Record)
		}
		for _, r := range records {
			o.suspects[r.Key] = r
		}
	})
}
