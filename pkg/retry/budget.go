package retry

import "sync/atomic"

const (
	// share is the number of calls that earn one retry: retries add at most a
	// tenth to the calls.
	share = 10
	// DefaultBurst is the number of retries that a node may save up. It covers the
	// calls that one failing target loses before it is taken out.
	DefaultBurst = 20
)

// Budget bounds the retries of a node to a share of its calls. Only first
// attempts earn, so that retries cannot pay for further retries. It is safe
// for concurrent use.
type Budget struct {
	units atomic.Int64 // share units are one retry
	burst atomic.Int64
}

// NewBudget returns a full budget.
func NewBudget() *Budget {
	b := &Budget{}
	b.SetBurst(DefaultBurst)
	b.units.Store(DefaultBurst * share)
	return b
}

// SetBurst changes the number of retries that may be saved up. Hosts that share
// an allowance divide it by their number.
func (b *Budget) SetBurst(n int) {
	b.burst.Store(int64(n))
	if u := b.units.Load(); u > int64(n)*share {
		b.units.CompareAndSwap(u, int64(n)*share) // a lost race is settled at the next change
	}
}

// loadReserve is the number of retries that are kept for other reasons than
// load. An overload would use up the budget, and a target that dies meanwhile
// would cost calls that another target could have taken.
func (b *Budget) loadReserve() int64 { return b.burst.Load() / 2 }

// Deposit counts a call.
func (b *Budget) Deposit() {
	if u := b.units.Load(); u < b.burst.Load()*share {
		// A lost race only loses a tenth of a retry.
		b.units.CompareAndSwap(u, u+1)
	}
}

// take uses one retry when more than reserve are left.
func (b *Budget) take(reserve int64) bool {
	for {
		u := b.units.Load()
		if u < (reserve+1)*share {
			return false
		}
		if b.units.CompareAndSwap(u, u-share) {
			return true
		}
	}
}
