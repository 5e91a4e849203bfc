package distribution

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"nutmeghoist.example/nutmeghoist/pkg/evacuation"
	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/source"
	"nutmeghoist.example/nutmeghoist/pkg/suspect"
)

// frameBudgetBytes is the size above which no further records are added to a
// message. It leaves room below MaxFrame for one record of the largest size.
const frameBudgetBytes = 32 << 10

// maxRecordDelay is the longest time that host records are delayed to share a
// frame with others. Each link delays by a random time of its own. Of two
// neighbours that obtain the same record at once, one therefore usually receives
// it from the other before sending it.
const maxRecordDelay = 25 * time.Millisecond

// minRecordInterval is the shortest time between two frames of a link that hold
// nothing but host records. While many hosts start or stop at once, records change
// without pause, and the cost of a change grows with the frames that carry it.
const minRecordInterval = 250 * time.Millisecond

// outbox holds the items to be sent over a link. It keeps only the newest
// version of each item, so that a slow link cannot make it grow without bound.
type outbox struct {
	heartbeat bool
	answer    bool // no answer to the heartbeat is expected
	head      bool
	ack       uint64
	hosts     map[mesh.HostID]membership.Host
	// former is a record of an earlier process of the peer. It is not in hosts, where a
	// newer record of the peer would replace it.
	former *membership.Host
	vetoes map[source.VetoKey]source.Veto
	repair *repair // sent with the last records
	// suspects are the requests whose records are sent, with what is known of them then.
	suspects map[suspect.Key]suspect.Record
	// evacuations are the data centres whose records are sent, as they are known then.
	evacuations map[mesh.DataCentre]evacuation.Record
}

func (l *link) enqueue(change func(*outbox)) {
	l.mu.Lock()
	change(&l.out)
	l.mu.Unlock()
	signal(l.wakeup)
}

// enqueueHosts queues host records, except those that the peer itself has sent.
func (l *link) enqueueHosts(hosts []membership.Host) {
	l.enqueue(func(o *outbox) {
		for _, h := range hosts {
			if s, ok := l.receivedRecords[h.ID]; ok && sameRecord(&s, &h) {
				continue
			}
			if o.hosts == nil {
				o.hosts = make(map[mesh.HostID]membership.Host)
			}
			o.hosts[h.ID] = h
		}
	})
}

func (l *link) enqueueVetoes(vetoes []source.Veto) {
	l.enqueue(func(o *outbox) {
		if o.vetoes == nil {
			o.vetoes = make(map[source.VetoKey]source.Veto)
		}
		for _, v := range vetoes {
			o.vetoes[v.Key()] = v
		}
	})
}

// hasOnlyRecords reports whether nothing but host records is queued.
func (l *link) hasOnlyRecords() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := &l.out
	return (len(o.hosts) > 0 || o.former != nil) && !o.heartbeat && !o.head && o.ack == 0 && len(o.vetoes) == 0 && len(o.suspects) == 0 &&
		len(o.evacuations) == 0 && o.repair == nil
}

func sameRecord(a, b *membership.Host) bool {
	return a.Incarnation == b.Incarnation && a.Sequence == b.Sequence && a.Status == b.Status
}

// nextFrame returns the next frame to send, or nil when nothing is queued.
func (l *link) nextFrame() ([]byte, error) {
	m := l.nextMessage()
	if m == nil {
		return nil, nil
	}
	if m.Heartbeat != nil {
		answer := m.Heartbeat.Answer
		*m.Heartbeat = l.g.newHeartbeat()
		m.Heartbeat.Answer = answer
	}
	return l.g.codec.encodeFrame(m)
}

func (l *link) nextMessage() *message {
	var head *source.Head
	if h, _, ok := l.g.Head(); ok {
		head = &h
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	o := &l.out
	for id, h := range o.hosts {
		if s, ok := l.receivedRecords[id]; ok && sameRecord(&s, &h) {
			delete(o.hosts, id)
		}
	}
	if !o.heartbeat && !o.head && o.ack == 0 && len(o.hosts) == 0 && o.former == nil && len(o.vetoes) == 0 && len(o.suspects) == 0 &&
		len(o.evacuations) == 0 && o.repair == nil {
		return nil
	}
	m := &message{Ack: o.ack}
	if o.heartbeat {
		m.Heartbeat = &heartbeat{Answer: o.answer} // nextFrame sets the rest after l.mu is released
	}
	if o.head && head != nil && head.Revision > l.ackedRevision {
		m.Head = head
	}
	o.heartbeat, o.answer, o.head, o.ack = false, false, false, 0
	if o.moveRecords(m) {
		m.Repair, o.repair = o.repair, nil
	}
	return m
}

// moveRecords moves records into the message until its budget is used and
// reports whether none is left.
func (o *outbox) moveRecords(m *message) bool {
	size := 0
	for dc, r := range o.evacuations {
		if size > frameBudgetBytes {
			return false
		}
		size += maxEvacuationBytes
		m.Evacuations = append(m.Evacuations, r)
		delete(o.evacuations, dc)
	}
	for k, r := range o.suspects {
		if size > frameBudgetBytes {
			return false
		}
		size += maxSuspectBytes
		m.Suspects = append(m.Suspects, r)
		delete(o.suspects, k)
	}
	for k, v := range o.vetoes {
		if size > frameBudgetBytes {
			return false
		}
		size += len(v.Route) + len(v.Evidence) + maxNameBytes
		m.Vetoes = append(m.Vetoes, v)
		delete(o.vetoes, k)
	}
	add := func(h *membership.Host) {
		raw, err := encMode().Marshal(h)
		if err != nil {
			return
		}
		size += len(raw)
		m.Hosts = append(m.Hosts, cbor.RawMessage(raw))
	}
	if o.former != nil && size <= frameBudgetBytes {
		add(o.former)
		o.former = nil
	}
	for id, h := range o.hosts {
		if size > frameBudgetBytes {
			return false
		}
		delete(o.hosts, id)
		add(&h)
	}
	return o.former == nil
}
