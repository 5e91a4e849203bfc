package routing

import "time"

const (
	// loadReportTTL is how long a load report is used. A target with 12 slots and
	// calls of about 10 ms replaces its whole load many times within it.
	loadReportTTL = time.Second

	// usualLoadTime is the time over which the usual load and the speed of a target are
	// remembered. Targets turn slow, and demand rises, within seconds.
	usualLoadTime = 2 * time.Second

	// queueWeight multiplies the expected wait in the preference for a target: one that
	// waits delays the calls behind it too, and what is known of queues is old.
	queueWeight = 4
	// loadVariance is the variance of the expected load, as a share of the limit.
	loadVariance = 0.25

	// maxRemoteLoad is the share of a target's limit above which it gets no calls from
	// another data centre that are late in their own: it queues calls already.
	maxRemoteLoad = 1.0

	// slowStartTime is the time in which the weight of a target that became ready
	// grows from slowStartMinWeight to 1.
	slowStartTime      = 10 * time.Second
	slowStartMinWeight = 0.1

	// maxConsecutiveNoAnswers calls in a row without an answer, or
	// maxConsecutiveServerErrors server errors in a row, eject a target. With 2 for
	// calls without an answer, one silent connection with two calls queued behind
	// it would eject the target.
	maxConsecutiveNoAnswers    = 3
	maxConsecutiveServerErrors = 5

	// maxConsecutiveConnectFailures failed connects in a row make a target
	// unreachable for unreachableTime.
	maxConsecutiveConnectFailures = 2
	unreachableTime               = time.Second

	// baseEjectionTime doubles with each ejection in a row, up to a factor of 32.
	baseEjectionTime     = time.Second
	maxEjectionDoublings = 5

	// A target that refused for load is avoided for the time it asked for, within
	// these bounds. Meanwhile shedPenalty, in units of its slots, is added to its
	// load.
	minShedBackoff = 5 * time.Millisecond
	maxShedBackoff = 200 * time.Millisecond
	shedPenalty    = 2

	// maxDraws bounds the draws of a weighted choice among targets in slow start.
	maxDraws = 16

	// answerTTL is how long a call's answer takes precedence over a health report.
	answerTTL = 10 * time.Second
	// healthReportTTL is how long a health report is used.
	healthReportTTL = 5 * time.Second

	// failureGain is the weight of one call in the failure rate (EWMA).
	failureGain = 0.1
	// failureCost is the cost of a target that fails every call: about the time of
	// a lost attempt and its retry at another target.
	failureCost = 400 * time.Millisecond
	// defaultServiceTime is used until a target's owner reports the mean.
	defaultServiceTime = 80 * time.Millisecond
	// fullLoadSlowdown is the fraction by which the service time grows at a full
	// target, since some targets slow down when they are nearly full.
	fullLoadSlowdown = 0.3
	// warmUpFactor is the factor by which a cold target is slower.
	warmUpFactor = 2

	// latencySamples is the inverse of the weight of one sample in the mean latency
	// (EWMA).
	latencySamples = 16
	// attemptTimeoutFactor times the mean latency must fit into half of the time
	// left for an attempt to get a timeout. It is high so that the timeout does not
	// cut off routes that are slow now and then.
	attemptTimeoutFactor = 10

	// maxSpilloverLoad is the share of a target's limit above which the target gets
	// no calls from another data centre and none that were refused for load, so
	// that an overload does not spread.
	maxSpilloverLoad = 0.8
)
