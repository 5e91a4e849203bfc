package soak

import "time"

// Regression is a run that once violated a guarantee.
type Regression struct {
	Options
	Cause string
}

// Regressions are replayed in CI.
var Regressions = []Regression{
	{
		Options: Options{Seed: 1, Nodes: 6, Duration: 15 * time.Second},
		Cause:   "the rollout of a bad version of a service with little traffic was completed: 8 of its 15 calls had failed, too few for a verdict",
	},
	{
		Options: Options{Seed: 204, Nodes: 6, Duration: 15 * time.Second},
		Cause:   "SIGHUP ended a node that was stopping, with calls in flight",
	},
	{
		Options: Options{Seed: 9000, Nodes: 6, Duration: 15 * time.Second, AnswerFaults: true, RateLimits: true},
		Cause:   "targets that named a rate limit got as many calls as before",
	},
	{
		Options: Options{Seed: 9101, Nodes: 6, Duration: 15 * time.Second, AnswerFaults: true, RateLimits: true, StoreRestores: true},
		Cause:   "the final state of a rollout was lost with a restored store and not written again",
	},
	{
		Options: Options{Seed: 9213, Nodes: 6, Duration: 15 * time.Second, AnswerFaults: true, RateLimits: true, StoreRestores: true},
		Cause:   "an order that a restored store held and that was written again all the same was taken for a new one",
	},
	{
		Options: Options{Seed: 9322, Nodes: 6, Duration: 15 * time.Second, AnswerFaults: true, RateLimits: true, StoreRestores: true},
		Cause:   "a late rollout of a bad version was completed 0.1 s after its full share, by a coordinator that had no counts yet",
	},
	{
		Options: Options{Seed: 9950, Nodes: 6, Duration: 15 * time.Second, AnswerFaults: true, RateLimits: true, StoreRestores: true, CrashingRequests: true},
		Cause:   "requests that end each target that runs them were sent on, so that 115 of 332 calls were answered after the faults",
	},
	{
		Options: Options{Seed: 38016, Nodes: 6, Duration: 15 * time.Second, AnswerFaults: true, RateLimits: true, ColdTargets: true, Evacuations: true, Departures: true},
		Cause:   "a target whose drain was acknowledged got calls again after a kill of all processes and a late heartbeat",
	},
	{
		Options: Options{Seed: 4, Nodes: 6, Duration: 6 * time.Second, Uploads: true},
		Cause:   "uploads that a stopping node refused by their heads lost the answers when it closed their connections 300 ms later",
	},
	{
		Options: Options{Seed: 3, Nodes: 8, Duration: 6 * time.Second, Uploads: true},
		Cause:   "as before, and at any time for uploads with Expect: 100-continue",
	},
	{
		Options: Options{Seed: 47106, Nodes: 6, Duration: 8 * time.Second, BrokenAnswers: true, Uploads: true},
		Cause:   "a part of an answer was passed on as the whole",
	},
	{
		Options: Options{Seed: 47123, Nodes: 6, Duration: 8 * time.Second, BrokenAnswers: true, Uploads: true},
		Cause:   "answers with broken heads were passed on, or taken for the word of a target that it had not run an order, which ran again",
	},
}
