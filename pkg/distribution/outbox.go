package distribution

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/source"
)

// frameBudget is the size at which a message takes no further records. It
// leaves room below MaxFrame for one record of the largest size.
const frameBudget = 32 << 10

// recordDelay is the longest time that host records wait for others to share
// a frame with. Since each link draws its own delay, one of two neighbours
// that learn the same record at once usually hears it before it sends it.
const recordDelay = 25 * time.Millisecond

// outbox holds what is to be sent over a link. It keeps only the newest of
// each item, so a slow link cannot make it grow.
type outbox struct {
	heartbeat bool
	answer    bool // the heartbeat answers one of the peer
	head      bool
	ack       uint64
	hosts     map[mesh.HostID]membership.Host
	vetoes    map[source.VetoKey]source.Veto
	repair    *repair // sent with the last of the records
}

func (l *link) queue(change func(*outbox)) {
	l.mu.Lock()
	change(&l.out)
	l.mu.Unlock()
	wake(l.wakeup)
}

// queueHosts queues records, except those that the peer has sent itself.
func (l *link) queueHosts(hosts []membership.Host) {
	l.queue(func(o *outbox) {
		for _, h := range hosts {
			if s, ok := l.seen[h.ID]; ok && sameRecord(&s, &h) {
				continue
			}
			if o.hosts == nil {
				o.hosts = make(map[mesh.HostID]membership.Host)
			}
			o.hosts[h.ID] = h
		}
	})
}

func (l *link) queueVetoes(vetoes []source.Veto) {
	l.queue(func(o *outbox) {
		if o.vetoes == nil {
			o.vetoes = make(map[source.VetoKey]source.Veto)
		}
		for _, v := range vetoes {
			o.vetoes[v.Key()] = v
		}
	})
}

// onlyRecords reports whether nothing but host records is queued.
func (l *link) onlyRecords() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := &l.out
	return len(o.hosts) > 0 && !o.heartbeat && !o.head && o.ack == 0 && len(o.vetoes) == 0 && o.repair == nil
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
	return l.g.codec.encodeFrame(m)
}

func (l *link) nextMessage() *message {
	var head *source.Head
	if h, _, ok := l.g.Head(); ok {
		head = &h
	}
	beat := l.g.heartbeat()
	l.mu.Lock()
	defer l.mu.Unlock()
	o := &l.out
	for id, h := range o.hosts {
		if s, ok := l.seen[id]; ok && sameRecord(&s, &h) {
			delete(o.hosts, id)
		}
	}
	if !o.heartbeat && !o.head && o.ack == 0 && len(o.hosts) == 0 && len(o.vetoes) == 0 && o.repair == nil {
		return nil
	}
	m := &message{Ack: o.ack}
	if o.heartbeat {
		beat.Answer = o.answer
		m.Heartbeat = &beat
	}
	if o.head && head != nil && head.Revision > l.told {
		m.Head = head
	}
	o.heartbeat, o.answer, o.head, o.ack = false, false, false, 0
	if o.takeRecords(m) {
		m.Repair, o.repair = o.repair, nil
	}
	return m
}

// takeRecords moves records into the message until its budget is used and
// reports whether none is left.
func (o *outbox) takeRecords(m *message) bool {
	size := 0
	for k, v := range o.vetoes {
		if size > frameBudget {
			return false
		}
		size += len(v.Route) + len(v.Evidence) + maxName
		m.Vetoes = append(m.Vetoes, v)
		delete(o.vetoes, k)
	}
	for id, h := range o.hosts {
		if size > frameBudget {
			return false
		}
		raw, err := encMode().Marshal(&h)
		delete(o.hosts, id)
		if err != nil {
			continue
		}
		size += len(raw)
		m.Hosts = append(m.Hosts, cbor.RawMessage(raw))
	}
	return true
}
