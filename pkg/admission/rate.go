package admission

// RateNotice is what an answer of the target says about the rate of calls that it
// takes.
type RateNotice struct {
	Kind RateNoticeKind
	// PerSecond is the number of calls a second that the target takes from all nodes
	// together, when Kind is RateLimited.
	PerSecond float64
}

// RateNoticeKind tells apart what answers say about the rate.
type RateNoticeKind uint8

// The kinds. The zero value says nothing.
const (
	RateLimited    RateNoticeKind = iota + 1 // names a limit
	RateUnlimited                            // names none
	RateUnreadable                           // names one that cannot be read
)
