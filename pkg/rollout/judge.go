package rollout

import (
	"fmt"
	"math"
	"slices"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// Counts counts the calls of one version on one route, as observed by the nodes
// of the callers.
type Counts struct {
	Calls  int64 `cbor:"1,keyasint"`
	Failed int64 `cbor:"2,keyasint"` // server errors, lost and broken answers
	// LogLatencySum is the sum of the natural logarithms of the answers' latencies
	// in microseconds. A few slow calls hardly change its mean.
	LogLatencySum float64 `cbor:"3,keyasint"`
	Answers       int64   `cbor:"4,keyasint"` // number of answers in LogLatencySum
	// Abandoned is the number of calls that were given up because a second attempt had
	// an answer first. They have taken long, which cold targets do as well.
	Abandoned int64 `cbor:"5,keyasint,omitempty"`
}

// Result is the result of a call for its target's version.
type Result uint8

// The results.
const (
	Succeeded Result = iota
	Failed
	Abandoned
)

func (c *Counts) add(d Counts) {
	c.Calls += d.Calls
	c.Failed += d.Failed
	c.Abandoned += d.Abandoned
	c.LogLatencySum += d.LogLatencySum
	c.Answers += d.Answers
}

// VersionCounts holds the counts of both versions on one route.
type VersionCounts struct {
	New Counts `cbor:"1,keyasint"`
	Old Counts `cbor:"2,keyasint"`
}

// Tally holds what one host observed of a rollout since its start, by route.
type Tally struct {
	Service  mesh.ServiceName         `cbor:"1,keyasint"`
	Revision uint64                   `cbor:"2,keyasint"`
	Routes   map[string]VersionCounts `cbor:"3,keyasint"`
	// Epoch and Step identify the Progress that is in force on the host.
	Epoch uint64 `cbor:"4,keyasint"`
	Step  uint64 `cbor:"5,keyasint"`
	// OldInFlight is the number of the host's calls in flight at old targets.
	OldInFlight int         `cbor:"6,keyasint"`
	Host        mesh.HostID `cbor:"7,keyasint"`
	Start       uint64      `cbor:"8,keyasint"` // incarnation of the host
}

// Observe adds one call.
func (t *Tally) Observe(route string, isNew bool, result Result, latency time.Duration) {
	d := Counts{Calls: 1}
	switch result {
	case Failed:
		d.Failed = 1
	case Abandoned:
		d.Abandoned = 1
	}
	if result != Failed && latency > 0 {
		d.LogLatencySum, d.Answers = math.Log(float64(latency.Microseconds()+1)), 1
	}
	v := t.Routes[route]
	if isNew {
		v.New.add(d)
	} else {
		v.Old.add(d)
	}
	t.Routes[route] = v
}

// Merge adds the counts of another tally.
func (t *Tally) Merge(other *Tally) {
	for route, o := range other.Routes {
		v := t.Routes[route]
		v.New.add(o.New)
		v.Old.add(o.Old)
		t.Routes[route] = v
	}
}

const (
	// badVersionRatio is the likelihood ratio from which a version counts as bad. A
	// rollout of 16 s is tested about ten times a second, and each test can give a
	// false alarm.
	badVersionRatio = 1000
	// holdRatio is the likelihood ratio from which a version's share is not raised.
	holdRatio = 20
	// minExcessFailureRate is the least difference between the failure rates of a
	// bad version and the old version.
	minExcessFailureRate = 0.12
	// minAbandonedExcess is the same for calls that fail or are abandoned. Calls to cold
	// targets are abandoned more often than others.
	minAbandonedExcess = 0.40
	// minDoubtfulExcess is the same for a version that is held. A hold costs only time,
	// while a share that is raised too early exposes many calls.
	minDoubtfulExcess = 0.03
	// minFailureRate is the least failure rate that is assumed for a good version.
	minFailureRate = 0.01
	// wilsonZ is the width of the interval of the old version's failure rate, in
	// standard deviations. The new version's failures are not judged when the old
	// version's assumed failure rate is maxBaselineRate or higher.
	wilsonZ         = 2.0
	doubtfulZ       = 1.0 // the same for minDoubtfulExcess
	maxBaselineRate = 0.8
	// minSlowRatio is the least ratio of the typical latencies of a slow version and
	// the old version. Cold targets take twice as long, and targets of one service
	// differ by a factor of 2.3.
	minSlowRatio = 4.0
	// minSlowAnswers is the least number of answers of each version for the
	// comparison with minSlowRatio.
	minSlowAnswers = 8
)

// Judge returns the evidence that the new version is bad, or "". It compares both
// versions on each route and on all routes together.
func Judge(t *Tally) string {
	var all VersionCounts
	routes := make([]string, 0, len(t.Routes))
	for route := range t.Routes {
		routes = append(routes, route)
	}
	slices.Sort(routes)
	for _, route := range routes {
		v := t.Routes[route]
		if evidence := v.judge(); evidence != "" {
			return "route " + route + ": " + evidence
		}
		all.New.add(v.New)
		all.Old.add(v.Old)
	}
	if evidence := all.judgeEnds(); evidence != "" {
		return "all routes: " + evidence
	}
	return ""
}

func (v *VersionCounts) judge() string {
	if evidence := v.judgeEnds(); evidence != "" {
		return evidence
	}
	if v.New.Answers < minSlowAnswers || v.Old.Answers < minSlowAnswers {
		return ""
	}
	ratio := math.Exp(v.New.LogLatencySum/float64(v.New.Answers) - v.Old.LogLatencySum/float64(v.Old.Answers))
	if ratio < minSlowRatio {
		return ""
	}
	return fmt.Sprintf("answers take %.1f times as long as the old version's (%d and %d answers)", ratio, v.New.Answers, v.Old.Answers)
}

// wilsonUpperBound returns the upper end of the Wilson interval of a failure rate.
// The interval is wide when the old version has few calls.
func wilsonUpperBound(failed, n, z float64) float64 {
	if n == 0 {
		return 1
	}
	z2 := z * z
	rate := failed / n
	return (rate + z2/(2*n) + z*math.Sqrt(rate*(1-rate)/n+z2/(4*n*n))) / (1 + z2/n)
}

// judgeEnds returns the evidence that too many calls to the new version fail, or fail or
// are abandoned, or "". Calls that are abandoned hide how slow a version is.
func (v *VersionCounts) judgeEnds() string {
	if evidence := v.judgeFailures(minExcessFailureRate); evidence != "" {
		return evidence
	}
	ends := *v
	ends.New.Failed += v.New.Abandoned
	ends.Old.Failed += v.Old.Abandoned
	if evidence := ends.judgeFailures(minAbandonedExcess); evidence != "" {
		return evidence + ", abandoned ones included"
	}
	return ""
}

// judgeFailures returns the evidence that the new version fails too often, or "".
// It is a sequential likelihood ratio test: it compares the upper bound of the old
// version's failure rate with a rate that is higher by minExcess or more.
func (v *VersionCounts) judgeFailures(minExcess float64) string {
	if v.New.Failed < 3 || v.logLikelihoodRatio(wilsonUpperBound(float64(v.Old.Failed), float64(v.Old.Calls), wilsonZ), minExcess) < math.Log(badVersionRatio) {
		return ""
	}
	return fmt.Sprintf("%d of %d calls failed, of the old version %d of %d", v.New.Failed, v.New.Calls, v.Old.Failed, v.Old.Calls)
}

// logLikelihoodRatio returns the logarithm of the likelihood ratio of a bad version
// to one that fails at the baseline rate. A bad version fails at a rate that is
// higher by minExcess or more.
func (v *VersionCounts) logLikelihoodRatio(baseline, minExcess float64) float64 {
	baseline = max(minFailureRate, baseline)
	if baseline >= maxBaselineRate || v.New.Calls == 0 {
		return 0 // the old version has too few calls, or fails as well
	}
	n, failed := float64(v.New.Calls), float64(v.New.Failed)
	badRate := min(0.9, max(baseline*1.5+minExcess, failed/n))
	return failed*math.Log(badRate/baseline) + (n-failed)*math.Log((1-badRate)/(1-baseline))
}

// ShouldHold reports whether the new version seems to fail more often than the old
// one, with too little evidence for Judge.
func ShouldHold(t *Tally) bool {
	var all VersionCounts
	for _, v := range t.Routes {
		if v.shouldHold() {
			return true
		}
		all.New.add(v.New)
		all.Old.add(v.Old)
	}
	return all.shouldHold()
}

// shouldHold compares the new version's failures with the old version's failure rate
// for a large excess, and with the upper bound of that rate for a small one.
func (v *VersionCounts) shouldHold() bool {
	if v.New.Failed < 2 {
		return false
	}
	failed, calls := float64(v.Old.Failed), float64(v.Old.Calls)
	large := v.logLikelihoodRatio((failed+0.5)/(calls+1), minExcessFailureRate)
	small := v.logLikelihoodRatio(wilsonUpperBound(failed, calls, doubtfulZ), minDoubtfulExcess)
	return max(large, small) >= math.Log(holdRatio)
}
