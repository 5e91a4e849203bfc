package main

import (
	"context"
	"fmt"
	"time"
)

// The quiet traffic of a service in requests a second, and how many of a hundred answers
// of the bad version are failures.
const (
	quietRate  = 2
	badPercent = 25
)

// completed orders a move to a bad version while the service has little traffic. After
// the end of the rollout the traffic is the usual one again.
func completed(l *lab) (broken bool, err error) {
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
	// One client a node, so that all nodes together send quietRate requests a second.
	pause := time.Duration(len(l.nodes)) * time.Second / quietRate
	l.load(ctx, []string{"/medida/"}, 1, pause)
	time.Sleep(10 * time.Second)
	next, err := l.startVersion("v2", portServer+10)
	if err != nil {
		return false, err
	}
	servers = append(servers, next...)
	if l.trouble {
		l.note("v2 is bad")
		for _, s := range next {
			s.failing.Store(badPercent)
		}
	}
	time.Sleep(2 * time.Second)
	state, _, err := l.rollOut("v2", 16*time.Second)
	if err != nil {
		return false, err
	}
	if state == "completed" {
		for _, s := range servers {
			if s.version == "v1" && s.node.service == "pedidos" {
				s.stop()
			}
		}
	}
	l.load(ctx, []string{"/medida/"}, 5, 70*time.Millisecond)
	time.Sleep(12 * time.Second)
	cancel()
	time.Sleep(1200 * time.Millisecond)
	l.mu.Lock()
	bad := len(l.bad["v2"])
	l.mu.Unlock()
	fmt.Printf("the rollout ended as %s; %d bad answers\n", state, bad)
	if bad < badAnswers {
		return false, nil
	}
	boundary, err := l.exposureBoundary("v2")
	if err != nil {
		return false, err
	}
	return l.judgeExposure(next, boundary, ""), nil
}
