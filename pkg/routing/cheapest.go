package routing

import (
	"math"
	"math/rand/v2"
	"time"
)

// CostParams holds the properties of a call that its cost depends on.
type CostParams struct {
	// TimeLeft is the time until the call misses its latency target.
	TimeLeft time.Duration
	// MeanServiceTime is the mean service time of calls of the same route; 0 when
	// not known.
	MeanServiceTime time.Duration
	// RemoteCost is the additional cost of a call to another data centre: the
	// round-trip time, and the load on the shared links between data centres.
	RemoteCost time.Duration
	// WarmUp is how long a target is slow after it became ready.
	WarmUp time.Duration
	// ColdRate is the number of calls a second that a cold target takes from all hosts
	// together; 0 when it takes any.
	ColdRate float64
	// Exclude reports whether a target gets no call at all. Without it, all may.
	Exclude func(*Candidate) bool

	// Set by PickCheapest.
	summary      *setSummary
	coldInterval time.Duration // between the calls of one host to a cold target
}

// setSummary holds what a pick needs to know of all targets of a set. It is shared
// by the picks of summaryTTL, since each takes a pass over the set.
type setSummary struct {
	at                time.Time
	meanServiceTime   time.Duration // see Set.meanServiceTime
	mayExcludeEjected bool          // see Set.mayExcludeEjected
}

// summaryTTL is short against the time in which evidence of a target's health or
// speed accumulates.
const summaryTTL = 20 * time.Millisecond

func (s *Set) summarize(now time.Time) *setSummary {
	if c := s.summary.Load(); c != nil && now.Sub(c.at) < summaryTTL && !now.Before(c.at) {
		return c
	}
	c := &setSummary{at: now, meanServiceTime: s.meanServiceTime(now), mayExcludeEjected: s.mayExcludeEjected(now)}
	s.summary.Store(c)
	return c
}

// timeMargin is the factor by which the time left must exceed the expected time
// at a target of the local data centre for the call to stay there. Few calls of
// a kind take longer than this times the mean.
const timeMargin = 1.5

// PickCheapest returns the target with the lowest expected cost for a call, or
// nil when no target is eligible. The cost is the expected queueing and service
// time, plus penalties for another data centre, recent failures and a cold start.
// Among targets that are equally fast for this call it prefers those with free slots,
// since many nodes choose at the same moment and what they know of queues is old.
//
// A call stays in the local data centre while it can be answered in time there.
// It leaves only for a target that can answer in time, since a late answer does
// not justify the cost of a remote call, or when no local target is usable. A call
// that was refused for load is sent only to a target that is expected to answer in
// time. Unreachable and suspected targets are used only when there is no other; so
// are ejected ones, unless more than half of the set is ejected.
func (s *Set) PickCheapest(now time.Time, rng *rand.Rand, tried *PreviousAttempts, p CostParams) *Candidate {
	p.summary = s.summarize(now)
	if p.ColdRate > 0 {
		p.coldInterval = time.Duration(float64(s.Len()) / p.ColdRate * float64(time.Second))
	}
	skipEjected := p.summary.mayExcludeEjected
	remaining := float64(p.TimeLeft)
	local, expected := s.cheapest(now, rng, tried, &p, skipEjected, true, localOnly)
	if local != nil && expected*timeMargin <= remaining {
		return local
	}
	if c, expected := s.cheapest(now, rng, tried, &p, skipEjected, true, remoteWithRoom); c != nil && expected <= remaining {
		return c
	}
	if tried.Shed {
		return nil
	}
	if local != nil {
		return local
	}
	if c, _ := s.cheapest(now, rng, tried, &p, skipEjected, true, allTargets); c != nil {
		return c
	}
	c, _ := s.cheapest(now, rng, tried, &p, false, false, allTargets)
	return c
}

// mayExcludeEjected reports whether at most half of the set is ejected, so that
// picks may skip the ejected targets.
func (s *Set) mayExcludeEjected(now time.Time) bool {
	ejected := 0
	for _, list := range [...][]*Candidate{s.local, s.remote} {
		for _, c := range list {
			if c.Stat.isEjected(now) {
				ejected++
			}
		}
	}
	return ejected*2 <= s.Len()
}

// meanServiceTime returns the mean over the targets that report their service
// time, or 0 when none does.
func (s *Set) meanServiceTime(now time.Time) time.Duration {
	sum, n := time.Duration(0), 0
	for _, list := range [...][]*Candidate{s.local, s.remote} {
		for _, c := range list {
			if l, ok := c.Stat.reportedLoad(now); ok && l.Mean > 0 {
				sum += l.Mean
				n++
			}
		}
	}
	if n == 0 {
		return 0
	}
	return sum / time.Duration(n)
}

// scope says which targets a choice is made among.
type scope uint8

const (
	localOnly scope = iota
	// remoteWithRoom adds the targets of other data centres where no call is expected to
	// be queued. Full data centres would otherwise send each other their calls.
	remoteWithRoom
	allTargets
)

// cheapest returns the target with the lowest cost and the expected time of the call
// there, in nanoseconds. skipUnhealthy excludes suspected and unreachable targets.
func (s *Set) cheapest(now time.Time, rng *rand.Rand, tried *PreviousAttempts, p *CostParams, skipEjected, skipUnhealthy bool, among scope) (*Candidate, float64) {
	var best *Candidate
	minCost, expected := math.Inf(1), math.Inf(1)
	mean := p.summary.meanServiceTime
	visit := func(c *Candidate, remote bool) {
		if tried.contains(c) || p.Exclude != nil && p.Exclude(c) || skipUnhealthy && (c.Suspect || c.Stat.isUnreachable(now)) || skipEjected && c.Stat.isEjected(now) {
			return
		}
		took, preference, load := c.cost(now, rng, p, mean)
		if remote {
			if among == remoteWithRoom && load > maxRemoteLoad {
				return
			}
			took += float64(p.RemoteCost)
		}
		// The jitter spreads calls over targets of equal cost.
		if cost := (took + preference) * (1 + 0.02*rng.Float64()); cost < minCost {
			best, minCost, expected = c, cost, took
		}
	}
	for _, c := range s.local {
		visit(c, false)
	}
	if among != localOnly {
		for _, c := range s.remote {
			visit(c, true)
		}
	}
	return best, expected
}

// cost returns the expected time of a call at the target plus penalties, and what is
// added to it for the choice among targets, both in nanoseconds; and the expected load
// as a share of the concurrency limit. mean is the mean service time over all targets.
func (c *Candidate) cost(now time.Time, rng *rand.Rand, p *CostParams, mean time.Duration) (expected, preference, load float64) {
	usual := float64(defaultServiceTime)
	if mean > 0 {
		usual = float64(mean)
	}
	e := c.Stat.estimate(now, usual)
	limit := e.limit
	if limit == 0 {
		limit = float64(max(1, c.Slots))
	}
	cold := p.ColdRate > 0 && now.Before(c.coldUntil)
	if cold && !c.Stat.hasLoadSource() {
		e.rateWait = max(e.rateWait, float64(c.Stat.coldWait(now, p.coldInterval, rng)))
	}
	run := e.serviceTime
	if p.MeanServiceTime > 0 && mean > 0 {
		run *= float64(p.MeanServiceTime) / usual
	}
	run *= 1 + fullLoadSlowdown*min(1, e.load/limit)
	// The mean of what exceeds the slots, with a load that is uncertain.
	excess := e.load + 1 - limit
	excess = (excess + math.Sqrt(excess*excess+loadVariance*limit)) / 2
	queue := excess * e.serviceTime / limit
	// Half of a difference in speed decides, so that a slower target gets calls before
	// others queue at a faster one.
	damping := math.Sqrt(usual / e.serviceTime)
	preference = (queueWeight*damping-1)*queue + (damping-1)*run
	expected = max(e.rateWait, queue) + run
	if now.Sub(c.readyAt) < p.WarmUp || cold {
		expected *= warmUpFactor
	}
	expected += math.Float64frombits(c.Stat.failureRate.Load()) * float64(failureCost)
	if c.Stat.isShedding(now) {
		expected += e.serviceTime
	}
	return expected, preference, e.load / limit
}

// estimate is what this node expects of a target now, in calls and nanoseconds.
type estimate struct {
	load, limit, serviceTime, rateWait float64 // limit is 0 when not known
}

// estimate returns what is expected of the target; usual is the mean service time over
// all targets. The calls of other nodes that its owner reported have been replaced by
// others after about a service time: the older the report is, the less their number
// counts, and the more the usual one. That fades, too, as does a difference in speed: a
// target that was slow or full would otherwise get no call that shows that it is no
// more. This node's own calls are counted exactly.
func (s *Stat) estimate(now time.Time, usual float64) estimate {
	l, r, exact := Load{}, s.lastLoadReport.Load(), s.loadSource.Load()
	switch {
	case exact != nil:
		l = (*exact)()
	case r != nil:
		l = r.Load
	default:
		l.InFlight = int(s.inFlight.Load())
	}
	e := estimate{load: float64(l.InFlight + l.Queued), limit: float64(l.Limit), serviceTime: usual, rateWait: float64(l.RateWait)}
	if l.Mean > 0 {
		e.serviceTime = float64(l.Mean)
	}
	if exact != nil || r == nil {
		return e
	}
	age := now.Sub(r.at)
	weight := fade(age, usualLoadTime)
	e.serviceTime = usual + (e.serviceTime-usual)*weight
	usualOthers := r.usualOthers * weight
	e.load = float64(s.inFlight.Load()) + usualOthers + (r.others()-usualOthers)*fade(age, time.Duration(e.serviceTime))
	e.rateWait = float64(s.rateWait(r, now))
	return e
}

// rateWait returns the reported wait for a rate limit, corrected by the time and by
// this node's calls since the report.
func (s *Stat) rateWait(r *loadReport, now time.Time) time.Duration {
	if r.RateLimit <= 0 {
		return r.RateWait
	}
	begun := float64(s.begun.Load()-r.ownBegun) / r.RateLimit * float64(time.Second)
	return max(0, r.RateWait-now.Sub(r.at)+time.Duration(begun))
}

// reportedLoad returns the load that the target's owner reported last, without
// its counts of calls when the report is old. The wait for a rate limit is corrected
// by the time and by this node's calls since the report.
func (s *Stat) reportedLoad(now time.Time) (Load, bool) {
	if f := s.loadSource.Load(); f != nil {
		return (*f)(), true
	}
	r := s.lastLoadReport.Load()
	if r == nil {
		return Load{}, false
	}
	l := r.Load
	if now.Sub(r.at) > loadReportTTL {
		l.InFlight, l.Queued = 0, 0
	}
	l.RateWait = s.rateWait(r, now)
	return l, true
}
