package lease_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/lease"
	"nutmeghoist.example/nutmeghoist/pkg/platform"
	"nutmeghoist.example/nutmeghoist/pkg/platform/platformtest"
)

// grantMonitor records the grants of all holders and an error when two of them
// are valid at the same time.
type grantMonitor struct {
	mu     sync.Mutex
	grants map[int]lease.Grant
	err    error
}

func (m *grantMonitor) set(id int, g lease.Grant) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.grants[id] = g
	for other, o := range m.grants {
		if other != id && g.Valid() && o.Valid() {
			m.err = errors.Join(m.err, fmt.Errorf("%+v and %+v are valid together", g, o))
		}
	}
}

// holdLease acquires the lease, renews it between pauses and releases it.
func (m *grantMonitor) holdLease(ctx context.Context, table platform.Table, id int, pause func() time.Duration) {
	g, err := lease.Acquire(ctx, table, key, fmt.Sprint(id), ttl)
	if err != nil {
		return
	}
	for range 3 {
		m.set(id, g)
		time.Sleep(pause())
		if next, err := lease.Renew(ctx, table, g); err == nil {
			g = next
		} else if errors.Is(err, lease.ErrLost) {
			return
		}
	}
	m.set(id, lease.Grant{})
	_ = lease.Release(ctx, table, g)
}

// Guards against work that continues after the lease is lost, and against a
// renewal that changes the epoch during a fenced write.
func TestHolderRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformtest.New()
		h := lease.NewHolder(store, key, "a", ttl)
		ended := make(chan error, 1)
		writes := 0
		go func() {
			ended <- h.Run(t.Context(), func(ctx context.Context) {
				for ctx.Err() == nil {
					if err := h.WithGrant(ctx, func(g lease.Grant) error { return write(t, store, g) }); err == nil {
						writes++
					}
					time.Sleep(70 * time.Millisecond)
				}
			})
		}()
		time.Sleep(4 * ttl)
		if h.State() != lease.StateHeld {
			t.Fatalf("state is %s after 4 ttl", h.State())
		}
		store.SetFaults(platformtest.Faults{Down: true})
		time.Sleep(ttl / 2)
		if h.State() != lease.StateUncertain {
			t.Errorf("state is %s in an outage, want %s", h.State(), lease.StateUncertain)
		}
		time.Sleep(2 * ttl)
		select {
		case err := <-ended:
			if !errors.Is(err, lease.ErrLost) || h.State() != lease.StateLost {
				t.Errorf("got %v in state %s, want ErrLost", err, h.State())
			}
		default:
			t.Fatal("work continues without the lease")
		}
		if want := int(4*ttl/(70*time.Millisecond)) - 1; writes < want {
			t.Errorf("%d writes, want at least %d: a renewal made a write fail", writes, want)
		}
	})
}

// Guards against a lease that is not released when the holder's work returns.
func TestHolderReleases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformtest.New()
		h := lease.NewHolder(store, key, "a", ttl)
		if err := h.Run(t.Context(), func(context.Context) { time.Sleep(2 * ttl) }); err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		acquire(t, store, "b")
		if waited := time.Since(start); waited > 0 || h.State() != lease.StateIdle {
			t.Errorf("b waited %s, state is %s", waited, h.State())
		}
	})
}
