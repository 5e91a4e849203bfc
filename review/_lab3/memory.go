package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["memory"] = memory }

// anonymousMB returns the memory of a process in MB, without the pages of its program file.
func anonymousMB(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0 // the process has ended
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return float64(kb) / 1024
		}
	}
	return 0
}

const (
	memoryMachines = 15 // the last two are those of the service
	memoryBody     = 8_000_000
	// The usual traffic is 21 requests a second, 85 MB/s for each of the two servers. A burst
	// makes it 1.8 times as many over 3 s, which is the largest dose of the site file.
	usualClients  = 30
	thinkTime     = 1400 * time.Millisecond
	burstTime     = 3 * time.Second
	burstRequests = 51
	burstPeriod   = 8 * time.Second
	bursts        = 11
)

// memory checks Fault while clients send bodies within MaxBodyBytes: a process whose memory
// exceeds MemoryMb is killed by the platform and started again, and counts as one that has
// ended by itself.
func memory(caseDir string) int {
	l, err := newLab(caseDir)
	if err != nil {
		return fail(err)
	}
	defer l.close()
	storeAddress := l.addr(200, portStore)
	if err := l.serveStore(storeAddress); err != nil {
		return fail(err)
	}
	routes := []route{
		{"r-pufi791", "/pufi791/", "unsafe", "pedidos", "4000ms", "1200ms", 2},
		{"r-lohu930", "/lohu930/", "safe", "bodega", "500ms", "200ms", 2},
	}
	if _, err := l.put(storeAddress, "op", "config", config("r7", routes, "pedidos", "bodega")); err != nil {
		return fail(err)
	}
	for i := 1; i <= memoryMachines; i++ {
		service := "bodega"
		if i > memoryMachines-2 {
			service = "pedidos"
		}
		if _, err := l.startServer(i, fmt.Sprintf("i-%s-%d", service, i), service, "v1", 100*time.Millisecond); err != nil {
			return fail(err)
		}
		if err := l.addNode(i, []string{"otavalo", "cotacachi", "ibarra"}[i%3], service, storeAddress).start(); err != nil {
			return fail(err)
		}
	}
	if err := l.awaitReady(20 * time.Second); err != nil {
		return fail(err)
	}
	time.Sleep(8 * time.Second)

	// The platform: it kills a process that exceeds its memory, and starts it again.
	var watching sync.WaitGroup
	var over atomic.Bool
	ended := make([]int, memoryMachines)
	peaks := make([]float64, memoryMachines)
	for i, n := range l.nodes {
		watching.Go(func() {
			for !over.Load() {
				mb := anonymousMB(n.pid())
				peaks[i] = max(peaks[i], mb)
				if mb > memoryMB {
					ended[i]++
					l.log("memory exceeded", "node", n.name, "mb", fmt.Sprintf("%.1f", mb), "limit_mb", memoryMB)
					n.signal(syscall.SIGKILL)
					<-n.done
					time.Sleep(300 * time.Millisecond)
					n.first = false
					if err := n.start(); err != nil {
						l.log("node not started", "error", err)
						return
					}
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}

	// Clients on the other machines.
	var mu sync.Mutex
	statuses := map[int]int{}
	body := make([]byte, memoryBody)
	var clients sync.WaitGroup
	client := func(machine int) {
		id, a := l.request(machine, "POST", "ficu95.example", "/pufi791/2f", 4*time.Second, body)
		l.log("answer", "node", machine, "id", id, "status", a.status, "error", a.err)
		mu.Lock()
		defer mu.Unlock()
		statuses[a.status]++
	}
	end := time.Now().Add(bursts * burstPeriod)
	for k := range usualClients {
		clients.Go(func() {
			for time.Sleep(rand.N(thinkTime)); time.Now().Before(end); time.Sleep(thinkTime*3/4 + rand.N(thinkTime/2)) {
				client(1 + k%(memoryMachines-2))
			}
		})
	}
	for b := range bursts {
		time.Sleep(burstPeriod - burstTime)
		if l.trouble {
			l.log("burst", "number", b+1, "requests", burstRequests)
			for k := range burstRequests {
				clients.Go(func() { client(1 + k%(memoryMachines-2)) })
			}
		}
		time.Sleep(burstTime)
	}
	clients.Wait()
	over.Store(true)
	watching.Wait()

	machines, total := 0, 0
	for _, n := range ended {
		total += n
		if n >= 3 {
			machines++
		}
	}
	l.log("result", "ended_by_machine", ended, "peak_mb", fmt.Sprintf("%.0f", peaks), "statuses", statuses)
	fmt.Printf("processes exceeded %d MB %d times, three times or more on %d machines; peaks %.0f MB; answers %v\n", memoryMB, total, machines, peaks, statuses)
	if statuses[200] < 50 {
		return exitFailed
	}
	if machines >= 2 { // a tenth of 15 machines, two at least
		return exitBroken
	}
	return exitHeld
}
