package main

import (
	"fmt"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

func init() { cases["gone-machines"] = playGoneMachines }

const (
	meshMachines = 9
	// waves of waveMachines machines each are added and taken away again, as releases do that
	// replace servers with their machines.
	waves        = 10
	waveMachines = 30
	downTime     = time.Second // between the loss of power and the restart
	watchTime    = 30 * time.Second
)

var zones = []string{"otavalo", "cotacachi", "ibarra"}

var bothServices = []string{"pedidos", "bodega"}

// startMesh starts the machines of the small deployment with their servers.
func startMesh(w *world, onRun func(run)) ([]*machine, error) {
	var machines []*machine
	for i := range meshMachines {
		m := w.addMachine(i+1, fmt.Sprintf("sidecar-%s-%d", zones[i%3], i/3+1), zones[i%3], bothServices[i%2])
		m.first = true
		if err := m.start(); err != nil {
			return nil, err
		}
		s, err := m.startServer(fmt.Sprintf("i-%08x", 0x7f3a9100+i), 20*time.Millisecond, onRun)
		if err != nil {
			return nil, err
		}
		m.server = s
		machines = append(machines, m)
	}
	if !w.awaitReady(10*time.Second, machines...) {
		return nil, fmt.Errorf("the machines are not ready after 10 s")
	}
	return machines, nil
}

// playWave adds machines, and removes them for good with SIGTERM once they are ready. Their
// addresses do not answer afterwards.
func playWave(w *world, wave int, addresses *[]netip.AddrPort) error {
	var added []*machine
	for i := range waveMachines {
		m := &machine{
			world: w, name: fmt.Sprintf("sidecar-%s-%d", zones[i%3], 10+wave*waveMachines/3+i/3), zone: zones[i%3], service: bothServices[i%2],
			ip: netip.AddrFrom4([4]byte{127, w.network[0] + 1 + byte(wave/5), w.network[1], byte(10 + wave%5*waveMachines + i)}),
		}
		w.mu.Lock()
		w.machines = append(w.machines, m)
		w.mu.Unlock()
		if err := m.start(); err != nil {
			return err
		}
		added = append(added, m)
	}
	if !w.awaitReady(10*time.Second, added...) {
		return fmt.Errorf("the machines of wave %d are not ready after 10 s", wave)
	}
	var wg sync.WaitGroup
	for _, m := range added {
		m.signal(syscall.SIGTERM)
		wg.Go(func() { <-m.ended })
		*addresses = append(*addresses, m.at(portInbound))
	}
	wg.Wait()
	return nil
}

// playGoneMachines restarts a deployment whose machines have been replaced many times, and
// then changes the configuration.
func playGoneMachines(w *world, trouble bool) (int, error) {
	if err := w.openStore(); err != nil {
		return failed, err
	}
	config := func(version uint64, moved string) []byte {
		return configRow(version, bothServices,
			route{"r-a", "/pufi791/", "pedidos", true, time.Second, 200 * time.Millisecond, 2},
			route{"r-b", "/lohu930/", "bodega", true, time.Second, 200 * time.Millisecond, 2},
			route{"r-c", "/wena122/", moved, true, time.Second, 200 * time.Millisecond, 2})
	}
	if _, err := w.put("op/config", config(7, "pedidos")); err != nil {
		return failed, err
	}
	var mu sync.Mutex
	runs := make(map[string]run)
	machines, err := startMesh(w, func(r run) {
		mu.Lock()
		defer mu.Unlock()
		runs[r.id] = r
	})
	if err != nil {
		return failed, err
	}
	var gone []netip.AddrPort
	for wave := range waves {
		if err := playWave(w, wave, &gone); err != nil {
			return failed, err
		}
	}
	w.record.add("%d machines were added and removed", len(gone))
	for _, address := range gone {
		if err := silentAddress(address); err != nil {
			return failed, err
		}
	}
	time.Sleep(touchTime)
	if trouble {
		w.record.add("all machines lose power")
		var wg sync.WaitGroup
		for _, m := range machines {
			wg.Go(m.kill)
		}
		wg.Wait()
		time.Sleep(downTime)
		for _, m := range machines {
			m.first = false
			if err := m.start(); err != nil {
				return failed, err
			}
		}
		w.record.add("all machines are started again")
	}
	time.Sleep(touchTime + 500*time.Millisecond)
	acked, err := w.put("op/config", config(12, "bodega"))
	if err != nil {
		return failed, err
	}
	w.record.add("version r12 is acknowledged: /wena122/ goes to bodega instead of pedidos")
	var wg sync.WaitGroup
	answers := make([][]answer, len(machines))
	for i, m := range machines {
		wg.Go(func() {
			for time.Since(acked) < watchTime {
				answers[i] = append(answers[i], send(m, "GET", fmt.Sprintf("/wena122/%d", i), "", time.Second))
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	sent, old, last := 0, 0, time.Duration(0)
	mu.Lock()
	defer mu.Unlock()
	for i, m := range machines {
		for _, a := range answers[i] {
			r, ran := runs[a.id]
			w.record.add("%s sent %s %.3f s after the ack: status %d, run by %s", a.id, m.name, a.sent.Sub(acked).Seconds(), a.status, r.service)
			if a.sent.Sub(acked) <= configApply {
				continue
			}
			sent++
			if ran && r.service == "pedidos" {
				old++
				last = max(last, a.sent.Sub(acked))
			}
		}
	}
	summary := fmt.Sprintf("%d requests sent later than %s after the ack, %d of them run by the old service, the last sent %.1f s after it", sent, configApply, old, last.Seconds())
	w.record.add("%s", summary)
	fmt.Println(summary)
	if old > 0 {
		return broken, nil
	}
	return held, nil
}
