//go:build race

package racetest

// Detector reports whether the tests run under the race detector.
const Detector = true
