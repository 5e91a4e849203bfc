package owner

import (
	"time"

	"nutmeghoist.example/nutmeghoist/internal/exchange"
	"nutmeghoist.example/nutmeghoist/pkg/admission"
)

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
	if res.Signals.Leaving && t.drainStart.IsZero() {
		o.count("target.said_leaving")
		o.cfg.Log.Info().Str("target", string(t.ID)).Str("id", id).Msg("target says that it leaves")
	}
	a, n := &t.rate, res.Signals.Rate
	switch n.Kind {
	case admission.RateUnreadable:
		o.count("target.rate_limit_unreadable")
		o.cfg.Log.Warn().Str("target", string(t.ID)).Str("id", id).Strs("value", res.Header.Values(o.cfg.HeaderNames.RateLimit)).Msg("rate limit cannot be read")
	case admission.RateLimited, admission.RateUnlimited:
		limited := n.Kind == admission.RateLimited
		if limited == a.limited && n.PerSecond == a.perSecond {
			return
		}
		o.count("target.rate_limit_changes")
		o.cfg.Log.Info().Str("target", string(t.ID)).Str("id", id).Bool("limited", limited).Float64("per_second", n.PerSecond).
			Float64("before", a.perSecond).Msg("rate limit of target changed")
		*a = rateAccount{limited: limited, perSecond: n.PerSecond, since: time.Now()}
	}
}

// countSend counts a call that is being sent to a target.
func (o *Owner) countSend(t *target) {
	o.mu.Lock()
	defer o.mu.Unlock()
	a := &t.rate
	if !a.limited {
		return
	}
	a.sent++
	o.count("target.sent_under_rate_limit")
	if span := time.Since(a.since); span >= accountPeriod {
		o.cfg.Log.Info().Str("target", string(t.ID)).Float64("per_second", a.perSecond).Int("sent", a.sent).Dur("span", span).Msg("calls sent under a rate limit")
		a.since, a.sent = time.Now(), 0
	}
}
