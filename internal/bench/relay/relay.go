// Package relay forwards TCP and UDP between the data centres of a test mesh,
// and can cut them off from each other or make open connections go silent.
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

// Relay forwards between zones. It is safe for concurrent use.
type Relay struct {
	zoneOf func(netip.Addr) Zone // the zone of a source address

	mu       sync.Mutex
	cut      map[pair]bool
	delay    map[pair]time.Duration
	silenced map[pair]int // open flows of an older generation are silent
	flows    map[*flow]bool
	healed   chan struct{}
	closers  []io.Closer
}

type pair struct{ from, to Zone }

// New returns a relay; zoneOf gives the zone that a connection comes from.
func New(zoneOf func(netip.Addr) Zone) *Relay {
	return &Relay{zoneOf: zoneOf, cut: map[pair]bool{}, delay: map[pair]time.Duration{}, silenced: map[pair]int{}, flows: map[*flow]bool{}, healed: make(chan struct{})}
}

// Cut stops all traffic between two zones until Heal.
func (r *Relay) Cut(a, b Zone) { r.set(a, b, true) }

// Heal lets traffic between two zones pass again.
func (r *Relay) Heal(a, b Zone) { r.set(a, b, false) }

func (r *Relay) set(a, b Zone, cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut[pair{a, b}], r.cut[pair{b, a}] = cut, cut
	r.wake()
}

// wake ends the waits for a change; r.mu is held.
func (r *Relay) wake() {
	close(r.healed)
	r.healed = make(chan struct{})
}

// CutOneWay stops the bytes from one zone to another, or lets them pass again.
func (r *Relay) CutOneWay(from, to Zone, cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut[pair{from, to}] = cut
	r.wake()
}

// Delay holds up the bytes from one zone to another.
func (r *Relay) Delay(from, to Zone, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay[pair{from, to}] = d
}

// Reset ends the connections that are open between two zones with a reset.
func (r *Relay) Reset(a, b Zone) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for f := range r.flows {
		if f.pair == (pair{a, b}) || f.pair == (pair{b, a}) {
			for _, c := range f.conns {
				_ = c.SetLinger(0)
				_ = c.Close()
			}
		}
	}
}

// Silence makes the connections that are open between two zones silent for
// good; new ones work.
func (r *Relay) Silence(a, b Zone) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silenced[pair{a, b}]++
	if a != b {
		r.silenced[pair{b, a}]++
	}
}

// Close closes all listeners.
func (r *Relay) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.closers {
		_ = c.Close()
	}
}

func (r *Relay) own(c io.Closer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closers = append(r.closers, c)
}

// state returns whether a pair is cut, its generation and a channel that is
// closed at the next change.
func (r *Relay) state(p pair) (cut bool, generation int, changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cut[p], r.silenced[p], r.healed
}

// ForwardTCP accepts connections at listen and forwards them to target in zone to.
func (r *Relay) ForwardTCP(ctx context.Context, listen, target string, to Zone) error {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	r.own(l)
	go func() {
		for {
			c, err := l.Accept()
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
	f := flow{r: r, pair: pair{from, to}}
	_, f.generation, _ = r.state(f.pair)
	if !f.wait(ctx, f.pair) || !f.wait(ctx, f.back()) {
		return
	}
	d := net.Dialer{Timeout: time.Second}
	up, err := d.DialContext(ctx, "tcp", target)
	if err != nil {
		return
	}
	defer up.Close()
	f.conns = []*net.TCPConn{c, up.(*net.TCPConn)}
	r.track(&f, true)
	defer r.track(&f, false)
	var wg sync.WaitGroup
	wg.Go(func() { f.copy(ctx, f.pair, up.(*net.TCPConn), c) })
	wg.Go(func() { f.copy(ctx, f.back(), c, up.(*net.TCPConn)) })
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
	pair       pair // of the end that opened it and the other
	generation int
	conns      []*net.TCPConn
}

// back is the direction of the answers.
func (f *flow) back() pair { return pair{f.pair.to, f.pair.from} }

// wait holds the bytes of a direction while it is cut off or delayed.
func (f *flow) wait(ctx context.Context, way pair) bool {
	f.r.mu.Lock()
	delay := f.r.delay[way]
	f.r.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	for {
		cut, _, changed := f.r.state(way)
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

func (f *flow) silent() bool {
	_, g, _ := f.r.state(f.pair)
	return g != f.generation
}

// copy forwards one direction. A silent flow swallows what it reads.
func (f *flow) copy(ctx context.Context, way pair, dst, src *net.TCPConn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		if n > 0 && !f.silent() {
			if !f.wait(ctx, way) {
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
			// A reset is passed on as a reset, so that it does not look like an end.
			_ = dst.SetLinger(0)
			_ = dst.Close()
			return
		}
	}
}

// ForwardUDP forwards datagrams that arrive at listen to target in zone to, and
// the answers back.
func (r *Relay) ForwardUDP(listen, target string, to Zone) error {
	addr, err := netip.ParseAddrPort(listen)
	if err != nil {
		return err
	}
	in, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return err
	}
	dst, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return err
	}
	r.own(in)
	go r.forwardDatagrams(in, dst, to)
	return nil
}

// datagramFlow is the way between one source and the target.
type datagramFlow struct {
	flow
	up *net.UDPConn
}

func (r *Relay) forwardDatagrams(in *net.UDPConn, dst *net.UDPAddr, to Zone) {
	flows := map[netip.AddrPort]*datagramFlow{}
	defer func() {
		for _, f := range flows {
			_ = f.up.Close()
		}
	}()
	buf := make([]byte, 2048)
	for {
		n, src, err := in.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		f := flows[src]
		if f == nil || f.silent() {
			// A socket cannot tell old connections from new ones; the source's
			// datagrams get a new flow, which the old connection does not know.
			if f != nil {
				_ = f.up.Close()
			}
			up, err := net.DialUDP("udp", nil, dst)
			if err != nil {
				continue
			}
			f = &datagramFlow{flow: flow{r: r, pair: pair{r.zoneOf(src.Addr()), to}}, up: up}
			_, f.generation, _ = r.state(f.pair)
			flows[src] = f
			go f.answers(in, src)
		}
		if cut, _, _ := r.state(f.pair); !cut {
			_, _ = f.up.Write(buf[:n])
		}
	}
}

func (f *datagramFlow) answers(in *net.UDPConn, src netip.AddrPort) {
	buf := make([]byte, 2048)
	for {
		n, err := f.up.Read(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if cut, _, _ := f.r.state(f.pair); err == nil && !cut {
			_, _ = in.WriteToUDPAddrPort(buf[:n], src)
		}
	}
}
