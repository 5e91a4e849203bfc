package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"nutmeghoist.example/nutmeghoist/internal/owner"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/platform"
)

// run is a request that a server began to work on.
type run struct {
	id, method, uri, caller, server, service string
	at                                       time.Time
}

// server is an application server beside a node.
type server struct {
	machine  *machine
	id       string
	service  string
	version  string
	born     time.Time
	work     atomic.Int64 // time that a request takes
	onRun    func(run)
	fails    func(run) bool // says whether the answer is a failure; may be nil
	draining atomic.Bool
	stopped  atomic.Bool

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	sequence uint64
}

// startServer starts a server of the machine's service in its first version.
func (m *machine) startServer(id string, work time.Duration, onRun func(run)) (*server, error) {
	s, err := m.newServer(id, "v1", work, onRun)
	if err == nil {
		s.open()
	}
	return s, err
}

// newServer returns a server that open starts.
func (m *machine) newServer(id, version string, work time.Duration, onRun func(run)) (*server, error) {
	s := &server{machine: m, id: id, service: m.service, version: version, born: time.Now(), onRun: onRun, conns: make(map[net.Conn]bool)}
	s.setWork(work)
	l, err := net.Listen("tcp", m.at(portServer).String())
	if err != nil {
		return nil, err
	}
	s.listener = l
	return s, nil
}

func (s *server) open() {
	go s.accept()
	go s.beat()
}

func (s *server) setWork(d time.Duration) { s.work.Store(int64(d)) }

// stop ends the server at once.
func (s *server) stop() {
	s.stopped.Store(true)
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

func (s *server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go s.serve(c)
	}
}

func (s *server) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		names := platform.Headers
		id := req.Header.Get(names.RequestID)
		if expected := req.Header.Get(names.ExpectInstance); expected != "" && expected != s.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", s.id)
			continue
		}
		begun := run{id: id, method: req.Method, uri: req.RequestURI, caller: req.Header.Get(names.CallerService), server: s.id, service: s.service, at: time.Now()}
		s.onRun(begun)
		status := http.StatusOK
		if s.fails != nil && s.fails(begun) {
			status = http.StatusInternalServerError
		}
		time.Sleep(time.Duration(s.work.Load()))
		body := fmt.Sprintf("%s by %s of %s\n", id, s.id, s.service)
		if _, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%s: %s\r\n%s: stamp.%s\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), names.RequestID, id, names.Stamp, s.id, len(body), body); err != nil {
			return
		}
	}
}

// beat sends status reports until the server stops.
func (s *server) beat() {
	for !s.stopped.Load() {
		s.report()
		time.Sleep(beatInterval)
	}
}

// report sends one status report and says whether it was acknowledged.
func (s *server) report() bool {
	s.mu.Lock()
	s.sequence++
	path, body := platform.EncodeHeartbeat(owner.Heartbeat{
		ID: mesh.TargetID(s.id), Address: s.machine.at(portServer).String(), Service: mesh.ServiceName(s.service), Version: mesh.TargetVersion(s.version),
		Slots: slots, Draining: s.draining.Load(), Sequence: s.sequence, Started: s.born.UnixMilli(),
	})
	s.mu.Unlock()
	resp, err := beatClient.Post("http://"+s.machine.at(portControl).String()+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode/100 == 2
}

var beatClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
