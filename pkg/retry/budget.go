package retry

import "sync/atomic"

const (
	// share is the number of calls that earn one retry: retries add at most a
	// tenth to the calls.
	share = 10
	// burst is the number of retries that a node may save up. It covers the calls
	// that one failing target loses before it is taken out.
	burst = 20
)

// Budget bounds the retries of a node to a share of its calls. Only first
// attempts earn, so that retries cannot pay for further retries. It is safe
// for concurrent use.
type Budget struct {
	units atomic.Int64 // share units are one retry
}

// NewBudget returns a full budget.
func NewBudget() *Budget {
	b := &Budget{}
	b.units.Store(burst * share)
	return b
}

// Earn counts a call.
func (b *Budget) Earn() {
	if u := b.units.Load(); u < burst*share {
		// A lost race only loses a tenth of a retry.
		b.units.CompareAndSwap(u, u+1)
	}
}

// take uses one retry; it reports false when there is none.
func (b *Budget) take() bool {
	for {
		u := b.units.Load()
		if u < share {
			return false
		}
		if b.units.CompareAndSwap(u, u-share) {
			return true
		}
	}
}
