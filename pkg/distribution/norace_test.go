//go:build !race

package distribution_test

// raceDetector says whether the tests run under the race detector.
const raceDetector = false
