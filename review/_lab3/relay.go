package main

import (
	"net"
	"sync"
)

// relay passes connections on to an address. Its open connections can go silent for good,
// without a reset, while new ones work.
type relay struct {
	lab      *lab
	to       string
	onBytes  func(fromClient bool, b []byte)
	listener net.Listener

	mu    sync.Mutex
	conns map[*relayed]bool
}

// relayed is a connection through a relay.
type relayed struct {
	near, far net.Conn
	mu        sync.Mutex
	silent    bool
}

func (l *lab) startRelay(address, to string, onBytes func(fromClient bool, b []byte)) (*relay, error) {
	r := &relay{lab: l, to: to, onBytes: onBytes, conns: make(map[*relayed]bool)}
	var err error
	if r.listener, err = net.Listen("tcp", address); err != nil {
		return nil, err
	}
	go r.accept()
	return r, nil
}

func (r *relay) accept() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", r.to)
		if err != nil {
			_ = near.Close()
			continue
		}
		c := &relayed{near: near, far: far}
		r.mu.Lock()
		r.conns[c] = true
		r.mu.Unlock()
		go r.copy(c, near, far, true)
		go r.copy(c, far, near, false)
	}
}

// silence makes the open connections silent: what arrives on them is dropped, and an end
// of one side is not passed on. It returns their number.
func (r *relay) silence() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for c := range r.conns {
		c.mu.Lock()
		if !c.silent {
			n++
		}
		c.silent = true
		c.mu.Unlock()
	}
	return n
}

func (r *relay) copy(c *relayed, from, to net.Conn, fromClient bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		c.mu.Lock()
		silent := c.silent
		c.mu.Unlock()
		if n > 0 && !silent {
			if r.onBytes != nil {
				r.onBytes(fromClient, buf[:n])
			}
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err == nil {
			continue
		}
		_ = from.Close()
		if !silent {
			_ = to.Close()
			r.mu.Lock()
			delete(r.conns, c)
			r.mu.Unlock()
		}
		return
	}
}
