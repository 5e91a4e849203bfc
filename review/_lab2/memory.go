package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"nutmeghoist.example/nutmeghoist/platform"
)

func init() { cases["large-bodies"] = playLargeBodies }

const (
	largeBody      = 8_000_000 // bytes; the configuration allows 67,108,864
	ordersAtOnce   = 6         // by the clients of one machine
	orderDeadline  = 6 * time.Second
	keptClients    = 24 // on each machine
	lookupWork     = 150 * time.Millisecond
	lookupDeadline = time.Second
	rounds         = 12
	// noLossUpTo is how often the rule LOST lets a machine close a kept connection without
	// an answer to a request that it has passed on.
	noLossUpTo = 3
)

// memory returns the resident memory of the node's process that no file backs, in bytes.
func (m *machine) memory() int64 {
	m.mu.Lock()
	cmd := m.cmd
	m.mu.Unlock()
	if cmd == nil {
		return 0
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
	if err != nil {
		return 0 // the process has ended
	}
	for _, line := range strings.Split(string(text), "\n") {
		if v, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			var kB int64
			_, _ = fmt.Sscanf(strings.TrimSpace(v), "%d", &kB) // 0 if it cannot be read
			return kB << 10
		}
	}
	return 0
}

// guardMemory kills a process that exceeds the memory that its settings give, as the
// platform does, until the context of the case ends. It returns the number of kills.
func guardMemory(machines []*machine, stop <-chan struct{}) (kills *atomic.Int64, killed func() []string) {
	kills = new(atomic.Int64)
	var mu sync.Mutex
	var names []string
	for _, m := range machines {
		go func() {
			peak := int64(0)
			for {
				select {
				case <-stop:
					m.world.record.add("%s: peak memory %.1f MB", m.name, float64(peak)/(1<<20))
					return
				case <-time.After(2 * time.Millisecond):
				}
				used := m.memory()
				peak = max(peak, used)
				if used <= memoryMB<<20 {
					continue
				}
				m.world.record.add("%s: the process uses %.1f MB of %d MB; the platform kills it", m.name, float64(used)/(1<<20), memoryMB)
				kills.Add(1)
				mu.Lock()
				names = append(names, m.name)
				mu.Unlock()
				m.signal(syscall.SIGKILL)
				<-m.ended
				time.Sleep(500 * time.Millisecond)
				m.first = false
				if err := m.start(); err != nil {
					m.world.record.add("%s: %v", m.name, err)
					return
				}
			}
		}()
	}
	return kills, func() []string {
		mu.Lock()
		defer mu.Unlock()
		return names
	}
}

// order sends one request with a large body on a new connection.
func order(m *machine, body []byte) (id string, status int, err error) {
	id = newID()
	c, err := net.DialTimeout("tcp", m.at(portOutbound).String(), time.Second)
	if err != nil {
		return id, 0, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(orderDeadline))
	written := make(chan error, 1)
	go func() {
		_, err := fmt.Fprintf(c, "POST /lohu930/order HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n", hostHeader,
			platform.Headers.RequestID, id, platform.Headers.DeadlineMs, orderDeadline.Milliseconds(), len(body))
		if err == nil {
			_, err = c.Write(body)
		}
		written <- err
	}()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return id, 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return id, resp.StatusCode, err
}

// loss is a kept connection that a machine closed without an answer.
type loss struct {
	id, machine string
	cause       error
}

// keepAsking sends lookups on a kept connection, one after the other, until stop.
func keepAsking(m *machine, stop <-chan struct{}, onLoss func(loss)) {
	for {
		c, err := net.DialTimeout("tcp", m.at(portOutbound).String(), time.Second)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
		} else {
			askOn(c, m, stop, onLoss)
		}
		select {
		case <-stop:
			return
		default:
		}
	}
}

func askOn(c net.Conn, m *machine, stop <-chan struct{}, onLoss func(loss)) {
	defer c.Close()
	r := bufio.NewReader(c)
	for asked := 0; ; asked++ {
		select {
		case <-stop:
			return
		default:
		}
		id := newID()
		_ = c.SetDeadline(time.Now().Add(lookupDeadline + time.Second))
		_, err := fmt.Fprintf(c, "GET /pufi791/rope HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n\r\n", hostHeader,
			platform.Headers.RequestID, id, platform.Headers.DeadlineMs, lookupDeadline.Milliseconds())
		var resp *http.Response
		if err == nil {
			resp, err = http.ReadResponse(r, nil)
		}
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		if err != nil {
			if asked > 0 {
				onLoss(loss{id, m.name, err})
			}
			return
		}
		if resp.Close {
			return
		}
	}
}

// playLargeBodies sends orders with large bodies to the last server of a service.
func playLargeBodies(w *world, trouble bool) (int, error) {
	if err := w.openStore(); err != nil {
		return failed, err
	}
	config := configRow(7, bothServices,
		route{"r-a", "/pufi791/", "pedidos", true, lookupDeadline, 400 * time.Millisecond, 2},
		route{"r-b", "/lohu930/", "bodega", false, orderDeadline, 2 * time.Second, 2})
	if _, err := w.put("op/config", config); err != nil {
		return failed, err
	}
	var mu sync.Mutex
	ran := make(map[string]bool)
	machines, err := startMesh(w, func(r run) {
		mu.Lock()
		defer mu.Unlock()
		ran[r.id] = true
	})
	if err != nil {
		return failed, err
	}
	for _, m := range machines {
		if m.service == "pedidos" {
			m.server.setWork(lookupWork)
		}
	}
	time.Sleep(touchTime)
	if trouble { // three of the four machines of a service are lost for good
		lost := map[int]bool{3: true, 5: true, 7: true}
		var left []*machine
		for i, m := range machines {
			if lost[i] {
				m.server.stop()
				m.kill()
				continue
			}
			left = append(left, m)
		}
		machines = left
		time.Sleep(3 * touchTime) // all others are calm and know it
	}
	stop := make(chan struct{})
	kills, killed := guardMemory(machines, stop)
	var losses []loss
	var clients sync.WaitGroup
	for _, m := range machines {
		for range keptClients {
			clients.Go(func() {
				keepAsking(m, stop, func(l loss) {
					mu.Lock()
					defer mu.Unlock()
					losses = append(losses, l)
				})
			})
		}
	}
	time.Sleep(touchTime)
	body := make([]byte, largeBody)
	for range rounds {
		var orders sync.WaitGroup
		for _, m := range machines {
			for range ordersAtOnce {
				send := func() {
					id, status, err := order(m, body)
					w.record.add("order %s of %d bytes sent to %s: status %d, %v", id, len(body), m.name, status, err)
				}
				if trouble {
					orders.Go(send)
				} else {
					send() // without the burst they come one after the other
				}
			}
		}
		orders.Wait()
		time.Sleep(touchTime / 2)
	}
	close(stop)
	clients.Wait()
	time.Sleep(100 * time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	count := make(map[string]int)
	worst := 0
	for _, l := range losses {
		w.record.add("%s sent to %s on a kept connection: closed without an answer (%v), passed on: %t", l.id, l.machine, l.cause, ran[l.id])
		if ran[l.id] {
			count[l.machine]++
			worst = max(worst, count[l.machine])
		}
	}
	summary := fmt.Sprintf("%d processes exceeded their memory and were killed %v; a machine closed a kept connection without an answer to a request that it had passed on: %v", kills.Load(), killed(), count)
	w.record.add("%s", summary)
	fmt.Println(summary)
	if worst > noLossUpTo {
		return broken, nil
	}
	return held, nil
}
