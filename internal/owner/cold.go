package owner

import (
	"time"

	"nutmeghoist.example/nutmeghoist/internal/exchange"
	"nutmeghoist.example/nutmeghoist/internal/hop"
	"nutmeghoist.example/nutmeghoist/pkg/admission"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

const (
	// unknownColdRate, in calls a second, is sent to cold targets while the node has no
	// configuration that names their rate.
	unknownColdRate = 4.0
	// heartbeatTrust times the heartbeat interval is how long a heartbeat counts for a
	// target that can become cold. Later, the node has been paused or a heartbeat is
	// missing.
	heartbeatTrust = 1.5
	// coldEndStep is the least change of the end of the cold time that is published.
	coldEndStep = 500 * time.Millisecond
)

// coldAccount is what the owner reports of the cold time of a target.
type coldAccount struct {
	cause admission.ColdCause // since the last log line; "" while it is warm
	sent  int                 // calls since the target has become cold
	since time.Time
	end   time.Time // of the cold time that the target has named, as published; zero before
}

// coldRate returns the rate that cold targets of a service take.
func (o *Owner) coldRate(service mesh.ServiceName) admission.ColdRate {
	if o.cfg.ColdRate == nil {
		return admission.ColdRate{}
	}
	rate, known := o.cfg.ColdRate(service)
	if !known {
		return admission.ColdRate{PerSecond: unknownColdRate}
	}
	return rate
}

// hearCold applies the cold time that a heartbeat names, and reports whether it has to be
// published; o.mu must be held.
func (o *Owner) hearCold(t *target) bool {
	t.limiter.HearCold(t.reported.WarmUp, time.Duration(heartbeatTrust*float64(o.bounds.HeartbeatInterval)))
	o.noteCold(t)
	end := t.lastHeartbeat.Add(t.reported.WarmUp)
	if t.reported.WarmUp <= 0 || end.Sub(t.cold.end).Abs() < coldEndStep {
		return false
	}
	t.cold.end = end
	return o.coldRate(t.reported.Service).PerSecond > 0
}

// coldUntil returns the end of the cold time of a target in Unix milliseconds for its
// record, or 0; o.mu must be held.
func (o *Owner) coldUntil(t *target) int64 {
	if t.cold.end.IsZero() || o.coldRate(t.reported.Service).PerSecond == 0 {
		return 0
	}
	return t.cold.end.UnixMilli()
}

// noteCold reports when a target has become cold or warm; o.mu must be held.
func (o *Owner) noteCold(t *target) {
	cause := t.limiter.Cold()
	a := &t.cold
	if cause == a.cause {
		return
	}
	switch {
	case a.cause == "":
		a.sent, a.since = 0, time.Now()
		o.count("target.cold")
		o.cfg.Log.Info().Str("target", string(t.id)).Str("service", string(t.reported.Service)).Str("cause", string(cause)).
			Dur("left", t.reported.WarmUp).Float64("per_second", o.coldRate(t.reported.Service).PerSecond).Msg("target is cold")
	case cause == "":
		o.cfg.Log.Info().Str("target", string(t.id)).Str("service", string(t.reported.Service)).Str("cause", string(a.cause)).
			Int("sent", a.sent).Dur("span", time.Since(a.since)).Msg("target is warm")
	}
	a.cause = cause
}

// countColdSend counts a call that is being sent to a target that may be cold; o.mu must
// be held.
func (o *Owner) countColdSend(t *target) {
	o.noteCold(t)
	if t.cold.cause != "" {
		t.cold.sent++
		o.count("target.sent_while_cold")
	}
}

// DoubtWarmth makes all targets of this host count as cold until their next heartbeats.
// It is called when their data centre gets calls again after it was emptied: they can
// have become cold meanwhile, and a new process of this node has sent them no call.
func (o *Owner) DoubtWarmth() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, t := range o.targets {
		t.limiter.DoubtWarmth(admission.ColdReturned)
		o.noteCold(t)
	}
}

// ColdTargets returns the number of targets of this host that count as cold.
func (o *Owner) ColdTargets() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, t := range o.targets {
		if !t.reported.Draining && t.limiter.Cold() != "" {
			n++
		}
	}
	return n
}

// refuseUnsent returns the response to an admitted call that was not sent because the
// target is cold and has got enough calls.
func (o *Owner) refuseUnsent(t *target, refusal *admission.Refusal) *hop.Response {
	o.count("refused." + string(refusal.Reason))
	return o.withLoad(t, &hop.Response{Outcome: hop.NotRun, Reason: string(refusal.Reason), RetryAfterMs: refusal.RetryAfter.Milliseconds()})
}

// doubtWarmth makes a target count as cold until its next heartbeat when a call shows
// that it may have started again.
func (o *Owner) doubtWarmth(t *target, res *exchange.Result) {
	if res.Reason == exchange.Unreachable {
		t.limiter.DoubtWarmth(admission.ColdUnreachable)
	}
}
