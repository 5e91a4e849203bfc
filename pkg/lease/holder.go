package lease

import (
	"context"
	_ "embed"
	"errors"
	"sync"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/chart"
	"nutmeghoist.example/nutmeghoist/pkg/platform"
)

//go:embed lease.toml
var chartFile []byte

// The states of a lease as its holder sees it.
const (
	StateIdle      chart.State = "idle"
	StateWaiting   chart.State = "waiting"
	StateHeld      chart.State = "held"
	StateUncertain chart.State = "uncertain" // a renewal's outcome is not known
	StateLost      chart.State = "lost"
)

const (
	eventAcquire   chart.Event = "acquire"
	eventAcquired  chart.Event = "acquired"
	eventFailed    chart.Event = "failed"
	eventRenewed   chart.Event = "renewed"
	eventUnsettled chart.Event = "unsettled"
	eventPassedOn  chart.Event = "passed-on"
	eventRelease   chart.Event = "release"

	actionStoreGrant chart.Action = "store-grant"
	actionDropGrant  chart.Action = "drop-grant"
)

var leaseChart = chart.MustLoad("lease.toml", chartFile, chart.Vocabulary{
	Events:  []chart.Event{eventAcquire, eventAcquired, eventFailed, eventRenewed, eventUnsettled, eventPassedOn, eventRelease},
	Actions: []chart.Action{actionStoreGrant, actionDropGrant},
})

// renewalsPerTTL leaves two more renewals when one fails.
const renewalsPerTTL = 3

// Holder acquires a lease and keeps it. It is safe for concurrent use.
type Holder struct {
	table platform.Table
	key   string
	name  string
	ttl   time.Duration

	op chan struct{} // holds a token while a request on the lease row runs

	mu    sync.Mutex
	state chart.State
	grant Grant
}

// NewHolder returns a holder with the given name that is idle.
func NewHolder(table platform.Table, key, name string, ttl time.Duration) *Holder {
	return &Holder{table: table, key: key, name: name, ttl: ttl, op: make(chan struct{}, 1), state: leaseChart.Initial()}
}

// State returns the state.
func (h *Holder) State() chart.State {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state
}

// Run acquires the lease, calls work, and renews the lease until work returns,
// the lease is lost or the context ends; then it ends work's context, waits for
// work and releases the lease. It returns ErrLost when the lease was lost.
func (h *Holder) Run(ctx context.Context, work func(ctx context.Context)) error {
	if err := h.acquire(ctx); err != nil {
		return err
	}
	workCtx, stop := context.WithCancel(ctx)
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		work(workCtx)
	}()
	err := h.keep(ctx, done)
	stop()
	<-done
	if err != nil {
		return err
	}
	return h.release(context.WithoutCancel(ctx))
}

// WithGrant calls f with the present grant while no renewal changes its epoch. It
// returns ErrLost without a call of f when the lease is not held. It waits
// while a renewal runs.
func (h *Holder) WithGrant(ctx context.Context, f func(Grant) error) error {
	if err := h.lock(ctx); err != nil {
		return err
	}
	defer h.unlock()
	g := h.present()
	if !g.Valid() {
		return ErrLost
	}
	return f(g)
}

func (h *Holder) lock(ctx context.Context) error {
	select {
	case h.op <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (h *Holder) unlock() { <-h.op }

func (h *Holder) acquire(ctx context.Context) error {
	if err := h.lock(ctx); err != nil {
		return err
	}
	defer h.unlock()
	h.fire(eventAcquire, Grant{})
	g, err := Acquire(ctx, h.table, h.key, h.name, h.ttl)
	if err != nil {
		h.fire(eventFailed, Grant{})
		return err
	}
	h.fire(eventAcquired, g)
	return nil
}

// keep renews until done is closed, the context ends or the lease is lost.
func (h *Holder) keep(ctx context.Context, done <-chan struct{}) error {
	tick := time.NewTicker(h.ttl / renewalsPerTTL)
	defer tick.Stop()
	for {
		select {
		case <-done:
			return nil
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		if err := h.renew(ctx); errors.Is(err, ErrLost) {
			return err
		}
	}
}

func (h *Holder) renew(ctx context.Context) error {
	if err := h.lock(ctx); err != nil {
		return err
	}
	defer h.unlock()
	g := h.present()
	// A renewal that is not settled by the grant's end is of no use.
	ctx, cancel := context.WithDeadline(ctx, g.ExpiresAt)
	defer cancel()
	next, err := Renew(ctx, h.table, g)
	switch {
	case err == nil:
		h.fire(eventRenewed, next)
	case errors.Is(err, ErrLost) || !g.Valid():
		h.fire(eventPassedOn, Grant{})
		return errors.Join(ErrLost, err)
	default:
		h.fire(eventUnsettled, Grant{})
	}
	return err
}

func (h *Holder) release(ctx context.Context) error {
	if err := h.lock(ctx); err != nil {
		return err
	}
	defer h.unlock()
	g := h.present()
	h.fire(eventRelease, Grant{})
	ctx, cancel := context.WithDeadline(ctx, g.ExpiresAt)
	defer cancel()
	return Release(ctx, h.table, g)
}

func (h *Holder) present() Grant {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.grant
}

// fire moves the chart on and runs the actions it names. The chart handles or
// ignores each event in each state, which its check on load proves.
func (h *Holder) fire(e chart.Event, g Grant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	t, err := leaseChart.Next(h.state, e)
	if err != nil {
		return
	}
	h.state = t.To
	for _, a := range t.Actions {
		switch a {
		case actionStoreGrant:
			h.grant = g
		case actionDropGrant:
			h.grant = Grant{}
		}
	}
}
