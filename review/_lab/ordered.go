package main

import (
	"context"
	"fmt"
	"time"
)

// leaveAfter is the time from the roll-back of a version until its servers leave.
const leaveAfter = 9 * time.Second

// ordered orders a move to a version that is bad under load and is rolled back, and then one to
// a third version while the servers of the bad one are still there.
func ordered(l *lab) (broken bool, err error) {
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

	bad, err := l.startVersion("v2", portServer+10)
	if err != nil {
		return false, err
	}
	servers = append(servers, bad...)
	time.Sleep(2 * time.Second)
	for _, s := range bad {
		s.underLoad.Store(true)
	}
	state, _, err := l.rollOut("v2", moveTime)
	if err != nil || state != "rolled_back" {
		return false, fmt.Errorf("%w: rollout of v2 ended as %q: %w", errSetup, state, err)
	}
	rolledBack := time.Now()
	restarted := l.nodes[7].restartSoon()
	good, err := l.startVersion("v3", portServer+20)
	if err != nil {
		return false, err
	}
	servers = append(servers, good...)
	time.Sleep(time.Second)
	boundary, err := l.exposureBoundary("v2")
	if err != nil {
		return false, err
	}
	// One node has been stopped and started meanwhile, and is in touch again.
	if err := restarted.wait(); err != nil {
		return false, err
	}
	inTouch := time.Now().Add(touch + 100*time.Millisecond)
	time.Sleep(time.Until(boundary.Add(100 * time.Millisecond)))
	time.Sleep(time.Until(inTouch))
	from := time.Now()
	if l.trouble {
		if err := l.order("v3", moveTime); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(rolledBack.Add(leaveAfter)))
	l.note("the servers of v2 leave")
	for _, s := range bad {
		s.leave()
	}
	cancel()
	time.Sleep(1200 * time.Millisecond)
	return l.judgeExposure(bad, from, ""), nil
}
