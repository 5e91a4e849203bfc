package distribution

import (
	"cmp"
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/pause"
)

// Candidate is a host that the platform's store names. Its row outlives it: the row says
// where to reach the host if it is alive, and not that it is.
type Candidate struct {
	Host    membership.Host
	Version uint64 // of the row; a row that is written later has a higher one
}

const (
	// presumeTime is how long after the first rows have been read their hosts are presumed
	// alive. Hosts that start together find their neighbours in it and learn the records
	// of the others from them.
	presumeTime = time.Second
	// unconfirmedTime is how long a candidate counts in UnconfirmedHosts although other
	// hosts of its data centre answer.
	unconfirmedTime = 3 * time.Second
	// unreachableTime is how long one counts whose data centre may be cut off, as long as a
	// host that has failed is shown.
	unreachableTime = membership.DefaultHideAfter
	// The candidates that are dialled at the same time: twice as many in each round in
	// which none answers.
	minProbes = 4
	maxProbes = 128
	// probePause is the time after an answer in which the records of other hosts arrive.
	probePause = 300 * time.Millisecond
	probePoll  = 50 * time.Millisecond
	// Candidates that did not answer are dialled again after minProbeRetry, since they may
	// have been cut off. The time doubles up to maxProbeRetry. They are forgotten after
	// candidateRetention.
	minProbeRetry      = 15 * time.Second
	maxProbeRetry      = time.Hour
	candidateRetention = membership.DefaultRetention
	// recountInterval bounds how often UnconfirmedHosts counts.
	recountInterval = 200 * time.Millisecond
)

type candidateState uint8

const (
	candidateUntried candidateState = iota
	candidateReached
	candidateUnreachable
)

type candidate struct {
	Candidate
	state candidateState
	since time.Time // when its row was first read
}

// discovery holds the candidates that are in no host record yet.
type discovery struct {
	wakeup chan struct{} // capacity 1

	mu         sync.Mutex
	candidates map[mesh.HostID]*candidate
	queue      []*candidate // those to be dialled, the latest row first
	fromOldest bool         // the next one to be dialled is that of the oldest row
	begun      time.Time    // when the first rows were read
	counted    int          // see UnconfirmedHosts
	countedAt  time.Time
}

// Discover makes this host look for the hosts that the store names, instead of those that
// it named before. Only those that answer, or of which other hosts know, get a record.
// A host without a link looks again for those that did not answer.
func (g *Gossip) Discover(list []Candidate) {
	d := &g.discovery
	now, isolated := time.Now(), g.LinkCount() == 0
	list = slices.Clone(list)
	slices.SortFunc(list, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(b.Version, a.Version), cmp.Compare(a.Host.ID, b.Host.ID))
	})
	d.mu.Lock()
	if d.begun.IsZero() {
		d.begun = now
	}
	before := d.candidates
	d.candidates, d.queue, d.countedAt = make(map[mesh.HostID]*candidate), nil, time.Time{}
	for _, item := range list {
		if item.Host.ID == g.self || g.cfg.Members.Knows(item.Host.ID, item.Host.Incarnation) {
			continue
		}
		c := &candidate{Candidate: item, since: now}
		if old := before[item.Host.ID]; old != nil {
			c.since = old.since
			if old.Version == item.Version && !isolated {
				c.state = old.state
			}
		}
		d.candidates[item.Host.ID] = c
		if c.state == candidateUntried {
			d.queue = append(d.queue, c)
		}
	}
	d.mu.Unlock()
	signal(d.wakeup)
	signal(g.relinkPending)
}

// Presumed returns the candidates that count as live hosts: those that have not failed to
// answer, while the first rows were read less than presumeTime ago.
func (g *Gossip) Presumed() []membership.Host {
	d := &g.discovery
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.candidates) == 0 || time.Since(d.begun) >= presumeTime {
		return nil
	}
	var out []membership.Host
	for _, c := range d.candidates {
		if c.state != candidateUnreachable && !g.cfg.Members.Knows(c.Host.ID, c.Host.Incarnation) {
			out = append(out, c.Host)
		}
	}
	return out
}

// withPresumed returns host records with the presumed hosts that are not among them.
func (g *Gossip) withPresumed(hosts []membership.Host) []membership.Host {
	presumed := g.Presumed()
	if len(presumed) == 0 {
		return hosts
	}
	isPresumed := make(map[mesh.HostID]bool, len(presumed))
	for i := range presumed {
		isPresumed[presumed[i].ID] = true
	}
	for i := range hosts {
		if !isPresumed[hosts[i].ID] {
			presumed = append(presumed, hosts[i])
		}
	}
	return presumed
}

// SearchState returns how many candidates are still to be dialled and how many did not
// answer.
func (g *Gossip) SearchState() (pending, unreachable int) {
	d := &g.discovery
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.candidates {
		switch {
		case g.cfg.Members.Knows(c.Host.ID, c.Host.Incarnation):
		case c.state == candidateUntried:
			pending++
		case c.state == candidateUnreachable:
			unreachable++
		}
	}
	return pending, unreachable
}

// UnconfirmedHosts returns the number of hosts that have no record here and may be alive
// all the same: those that were not looked for yet, and those of data centres that may be
// cut off, since no host of them is known. Hosts that have ended are not counted where
// others of their data centre answer.
func (g *Gossip) UnconfirmedHosts() int {
	d := &g.discovery
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if len(d.candidates) == 0 || now.Sub(d.countedAt) < recountInterval {
		return d.counted
	}
	d.countedAt, d.counted = now, 0
	reached := g.reachedDataCentres()
	for id, c := range d.candidates {
		if g.cfg.Members.Knows(id, c.Host.Incarnation) {
			delete(d.candidates, id)
			continue
		}
		age := now.Sub(c.since)
		switch {
		case reached[c.Host.DataCentre] && (c.state == candidateUnreachable || age >= unconfirmedTime):
		case age < unreachableTime:
			d.counted++
		}
	}
	return d.counted
}

// UnconfirmedDataCentres returns the data centres of the candidates that have no record.
func (g *Gossip) UnconfirmedDataCentres() []mesh.DataCentre {
	d := &g.discovery
	d.mu.Lock()
	defer d.mu.Unlock()
	var dcs []mesh.DataCentre
	for _, c := range d.candidates {
		if !g.cfg.Members.Knows(c.Host.ID, c.Host.Incarnation) && !slices.Contains(dcs, c.Host.DataCentre) {
			dcs = append(dcs, c.Host.DataCentre)
		}
	}
	return dcs
}

// reachedDataCentres returns the data centres of which another host is alive. Whoever
// reaches a host of another data centre is not cut off from its own.
func (g *Gossip) reachedDataCentres() map[mesh.DataCentre]bool {
	reached := make(map[mesh.DataCentre]bool)
	var own mesh.DataCentre
	for _, h := range g.cfg.Members.Hosts() {
		switch {
		case h.ID == g.self:
			own = h.DataCentre
		case h.Status < membership.StatusFailed:
			reached[h.DataCentre] = true
		}
	}
	reached[own] = len(reached) > 0
	return reached
}

// target returns the record of a host to dial: that of a candidate, or else that of a
// member.
func (g *Gossip) target(id mesh.HostID) (h membership.Host, isCandidate, ok bool) {
	d := &g.discovery
	d.mu.Lock()
	c := d.candidates[id]
	d.mu.Unlock()
	if c != nil && !g.cfg.Members.Knows(id, c.Host.Incarnation) {
		return c.Host, true, true
	}
	h, ok = g.cfg.Members.Get(id)
	return h, false, ok
}

func (d *discovery) setState(id mesh.HostID, state candidateState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c := d.candidates[id]; c != nil {
		c.state = state
	}
}

// unreachable returns the candidates that did not answer.
func (d *discovery) unreachable() []membership.Host {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []membership.Host
	for _, c := range d.candidates {
		if c.state == candidateUnreachable {
			out = append(out, c.Host)
		}
	}
	return out
}

// retryUnreachable makes next return the candidates again that did not answer, and reports
// whether there is one.
func (d *discovery) retryUnreachable() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, c := range d.candidates {
		switch {
		case time.Since(c.since) >= candidateRetention:
			delete(d.candidates, id)
		case c.state == candidateUnreachable:
			c.state = candidateUntried
			d.queue = append(d.queue, c)
		}
	}
	return len(d.queue) > 0
}

// next takes the next candidates to dial, by turns those of the latest and of the oldest
// rows: the former have started last, and the latter have been there for long.
func (d *discovery) next(n int, skip func(*candidate) bool) []*candidate {
	d.mu.Lock()
	defer d.mu.Unlock()
	var batch []*candidate
	for len(batch) < n && len(d.queue) > 0 {
		at := 0
		if d.fromOldest {
			at = len(d.queue) - 1
		}
		c := d.queue[at]
		d.queue = slices.Delete(d.queue, at, at+1)
		if c.state != candidateUntried || skip(c) {
			continue
		}
		d.fromOldest = !d.fromOldest
		batch = append(batch, c)
	}
	return batch
}

// retry puts a candidate back that is alive but accepts no link now.
func (d *discovery) retry(c *candidate) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.candidates[c.Host.ID] == c {
		d.queue = append(d.queue, c)
	}
}

// discover dials the candidates of which this host has no record, once its neighbours have
// had the time to send theirs, and later those again that did not answer.
func (g *Gossip) discover(ctx context.Context) {
	retry := time.NewTimer(maxProbeRetry)
	defer retry.Stop()
	retryDelay := minProbeRetry
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.discovery.wakeup:
			retryDelay = minProbeRetry
			if !g.awaitNeighbours(ctx) {
				return
			}
		case <-retry.C:
			retryDelay = min(maxProbeRetry, 2*retryDelay)
			if !g.discovery.retryUnreachable() {
				continue // Discover names others
			}
		}
		g.probeAll(ctx)
		signal(g.relinkPending)
		retry.Reset(retryDelay)
	}
}

// probeAll dials the candidates that were not tried.
func (g *Gossip) probeAll(ctx context.Context) {
	for size := minProbes; ctx.Err() == nil; {
		batch := g.discovery.next(size, func(c *candidate) bool {
			return g.cfg.Members.Knows(c.Host.ID, c.Host.Incarnation) || g.hasLink(c.Host.ID)
		})
		if len(batch) == 0 {
			return
		}
		if !g.probe(ctx, batch) {
			size = min(maxProbes, 2*size)
			continue
		}
		size = minProbes
		pause.For(ctx, probePause)
	}
}

// awaitNeighbours waits until the presumed hosts have had their time, or one of them did
// not answer and this host has no link.
func (g *Gossip) awaitNeighbours(ctx context.Context) bool {
	for {
		pending, unreachable := g.SearchState()
		g.discovery.mu.Lock()
		waited := time.Since(g.discovery.begun) >= presumeTime
		g.discovery.mu.Unlock()
		if pending == 0 || waited || unreachable > 0 && g.LinkCount() == 0 {
			return true
		}
		if !pause.For(ctx, probePoll) {
			return false
		}
	}
}

// probe dials candidates at the same time and reports whether one of them is alive.
func (g *Gossip) probe(ctx context.Context, batch []*candidate) bool {
	var wg sync.WaitGroup
	alive := make([]bool, len(batch))
	for i, c := range batch {
		wg.Go(func() {
			g.cfg.Guard("gossip_task", func() { alive[i] = g.probeOne(ctx, c) })
		})
	}
	wg.Wait()
	return slices.Contains(alive, true)
}

func (g *Gossip) probeOne(ctx context.Context, c *candidate) bool {
	g.cfg.Counters.Count("distribution_probes", 1)
	err := g.dial(ctx, Endpoint{Host: c.Host.ID, Address: c.Host.PeerAddress})
	switch {
	case err == nil || g.hasLink(c.Host.ID) || isRemoteDuplicate(err):
		g.discovery.setState(c.Host.ID, candidateReached)
	case ctx.Err() != nil:
		return false
	case errors.Is(err, ErrBusy):
		g.discovery.retry(c)
	default:
		g.discovery.setState(c.Host.ID, candidateUnreachable)
		g.cfg.Counters.Count("distribution_probe_failures", 1)
		return false
	}
	return true
}

// isTimeout reports whether a dial was not answered at all. A host that is just starting
// refuses it.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.Is(err, context.DeadlineExceeded) || errors.As(err, &timeout) && timeout.Timeout()
}
