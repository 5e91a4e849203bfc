package soak

import "time"

// Regression is a run that once broke a promise.
type Regression struct {
	Options
	Cause string
}

// Regressions are played in CI.
var Regressions = []Regression{
	{
		Options: Options{Seed: 1, Nodes: 6, Duration: 15 * time.Second},
		Cause:   "a bad version of a quiet service was completed: 8 of its 15 calls had failed, too few for a judgement",
	},
	{
		Options: Options{Seed: 204, Nodes: 6, Duration: 15 * time.Second},
		Cause:   "SIGHUP ended a node that was stopping, with calls in flight",
	},
}
