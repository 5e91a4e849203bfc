package move

import (
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// controlGroup counts the calls to all services by data centre. At the full
// share the old version gets no calls, so the calls to the other services are
// the comparison group that reveals a common fault.
type controlGroup struct {
	services    map[controlKey]*controlCounts
	refreshedAt time.Duration
}

type controlKey struct {
	service mesh.ServiceName
	dc      mesh.DataCentre
}

type controlCounts struct {
	Counters
	firstSlow int // first latency bucket that counts as slow; 0 while unknown
}

func newControlGroup() *controlGroup { return &controlGroup{services: map[controlKey]*controlCounts{}} }

func (c *controlGroup) add(o *Outcome) {
	k := controlKey{o.Service, o.DataCentre}
	s, ok := c.services[k]
	if !ok {
		s = &controlCounts{}
		c.services[k] = s
	}
	s.Counters.add(o)
	if s.firstSlow > 0 && !o.Cold && o.Kind == OutcomeOK {
		s.Timed++
		if latencyBucket(o.Latency) >= s.firstSlow {
			s.Slow++
		}
	}
}

// maxSlowBucketAge limits how long the slow buckets stay unchanged while a move
// is at the full share.
const maxSlowBucketAge = time.Hour

// refreshSlowBuckets computes the first slow bucket of each service from its
// latencies so far, once a second. While a move is at the full share the buckets
// stay unchanged, as the latencies of the old version do, so that a fault that
// slows down all services shows on both sides.
func (c *Controller) refreshSlowBuckets() {
	age := c.mono - c.control.refreshedAt
	full := false
	for _, p := range c.moves {
		full = full || (p.needsEvaluation() && p.full())
	}
	if age >= maxSlowBucketAge || (age >= evidencePeriod && !full) {
		c.control.refresh(c.mono)
	}
}

func (c *controlGroup) refresh(now time.Duration) {
	c.refreshedAt = now
	for _, s := range c.services {
		s.firstSlow = firstSlowBucket(&s.Counters)
	}
}

// countsWithout returns the counters of all services but one, by data centre.
func (c *controlGroup) countsWithout(service mesh.ServiceName) map[mesh.DataCentre]*Counters {
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

// minSamples is the minimum number of calls from which a median latency or the
// proportions of the versions are computed.
const minSamples = 50

// firstSlowBucket returns the first bucket that counts as slow: at least twice
// the median. It returns 0 with too little data. It uses the median because a
// disturbance that lasts for a tenth of the time already raises a higher
// quantile, which would then hide the disturbance.
func firstSlowBucket(c *Counters) int {
	_, all := c.slowCalls(0)
	if all < minSamples {
		return 0
	}
	var below uint64
	for bucket, n := range c.Latency {
		below += n
		if below*2 >= all {
			return min(bucket+3, latencyBuckets-1)
		}
	}
	return 0
}
