package move

import (
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// control counts the calls of all services by data centre. At the full share
// the other services are the comparison group that shows a common fault.
type control struct {
	services  map[controlKey]*controlCounts
	refreshed time.Duration
}

type controlKey struct {
	service mesh.ServiceName
	dc      mesh.DataCentre
}

type controlCounts struct {
	Counters
	edge int // first latency bucket that counts as slow; 0 while unknown
}

func newControl() *control { return &control{services: map[controlKey]*controlCounts{}} }

func (c *control) add(o *Outcome) {
	k := controlKey{o.Service, o.DataCentre}
	s, ok := c.services[k]
	if !ok {
		s = &controlCounts{}
		c.services[k] = s
	}
	s.Counters.add(o)
	if s.edge > 0 && !o.Cold && o.Kind == OutcomeOK {
		s.Timed++
		if bucket(o.Latency) >= s.edge {
			s.Slow++
		}
	}
}

// maxEdgeAge bounds how long the edges stay while a move is at the full share.
const maxEdgeAge = time.Hour

// refresh sets the edges from the latencies so far, once a second. At the full
// share the edges stay, like the record of the old version, so that a fault that
// slows all services shows on both sides.
func (c *Controller) refreshControl() {
	age := c.mono - c.control.refreshed
	full := false
	for _, p := range c.moves {
		full = full || (p.judged() && p.full())
	}
	if age >= maxEdgeAge || (age >= evidencePeriod && !full) {
		c.control.refresh(c.mono)
	}
}

func (c *control) refresh(now time.Duration) {
	c.refreshed = now
	for _, s := range c.services {
		s.edge = slowEdge(&s.Counters)
	}
}

// others returns the counters of all services but one, by data centre.
func (c *control) others(service mesh.ServiceName) map[mesh.DataCentre]*Counters {
	out := map[mesh.DataCentre]*Counters{}
	for k, s := range c.services {
		if k.service == service {
			continue
		}
		if out[k.dc] == nil {
			out[k.dc] = &Counters{}
		}
		out[k.dc].combineScalars(&s.Counters, sum)
	}
	return out
}

// minLatencies is the number of latencies from which the median is taken.
const minLatencies = 50

// slowEdge returns the first bucket that counts as slow: at least twice the
// median. It returns 0 with too little data. The median is taken because a
// higher quantile follows a disturbance that lasted for a tenth of the time, and
// after that the disturbance no longer shows.
func slowEdge(c *Counters) int {
	_, all := c.slower(0)
	if all < minLatencies {
		return 0
	}
	var below uint64
	for b, n := range c.Latency {
		below += n
		if below*2 >= all {
			return min(b+3, latencyBuckets-1)
		}
	}
	return 0
}
