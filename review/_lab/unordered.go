package main

import (
	"context"
	"fmt"
	"time"
)

// unordered orders a move to a bad version, which is rolled back and ends. Then the
// servers of the next version start, some seconds before the operator orders the move.
func unordered(l *lab) (broken bool, err error) {
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
	l.load(ctx, []string{"/fibra/", "/medida/", "/medida/"}, 5, 70*time.Millisecond)
	time.Sleep(2 * time.Second)
	if l.trouble {
		bad, err := l.startVersion("v2", portServer+10)
		if err != nil {
			return false, err
		}
		servers = append(servers, bad...)
		time.Sleep(2 * time.Second)
		l.turnBad(bad)
		state, _, err := l.rollOut("v2", 16*time.Second)
		if err != nil || state != "rolled_back" {
			return false, fmt.Errorf("%w: rollout of v2 ended as %q: %w", errSetup, state, err)
		}
		time.Sleep(3 * time.Second)
		l.note("the servers of v2 leave")
		for _, s := range bad {
			s.leave()
		}
		time.Sleep(4 * time.Second)
		for _, s := range bad {
			s.stop()
		}
		time.Sleep(time.Second)
	}
	next, err := l.startVersion("v3", portServer+20)
	if err != nil {
		return false, err
	}
	servers = append(servers, next...)
	time.Sleep(5 * time.Second)
	ordered := time.Now()
	if err := l.order("v3", 16*time.Second); err != nil {
		return false, err
	}
	cancel()
	time.Sleep(1200 * time.Millisecond)
	return l.judgeRoute(next, ordered), nil
}

// judgeRoute reports whether servers ran requests of clients before their version was
// ordered.
func (l *lab) judgeRoute(version []*server, ordered time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	isNew := make(map[string]bool)
	for _, s := range version {
		isNew[s.id] = true
	}
	early, all := 0, 0
	for _, r := range l.runs {
		age := ordered.Sub(r.at)
		if age < 0 || age > 5*time.Second {
			continue
		}
		all++
		if isNew[r.server] {
			early++
			fmt.Fprintf(l.record, "early: %s ran %s %.3f s before the order\n", r.server, r.id, age.Seconds())
		}
	}
	text := fmt.Sprintf("%d of %d requests in the five seconds before the order ran on the version that had not been ordered", early, all)
	fmt.Fprintln(l.record, text)
	fmt.Println(text)
	return early > 0
}
