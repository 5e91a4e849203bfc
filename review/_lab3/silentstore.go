package main

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["silent-store"] = silentStore }

// silentStore checks CONFIG after the open connections to the store have gone silent, just
// before a route moves to another service.
func silentStore(caseDir string) int {
	l, err := newLab(caseDir)
	if err != nil {
		return fail(err)
	}
	defer l.close()
	const machines = 4
	storeAddress := l.addr(200, portStore)
	if err := l.serveStore(storeAddress); err != nil {
		return fail(err)
	}
	routes := func(service, timeout string) []route {
		return []route{{"r-zji9n73", "/lohu930/", "safe", service, timeout, "200ms", 2}}
	}
	if _, err := l.put(storeAddress, "op", "config", config("r7", routes("pedidos", "500ms"), "pedidos", "bodega")); err != nil {
		return fail(err)
	}
	var relays []*relay
	var servers []*server
	var feeds [machines]atomic.Int64 // feed calls that each node has begun
	for i := 1; i <= machines; i++ {
		r, err := l.startRelay(l.addr(100+i, portStore), storeAddress, func(fromClient bool, b []byte) {
			if fromClient && bytes.Contains(b, []byte("GET /v1/rows-feed")) {
				feeds[i-1].Add(1)
			}
		})
		if err != nil {
			return fail(err)
		}
		relays = append(relays, r)
		service := []string{"pedidos", "bodega"}[i%2]
		s, err := l.startServer(i, fmt.Sprintf("i-%s-%d", service, i), service, "v1", 10*time.Millisecond)
		if err != nil {
			return fail(err)
		}
		servers = append(servers, s)
		n := l.addNode(i, []string{"otavalo", "cotacachi"}[(i-1)/2], service, l.addr(100+i, portStore))
		if err := n.start(); err != nil {
			return fail(err)
		}
	}
	if err := l.awaitReady(15 * time.Second); err != nil {
		return fail(err)
	}
	time.Sleep(8 * time.Second)

	// Clients of each machine.
	type sent struct {
		id   string
		at   time.Time
		node int
		answer
	}
	var mu sync.Mutex
	var all []sent
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := 1; i <= machines; i++ {
		clients.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				clients.Go(func() {
					at := time.Now()
					id, a := l.request(i, "GET", "ficu95.example", "/lohu930/2f", 500*time.Millisecond, nil)
					l.log("answer", "node", i, "id", id, "status", a.status, "error", a.err, "body", strings.TrimSpace(a.body))
					mu.Lock()
					defer mu.Unlock()
					all = append(all, sent{id, at, i, a})
				})
			}
		})
	}
	time.Sleep(2 * time.Second)

	// Two configurations in quick succession. Open connections go silent between them.
	var before [machines]int64
	for i := range before {
		before[i] = feeds[i].Load()
	}
	if _, err := l.put(storeAddress, "op", "config", config("r9", routes("pedidos", "480ms"), "pedidos", "bodega")); err != nil {
		return fail(err)
	}
	for until := time.Now().Add(time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		all := true
		for i := range before {
			all = all && feeds[i].Load() > before[i]
		}
		if all {
			break
		}
	}
	if l.trouble {
		for _, r := range relays {
			l.log("connections to the store go silent", "number", r.silence())
		}
	}
	silenced := time.Now()
	acked, err := l.put(storeAddress, "op", "config", config("r12", routes("bodega", "480ms"), "pedidos", "bodega"))
	if err != nil {
		return fail(err)
	}
	l.log("acknowledged", "version", "r12")
	time.Sleep(12 * time.Second)
	close(stop)
	clients.Wait()

	// CONFIG: a request sent later than ConfigApply after the ack is run by the old service,
	// at machines in touch: Touch after their connections were reset.
	from := acked.Add(configApply)
	if inTouch := silenced.Add(touch); l.trouble && inTouch.After(from) {
		from = inTouch
	}
	old := map[string]time.Time{}
	for _, s := range servers {
		if s.service != "pedidos" {
			continue
		}
		for _, r := range s.runs() {
			old[r.id] = r.at
		}
	}
	broken, judged, last := 0, 0, time.Duration(0)
	for _, q := range all {
		if !q.at.After(from) {
			continue
		}
		judged++
		if _, ok := old[q.id]; ok {
			broken++
			last = max(last, q.at.Sub(acked))
			l.log("CONFIG broken", "id", q.id, "node", q.node, "after_ack_ms", q.at.Sub(acked).Milliseconds(), "after_silence_ms", q.at.Sub(silenced).Milliseconds())
		}
	}
	l.log("result", "judged", judged, "run_by_old_service", broken, "last_ms_after_ack", last.Milliseconds())
	fmt.Printf("%d of %d requests that were sent in time were run by the old service, the last one %d ms after the acknowledgement\n", broken, judged, last.Milliseconds())
	if judged < 100 {
		return exitFailed
	}
	if broken > 0 {
		return exitBroken
	}
	return exitHeld
}
