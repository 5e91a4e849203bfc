package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["rollout"] = rolloutCase }

// get reads a row of the operator or of its status; false without one.
func (l *lab) get(storeAddress, table, key string, value any) bool {
	resp, err := http.Get("http://" + storeAddress + "/v1/rows-get?Table=" + table + "&part=&From=" + key + "&To=" + key + "%00&Limit=1")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	var rows struct{ Rows []struct{ Key, Value string } }
	if json.NewDecoder(resp.Body).Decode(&rows) != nil || len(rows.Rows) == 0 {
		return false
	}
	text, err := base64.StdEncoding.DecodeString(rows.Rows[0].Value)
	return err == nil && json.Unmarshal(text, value) == nil
}

// rolloutCase checks what becomes of a service whose rollout has lost the servers of the new
// version.
func rolloutCase(caseDir string) int {
	l, err := newLab(caseDir)
	if err != nil {
		return fail(err)
	}
	defer l.close()
	const machines = 8 // seven with old servers, and one for the new version
	storeAddress := l.addr(200, portStore)
	if err := l.serveStore(storeAddress); err != nil {
		return fail(err)
	}
	routes := []route{{"r-lohu930", "/lohu930/", "safe", "pedidos", "500ms", "200ms", 2}}
	if _, err := l.put(storeAddress, "op", "config", config("r7", routes, "pedidos")); err != nil {
		return fail(err)
	}
	var old []*server
	for i := 1; i <= machines; i++ {
		if i < machines {
			s, err := l.startServer(i, fmt.Sprintf("i-pedidos-%d", i), "pedidos", "v1", 20*time.Millisecond)
			if err != nil {
				return fail(err)
			}
			old = append(old, s)
		}
		if err := l.addNode(i, []string{"otavalo", "cotacachi", "ibarra"}[i%3], "pedidos", storeAddress).start(); err != nil {
			return fail(err)
		}
	}
	if err := l.awaitReady(15 * time.Second); err != nil {
		return fail(err)
	}
	time.Sleep(8 * time.Second)

	var mu sync.Mutex
	first, added := map[int]int{}, map[int]int{} // answers on the first route and on the added one
	var addedInForce atomic.Bool                 // for longer than ConfigApply
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := 1; i <= machines; i++ {
		clients.Go(func() {
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				clients.Go(func() {
					path, answers := "/lohu930/2f", first
					if k%10 == 0 && addedInForce.Load() {
						path, answers = "/gafo111/2f", added
					}
					id, a := l.request(i, "GET", "ficu95.example", path, 500*time.Millisecond, nil)
					l.log("answer", "node", i, "id", id, "status", a.status, "error", a.err)
					mu.Lock()
					defer mu.Unlock()
					answers[a.status]++
				})
			}
		})
	}
	time.Sleep(3 * time.Second)

	// The order. The server of the new version starts beside the old ones.
	if _, err := l.put(storeAddress, "op", "rollout/pedidos", map[string]string{"Service": "pedidos", "To": "v2", "Duration": "16s"}); err != nil {
		return fail(err)
	}
	ordered := time.Now()
	next, err := l.startServer(machines, "i-pedidos-v2", "pedidos", "v2", 20*time.Millisecond)
	if err != nil {
		return fail(err)
	}
	if l.trouble {
		time.AfterFunc(3*time.Second, next.crash)
	}
	// The operator stops the old servers at once when the rollout is completed, and the new one
	// some seconds after it was rolled back.
	state := ""
	for time.Since(ordered) < 25*time.Second {
		var status struct{ State, To string }
		if l.get(storeAddress, "status", "rollout/pedidos", &status) && status.To == "v2" && status.State != state {
			state = status.State
			l.log("operator reads", "state", state, "after_ms", time.Since(ordered).Milliseconds())
		}
		if state == "completed" || state == "rolled_back" {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	switch state {
	case "completed":
		for _, s := range old {
			s.crash()
		}
	case "rolled_back":
		time.Sleep(2 * time.Second)
		next.crash()
	}
	time.Sleep(time.Second)
	routes = append(routes, route{"r-gafo111", "/gafo111/", "safe", "pedidos", "500ms", "200ms", 2})
	if _, err := l.put(storeAddress, "op", "config", config("r9", routes, "pedidos")); err != nil {
		return fail(err)
	}
	time.Sleep(configApply + 500*time.Millisecond)
	addedInForce.Store(true)
	time.Sleep(42 * time.Second)
	close(stop)
	clients.Wait()

	// CONFIG: in steady state, machines in touch get 20 or more requests on routes that were
	// added later, and serve them less than a quarter as often as those on the first routes.
	count := func(answers map[int]int) (all, served int) {
		for status, n := range answers {
			all += n
			if status == http.StatusOK {
				served += n
			}
		}
		return all, served
	}
	firstAll, firstServed := count(first)
	addedAll, addedServed := count(added)
	l.log("result", "state", state, "new_version_ran", len(next.runs()), "first_route", first, "added_route", added)
	fmt.Printf("the rollout ended as %q; of %d requests on the first route %d were served, of %d on the added one %d\n", state, firstAll, firstServed, addedAll, addedServed)
	if firstAll < 1000 || addedAll < 20 || firstServed == 0 || state == "" {
		return exitFailed
	}
	if 4*addedServed*firstAll < firstServed*addedAll {
		return exitBroken
	}
	return exitHeld
}
