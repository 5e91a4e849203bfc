// Package memnet is an in-memory distribution.Transport with fault injection,
// for tests and virtual-clock measurements. Its delays use the time package,
// so that testing/synctest can drive them.
package memnet

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"nutmeghoist.example/nutmeghoist/pkg/distribution"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// acceptsPerSecond limits the rate, and the burst, of links that a node accepts.
const acceptsPerSecond = 32

// Impairment is what happens to one transmission: a frame, a request, a response
// or a close. A dial has one transmission in each direction.
type Impairment struct {
	Lost  bool
	Delay time.Duration
}

// Network connects transports by address.
type Network struct {
	mu         sync.Mutex
	nodes      map[string]*Transport
	impairment func(from, to mesh.HostID) Impairment
	bytes      map[mesh.HostID]int64
	// tamper modifies responses in transit. It may be nil.
	tamper func(from mesh.HostID, response []byte) []byte
}

// New returns a network without faults or delays.
func New() *Network {
	return &Network{
		nodes:      make(map[string]*Transport),
		bytes:      make(map[mesh.HostID]int64),
		impairment: func(_, _ mesh.HostID) Impairment { return Impairment{} },
	}
}

// SetImpairment sets the function that chooses the impairment of each
// transmission. It must be safe for concurrent use.
func (n *Network) SetImpairment(impairment func(from, to mesh.HostID) Impairment) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.impairment = impairment
}

// SetTamper sets a function that modifies the responses of hosts in transit.
func (n *Network) SetTamper(tamper func(from mesh.HostID, response []byte) []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.tamper = tamper
}

func (n *Network) applyTamper(from mesh.HostID, response []byte) []byte {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.tamper == nil {
		return response
	}
	return n.tamper(from, bytes.Clone(response))
}

// Silence makes the open links between two hosts drop all data permanently.
// Links that are opened later work.
func (n *Network) Silence(a, b mesh.HostID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, t := range n.nodes {
		for l := range t.links {
			if l.local == a && l.peer == b || l.local == b && l.peer == a {
				l.silent.Store(true)
			}
		}
	}
}

// Sent returns the number of bytes a host has sent in frames, requests and
// responses.
func (n *Network) Sent(host mesh.HostID) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.bytes[host]
}

// impair counts the bytes sent and returns the impairment to apply.
func (n *Network) impair(from, to mesh.HostID, size int) Impairment {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.bytes[from] += int64(size)
	return n.impairment(from, to)
}

// Transport is the endpoint of one host in a Network.
type Transport struct {
	net           *Network
	host          mesh.HostID
	address       string
	acceptLimiter *rate.Limiter
	handler       distribution.Handler // set while serving; guarded by net.mu
	links         map[*link]bool       // guarded by net.mu
}

// Transport returns a transport for a host. It accepts links at the address
// while it serves.
func (n *Network) Transport(host mesh.HostID, address string) *Transport {
	return &Transport{
		net: n, host: host, address: address, links: make(map[*link]bool),
		acceptLimiter: rate.NewLimiter(acceptsPerSecond, acceptsPerSecond),
	}
}

// Serve implements distribution.Transport.
func (t *Transport) Serve(ctx context.Context, h distribution.Handler) error {
	t.net.mu.Lock()
	if t.net.nodes[t.address] != nil {
		t.net.mu.Unlock()
		return fmt.Errorf("address %s is in use", t.address)
	}
	t.handler, t.net.nodes[t.address] = h, t
	t.net.mu.Unlock()
	<-ctx.Done()
	t.net.mu.Lock()
	delete(t.net.nodes, t.address)
	t.handler = nil
	var links []*link
	for l := range t.links {
		links = append(links, l)
	}
	t.net.mu.Unlock()
	for _, l := range links {
		l.Close(distribution.CloseShutdown)
	}
	return nil
}

// Dial implements distribution.Transport.
func (t *Transport) Dial(ctx context.Context, to distribution.Endpoint) (distribution.Link, error) {
	t.net.mu.Lock()
	peer := t.net.nodes[to.Address]
	t.net.mu.Unlock()
	if peer == nil {
		<-ctx.Done()
		return nil, fmt.Errorf("dial %s: %w", to.Address, ctx.Err())
	}
	outbound, inbound := t.net.impair(t.host, peer.host, 0), t.net.impair(peer.host, t.host, 0)
	if outbound.Lost || inbound.Lost {
		<-ctx.Done()
		return nil, fmt.Errorf("dial %s: %w", to.Address, ctx.Err())
	}
	select {
	case <-time.After(outbound.Delay + inbound.Delay):
	case <-ctx.Done():
		return nil, fmt.Errorf("dial %s: %w", to.Address, ctx.Err())
	}
	if to.Host != "" && to.Host != peer.host {
		return nil, fmt.Errorf("dial %s: address belongs to host %s, not %s: %w", to.Address, peer.host, to.Host, distribution.ErrUnauthorized)
	}
	if !peer.acceptLimiter.Allow() {
		return nil, fmt.Errorf("dial %s: %w", to.Address, distribution.ErrBusy)
	}
	near, far, handler := t.connect(peer)
	if handler == nil {
		return nil, fmt.Errorf("dial %s: host has stopped", to.Address)
	}
	handler.HandleLink(far)
	return near, nil
}

func (t *Transport) connect(peer *Transport) (near, far *link, h distribution.Handler) {
	near = newLink(t, peer.host, true)
	far = newLink(peer, t.host, false)
	near.remote, far.remote = far, near
	t.net.mu.Lock()
	defer t.net.mu.Unlock()
	if peer.handler == nil {
		return nil, nil, nil
	}
	t.links[near], peer.links[far] = true, true
	return near, far, peer.handler
}
