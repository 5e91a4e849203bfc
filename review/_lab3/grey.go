package main

import (
	"fmt"
	"strconv"
	"sync"
	"time"
)

func init() { cases["grey"] = grey }

// grey checks REFUSED while a server fails part of the orders that it has run, with a status
// that promises the opposite.
func grey(caseDir string) int {
	l, err := newLab(caseDir)
	if err != nil {
		return fail(err)
	}
	defer l.close()
	const machines = 8 // seven with servers of the service, and one of the other
	storeAddress := l.addr(200, portStore)
	if err := l.serveStore(storeAddress); err != nil {
		return fail(err)
	}
	routes := []route{{"r-pufi791", "/pufi791/", "unsafe", "pedidos", "600ms", "250ms", 2}}
	if _, err := l.put(storeAddress, "op", "config", config("r7", routes, "pedidos", "bodega")); err != nil {
		return fail(err)
	}
	var servers []*server
	for i := 1; i <= machines; i++ {
		service := "pedidos"
		if i == machines {
			service = "bodega"
		}
		s, err := l.startServer(i, fmt.Sprintf("i-%s-%d", service, i), service, "v1", 30*time.Millisecond)
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

	// Each client places orders. It repeats one once after a promise that it has not run.
	var mu sync.Mutex
	statuses := map[string]int{} // by request ID
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := 1; i <= machines; i++ {
		clients.Go(func() {
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				case <-time.After(40 * time.Millisecond):
				}
				clients.Go(func() {
					order := fmt.Sprintf("order %d of client %d", k, i)
					for attempt := range 2 {
						id, a := l.request(i, "POST", "ficu95.example", "/pufi791/2f", 600*time.Millisecond, []byte(order))
						l.log("answer", "node", i, "id", id, "order", strconv.Quote(order), "attempt", attempt, "status", a.status, "stamp", a.header.Get("Response-Stamp"), "error", a.err)
						mu.Lock()
						statuses[id] = a.status
						mu.Unlock()
						if a.status != 429 && a.status != 503 && a.status != 408 && a.status != 421 {
							return
						}
						pause := 100 * time.Millisecond
						if s, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64); err == nil {
							pause = time.Duration(s * float64(time.Second))
						}
						time.Sleep(min(pause, 200*time.Millisecond))
					}
				})
			}
		})
	}
	time.Sleep(3 * time.Second)
	if l.trouble {
		l.log("server turns grey", "server", servers[0].id)
		servers[0].grey.Store(45)
	}
	time.Sleep(6500 * time.Millisecond)
	servers[0].grey.Store(0)
	time.Sleep(2 * time.Second)
	close(stop)
	clients.Wait()

	// REFUSED: a request that isn't idempotent is answered 429 or 503 (or 408, 421) and has run.
	ran, broken := 0, 0
	runs := map[string]int{} // by order
	for _, s := range servers {
		for _, r := range s.runs() {
			ran++
			runs[r.order]++
			switch status := statuses[r.id]; status {
			case 429, 503, 408, 421:
				broken++
				l.log("REFUSED broken", "id", r.id, "server", s.id, "order", strconv.Quote(r.order), "status", status)
			}
		}
	}
	twice := 0
	for _, n := range runs {
		if n > 1 {
			twice++
		}
	}
	l.log("result", "ran", ran, "answered_as_not_run", broken, "orders_run_twice", twice)
	fmt.Printf("of %d orders that ran, %d were answered with a status that promises that they have not; %d orders ran twice\n", ran, broken, twice)
	if ran < 300 {
		return exitFailed
	}
	if broken > 0 {
		return exitBroken
	}
	return exitHeld
}
