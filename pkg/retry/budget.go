package retry

import "sync/atomic"

const (
	// callsPerRetry is the number of calls that add one retry to the budget, so that
	// retries add at most a tenth to the calls.
	callsPerRetry = 10
	// DefaultBurst is the number of retries that a node may accumulate. It covers
	// the calls that one failing target loses before it is ejected.
	DefaultBurst = 20
)

// Budget is a token bucket that bounds the retries of a node to a share of its
// calls. Only first attempts add tokens, so that retries cannot pay for further
// retries. It is safe for concurrent use.
type Budget struct {
	tokens atomic.Int64 // a retry costs callsPerRetry tokens
	burst  atomic.Int64 // in retries
}

// NewBudget returns a full budget.
func NewBudget() *Budget {
	b := &Budget{}
	b.SetBurst(DefaultBurst)
	b.tokens.Store(DefaultBurst * callsPerRetry)
	return b
}

// SetBurst changes the number of retries that may be accumulated. Hosts that share
// an allowance divide it by their number.
func (b *Budget) SetBurst(n int) {
	b.burst.Store(int64(n))
	if t := b.tokens.Load(); t > int64(n)*callsPerRetry {
		b.tokens.CompareAndSwap(t, int64(n)*callsPerRetry) // a lost race is corrected by the next SetBurst
	}
}

// shedReserve returns the number of retries that refusals for load and hedges
// leave in the budget. Without it, an overload would use up the budget, and the
// calls of a target that crashes meanwhile could not be retried elsewhere.
func (b *Budget) shedReserve() int64 { return b.burst.Load() / 2 }

// Deposit adds one token, up to the burst. It is called once per call.
func (b *Budget) Deposit() {
	if t := b.tokens.Load(); t < b.burst.Load()*callsPerRetry {
		// A lost race loses only a tenth of a retry.
		b.tokens.CompareAndSwap(t, t+1)
	}
}

// HasRetry reports whether a retry is left.
func (b *Budget) HasRetry() bool { return b.tokens.Load() >= callsPerRetry }

// Charge uses one retry that was made elsewhere on behalf of this node. The budget can
// become negative by the calls in flight, down to minus the burst.
func (b *Budget) Charge() {
	for {
		t := b.tokens.Load()
		if b.tokens.CompareAndSwap(t, max(t-callsPerRetry, -b.burst.Load()*callsPerRetry)) {
			return
		}
	}
}

// withdraw uses one retry if more than reserve are left.
func (b *Budget) withdraw(reserve int64) bool {
	for {
		t := b.tokens.Load()
		if t < (reserve+1)*callsPerRetry {
			return false
		}
		if b.tokens.CompareAndSwap(t, t-callsPerRetry) {
			return true
		}
	}
}
