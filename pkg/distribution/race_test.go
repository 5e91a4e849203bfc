//go:build race

package distribution_test

// raceDetector reports whether the tests run under the race detector.
const raceDetector = true
