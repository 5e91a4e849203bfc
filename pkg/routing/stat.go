package routing

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// Signal is what one call showed about its target.
type Signal uint8

// The signals.
const (
	SignalAnswer      Signal = iota + 1 // a complete answer without a server error
	SignalServerError                   // a complete answer with a server error
	SignalUnreachable                   // no connection could be opened
	SignalNoAnswer                      // timeout, broken connection or early end after dispatch
	SignalShed                          // refused for load without being run
)

// Key names a target in the whole mesh.
type Key struct {
	Host mesh.HostID
	ID   mesh.TargetID
}

// Load is the work that the owner of a target reports with its answers.
type Load struct {
	InFlight int
	Queued   int
	Limit    int           // calls that the owner lets run at once
	Mean     time.Duration // mean time of a call at the target; 0 when not known
}

type loadReport struct {
	Load
	at  time.Time
	own int64 // own calls in flight when the report came
}

// Stat is what this node itself knows about one target. It outlives snapshots
// and is safe for concurrent use.
type Stat struct {
	inFlight atomic.Int64
	report   atomic.Pointer[loadReport]
	source   atomic.Pointer[func() Load] // exact load of a target on this host
	// These are Unix nanoseconds; 0 means never.
	ejectedUntil atomic.Int64
	downUntil    atomic.Int64
	shedUntil    atomic.Int64
	lastAnswer   atomic.Int64

	took   atomic.Int64  // mean time to an answer in nanoseconds
	faults atomic.Uint64 // share of calls that failed lately, as float bits

	failing   atomic.Bool // the last answer was not a success
	probation atomic.Bool // was ejected and has not answered since
	hint      atomic.Pointer[hint]

	mu        sync.Mutex
	errors    int // server errors in a row
	silences  int // calls without an answer in a row
	refusals  int // failed connects in a row
	ejections int // ejections in a row without an answer between them

	readySince time.Time // as the target's host says
	readySeen  time.Time // when this node saw it first
}

type hint struct {
	healthy bool
	at      time.Time
}

// readyAt returns when a target became ready. A host whose clock is ahead would
// keep its targets cold, so the time when this node saw it bounds it.
func (s *Stat) readyAt(since, now time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !since.Equal(s.readySince) || s.readySeen.IsZero() {
		s.readySince, s.readySeen = since, now
	}
	if s.readySeen.Before(since) {
		return s.readySeen
	}
	return since
}

// Begin counts a call that is sent to the target.
func (s *Stat) Begin() { s.inFlight.Add(1) }

// End counts the end of a call.
func (s *Stat) End() { s.inFlight.Add(-1) }

// InFlight returns the calls of this node that are at the target.
func (s *Stat) InFlight() int { return int(s.inFlight.Load()) }

// ReportLoad takes the load that the target's owner sent with an answer.
func (s *Stat) ReportLoad(l Load, now time.Time) {
	s.report.Store(&loadReport{Load: l, at: now, own: s.inFlight.Load()})
}

// SetLoadSource gives the exact load of a target on this host, which then counts
// instead of reports.
func (s *Stat) SetLoadSource(load func() Load) { s.source.Store(&load) }

// ReportHealth takes what a health report says about the target. It counts only while
// there is no recent evidence from calls.
func (s *Stat) ReportHealth(healthy bool, now time.Time) {
	s.hint.Store(&hint{healthy: healthy, at: now})
}

// Record takes what a call showed. retryAfter is the time that a shedding
// target asked for; 0 when it said none.
func (s *Stat) Record(sig Signal, retryAfter time.Duration, now time.Time) {
	s.countFault(sig != SignalAnswer)
	switch sig {
	case SignalShed:
		s.shed(retryAfter, now)
	case SignalAnswer:
		s.lastAnswer.Store(now.UnixNano())
		if s.failing.Load() {
			s.recover()
		}
	case SignalUnreachable:
		s.unreachable(now)
	default:
		s.fail(sig, now)
	}
}

// RecordLatency takes the time in which the target answered a call.
func (s *Stat) RecordLatency(d time.Duration) {
	mean := s.took.Load()
	if mean == 0 {
		mean = int64(d)
	}
	// A lost race loses one sample.
	s.took.CompareAndSwap(mean, mean+(int64(d)-mean)/tookSamples)
	s.took.CompareAndSwap(0, mean)
}

// AttemptTimeout returns how long to wait for an answer before another target is
// tried, when left is the time until the deadline; 0 means until the deadline.
func (s *Stat) AttemptTimeout(left time.Duration) time.Duration {
	mean := time.Duration(s.took.Load())
	if mean == 0 || mean*silenceFactor > left/2 {
		return 0
	}
	return left / 2
}

// countFault keeps the share of failed calls as a moving average.
func (s *Stat) countFault(failed bool) {
	share := math.Float64frombits(s.faults.Load())
	if failed {
		share += faultGain * (1 - share)
	} else {
		share -= faultGain * share
	}
	s.faults.Store(math.Float64bits(share)) // a lost race loses one call
}

// shed makes picks avoid the target for a while. The refusal itself is an
// answer, so it does not speak against the target's health.
func (s *Stat) shed(retryAfter time.Duration, now time.Time) {
	pause := min(max(retryAfter, minShedPause), maxShedPause)
	s.shedUntil.Store(now.Add(pause).UnixNano())
}

func (s *Stat) recover() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.errors, s.silences, s.refusals, s.ejections = 0, 0, 0, 0
	s.ejectedUntil.Store(0)
	s.downUntil.Store(0)
	s.probation.Store(false)
	s.failing.Store(false)
}

// unreachable takes the target out without regard to the bound on ejections:
// a refused connection is certain evidence and costs no call.
func (s *Stat) unreachable(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failing.Store(true)
	s.refusals++
	if s.refusals >= maxRefusals {
		s.downUntil.Store(now.Add(downTime).UnixNano())
	}
}

func (s *Stat) fail(sig Signal, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failing.Store(true)
	if sig == SignalServerError {
		// The target answers, so the silence is over.
		s.silences = 0
		s.errors++
	} else {
		s.silences++
	}
	// Calls that were sent before an ejection do not lengthen it.
	if now.UnixNano() < s.ejectedUntil.Load() {
		return
	}
	if s.silences < maxSilences && s.errors < maxServerErrors && !s.probation.Load() {
		return
	}
	s.ejectedUntil.Store(now.Add(ejectionTime << min(s.ejections, maxEjectionDoublings)).UnixNano())
	s.ejections++
	s.probation.Store(true)
}

// ejected reports whether calls should avoid the target. After an ejection has
// ended, one call at a time probes the target until it answers.
func (s *Stat) ejected(now time.Time) bool {
	if now.UnixNano() < s.ejectedUntil.Load() {
		return true
	}
	if s.probation.Load() {
		return s.inFlight.Load() > 0
	}
	h := s.hint.Load()
	if h == nil || h.healthy || now.Sub(h.at) > hintAge {
		return false
	}
	return now.UnixNano()-s.lastAnswer.Load() > int64(evidenceAge)
}

func (s *Stat) down(now time.Time) bool { return now.UnixNano() < s.downUntil.Load() }

func (s *Stat) shedding(now time.Time) bool { return now.UnixNano() < s.shedUntil.Load() }

// load is the work at the target: what its owner reported, corrected by what
// this node sent since; or only this node's own calls when the report is old.
func (s *Stat) load(now time.Time) int64 {
	if f := s.source.Load(); f != nil {
		l := (*f)()
		return int64(l.InFlight + l.Queued)
	}
	own := s.inFlight.Load()
	r := s.report.Load()
	if r == nil || now.Sub(r.at) > loadAge {
		return own
	}
	return max(own, int64(r.InFlight+r.Queued)+own-r.own)
}

func (s *Stat) nearLimit(now time.Time) bool {
	if s.shedding(now) {
		return true
	}
	limit := 0
	if f := s.source.Load(); f != nil {
		limit = (*f)().Limit
	} else if r := s.report.Load(); r != nil && now.Sub(r.at) <= loadAge {
		limit = r.Limit
	}
	return limit > 0 && float64(s.load(now)) >= spillLoad*float64(limit)
}

// Tracker keeps the Stat of every target across snapshots.
type Tracker struct {
	mu    sync.Mutex
	stats map[Key]*Stat
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker { return &Tracker{stats: make(map[Key]*Stat)} }

// Stat returns the record of a target, which exists from the first call on.
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

// Prune drops the records of all targets for which keep returns false and which
// have no call in flight.
func (t *Tracker) Prune(keep func(Key) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k, s := range t.stats {
		if !keep(k) && s.inFlight.Load() == 0 {
			delete(t.stats, k)
		}
	}
}
