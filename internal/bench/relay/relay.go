// Package relay forwards TCP and UDP between the data centres of a test mesh. It
// can partition them, delay their traffic, and reset or silence open connections.
package relay

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Zone is a part of a test mesh: a data centre or the platform.
type Zone string

// Relay forwards traffic between zones. It is safe for concurrent use.
type Relay struct {
	zoneOf func(netip.Addr) Zone // the zone of a source address

	mu          sync.Mutex
	cut         map[direction]bool
	delay       map[direction]time.Duration
	generations map[direction]int // number of Silence calls; open flows of an older generation are silent
	flows       map[*flow]bool
	changed     chan struct{}
	listeners   []io.Closer
}

type direction struct{ from, to Zone }

// New returns a relay; zoneOf returns the zone of a source address.
func New(zoneOf func(netip.Addr) Zone) *Relay {
	return &Relay{zoneOf: zoneOf, cut: map[direction]bool{}, delay: map[direction]time.Duration{}, generations: map[direction]int{}, flows: map[*flow]bool{}, changed: make(chan struct{})}
}

// Cut stops all traffic between two zones until Heal.
func (r *Relay) Cut(a, b Zone) { r.setCut(a, b, true) }

// Heal resumes the traffic between two zones.
func (r *Relay) Heal(a, b Zone) { r.setCut(a, b, false) }

func (r *Relay) setCut(a, b Zone, cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut[direction{a, b}], r.cut[direction{b, a}] = cut, cut
	r.notifyChange()
}

// notifyChange wakes the flows that wait for a change. The caller holds r.mu.
func (r *Relay) notifyChange() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// CutOneWay stops or resumes the traffic from one zone to another. The replies of
// a UDP flow stop with its forward direction, not with their own.
func (r *Relay) CutOneWay(from, to Zone, cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut[direction{from, to}] = cut
	r.notifyChange()
}

// Delay delays the TCP traffic from one zone to another.
func (r *Relay) Delay(from, to Zone, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay[direction{from, to}] = d
}

// Reset closes the TCP connections that are open between two zones with a reset.
func (r *Relay) Reset(a, b Zone) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for f := range r.flows {
		if f.forward == (direction{a, b}) || f.forward == (direction{b, a}) {
			for _, c := range f.conns {
				_ = c.SetLinger(0)
				_ = c.Close()
			}
		}
	}
}

// Silence drops all further data of the connections that are open between two
// zones, without closing them. New connections work.
func (r *Relay) Silence(a, b Zone) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.generations[direction{a, b}]++
	if a != b {
		r.generations[direction{b, a}]++
	}
}

// Close closes all listeners.
func (r *Relay) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.listeners {
		_ = c.Close()
	}
}

func (r *Relay) addListener(c io.Closer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listeners = append(r.listeners, c)
}

// directionState reports whether a direction is cut. It also returns its
// generation and a channel that is closed at the next change.
func (r *Relay) directionState(dir direction) (cut bool, generation int, changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cut[dir], r.generations[dir], r.changed
}

// ForwardTCP accepts connections at listen and forwards them to target in zone to.
func (r *Relay) ForwardTCP(ctx context.Context, listen, target string, to Zone) error {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	r.addListener(listener)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go r.forwardConn(ctx, c.(*net.TCPConn), target, to)
		}
	}()
	return nil
}

func (r *Relay) forwardConn(ctx context.Context, c *net.TCPConn, target string, to Zone) {
	defer c.Close()
	from := r.zoneOf(c.RemoteAddr().(*net.TCPAddr).AddrPort().Addr())
	f := flow{r: r, forward: direction{from, to}}
	_, f.generation, _ = r.directionState(f.forward)
	if !f.waitUntilOpen(ctx, f.forward) || !f.waitUntilOpen(ctx, f.reverse()) {
		return
	}
	d := net.Dialer{Timeout: time.Second}
	upstream, err := d.DialContext(ctx, "tcp", target)
	if err != nil {
		return
	}
	defer upstream.Close()
	f.conns = []*net.TCPConn{c, upstream.(*net.TCPConn)}
	r.track(&f, true)
	defer r.track(&f, false)
	var wg sync.WaitGroup
	wg.Go(func() { f.copy(ctx, f.forward, upstream.(*net.TCPConn), c) })
	wg.Go(func() { f.copy(ctx, f.reverse(), c, upstream.(*net.TCPConn)) })
	wg.Wait()
}

func (r *Relay) track(f *flow, open bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if open {
		r.flows[f] = true
	} else {
		delete(r.flows, f)
	}
}

// flow is one forwarded connection.
type flow struct {
	r          *Relay
	forward    direction // from the end that opened the connection to the other
	generation int
	conns      []*net.TCPConn
}

// reverse returns the direction of the replies.
func (f *flow) reverse() direction { return direction{f.forward.to, f.forward.from} }

// waitUntilOpen blocks for the delay of a direction and while it is cut. It
// reports false when the context ends first.
func (f *flow) waitUntilOpen(ctx context.Context, dir direction) bool {
	f.r.mu.Lock()
	delay := f.r.delay[dir]
	f.r.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	for {
		cut, _, changed := f.r.directionState(dir)
		if !cut {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
	}
}

func (f *flow) isSilent() bool {
	_, g, _ := f.r.directionState(f.forward)
	return g != f.generation
}

// copy forwards one direction. A silent flow discards what it reads.
func (f *flow) copy(ctx context.Context, dir direction, dst, src *net.TCPConn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		if n > 0 && !f.isSilent() {
			if !f.waitUntilOpen(ctx, dir) {
				return
			}
			if _, werr := dst.Write(buf[:n]); werr != nil {
				_ = src.Close()
				return
			}
		}
		if errors.Is(err, io.EOF) {
			_ = dst.CloseWrite()
			return
		}
		if err != nil {
			// Forward a reset as a reset, so that it does not look like a regular close.
			_ = dst.SetLinger(0)
			_ = dst.Close()
			return
		}
	}
}

// ForwardUDP forwards datagrams that arrive at listen to target in zone to, and
// the replies to their source.
func (r *Relay) ForwardUDP(listen, target string, to Zone) error {
	addr, err := netip.ParseAddrPort(listen)
	if err != nil {
		return err
	}
	listener, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return err
	}
	dst, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return err
	}
	r.addListener(listener)
	go r.forwardDatagrams(listener, dst, to)
	return nil
}

// datagramFlow forwards datagrams between one source and the target.
type datagramFlow struct {
	flow
	upstream *net.UDPConn
}

func (r *Relay) forwardDatagrams(listener *net.UDPConn, dst *net.UDPAddr, to Zone) {
	flows := map[netip.AddrPort]*datagramFlow{}
	defer func() {
		for _, f := range flows {
			_ = f.upstream.Close()
		}
	}()
	buf := make([]byte, 2048)
	for {
		n, src, err := listener.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		f := flows[src]
		if f == nil || f.isSilent() {
			// A UDP socket does not distinguish old connections from new ones. The
			// source's datagrams get a new flow from another port, to which no old
			// connection belongs.
			if f != nil {
				_ = f.upstream.Close()
			}
			upstream, err := net.DialUDP("udp", nil, dst)
			if err != nil {
				continue
			}
			f = &datagramFlow{flow: flow{r: r, forward: direction{r.zoneOf(src.Addr()), to}}, upstream: upstream}
			_, f.generation, _ = r.directionState(f.forward)
			flows[src] = f
			go f.forwardReplies(listener, src)
		}
		if cut, _, _ := r.directionState(f.forward); !cut {
			_, _ = f.upstream.Write(buf[:n])
		}
	}
}

func (f *datagramFlow) forwardReplies(listener *net.UDPConn, src netip.AddrPort) {
	buf := make([]byte, 2048)
	for {
		n, err := f.upstream.Read(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if cut, _, _ := f.r.directionState(f.forward); err == nil && !cut {
			_, _ = listener.WriteToUDPAddrPort(buf[:n], src)
		}
	}
}
