package distribution

import (
	"context"
	"errors"
	"sync"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// simultaneousWindow is the age below which a second link between two hosts
// counts as opened at the same time by the other side. Both ends then keep the
// one that the host with the lower ID opened.
const simultaneousWindow = 2 * time.Second

// link is the gossip over one open connection.
type link struct {
	g      *Gossip
	conn   Link
	peer   mesh.HostID
	opened time.Time
	done   chan struct{}
	wakeup chan struct{} // capacity 1

	mu           sync.Mutex
	out          outbox
	lastReceived time.Time
	told         uint64 // highest revision the peer is known to have heard
	holds        uint64 // revision of the peer's head by its heartbeat
	differing    int    // heartbeats in a row with another digest
	seen         map[mesh.HostID]membership.Host
}

// HandleLink implements Handler.
func (g *Gossip) HandleLink(conn Link) { g.addLink(conn) }

// addLink takes a new connection into use. It replaces an older one to the
// same peer: a peer that opens a new link has given the old one up.
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
	keepOld := old != nil && now.Sub(old.opened) < simultaneousWindow && g.preferred(old.conn) && !g.preferred(conn)
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
	l.greet()
	g.spawn(l.read)
	g.spawn(l.write)
}

// preferred reports whether the connection was opened by the lower host ID.
func (g *Gossip) preferred(c Link) bool { return c.Dialed() == (g.self < c.Peer()) }

// greet queues what a peer needs first: this host's record, the record of the
// peer when it must be refuted, and the head.
func (l *link) greet() {
	g := l.g
	hosts := []membership.Host{g.cfg.Members.Self()}
	if h, ok := g.cfg.Members.GetRetained(l.peer); ok && h.Status != membership.StatusAlive {
		hosts = append(hosts, h)
	}
	l.queueHosts(hosts)
	l.queue(func(o *outbox) { o.heartbeat, o.head = true, true })
}

// read handles the peer's frames until the link ends.
func (l *link) read(context.Context) {
	var err error
	for {
		var frame []byte
		if frame, err = l.conn.Receive(); err != nil {
			break
		}
		l.mu.Lock()
		l.lastReceived = time.Now()
		l.mu.Unlock()
		m, decodeErr := l.g.codec.decodeFrame(frame)
		if decodeErr != nil {
			l.g.fault(FaultBadMessage, l.peer, decodeErr)
			continue
		}
		l.handle(m)
	}
	close(l.done)
	l.g.linkEnded(l, err)
}

// write sends what is queued, and heartbeats. It closes a link that makes no
// progress, which ends read.
func (l *link) write(ctx context.Context) {
	t, flush := time.NewTimer(HeartbeatPeriod), time.NewTimer(HeartbeatPeriod)
	defer t.Stop()
	defer flush.Stop()
	flushing := false
	for {
		select {
		case <-l.done:
			return
		case <-t.C:
			if l.silent() {
				l.g.fault(FaultSilentLink, l.peer, nil)
				l.conn.Close(CloseSilent)
				return
			}
			t.Reset(l.nextCheck())
		case <-l.wakeup:
			if l.onlyRecords() {
				if !flushing {
					flushing = true
					flush.Reset(l.g.jitter(recordDelay))
				}
				continue
			}
		case <-flush.C:
		}
		flushing = false
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

func (l *link) silent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.lastReceived) >= silenceLimit
}

// nextCheck queues a heartbeat when one is due and returns the time to the
// next heartbeat or the end of the silence limit. Only the host that opened
// the link sends heartbeats on its own; the other answers each, which saves
// one packet in four against two independent heartbeats.
func (l *link) nextCheck() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn.Dialed() {
		l.out.heartbeat = true
	}
	return min(HeartbeatPeriod, max(silenceLimit-time.Since(l.lastReceived), time.Millisecond))
}

// linkEnded removes a link. Unless one side closed it on purpose, a new
// connection is tried at once; its failure makes the peer a suspect.
func (g *Gossip) linkEnded(l *link, err error) {
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
		wake(g.reform)
		return
	}
	g.connect(l.peer, true)
}
