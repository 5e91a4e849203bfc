package admission

import (
	_ "embed"
	"math"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/chart"
)

// RateNotice is what an answer of the target says about the rate of calls that it
// takes.
type RateNotice struct {
	Kind RateNoticeKind
	// PerSecond is the number of calls a second that the target takes from all nodes
	// together, when Kind is RateLimited.
	PerSecond float64
}

// RateNoticeKind tells apart what answers say about the rate.
type RateNoticeKind uint8

// The kinds. The zero value says nothing.
const (
	RateLimited    RateNoticeKind = iota + 1 // names a limit
	RateUnlimited                            // names none
	RateUnreadable                           // names one that cannot be read
)

const (
	// rateBurst is the time whose calls may be sent at once after a pause.
	rateBurst = 250 * time.Millisecond
	// minRate, in calls a second, is sent also to a target that names a lower rate:
	// only an answer shows that it takes more again.
	minRate = 0.5
	// unlearnedCalls are in flight at most while it is not known whether the target
	// names a limit.
	unlearnedCalls = 4
)

//go:embed rate.toml
var rateChartFile []byte

const (
	rateTold         chart.Event = "told"
	rateNamed        chart.Event = "named"
	rateNamedOverlap chart.Event = "named-overlap"
	rateNone         chart.Event = "none"
	rateNoneOverlap  chart.Event = "none-overlap"

	rateSet     chart.Action = "set"
	rateTighten chart.Action = "tighten"

	rateUnlearnedState chart.State = "unlearned"
	rateToldState      chart.State = "told"
	rateUnlimitedState chart.State = "unlimited"
	rateLimitedState   chart.State = "limited"
)

var rateChart = chart.MustLoad("rate.toml", rateChartFile, chart.Vocabulary{
	Events:  []chart.Event{rateTold, rateNamed, rateNamedOverlap, rateNone, rateNoneOverlap},
	Actions: []chart.Action{rateSet, rateTighten},
})

// rateLimit holds the calls to a target to the rate that the target names. It is a
// token bucket whose state, as rate.toml defines it, follows the target's answers.
type rateLimit struct {
	state     chart.State
	perSecond float64   // while limited or told
	namedAt   time.Time // arrival of the newest answer that named the limit
	tokens    float64   // calls that may be sent now; below 0 after a call was sent twice
	filledAt  time.Time
}

// observe applies what the answer to a call says. dispatched is when the call was
// admitted. An answer to a call that was dispatched after the limit in force had been
// named is certainly newer than that limit; of two others the lower limit holds.
func (r *rateLimit) observe(n RateNotice, dispatched, now time.Time) {
	overlaps := r.state == rateLimitedState && dispatched.Before(r.namedAt)
	event := rateNone
	switch {
	case n.Kind == RateLimited && overlaps:
		event = rateNamedOverlap
	case n.Kind == RateLimited:
		event = rateNamed
	case n.Kind == RateUnlimited && overlaps:
		event = rateNoneOverlap
	case n.Kind != RateUnlimited:
		return
	}
	r.apply(event, n.PerSecond, now)
	if n.Kind == RateLimited {
		r.namedAt = now
	}
}

// tell applies a limit that another node has passed on.
func (r *rateLimit) tell(perSecond float64, now time.Time) { r.apply(rateTold, perSecond, now) }

func (r *rateLimit) apply(event chart.Event, perSecond float64, now time.Time) {
	next, err := rateChart.Next(r.state, event)
	if err != nil {
		return // the chart handles or ignores each event in each state
	}
	r.refill(now)
	wasBounded := r.bounded()
	r.state = next.To
	for _, action := range next.Actions {
		switch action {
		case rateSet:
			r.perSecond = perSecond
		case rateTighten:
			r.perSecond = min(r.perSecond, perSecond)
		}
	}
	if !wasBounded {
		r.tokens, r.filledAt = r.burst(), now
	}
	r.tokens = min(r.tokens, r.burst())
}

// bounded reports whether a limit is in force.
func (r *rateLimit) bounded() bool { return r.state == rateLimitedState || r.state == rateToldState }

// maxInFlight bounds the calls in flight by what is known of the rate.
func (r *rateLimit) maxInFlight() int {
	if r.state == rateUnlearnedState {
		return unlearnedCalls
	}
	return math.MaxInt
}

func (r *rateLimit) rate() float64  { return max(minRate, r.perSecond) }
func (r *rateLimit) burst() float64 { return max(1, r.rate()*rateBurst.Seconds()) }

// interval returns the time between two calls at the limit, or 0 without one.
func (r *rateLimit) interval() time.Duration {
	if !r.bounded() {
		return 0
	}
	return time.Duration(float64(time.Second) / r.rate())
}

func (r *rateLimit) refill(now time.Time) {
	if r.bounded() && now.After(r.filledAt) {
		r.tokens = min(r.burst(), r.tokens+now.Sub(r.filledAt).Seconds()*r.rate())
		r.filledAt = now
	}
}

// wait returns the time until n calls may be sent.
func (r *rateLimit) wait(n int, now time.Time) time.Duration {
	if !r.bounded() {
		return 0
	}
	r.refill(now)
	return time.Duration(max(0, float64(n)-r.tokens) / r.rate() * float64(time.Second))
}

// take counts a call that is sent.
func (r *rateLimit) take(now time.Time) {
	r.refill(now)
	if r.bounded() {
		r.tokens--
	}
}

// giveBack undoes take for a call that was not sent after all.
func (r *rateLimit) giveBack() {
	if r.bounded() {
		r.tokens = min(r.burst(), r.tokens+1)
	}
}
