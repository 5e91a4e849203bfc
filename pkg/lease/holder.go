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

// The states of a lease, from its holder's point of view.
const (
	StateIdle      chart.State = "idle"
	StateWaiting   chart.State = "waiting"
	StateHeld      chart.State = "held"
	StateUncertain chart.State = "uncertain" // the outcome of a renewal is unknown
	StateLost      chart.State = "lost"
)

const (
	eventAcquire   chart.Event = "acquire"
	eventAcquired  chart.Event = "acquired"
	eventFailed    chart.Event = "failed"
	eventRenewed   chart.Event = "renewed"
	eventUnsettled chart.Event = "unsettled" // a renewal failed, its outcome is unknown
	eventPassedOn  chart.Event = "passed-on" // expired or acquired by another holder
	eventRelease   chart.Event = "release"

	actionStoreGrant chart.Action = "store-grant"
	actionDropGrant  chart.Action = "drop-grant"
)

var leaseChart = chart.MustLoad("lease.toml", chartFile, chart.Vocabulary{
	Events:  []chart.Event{eventAcquire, eventAcquired, eventFailed, eventRenewed, eventUnsettled, eventPassedOn, eventRelease},
	Actions: []chart.Action{actionStoreGrant, actionDropGrant},
})

// renewalsPerTTL leaves time for two more renewals after one fails.
const renewalsPerTTL = 3

// Holder acquires a lease and renews it. It is safe for concurrent use.
type Holder struct {
	table platform.Table
	key   string
	name  string
	ttl   time.Duration

	requestLock chan struct{} // semaphore: at most one request on the lease row at a time

	mu    sync.Mutex
	state chart.State
	grant Grant
}

// NewHolder returns an idle holder with the given name.
func NewHolder(table platform.Table, key, name string, ttl time.Duration) *Holder {
	return &Holder{table: table, key: key, name: name, ttl: ttl, requestLock: make(chan struct{}, 1), state: leaseChart.Initial()}
}

// State returns the current state of the lease.
func (h *Holder) State() chart.State {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state
}

// Run acquires the lease, calls work, and renews the lease until work returns,
// the lease is lost or ctx is done. It then cancels work's context, waits for
// work and, unless the lease was lost, releases it. It returns ErrLost when the
// lease was lost.
func (h *Holder) Run(ctx context.Context, work func(ctx context.Context)) error {
	if err := h.acquire(ctx); err != nil {
		return err
	}
	workCtx, cancelWork := context.WithCancel(ctx)
	defer cancelWork()
	done := make(chan struct{})
	go func() {
		defer close(done)
		work(workCtx)
	}()
	err := h.renewUntilDone(ctx, done)
	cancelWork()
	<-done
	if err != nil {
		return err
	}
	return h.release(context.WithoutCancel(ctx))
}

// WithGrant calls f with the current grant and blocks renewals until f returns,
// so the epoch stays the same during f. It waits for a running renewal first,
// and returns ErrLost without calling f when the lease is not held.
func (h *Holder) WithGrant(ctx context.Context, f func(Grant) error) error {
	if err := h.lock(ctx); err != nil {
		return err
	}
	defer h.unlock()
	g := h.currentGrant()
	if !g.Valid() {
		return ErrLost
	}
	return f(g)
}

func (h *Holder) lock(ctx context.Context) error {
	select {
	case h.requestLock <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (h *Holder) unlock() { <-h.requestLock }

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

// renewUntilDone renews the lease periodically until done is closed, ctx is done
// or the lease is lost.
func (h *Holder) renewUntilDone(ctx context.Context, done <-chan struct{}) error {
	ticker := time.NewTicker(h.ttl / renewalsPerTTL)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return nil
		case <-ctx.Done():
			return nil
		case <-ticker.C:
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
	g := h.currentGrant()
	// A renewal that is confirmed only after the grant has expired is useless: the
	// holder must have stopped by then.
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
	g := h.currentGrant()
	h.fire(eventRelease, Grant{})
	ctx, cancel := context.WithDeadline(ctx, g.ExpiresAt)
	defer cancel()
	return Release(ctx, h.table, g)
}

func (h *Holder) currentGrant() Grant {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.grant
}

// fire applies an event to the state chart and runs the actions of the
// transition. The error of Next can be ignored: the check on load ensures that
// each state handles or ignores each event.
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
