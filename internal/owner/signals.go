package owner

import (
	"time"

	"nutmeghoist.example/nutmeghoist/internal/exchange"
	"nutmeghoist.example/nutmeghoist/internal/hop"
	"nutmeghoist.example/nutmeghoist/pkg/admission"
)

// applySignals applies what a target has said to an earlier process of this node, as
// the node of a caller knows it. It does not apply to another start of the target.
func (o *Owner) applySignals(t *target, s *hop.TargetSignals) {
	if s == nil || s.Started != t.started {
		return
	}
	if s.RateLimit > 0 {
		t.limiter.TellRate(s.RateLimit)
	}
	if s.Leaving {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.drainBySignal(t, "said so to another node")
	}
}

// drainBySignal starts the drain of a target that says in its answers that it leaves;
// o.mu must be held. Its heartbeats may say so later or not at all.
func (o *Owner) drainBySignal(t *target, cause string) {
	t.saidLeaving = true
	if t.drainStart.IsZero() {
		o.startDrain(t, cause)
		o.publish()
	}
}

// signals returns what the target has said, for the nodes of callers; nil when it has
// said nothing. The rate of a cold target is not among them: it does not outlast the cold
// time.
func (o *Owner) signals(t *target) *hop.TargetSignals {
	named := t.limiter.NamedRate()
	o.mu.Lock()
	defer o.mu.Unlock()
	if named == 0 && !t.saidLeaving {
		return nil
	}
	return &hop.TargetSignals{Started: t.started, RateLimit: named, Leaving: t.saidLeaving}
}

// rateNotice returns what the outcome of a call says about the rate limit. A refusal
// without a limit does not lift one.
func rateNotice(res *exchange.Result) admission.RateNotice {
	if res.Kind == exchange.Answered || res.Signals.Rate.Kind == admission.RateLimited {
		return res.Signals.Rate
	}
	return admission.RateNotice{}
}

// rateAccount counts what is sent to a target that names a rate limit.
type rateAccount struct {
	limited   bool
	perSecond float64
	since     time.Time // start of the count
	sent      int
}

// accountPeriod is the time between two log lines about the calls to a target that
// names a rate limit.
const accountPeriod = time.Second

// observe records what a target says of itself in an answer.
func (o *Owner) observe(t *target, id string, res *exchange.Result) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if res.Signals.Leaving {
		if t.drainStart.IsZero() {
			o.count("target.said_leaving")
			o.cfg.Log.Info().Str("target", string(t.id)).Str("id", id).Msg("target says that it leaves")
		}
		o.drainBySignal(t, "said so")
	}
	a, n := &t.rate, rateNotice(res)
	switch n.Kind {
	case admission.RateUnreadable:
		o.count("target.rate_limit_unreadable")
		o.cfg.Log.Warn().Str("target", string(t.id)).Str("id", id).Strs("value", res.Header.Values(o.cfg.HeaderNames.RateLimit)).Msg("rate limit cannot be read")
	case admission.RateLimited, admission.RateUnlimited:
		limited := n.Kind == admission.RateLimited
		if limited == a.limited && n.PerSecond == a.perSecond {
			return
		}
		o.count("target.rate_limit_changes")
		o.cfg.Log.Info().Str("target", string(t.id)).Str("id", id).Bool("limited", limited).Float64("per_second", n.PerSecond).
			Float64("before", a.perSecond).Msg("rate limit of target changed")
		*a = rateAccount{limited: limited, perSecond: n.PerSecond, since: time.Now()}
	}
}

// countSend counts a call that is being sent to a target.
func (o *Owner) countSend(t *target) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.countColdSend(t)
	a := &t.rate
	if !a.limited {
		return
	}
	a.sent++
	o.count("target.sent_under_rate_limit")
	if span := time.Since(a.since); span >= accountPeriod {
		o.cfg.Log.Info().Str("target", string(t.id)).Float64("per_second", a.perSecond).Int("sent", a.sent).Dur("span", span).Msg("calls sent under a rate limit")
		a.since, a.sent = time.Now(), 0
	}
}
