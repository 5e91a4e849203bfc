package main

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/platform"
)

// The bounds of the site for a bad version.
const (
	rollbackTime = 5 * time.Second
	badAnswers   = 50
	moveTime     = 16 * time.Second
	// stopTime is about how long a node takes to stop after SIGTERM.
	stopTime = 3 * time.Second
)

// restarted are the machines that planned work stops and starts.
var restarted = []string{"sidecar-otavalo-1", "sidecar-otavalo-3", "sidecar-otavalo-4", "sidecar-cotacachi-3"}

// exposed moves a service to a good version, stops and starts four nodes in turn, and
// orders a move to a version that is bad under load, which is rolled back. Then the node
// that wrote the roll-back is stopped and started.
func exposed(l *lab) (broken bool, err error) {
	if err := l.open(configText(1)); err != nil {
		return false, err
	}
	l.addNodes()
	var servers []*server
	defer func() {
		for _, s := range servers {
			s.stop()
		}
	}()
	for _, n := range l.nodes {
		if err := n.start(true); err != nil {
			return false, err
		}
		s, err := n.startServer("i-"+n.name, "v1", portServer)
		if err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	if err := l.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l.load(ctx, []string{"/fibra/", "/medida/", "/medida/"}, 12, 70*time.Millisecond)
	time.Sleep(2 * time.Second)

	// A good version, in planned work.
	next, err := l.startVersion("v2", portServer+10)
	if err != nil {
		return false, err
	}
	servers = append(servers, next...)
	time.Sleep(2 * time.Second)
	state, _, err := l.rollOut("v2", moveTime)
	if err != nil || state != "completed" {
		return false, fmt.Errorf("%w: rollout of v2 ended as %q: %w", errSetup, state, err)
	}
	for _, s := range servers {
		if s.version == "v1" && s.node.service == "pedidos" {
			s.stop()
		}
	}
	// Four of the nine nodes are stopped and started in turn.
	var wg sync.WaitGroup
	for _, n := range l.nodes {
		if !slices.Contains(restarted, n.name) {
			continue
		}
		wg.Go(func() { err = n.restart() })
		time.Sleep(1300 * time.Millisecond)
	}
	wg.Wait()
	if err != nil {
		return false, err
	}

	// A version that is bad under load.
	if next, err = l.startVersion("v3", portServer+20); err != nil {
		return false, err
	}
	servers = append(servers, next...)
	time.Sleep(2 * time.Second)
	for _, s := range next {
		s.underLoad.Store(true)
	}
	state, holder, err := l.rollOut("v3", moveTime)
	if err != nil || state != "rolled_back" {
		return false, fmt.Errorf("%w: rollout of v3 ended as %q: %w", errSetup, state, err)
	}
	time.Sleep(time.Second)
	boundary, err := l.exposureBoundary("v3")
	if err != nil {
		return false, err
	}
	// The node that carried out the rollout is stopped and started, as planned work.
	time.Sleep(time.Until(boundary.Add(-stopTime)))
	if l.trouble {
		for _, n := range l.nodes {
			if n.name != holder {
				continue
			}
			if err := n.restart(); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(time.Until(boundary.Add(3 * time.Second)))
	l.noteStatus()
	l.note("the servers of v3 leave")
	for _, s := range next {
		s.leave()
	}
	cancel()
	time.Sleep(1200 * time.Millisecond)
	return l.judgeExposure(next, boundary, holder), nil
}

// judgeExposure reports whether the version got a request that was sent later than the
// boundary, from a machine in touch.
func (l *lab) judgeExposure(version []*server, boundary time.Time, killed string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	sent := make(map[string]answer, len(l.answers))
	for _, a := range l.answers {
		sent[a.id] = a
	}
	isNew := make(map[string]bool)
	for _, s := range version {
		isNew[s.id] = true
	}
	late := 0
	for _, r := range l.runs {
		a, ok := sent[r.id]
		if isNew[r.server] && ok && a.sent.After(boundary) && l.nodes[a.node].name != killed {
			late++
			fmt.Fprintf(l.record, "late: %s, sent at %.3f to %s, reached %s\n", r.id, l.at(a.sent), l.nodes[a.node].name, r.server)
		}
	}
	fmt.Printf("%d requests, sent later than Rollback after the 50th bad answer to machines in touch, reached the bad version\n", late)
	return late > 0
}

// turnBad makes half of the answers of servers failures.
func (l *lab) turnBad(servers []*server) {
	l.note("%s turns bad", servers[0].version)
	for _, s := range servers {
		s.failing.Store(50)
	}
}

// leave makes a server report that it drains.
func (s *server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = "draining"
}

// exposureBoundary returns the end of Rollback after the 50th bad answer of a version.
func (l *lab) exposureBoundary(version string) (time.Time, error) {
	l.mu.Lock()
	bad := l.bad[version]
	l.mu.Unlock()
	l.note("%s has given %d bad answers", version, len(bad))
	if len(bad) < badAnswers {
		return time.Time{}, fmt.Errorf("%w: %s has given %d bad answers", errSetup, version, len(bad))
	}
	return bad[badAnswers-1].Add(rollbackTime), nil
}

// noteStatus records what the operator reads of the rollout.
func (l *lab) noteStatus() {
	if row, err := l.store.Get(context.Background(), "status/rollout/pedidos"); err == nil {
		l.note("status/rollout/pedidos: %s", row.Value)
	}
}

// startVersion starts servers of a version of pedidos beside the old ones.
func (l *lab) startVersion(version string, port int) ([]*server, error) {
	var out []*server
	for _, n := range l.nodes {
		if n.service != "pedidos" {
			continue
		}
		s, err := n.startServer("i-"+n.name+"-"+version, version, port)
		if err != nil {
			return nil, err
		}
		out = append(out, s)
	}
	return out, nil
}

// order writes an order to move pedidos to a version.
func (l *lab) order(to string, within time.Duration) error {
	order := fmt.Sprintf(`{"Service":"pedidos","To":%q,"Duration":"%ds"}`, to, int(within.Seconds()))
	l.note("operator writes op/rollout/pedidos %s", order)
	return l.store.Commit(context.Background(), platform.Txn{Writes: []platform.Write{{Key: "op/rollout/pedidos", Value: []byte(order)}}})
}

// rollOut orders a rollout of pedidos and waits for its end. It returns the state that
// the operator reads, and the machine that wrote it.
func (l *lab) rollOut(to string, within time.Duration) (state, holder string, err error) {
	err = l.order(to, within)
	for until := time.Now().Add(within + 3*time.Second); err == nil && time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		row, getErr := l.store.Get(context.Background(), "status/rollout/pedidos")
		var status struct{ State, To string }
		if getErr != nil || json.Unmarshal(row.Value, &status) != nil || status.To != to || status.State == "running" {
			continue
		}
		l.note("status/rollout/pedidos: %s", row.Value)
		row, err = l.store.Get(context.Background(), "rollouts/pedidos")
		var written struct{ Holder string }
		if err == nil {
			err = json.Unmarshal(row.Value, &written)
		}
		return status.State, written.Holder, err
	}
	return "", "", err
}

// restart stops the process by SIGTERM and starts it again.
func (n *node) restart() error {
	n.signal(syscall.SIGTERM)
	n.lab.note("SIGTERM to %s", n.name)
	n.mu.Lock()
	cmd := n.cmd
	n.mu.Unlock()
	_ = cmd.Wait() // it ends by the signal
	time.Sleep(restartDelay)
	return n.start(false)
}

// pendingRestart is a restart that goes on.
type pendingRestart struct{ ended chan error }

// restartSoon begins a restart.
func (n *node) restartSoon() pendingRestart {
	p := pendingRestart{make(chan error, 1)}
	go func() { p.ended <- n.restart() }()
	return p
}

func (p pendingRestart) wait() error { return <-p.ended }
