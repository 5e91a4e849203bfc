package move

import (
	"math"
	"time"
)

// The false-alarm budget of one move over its whole life is shared by the local
// tests of all nodes of the largest mesh, the tests of the evaluators in the data
// centres and those of the mesh's evaluator.
const (
	falseAlarms   = 1e-3
	localBudget   = falseAlarms / 2
	centreBudget  = falseAlarms / 4
	meshBudget    = falseAlarms / 4
	maxNodes      = 2200
	maxCentres    = 16
	holdEvaluator = 1e3 // the statistic is below this with probability 0.999 while the versions are equal
	holdLocal     = 1e4
	holdRelease   = 10 // below this a held move goes on
)

// budgetParts divide an evaluator's budget between the signals.
var budgetParts = [signals]float64{signalFailure: 0.5, signalCold: 0.1, signalSlow: 0.2, signalShed: 0.2}

// localThreshold is the logarithm of the statistic from which a node takes a
// version back by itself.
var localThreshold = math.Log(maxNodes * maxCentres / localBudget)

// threshold is the same for one signal of an evaluator.
func threshold(budget float64, sig signal) float64 { return -math.Log(budget * budgetParts[sig]) }

// Rates of bad outcomes that are always tolerated.
const (
	failureLimit = 0.01 // callers of a healthy service already see some failures
	coldLimit    = 0.25 // failures of targets that warm up
	slowLimit    = 0.05 // part of the calls above twice the median
	shedLimit    = 0.05
	shedLoad     = 1.2 // sheds count only when a target host has at most this multiple of the old version's load
)

// takeoverPause is how long an evaluator that starts in the middle of a move
// only takes counters as its starting point: sums over steps with different
// shares would not be comparable.
const takeoverPause = 5 * time.Second

type signal int

const (
	signalFailure signal = iota
	signalCold
	signalSlow
	signalShed
	signals // number of signals
)

var signalNames = [...]string{"failed", "failed while warming up", "were slow", "were shed"}
