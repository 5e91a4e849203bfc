package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// idleTime is how long a server keeps an idle connection.
const idleTime = 10 * time.Second

// server is a stand-in of an application server, as PROTOCOL.md describes one.
type server struct {
	lab      *lab
	index    int // of its machine
	id       string
	service  string
	version  string
	born     int64
	work     time.Duration
	listener net.Listener

	// grey is how many of 100 requests fail after they have run.
	grey     atomic.Int64
	sequence atomic.Int64
	stopped  atomic.Bool
	running  atomic.Int64

	mu    sync.Mutex
	conns map[net.Conn]bool
	ran   []run
}

// run is a request that the server began to run.
type run struct {
	id, method, path, caller string
	order                    string // the first 64 bytes of the body
	at                       time.Time
}

func (l *lab) startServer(index int, id, service, version string, work time.Duration) (*server, error) {
	s := &server{lab: l, index: index, id: id, service: service, version: version, born: time.Now().UnixMilli(), work: work, conns: make(map[net.Conn]bool)}
	var err error
	if s.listener, err = net.Listen("tcp", l.addr(index, portApp)); err != nil {
		return nil, err
	}
	go s.accept()
	go s.beat()
	return s, nil
}

// report sends a status report and reports whether it was acknowledged.
func (s *server) report(state string) bool {
	body, err := json.Marshal(map[string]any{
		"Address": s.lab.addr(s.index, portApp), "born": s.born,
		"Info":   map[string]any{"Service": s.service, "Version": s.version, "Zone": "z", "Slots": serverSlots},
		"Status": map[string]any{"State": state, "Sequence": s.sequence.Add(1), "ColdLeft": "0ms"},
	})
	if err != nil {
		return false
	}
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+s.lab.addr(s.index, portControl)+"/v1/instances/"+s.id+"/heartbeat", "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode/100 == 2
}

func (s *server) beat() {
	for !s.stopped.Load() {
		s.report("ready")
		time.Sleep(beatInterval)
	}
}

func (s *server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		over := len(s.conns) >= maxServerConn
		if !over {
			s.conns[c] = true
		}
		s.mu.Unlock()
		if over {
			s.lab.log("server resets a connection", "server", s.id)
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
			continue
		}
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
		_ = c.SetReadDeadline(time.Now().Add(idleTime))
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Time{})
		body, err := io.ReadAll(io.LimitReader(req.Body, 64))
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if !s.handle(c, req, string(body)) {
			return
		}
	}
}

func (s *server) handle(c net.Conn, req *http.Request, order string) bool {
	id := req.Header.Get("Request-Id")
	if want := req.Header.Get("Expect-Instance"); want != "" && want != s.id {
		_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", s.id)
		return err == nil
	}
	if s.running.Add(1) > serverSlots {
		s.running.Add(-1)
		_, err := fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
		return err == nil
	}
	defer s.running.Add(-1)
	begun := time.Now()
	s.mu.Lock()
	s.ran = append(s.ran, run{id, req.Method, req.RequestURI, req.Header.Get("Caller-Service"), order, begun})
	s.mu.Unlock()
	s.lab.log("server runs", "server", s.id, "service", s.service, "id", id, "path", req.RequestURI, "caller", req.Header.Get("Caller-Service"), "deadline_ms", req.Header.Get("Deadline-Ms"))
	if ms, err := strconv.Atoi(req.Header.Get("Deadline-Ms")); err == nil && time.Duration(ms)*time.Millisecond < s.work {
		time.Sleep(time.Duration(ms) * time.Millisecond)
		_, err := fmt.Fprintf(c, "HTTP/1.1 504 Gateway Timeout\r\nRequest-Id: %s\r\nResponse-Stamp: %s\r\nContent-Length: 0\r\n\r\n", id, s.id)
		return err == nil
	}
	time.Sleep(s.work)
	if rand.Int64N(100) < s.grey.Load() {
		body := "the payment service does not answer\n"
		s.lab.log("server fails", "server", s.id, "id", id, "status", 503)
		_, err := fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: %s\r\nResponse-Stamp: %s\r\nContent-Length: %d\r\n\r\n%s", id, s.id, len(body), body)
		return err == nil
	}
	body := fmt.Sprintf("%s by %s of %s\n", id, s.id, s.service)
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Stamp: %s\r\nContent-Length: %d\r\n\r\n%s", id, s.id, len(body), body)
	return err == nil
}

// crash ends the server for good: its connections and its listener are closed.
func (s *server) crash() {
	s.stopped.Store(true)
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
	s.lab.log("server crashed", "server", s.id)
}

// runs returns the runs so far.
func (s *server) runs() []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]run(nil), s.ran...)
}
