package platform

import "errors"

// A version holds a counter of the store and, in its high bits, the era of the store's
// history. The counter goes back when the store is restored from an older copy, and the
// era rises, so that versions of a later era are always higher.
const (
	eraShift = 48
	// MaxEra is the highest era that a version can hold.
	MaxEra = 1<<(64-eraShift) - 1
	// MaxCounter is the highest counter that a version can hold.
	MaxCounter = 1<<eraShift - 1
	// FirstEra is the era of a platform that has never been restored.
	FirstEra = 1
)

// ErrRestored means that the store was restored from an older copy between the read of
// a version and a transaction that was conditional on it: the condition was checked
// against another history.
var ErrRestored = errors.New("platform was restored from an older copy meanwhile")

// MakeVersion returns the version of a counter in an era.
func MakeVersion(era, counter uint64) uint64 { return era<<eraShift | counter }

// EraOf returns the era in which the store gave out a version.
func EraOf(version uint64) uint64 { return version >> eraShift }

// CounterOf returns the store's counter in a version.
func CounterOf(version uint64) uint64 { return version & MaxCounter }
