package distribution

import (
	"context"
	"errors"
	"sync"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// simultaneousDialWindow is the age of a link below which a second link between
// the same hosts counts as opened by the other side at the same time. Both ends
// then keep the one that the host with the lower ID opened.
const simultaneousDialWindow = 2 * time.Second

// link is one open Link with the state of the gossip over it.
type link struct {
	g      *Gossip
	conn   Link
	peer   mesh.HostID
	opened time.Time
	done   chan struct{}
	wakeup chan struct{} // capacity 1

	mu               sync.Mutex
	out              outbox
	lastReceived     time.Time
	ackedRevision    uint64 // highest revision that the peer has acknowledged or advertised
	heldRevision     uint64 // highest revision of the peer's head according to its heartbeats
	digestMismatches int    // consecutive heartbeats with another digest than that of this host
	// receivedRecords are the records, without their targets, that the peer has
	// sent since the digests were last equal. They are not sent back to it.
	receivedRecords map[mesh.HostID]membership.Host
}

// HandleLink implements Handler.
func (g *Gossip) HandleLink(conn Link) { g.addLink(conn) }

// addLink starts gossip over a new connection. It replaces an older one to the
// same peer, since a peer that opens a new link has given up the old one.
func (g *Gossip) addLink(conn Link) {
	peer := conn.Peer()
	if peer == g.self {
		conn.Close(CloseDuplicate)
		g.fault(FaultDuplicateHost, peer, errors.New("a peer presented this host's own certificate"))
		return
	}
	now := time.Now()
	l := &link{
		g: g, conn: conn, peer: peer, opened: now, lastReceived: now,
		done: make(chan struct{}), wakeup: make(chan struct{}, 1),
	}
	g.mu.Lock()
	old := g.links[peer]
	keepOld := old != nil && now.Sub(old.opened) < simultaneousDialWindow && g.isPreferred(old.conn) && !g.isPreferred(conn)
	if keepOld || g.runCtx == nil || g.runCtx.Err() != nil {
		g.mu.Unlock()
		conn.Close(CloseDuplicate)
		return
	}
	g.links[peer] = l
	g.mu.Unlock()
	if old != nil {
		old.conn.Close(CloseDuplicate)
	}
	g.cfg.Counters.Count("distribution_links_opened", 1)
	l.queueInitialState()
	g.spawn(l.readLoop)
	g.spawn(l.writeLoop)
}

// isPreferred reports whether the host with the lower ID opened the connection.
func (g *Gossip) isPreferred(c Link) bool { return c.Dialed() == (g.self < c.Peer()) }

// queueInitialState queues what a peer needs first: this host's record, the
// peer's own record if the peer must refute it or may have lost what it says of
// leaving targets, the requests under which targets have ended, the evacuations, a
// heartbeat and the head.
func (l *link) queueInitialState() {
	g := l.g
	hosts := []membership.Host{g.cfg.Members.Self()}
	former, hasFormer := g.cfg.Members.FormerOf(l.peer)
	if h, ok := g.cfg.Members.GetRetained(l.peer); ok {
		if h.Status != membership.StatusAlive {
			hosts = append(hosts, h)
		}
		if h.OutlivesProcess() { // the peer may have been started again meanwhile
			former, hasFormer = h.WithFormer(&former), true
		}
	}
	l.enqueueHosts(hosts)
	l.enqueueSuspects(g.cfg.Suspects.Records())
	l.enqueueEvacuations(g.cfg.Evacuations.Records())
	l.enqueue(func(o *outbox) {
		o.heartbeat, o.head = true, true
		if hasFormer {
			o.former = &former
		}
	})
}

// readLoop handles the peer's frames until the link ends.
func (l *link) readLoop(context.Context) {
	var err error
	for {
		var frame []byte
		if frame, err = l.conn.Receive(); err != nil {
			break
		}
		l.mu.Lock()
		l.lastReceived = time.Now()
		l.mu.Unlock()
		if l.g.cfg.Guard("gossip_message", func() { l.handleFrame(frame) }) {
			err = errMessageFailed
			break
		}
	}
	close(l.done)
	l.g.removeLink(l, err)
}

var errMessageFailed = errors.New("a message of the peer caused an unexpected error")

func (l *link) handleFrame(frame []byte) {
	m, err := l.g.codec.decodeFrame(frame)
	if err != nil {
		l.g.fault(FaultBadMessage, l.peer, err)
		return
	}
	l.handleMessage(m)
}

// writeLoop sends heartbeats and queued items. It closes a link that makes no
// progress, which ends readLoop.
func (l *link) writeLoop(ctx context.Context) {
	heartbeatTimer, flushTimer := time.NewTimer(l.g.untilHeartbeats()), time.NewTimer(HeartbeatPeriod)
	defer heartbeatTimer.Stop()
	defer flushTimer.Stop()
	flushPending := false
	var lastFlush time.Time // when the last records were sent
	for {
		select {
		case <-l.done:
			return
		case <-heartbeatTimer.C:
			if l.isSilent() {
				l.g.fault(FaultSilentLink, l.peer, nil)
				l.conn.Close(CloseSilent)
				return
			}
			heartbeatTimer.Reset(l.scheduleHeartbeat())
		case <-l.wakeup:
			if l.hasOnlyRecords() {
				if !flushPending {
					flushPending = true
					flushTimer.Reset(max(0, minRecordInterval-time.Since(lastFlush)) + l.g.jitter(maxRecordDelay))
				}
				continue
			}
		case <-flushTimer.C:
		}
		flushPending, lastFlush = false, time.Now()
		for {
			frame, err := l.nextFrame()
			if err != nil {
				l.g.fault(FaultBadMessage, l.g.self, err)
			}
			if frame == nil {
				break
			}
			if !l.send(ctx, frame) {
				return
			}
		}
	}
}

func (l *link) send(ctx context.Context, frame []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	if err := l.conn.Send(ctx, frame); err != nil {
		l.conn.Close(CloseSilent)
		return false
	}
	return true
}

func (l *link) isSilent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.lastReceived) >= silenceTimeout
}

// scheduleHeartbeat queues a heartbeat if this host opened the link, and returns
// the time to the next heartbeat or the end of the silence timeout. Only the host
// that opened the link initiates heartbeats. The other one responds to each,
// which saves one packet in four compared with two independent heartbeats. All
// links of a host send theirs at the same time, which wakes the process once.
func (l *link) scheduleHeartbeat() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn.Dialed() {
		l.out.heartbeat = true
	}
	return min(l.g.untilHeartbeats(), max(silenceTimeout-time.Since(l.lastReceived), time.Millisecond))
}

// removeLink removes a link that has ended. Unless one side closed it as
// unneeded or duplicate, a new connection is attempted at once, and a failure of
// that attempt makes the peer a suspect.
func (g *Gossip) removeLink(l *link, err error) {
	l.conn.Close(CloseProtocol) // no effect when already closed
	g.mu.Lock()
	current := g.links[l.peer] == l
	if current {
		delete(g.links, l.peer)
	}
	g.mu.Unlock()
	if !current {
		return
	}
	var closed *ClosedError
	if errors.As(err, &closed) && (closed.Reason == CloseUnneeded || closed.Reason == CloseDuplicate) {
		signal(g.relinkPending)
		return
	}
	g.connect(l.peer, true)
}
