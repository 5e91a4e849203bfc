package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/pause"
)

// Requests under crashPrefix end each target that runs them. The lookups route serves
// them, and the orders route, whose requests may not run twice.
const (
	crashMark     = "/crash-"
	crashDowntime = 2 * time.Second // until the target's host has another target
	crashRuns     = 20 * time.Millisecond
	// maxCrashesLater bounds the runs of such a request later than faultMargin after
	// the third target has ended under it, through nodes that are free of faults.
	maxCrashesLater = 3
	crashLimit      = 3
)

// crash is a run of a request that ended its target.
type crash struct {
	path string
	at   time.Time // start of the run, and end of the target
	end  time.Time
	node *node // of the target
	id   string
}

// runCrashing runs a request that ends the target. It reports whether it was one.
func (t *target) runCrashing(path, id string) bool {
	if !strings.Contains(path, crashMark) {
		return false
	}
	began := time.Now()
	time.Sleep(crashRuns)
	t.mu.Lock()
	ended := t.ended
	t.mu.Unlock()
	t.crash()
	c := crash{path: path, at: began, node: t.node, id: id}
	if !ended {
		c.end = time.Now()
		time.AfterFunc(crashDowntime, t.restart)
	}
	t.node.cluster.journal.recordCrash(c)
	return true
}

// restart starts a target that is like the one that has ended, unless it was leaving,
// its version is no longer wanted, or there is another one.
func (t *target) restart() {
	n := t.node
	t.mu.Lock()
	leaving := t.draining
	t.mu.Unlock()
	if leaving || n.cluster.ctx.Err() != nil || n.cluster.journal.isRetired(n.service, t.version) || len(n.servingTargets(t.version)) > 0 {
		return
	}
	n.startTarget(n.cluster.ctx, t.version).failing.Store(t.failing.Load())
}

// retire records that the targets of a version are taken away.
func (j *journal) retire(s mesh.ServiceName, v mesh.TargetVersion) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.retired[mesh.ServiceVersion{Service: s, Version: v}] = true
}

func (j *journal) isRetired(s mesh.ServiceName, v mesh.TargetVersion) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.retired[mesh.ServiceVersion{Service: s, Version: v}]
}

func (j *journal) recordCrash(c crash) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.crashes = append(j.crashes, c)
}

// sendCrashing sends two requests that end targets again and again, to random nodes,
// until the context ends. Its schedule has a source of its own, so that the
// other faults of a seed are the same with and without it.
func (c *cluster) sendCrashing(ctx context.Context) {
	rng := rand.New(rand.NewPCG(c.options.Seed, 5))
	for n := 0; ctx.Err() == nil; n++ {
		node := c.nodes[rng.IntN(len(c.nodes))]
		out := outcome{id: fmt.Sprint("crash-", n), node: node, begin: time.Now(), path: "/lookups" + crashMark + "1", crashing: true}
		if rng.IntN(3) == 0 {
			out.path, out.unsafe = "/orders"+crashMark+"1", true
		}
		caller := &caller{node: node}
		if caller.connect() {
			caller.exchange(&out)
			out.end = time.Now()
			c.journal.recordOutcome(out)
			caller.close()
		}
		pause.For(ctx, time.Duration(100+rng.IntN(400))*time.Millisecond)
	}
}

// checkCrashes reports requests that were run on after three targets had ended under
// them, except through nodes with faults.
func (j *journal) checkCrashes() {
	ends, late := make(map[string][]time.Time), make(map[string]int)
	entries := make(map[string]*outcome)
	for i := range j.outcomes {
		entries[j.outcomes[i].id] = &j.outcomes[i]
	}
	for i := range j.crashes {
		c := &j.crashes[i]
		from := c.at.Add(-faultMargin)
		entry := entries[c.id]
		if e := ends[c.path]; len(e) >= crashLimit && e[crashLimit-1].Before(from) &&
			entry != nil && !j.hadFault(c.node, from, c.at, nil) && !j.hadFault(entry.node, from, c.at, nil) {
			late[c.path]++
		}
		if !c.end.IsZero() {
			ends[c.path] = append(ends[c.path], c.end)
		}
	}
	for path, n := range late {
		if n > maxCrashesLater {
			j.addViolationLocked("%s was run %d times later than %s after it had ended %d targets; %d ended in all", path, n, faultMargin, crashLimit, len(ends[path]))
		}
	}
}
