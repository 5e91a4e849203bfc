package move

import (
	"math"
	"time"
)

// The false-alarm budget bounds the probability that a good version is rolled
// back during the whole lifetime of a move. It is divided between the local
// tests of all nodes of the largest mesh, the tests of the evaluators of the
// data centres and those of the mesh's evaluator.
const (
	falseAlarmBudget = 1e-3
	localBudget      = falseAlarmBudget / 2
	centreBudget     = falseAlarmBudget / 4
	meshBudget       = falseAlarmBudget / 4
	maxNodes         = 2200
	maxCentres       = 16
	holdAtEvaluator  = 1e3 // while both versions are equal, the statistic stays below this with probability 0.999
	holdAtLocal      = 1e4
	releaseBelow     = 10 // a held move continues when the statistics are below this
)

// signalBudgetParts divide an evaluator's budget between the signals.
var signalBudgetParts = [signalCount]float64{signalFailure: 0.5, signalCold: 0.1, signalSlow: 0.2, signalShed: 0.2}

// localLogThreshold is the logarithm of the statistic from which a node rolls a
// version back by itself.
var localLogThreshold = math.Log(maxNodes * maxCentres / localBudget)

// evaluatorLogThreshold returns the logarithm of the statistic from which an
// evaluator rolls a version back because of one signal.
func evaluatorLogThreshold(budget float64, sig signal) float64 {
	return -math.Log(budget * signalBudgetParts[sig])
}

// Rates of bad outcomes that are always tolerated.
const (
	failureLimit     = 0.01 // callers of a healthy service already see some failures
	coldLimit        = 0.25 // failures of targets that warm up
	slowLimit        = 0.05 // fraction of calls above twice the median
	shedLimit        = 0.05
	maxShedLoadRatio = 1.2 // sheds count only up to this multiple of the old version's load per target host
)

// takeoverPause is how long an evaluator that takes over after the first step of
// a move receives counters without evaluating them: they are sums over steps
// with different shares, which cannot be compared.
const takeoverPause = 5 * time.Second

// signal is an aspect of the outcomes that is tested on its own.
type signal int

const (
	signalFailure signal = iota
	signalCold
	signalSlow
	signalShed
	signalCount // number of signals
)

// signalPhrases describe the bad calls of each signal in an evidence text.
var signalPhrases = [...]string{"failed", "failed while warming up", "were slow", "were shed"}
