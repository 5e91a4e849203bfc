package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["reuse"] = reuse }

const addrReuse = 2 * time.Second

// reuse checks UNASKED after a server has crashed for good and its address has gone to a
// server of another service, while the node of the machine runs on.
func reuse(caseDir string) int {
	l, err := newLab(caseDir)
	if err != nil {
		return fail(err)
	}
	defer l.close()
	const machines = 6
	storeAddress := l.addr(200, portStore)
	if err := l.serveStore(storeAddress); err != nil {
		return fail(err)
	}
	routes := []route{
		{"r-lohu930", "/lohu930/", "safe", "pedidos", "500ms", "200ms", 2},
		{"r-pufi791", "/pufi791/", "unsafe", "bodega", "600ms", "250ms", 2},
	}
	if _, err := l.put(storeAddress, "op", "config", config("r7", routes, "pedidos", "bodega")); err != nil {
		return fail(err)
	}
	var servers []*server
	for i := 1; i <= machines; i++ {
		service := []string{"bodega", "pedidos"}[i%2]
		s, err := l.startServer(i, fmt.Sprintf("i-%s-%d", service, i), service, "v1", 20*time.Millisecond)
		if err != nil {
			return fail(err)
		}
		servers = append(servers, s)
		if err := l.addNode(i, []string{"otavalo", "cotacachi", "ibarra"}[i%3], service, storeAddress).start(); err != nil {
			return fail(err)
		}
	}
	if err := l.awaitReady(15 * time.Second); err != nil {
		return fail(err)
	}
	time.Sleep(8 * time.Second)

	var mu sync.Mutex
	began := map[string]int{} // machine of each request
	sentAt := map[string]time.Time{}
	answers := map[int]int{}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := 1; i <= machines; i++ {
		clients.Go(func() {
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				clients.Go(func() {
					at, method, path := time.Now(), "GET", "/lohu930/2f"
					if k%2 == 1 {
						method, path = "POST", "/pufi791/2f"
					}
					id, a := l.request(i, method, "ficu95.example", path, 500*time.Millisecond, nil)
					l.log("answer", "node", i, "id", id, "status", a.status, "error", a.err)
					mu.Lock()
					defer mu.Unlock()
					began[id], sentAt[id] = i, at
					answers[a.status]++
				})
			}
		})
	}
	time.Sleep(3 * time.Second)

	// One of six servers crashes for good. Its address goes to a server of the other service,
	// and the settings of its machine name that service from then on.
	const machine = 1
	service, changed := "pedidos", time.Now()
	if l.trouble {
		servers[machine-1].crash()
		time.Sleep(addrReuse)
		service = "bodega"
		s, err := l.startServer(machine, "i-bodega-7", service, "v1", 20*time.Millisecond)
		if err != nil {
			return fail(err)
		}
		servers = append(servers, s)
		n := l.nodes[machine-1]
		n.service = service
		if _, err := n.writeSettings(); err != nil {
			return fail(err)
		}
		n.signal(syscall.SIGHUP)
		changed = time.Now()
		l.log("machine hosts another service", "node", n.name, "service", service)
	}
	time.Sleep(15 * time.Second)
	close(stop)
	clients.Wait()

	// UNASKED: a server runs a request whose Caller-Service isn't the service of the machine
	// where the request began. Requests that were sent before the change, or up to 3 s after
	// it, aren't judged on that machine.
	services := map[int]string{machine: service}
	for i := 2; i <= machines; i++ {
		services[i] = []string{"bodega", "pedidos"}[i%2]
	}
	judged, broken, atNew := 0, 0, 0
	for _, s := range servers {
		for _, r := range s.runs() {
			i, known := began[r.id]
			if !known || i == machine && sentAt[r.id].Before(changed.Add(touch)) {
				continue
			}
			judged++
			if s.id == "i-bodega-7" {
				atNew++
			}
			if r.caller != services[i] {
				broken++
				l.log("UNASKED broken", "id", r.id, "server", s.id, "caller", r.caller, "machine", i, "service_of_machine", services[i], "after_ms", r.at.Sub(changed).Milliseconds())
			}
		}
	}
	l.log("result", "judged", judged, "wrong_caller", broken, "run_by_new_server", atNew, "answers", answers)
	fmt.Printf("%d of %d runs bore a Caller-Service that isn't the service of the machine where the request began; the new server ran %d\n", broken, judged, atNew)
	if judged < 500 || l.trouble && atNew == 0 {
		return exitFailed
	}
	if broken > 0 {
		return exitBroken
	}
	return exitHeld
}
