package routing

import "time"

const (
	// loadAge is how long a reported load is trusted. At 12 slots and calls of
	// some 10 ms a target turns over its whole load several times in it.
	loadAge = time.Second

	// slowStart is the ramp of a target that became ready; coldWeight is the
	// weight it starts with.
	slowStart  = 10 * time.Second
	coldWeight = 0.1

	// maxSilences calls in a row without an answer eject a target; 2 would eject
	// it for one connection that went silent with two calls queued behind it.
	maxSilences     = 3
	maxServerErrors = 5

	// maxRefusals failed connects in a row take a target out for downTime.
	maxRefusals = 2
	downTime    = time.Second

	// ejectionTime doubles with each ejection in a row, up to 32 times.
	ejectionTime         = time.Second
	maxEjectionDoublings = 5

	// A target that refused for load is avoided for the time it asked for,
	// within these bounds. shedScore, in units of its limit, is added to its
	// load meanwhile.
	minShedPause = 5 * time.Millisecond
	maxShedPause = 200 * time.Millisecond
	shedScore    = 2

	// maxDraws bounds the draws of a weighted choice among cold targets.
	maxDraws = 16

	// evidenceAge is how long a call's answer outranks a health report.
	evidenceAge = 10 * time.Second
	// hintAge is how long a health report counts.
	hintAge = 5 * time.Second

	// faultGain is the weight of one call in the share of failed calls.
	faultGain = 0.1
	// faultCost is what a target costs that fails every call, in placing: about
	// the time of an attempt that is lost and made again elsewhere.
	faultCost = 400 * time.Millisecond
	// unknownMean stands for the time of a call until a target's owner tells it.
	unknownMean = 80 * time.Millisecond
	// busyCost is the part of a call's time that a full target adds to it, since
	// some targets slow down when they are nearly full.
	busyCost = 0.3
	// coldFactor is how much longer a cold target takes.
	coldFactor = 2

	// tookSamples is the weight of the past in the mean time to an answer.
	tookSamples = 16
	// silenceFactor times the mean must fit into half of the time left before a
	// call is tried at another target. Rarely slow routes are not cut off by it.
	silenceFactor = 10

	// spillLoad is the share of a target's limit above which calls from another
	// data centre and calls that were refused for load are not sent to it, so
	// that an overload is not passed on.
	spillLoad = 0.8
)
