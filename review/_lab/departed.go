package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// departed kills all processes after a server's leaving was acknowledged. A status
// report that the server sent before it left arrives after the restart.
func departed(l *lab) (broken bool, err error) {
	if err := l.open(configText(1)); err != nil {
		return false, err
	}
	l.addNodes()
	var leaver *server
	for _, n := range l.nodes {
		if err := n.start(true); err != nil {
			return false, err
		}
		s, err := n.startServer("i-"+n.name, "v1", portServer)
		if err != nil {
			return false, err
		}
		defer s.stop()
		leaver = s // the last one: bodega in ibarra
	}
	if err := l.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l.load(ctx, []string{"/fibra/", "/medida/"}, 3, 100*time.Millisecond)
	time.Sleep(4 * time.Second)

	// The last status report before the leaving is late.
	leaver.mu.Lock()
	leaver.silent = true
	leaver.mu.Unlock()
	path, text := leaver.body()
	l.note("%s sends a status report, which is late: %s", leaver.id, text)
	sent := time.Now()
	time.Sleep(300 * time.Millisecond)
	if err := leaver.post("/v1/instances/"+leaver.id+"/leave", ""); err != nil {
		return false, fmt.Errorf("%w: leaving not acknowledged: %w", errSetup, err)
	}
	acked := time.Now()
	l.note("the leaving of %s is acknowledged", leaver.id)
	time.Sleep(time.Second)
	if l.trouble {
		var wg sync.WaitGroup
		for _, n := range l.nodes {
			wg.Go(n.kill)
		}
		wg.Wait()
		time.Sleep(restartDelay)
		for _, n := range l.nodes {
			if err := n.start(false); err != nil {
				return false, err
			}
		}
	}
	inTouch := time.Now().Add(touch)
	time.Sleep(time.Until(sent.Add(4 * time.Second)))
	err = leaver.post(path, text)
	l.note("the late status report of %s arrives: %v", leaver.id, err)
	time.Sleep(time.Until(acked.Add(11 * time.Second)))
	cancel()
	l.note("%s ends", leaver.id)
	leaver.stop()

	// Judged are requests that clients sent when all machines were in touch again.
	from := acked.Add(drainTime)
	if l.trouble && inTouch.After(from) {
		from = inTouch
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	sentAt := make(map[string]time.Time, len(l.answers))
	for _, a := range l.answers {
		sentAt[a.id] = a.sent
	}
	late := 0
	for _, r := range l.runs {
		if r.server == leaver.id && r.at.After(from) && sentAt[r.id].After(from) {
			late++
			fmt.Fprintf(l.record, "late: %s reached %s at %.3f, %.3f s after the ack\n", r.id, leaver.id, l.at(r.at), r.at.Sub(acked).Seconds())
		}
	}
	fmt.Printf("%d requests reached the server later than Drain after the ack, at machines in touch\n", late)
	return late > 0, nil
}
