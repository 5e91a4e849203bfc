package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/rollout"
	"nutmeghoist.example/nutmeghoist/platform"
)

func init() { cases["lost-evidence"] = playLostEvidence }

const (
	rolloutTime  = 16 * time.Second
	failingShare = 0.5 // of the bad version's answers
	nightPeriod  = 625 * time.Millisecond
	dayRequests  = 10 // a second, by the clients of each machine
	dayTime      = 15 * time.Second
	killAt       = 13600 * time.Millisecond // after the order's ack
	darkTime     = 2 * time.Second          // between a kill and the restart
	rollbackTime = 5 * time.Second
	badAnswers   = 50
)

// finalState waits for the final state of the rollout, as the operator does.
func finalState(w *world, limit time.Duration) rollout.State {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		row, err := w.store.Get(context.Background(), platform.StatusKey("pedidos"))
		if err != nil {
			continue
		}
		if to, state, ok := platform.DecodeStatus(row.Value); ok && to == "v2" && state.IsFinal() {
			return state
		}
	}
	return rollout.Running
}

// coordinator returns the machine that last wrote to the store under a condition.
func coordinator(w *world, machines []*machine) *machine {
	row, err := w.store.Get(context.Background(), "rollouts/pedidos")
	var p struct {
		Holder string `json:"holder"`
	}
	if err != nil || json.Unmarshal(row.Value, &p) != nil {
		return nil
	}
	for _, m := range machines {
		if m.name == p.Holder {
			return m
		}
	}
	return nil
}

// playLostEvidence rolls out a bad version at a time of few requests, and kills the
// processes that have seen its answers.
func playLostEvidence(w *world, trouble bool) (int, error) {
	if err := w.openStore(); err != nil {
		return failed, err
	}
	config := configRow(7, bothServices,
		route{"r-a", "/pufi791/", "pedidos", false, time.Second, 250 * time.Millisecond, 2},
		route{"r-b", "/lohu930/", "bodega", true, time.Second, 400 * time.Millisecond, 2})
	if _, err := w.put("op/config", config); err != nil {
		return failed, err
	}
	var mu sync.Mutex
	type newRun struct {
		id  string
		bad bool
		at  time.Time
	}
	var newRuns []newRun
	machines, err := startMesh(w, func(run) {})
	if err != nil {
		return failed, err
	}
	old := machines
	night := machines[0]
	post := func(m *machine, sent *sync.Map) {
		a := send(m, "POST", "/pufi791/order", "rope", time.Second)
		sent.Store(a.id, a.sent)
		w.record.add("%s sent to %s: status %d, stamp %s", a.id, m.name, a.status, a.stamp)
	}
	var sent sync.Map
	stopNight := make(chan struct{})
	var clients sync.WaitGroup
	time.Sleep(touchTime)
	clients.Go(func() {
		for {
			go post(night, &sent)
			select {
			case <-stopNight:
				return
			case <-time.After(nightPeriod):
			}
		}
	})
	time.Sleep(touchTime)
	key, value := platform.EncodeOrder(rollout.Order{Service: "pedidos", To: mesh.TargetVersion("v2"), Within: rolloutTime})
	acked, err := w.put(key, value)
	if err != nil {
		return failed, err
	}
	w.record.add("pedidos is ordered to v2 within %s", rolloutTime)
	for i := range 5 { // the servers of the new version, with their machines
		m := w.addMachine(21+i, fmt.Sprintf("sidecar-%s-%d", zones[i%3], 10+i), zones[i%3], "pedidos")
		if err := m.start(); err != nil {
			return failed, err
		}
		s, err := m.newServer(fmt.Sprintf("i-%08x", 0x8f3a9100+i), "v2", 20*time.Millisecond, func(run) {})
		if err != nil {
			return failed, err
		}
		s.fails = func(r run) bool {
			bad := rand.Float64() < failingShare
			mu.Lock()
			defer mu.Unlock()
			newRuns = append(newRuns, newRun{r.id, bad, time.Now()})
			w.record.add("%s runs at %s of v2, bad answer: %t", r.id, s.id, bad)
			return bad
		}
		s.open()
		machines = append(machines, m)
	}
	if trouble {
		time.Sleep(time.Until(acked.Add(killAt)))
		leader := coordinator(w, machines)
		if leader == nil {
			return failed, fmt.Errorf("no machine coordinates the rollout")
		}
		w.record.add("processes of %s and %s are killed", night.name, leader.name)
		killed := map[*machine]bool{night: true, leader: true}
		for m := range killed {
			m.signal(syscall.SIGKILL)
		}
		for m := range killed {
			m.kill()
			m.first = false
			time.AfterFunc(darkTime, func() { _ = m.start() })
		}
	}
	state := finalState(w, 2*rolloutTime)
	w.record.add("status of the rollout: %s %.1f s after the ack", state, time.Since(acked).Seconds())
	close(stopNight)
	clients.Wait()
	for _, m := range old {
		if state == rollout.Completed && m.service == "pedidos" {
			m.server.stop()
		}
	}
	mu.Lock()
	before := len(newRuns)
	mu.Unlock()
	time.Sleep(touchTime)
	var requests atomic.Int64
	for until := time.Now().Add(dayTime); time.Now().Before(until); time.Sleep(time.Second / dayRequests) {
		for _, m := range old {
			clients.Go(func() {
				requests.Add(1)
				post(m, &sent)
			})
		}
	}
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	bad, late := 0, 0
	var limit time.Time
	for _, r := range newRuns {
		if r.bad {
			if bad++; bad == badAnswers {
				limit = r.at.Add(rollbackTime)
			}
		}
		if at, ok := sent.Load(r.id); ok && !limit.IsZero() && at.(time.Time).After(limit) {
			late++
		}
	}
	summary := fmt.Sprintf("the rollout of the bad version is %s; it ran %d requests before and %d of %d after, %d with bad answers; %d were sent later than %s after the %dth bad answer",
		state, before, len(newRuns)-before, requests.Load(), bad, late, rollbackTime, badAnswers)
	w.record.add("%s", summary)
	fmt.Println(summary)
	if late > 0 {
		return broken, nil
	}
	return held, nil
}
