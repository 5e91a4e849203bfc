package routing

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// Signal is the outcome of one call, as evidence about its target.
type Signal uint8

// The signals.
const (
	SignalAnswer      Signal = iota + 1 // a complete answer without a server error
	SignalServerError                   // a complete answer with a server error
	SignalUnreachable                   // no connection could be opened
	SignalNoAnswer                      // timeout, broken connection or truncated answer after dispatch
	SignalShed                          // refused for load without being run
)

// Key identifies a target in the whole mesh.
type Key struct {
	Host mesh.HostID
	ID   mesh.TargetID
}

// Load is the load of a target, which its owner reports with each answer.
type Load struct {
	InFlight int
	Queued   int
	Limit    int           // concurrency limit of the owner
	Mean     time.Duration // mean service time; 0 when not known
	// RateLimit is the number of calls a second that the target takes from all nodes
	// together, 0 without a limit, and RateWait how long a new call would wait for it.
	RateLimit float64
	RateWait  time.Duration
}

type loadReport struct {
	Load
	at          time.Time
	ownInFlight int64 // this node's calls in flight when the report arrived
	ownBegun    int64 // this node's calls begun until the report arrived
	// usualOthers is the moving average, over the reports, of the calls of other nodes.
	usualOthers float64
}

// others returns the calls of other nodes at the target when it reported.
func (r *loadReport) others() float64 {
	return float64(max(0, int64(r.InFlight+r.Queued)-r.ownInFlight))
}

// Stat holds this node's statistics and outlier detection for one target. It
// outlives snapshots and is safe for concurrent use.
type Stat struct {
	inFlight       atomic.Int64
	begun          atomic.Int64 // calls since the start of this process
	lastLoadReport atomic.Pointer[loadReport]
	loadSource     atomic.Pointer[func() Load] // exact load of a target on this host
	// Times in Unix nanoseconds; 0 means never.
	ejectedUntil     atomic.Int64
	unreachableUntil atomic.Int64
	shedUntil        atomic.Int64
	lastAnswer       atomic.Int64

	meanLatency atomic.Int64  // moving average, in nanoseconds
	failureRate atomic.Uint64 // moving average of the share of failed calls, as float bits

	failing          atomic.Bool // a call failed since the last success
	probation        atomic.Bool // was ejected and has not answered since
	lastHealthReport atomic.Pointer[healthReport]

	mu              sync.Mutex
	serverErrors    int // in a row
	noAnswers       int // calls without an answer in a row
	connectFailures int // in a row
	ejections       int // in a row, without an answer between them

	readySince time.Time // by the clock of the target's host
	firstSeen  time.Time // when this node first saw that readySince
	cold       coldTime
}

type healthReport struct {
	healthy bool
	at      time.Time
}

// clampReadyTime returns when a target became ready, at the latest when this node
// first saw it ready. Otherwise a host whose clock is ahead would keep its targets
// in slow start.
func (s *Stat) clampReadyTime(since, now time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !since.Equal(s.readySince) || s.firstSeen.IsZero() {
		s.readySince, s.firstSeen = since, now
	}
	if s.firstSeen.Before(since) {
		return s.firstSeen
	}
	return since
}

// Begin counts the start of a call to the target.
func (s *Stat) Begin() {
	s.inFlight.Add(1)
	s.begun.Add(1)
}

// End counts the end of a call.
func (s *Stat) End() { s.inFlight.Add(-1) }

// InFlight returns the number of this node's calls in flight at the target.
func (s *Stat) InFlight() int { return int(s.inFlight.Load()) }

// ReportLoad records the load that the target's owner reported with an answer.
func (s *Stat) ReportLoad(l Load, now time.Time) {
	r := &loadReport{Load: l, at: now, ownInFlight: s.inFlight.Load(), ownBegun: s.begun.Load()}
	r.usualOthers = r.others()
	if last := s.lastLoadReport.Load(); last != nil {
		// The average follows rare reports faster.
		r.usualOthers = last.usualOthers + (1-fade(now.Sub(last.at), usualLoadTime))*(r.others()-last.usualOthers)
	}
	s.lastLoadReport.Store(r) // a lost race loses one report
}

// SetLoadSource sets the function that returns the exact load of a target on this
// host. It is used instead of load reports.
func (s *Stat) SetLoadSource(load func() Load) { s.loadSource.Store(&load) }

// hasLoadSource reports whether the target is on this host.
func (s *Stat) hasLoadSource() bool { return s.loadSource.Load() != nil }

// ReportHealth records a health report about the target. It is used only while
// there is no recent answer from the target.
func (s *Stat) ReportHealth(healthy bool, now time.Time) {
	s.lastHealthReport.Store(&healthReport{healthy: healthy, at: now})
}

// Record records the outcome of a call. retryAfter is the delay that a shedding
// target asked for; 0 when it gave none.
func (s *Stat) Record(sig Signal, retryAfter time.Duration, now time.Time) {
	s.recordOutcome(sig != SignalAnswer)
	switch sig {
	case SignalShed:
		s.recordShed(retryAfter, now)
	case SignalAnswer:
		s.lastAnswer.Store(now.UnixNano())
		if s.failing.Load() {
			s.resetFailures()
		}
	case SignalUnreachable:
		s.recordConnectFailure(now)
	default:
		s.recordFailure(sig, now)
	}
}

// RecordLatency adds the latency of an answered call to the moving average.
func (s *Stat) RecordLatency(d time.Duration) {
	mean := s.meanLatency.Load()
	if mean == 0 {
		mean = int64(d)
	}
	// A lost race loses one sample.
	s.meanLatency.CompareAndSwap(mean, mean+(int64(d)-mean)/latencySamples)
	s.meanLatency.CompareAndSwap(0, mean)
}

// AttemptTimeout returns how long an attempt waits for an answer before another
// target is tried, or 0 when it waits until the deadline. remaining is the time
// until the deadline.
func (s *Stat) AttemptTimeout(remaining time.Duration) time.Duration {
	mean := time.Duration(s.meanLatency.Load())
	if mean == 0 || mean*attemptTimeoutFactor > remaining/2 {
		return 0
	}
	return remaining / 2
}

// recordOutcome adds a call to the moving average of the failure rate.
func (s *Stat) recordOutcome(failed bool) {
	rate := math.Float64frombits(s.failureRate.Load())
	if failed {
		rate += failureGain * (1 - rate)
	} else {
		rate -= failureGain * rate
	}
	s.failureRate.Store(math.Float64bits(rate)) // a lost race loses one call
}

// recordShed makes picks avoid the target for a while. A refusal is an answer, so
// it is no evidence of bad health.
func (s *Stat) recordShed(retryAfter time.Duration, now time.Time) {
	backoff := min(max(retryAfter, minShedBackoff), maxShedBackoff)
	s.shedUntil.Store(now.Add(backoff).UnixNano())
}

func (s *Stat) resetFailures() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serverErrors, s.noAnswers, s.connectFailures, s.ejections = 0, 0, 0, 0
	s.ejectedUntil.Store(0)
	s.unreachableUntil.Store(0)
	s.probation.Store(false)
	s.failing.Store(false)
}

// recordConnectFailure counts a failed connect. Unreachable targets do not count
// towards the bound on ejections: a refused connection is certain evidence and
// costs no call.
func (s *Stat) recordConnectFailure(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failing.Store(true)
	s.connectFailures++
	if s.connectFailures >= maxConsecutiveConnectFailures {
		s.unreachableUntil.Store(now.Add(unreachableTime).UnixNano())
	}
}

func (s *Stat) recordFailure(sig Signal, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failing.Store(true)
	if sig == SignalServerError {
		// An answer ends the series of calls without one.
		s.noAnswers = 0
		s.serverErrors++
	} else {
		s.noAnswers++
	}
	// Calls that were sent before an ejection do not extend it.
	if now.UnixNano() < s.ejectedUntil.Load() {
		return
	}
	if s.noAnswers < maxConsecutiveNoAnswers && s.serverErrors < maxConsecutiveServerErrors && !s.probation.Load() {
		return
	}
	s.ejectedUntil.Store(now.Add(baseEjectionTime << min(s.ejections, maxEjectionDoublings)).UnixNano())
	s.ejections++
	s.probation.Store(true)
}

// isEjected reports whether calls should avoid the target. After an ejection has
// ended, one call at a time probes the target until it answers. A recent health
// report that the target is unhealthy counts as an ejection unless the target has
// answered a call within answerTTL.
func (s *Stat) isEjected(now time.Time) bool {
	if now.UnixNano() < s.ejectedUntil.Load() {
		return true
	}
	if s.probation.Load() {
		return s.inFlight.Load() > 0
	}
	h := s.lastHealthReport.Load()
	if h == nil || h.healthy || now.Sub(h.at) > healthReportTTL {
		return false
	}
	return now.UnixNano()-s.lastAnswer.Load() > int64(answerTTL)
}

func (s *Stat) isUnreachable(now time.Time) bool { return now.UnixNano() < s.unreachableUntil.Load() }

func (s *Stat) isShedding(now time.Time) bool { return now.UnixNano() < s.shedUntil.Load() }

// load returns the number of calls at the target: the reported number, corrected
// by the change in this node's calls since the report, or only this node's calls
// when there is no recent report.
func (s *Stat) load(now time.Time) int64 {
	if f := s.loadSource.Load(); f != nil {
		l := (*f)()
		return int64(l.InFlight + l.Queued)
	}
	ownInFlight := s.inFlight.Load()
	r := s.lastLoadReport.Load()
	if r == nil || now.Sub(r.at) > loadReportTTL {
		return ownInFlight
	}
	return max(ownInFlight, int64(r.InFlight+r.Queued)+ownInFlight-r.ownInFlight)
}

// fade returns the weight, from 1 to 0, of news of an age. Half of it is left after
// halfLife.
func fade(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return float64(halfLife) / float64(halfLife+age)
}

// isNearLimit reports whether the target sheds load or its load is at least
// maxSpilloverLoad of its limit.
func (s *Stat) isNearLimit(now time.Time) bool {
	if s.isShedding(now) {
		return true
	}
	limit := 0
	if f := s.loadSource.Load(); f != nil {
		limit = (*f)().Limit
	} else if r := s.lastLoadReport.Load(); r != nil && now.Sub(r.at) <= loadReportTTL {
		limit = r.Limit
	}
	return limit > 0 && float64(s.load(now)) >= maxSpilloverLoad*float64(limit)
}

// Tracker keeps the Stat of every target across snapshots.
type Tracker struct {
	mu    sync.Mutex
	stats map[Key]*Stat
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker { return &Tracker{stats: make(map[Key]*Stat)} }

// Stat returns the Stat of a target and creates it on first use.
func (t *Tracker) Stat(k Key) *Stat {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stats[k]
	if s == nil {
		s = &Stat{}
		t.stats[k] = s
	}
	return s
}

// Prune deletes the Stat of every target for which keep returns false and which
// has no call in flight.
func (t *Tracker) Prune(keep func(Key) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k, s := range t.stats {
		if !keep(k) && s.inFlight.Load() == 0 {
			delete(t.stats, k)
		}
	}
}
