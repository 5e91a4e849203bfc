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
	silenced map[pair]int // open flows of an older generation are silent
	healed   chan struct{}
	closers  []io.Closer
}

type pair struct{ from, to Zone }

// New returns a relay; zoneOf gives the zone that a connection comes from.
func New(zoneOf func(netip.Addr) Zone) *Relay {
	return &Relay{zoneOf: zoneOf, cut: map[pair]bool{}, silenced: map[pair]int{}, healed: make(chan struct{})}
}

// Cut stops all traffic between two zones until Heal.
func (r *Relay) Cut(a, b Zone) { r.set(a, b, true) }

// Heal lets traffic between two zones pass again.
func (r *Relay) Heal(a, b Zone) { r.set(a, b, false) }

func (r *Relay) set(a, b Zone, cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut[pair{a, b}], r.cut[pair{b, a}] = cut, cut
	close(r.healed)
	r.healed = make(chan struct{})
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
	if !f.wait(ctx) {
		return
	}
	d := net.Dialer{Timeout: time.Second}
	up, err := d.DialContext(ctx, "tcp", target)
	if err != nil {
		return
	}
	defer up.Close()
	var wg sync.WaitGroup
	wg.Go(func() { f.copy(ctx, up.(*net.TCPConn), c) })
	wg.Go(func() { f.copy(ctx, c, up.(*net.TCPConn)) })
	wg.Wait()
}

// flow is one forwarded connection.
type flow struct {
	r          *Relay
	pair       pair
	generation int
}

// wait holds the flow while its zones are cut off.
func (f *flow) wait(ctx context.Context) bool {
	for {
		cut, _, changed := f.r.state(f.pair)
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
func (f *flow) copy(ctx context.Context, dst, src *net.TCPConn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		if n > 0 && !f.silent() {
			if !f.wait(ctx) {
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
