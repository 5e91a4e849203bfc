package lease_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"nutmeghoist.example/nutmeghoist/pkg/lease"
	"nutmeghoist.example/nutmeghoist/pkg/platform"
	"nutmeghoist.example/nutmeghoist/pkg/platform/platformtest"
)

const (
	key = "lease/reporter"
	ttl = 3 * time.Second
)

// pausingTable delays the caller before each read and after each commit.
type pausingTable struct {
	platform.Table
	beforeRead, afterCommit time.Duration
}

func (p *pausingTable) Get(ctx context.Context, key string) (platform.Row, error) {
	time.Sleep(p.beforeRead)
	return p.Table.Get(ctx, key)
}

func (p *pausingTable) Commit(ctx context.Context, txn platform.Txn) error {
	err := p.Table.Commit(ctx, txn)
	time.Sleep(p.afterCommit)
	return err
}

func acquire(t *testing.T, table platform.Table, holder string) lease.Grant {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	g, err := lease.Acquire(ctx, table, key, holder, ttl)
	if err != nil {
		t.Fatal(err)
	}
	return g
}

// write commits a row on the condition that g is still the current grant.
func write(t *testing.T, table platform.Table, g lease.Grant) error {
	return table.Commit(t.Context(), platform.Txn{
		Conditions: []platform.Condition{g.Condition()},
		Writes:     []platform.Write{{Key: "report/x", Value: []byte(g.Holder)}},
	})
}

// Guards against two writers at one time: a holder that was paused until its
// lease expired resumes and continues to write.
func TestPausedHolderIsFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformtest.New()
		a := acquire(t, store, "a")
		if err := write(t, store, a); err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		b := acquire(t, store, "b") // while a is paused
		if waited := time.Since(start); waited < ttl || waited > ttl+ttl/2 {
			t.Errorf("b waited %s, want a little over %s", waited, ttl)
		}
		if a.Valid() {
			t.Error("the grant of a is still valid")
		}
		if err := write(t, store, a); !errors.Is(err, platform.ErrConflict) {
			t.Errorf("write of a: got %v, want ErrConflict", err)
		}
		if _, err := lease.Renew(t.Context(), store, a); !errors.Is(err, lease.ErrLost) {
			t.Errorf("renewal of a: got %v, want ErrLost", err)
		}
		if err := lease.Release(t.Context(), store, a); err != nil {
			t.Errorf("release of a: %v", err)
		}
		if err := write(t, store, b); err != nil {
			t.Errorf("write of b after the release of a: %v", err)
		}
	})
}

// Guards against a lease that nobody holds although its row was written, and
// against an epoch that no longer matches the row. Both can result from a lost
// answer to a commit.
func TestLostAnswers(t *testing.T) {
	for name, faults := range map[string]platformtest.Faults{
		"after the write":  {LoseAfter: 1},
		"before the write": {LoseBefore: 2},
		"both":             {LoseBefore: 1, LoseAfter: 1},
		"stale reads":      {StaleReads: true, LoseAfter: 1},
		"rate limit":       {WritesPerSecond: 1, ReadsPerSecond: 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := platformtest.New()
				heal := func(f platformtest.Faults) {
					store.SetFaults(f)
					time.AfterFunc(ttl/6, func() { store.SetFaults(platformtest.Faults{}) })
				}
				heal(faults)
				g := acquire(t, store, "a")
				time.Sleep(ttl / 5) // after the faults end
				if err := write(t, store, g); err != nil {
					t.Fatalf("write after acquire: %v", err)
				}
				heal(faults)
				next, err := lease.Renew(t.Context(), store, g)
				if err != nil {
					time.Sleep(ttl / 5) // after the faults end
					next, err = lease.Renew(t.Context(), store, g)
				}
				if err != nil || next.Epoch <= g.Epoch {
					t.Fatalf("renewal of epoch %d: got %d, %v", g.Epoch, next.Epoch, err)
				}
				time.Sleep(ttl / 5) // after the faults end
				if err := write(t, store, next); err != nil {
					t.Fatalf("write after renewal: %v", err)
				}
			})
		})
	}
}

// Guards against a waiter that acquires a lease which another waiter has just
// acquired: the same row expires for both at the same time.
func TestTwoWaiters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformtest.New()
		acquire(t, store, "a") // never renewed
		grants := make(chan lease.Grant, 2)
		for _, holder := range []string{"b", "c"} {
			go func() { grants <- acquire(t, store, holder) }()
		}
		first := <-grants
		time.Sleep(ttl / 2)
		if len(grants) != 0 {
			t.Fatal("both waiters hold the lease")
		}
		if err := lease.Release(t.Context(), store, first); err != nil {
			t.Fatal(err)
		}
		released := time.Now()
		second := <-grants
		if second.Holder == first.Holder || second.Epoch <= first.Epoch {
			t.Fatalf("got %+v after %+v", second, first)
		}
		if waited := time.Since(released); waited > ttl/2 {
			t.Errorf("the second waiter acquired the lease %s after the release", waited)
		}
	})
}

// Guards against a holder that takes the new holder's row for its own: the
// answer to its renewal was lost, and it reads the row only after another holder
// has acquired the lease.
func TestPauseWithLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformtest.New()
		a := acquire(t, store, "a")
		store.SetFaults(platformtest.Faults{LoseAfter: 1})
		renewal := make(chan error, 1)
		go func() {
			_, err := lease.Renew(t.Context(), &pausingTable{Table: store, afterCommit: 3 * ttl}, a)
			renewal <- err
		}()
		synctest.Wait() // the renewal has taken effect and its answer is lost
		b := acquire(t, store, "b")
		if err := <-renewal; !errors.Is(err, lease.ErrLost) {
			t.Errorf("renewal of a: got %v, want ErrLost", err)
		}
		if err := write(t, store, a); !errors.Is(err, platform.ErrConflict) {
			t.Errorf("write of a: got %v, want ErrConflict", err)
		}
		if b, err := lease.Renew(t.Context(), store, b); err == nil || b.Valid() {
			t.Errorf("b did not renew within its ttl and still holds %+v, %v", b, err)
		}
	})
}

// Guards against two holders at one time: a holder that reads late that its
// commit took effect must count the ttl from the commit, as waiters do.
func TestTTLCountsFromCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformtest.New()
		slow := make(chan lease.Grant, 1)
		go func() { slow <- acquire(t, &pausingTable{Table: store, beforeRead: ttl * 2 / 3}, "a") }()
		time.Sleep(ttl) // a has committed and now reads
		b := acquire(t, store, "b")
		if a := <-slow; a.Valid() && b.Valid() {
			t.Errorf("%+v and %+v are valid together", a, b)
		}
	})
}

// Guards against a grant that expires too early when a commit takes effect after
// its sender gave up: the ttl must count from the commit that wrote the row.
func TestLateCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformtest.New()
		a := acquire(t, store, "a")
		store.SetFaults(platformtest.Faults{DelayMS: 500})
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		if _, err := lease.Renew(ctx, store, a); err == nil || errors.Is(err, lease.ErrLost) {
			t.Fatalf("got %v, want a renewal with unknown outcome", err)
		}
		time.Sleep(time.Second)
		store.SetFaults(platformtest.Faults{})
		sent := time.Now()
		next, err := lease.Renew(t.Context(), store, a)
		if err != nil || next.ExpiresAt.Before(sent.Add(ttl)) {
			t.Fatalf("got %+v, %v; want a grant until %s", next, err, sent.Add(ttl))
		}
		if err := write(t, store, next); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against two holders at one time under any mix of faults and pauses.
func TestAtMostOneHolder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		faults := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) platformtest.Faults {
			return platformtest.Faults{
				Down:       rapid.IntRange(0, 4).Draw(t, "down") == 0,
				DelayMS:    rapid.SampledFrom([]int64{0, 0, 5, 400, 2500}).Draw(t, "delay"),
				LoseAfter:  rapid.IntRange(0, 3).Draw(t, "lose after"),
				LoseBefore: rapid.IntRange(0, 2).Draw(t, "lose before"),
				StaleReads: rapid.IntRange(0, 3).Draw(t, "stale") == 0,
			}
		}), 12, 12).Draw(rt, "faults")
		pauses := rapid.SliceOfN(rapid.Int64Range(0, int64(2*ttl)), 16, 16).Draw(rt, "pauses")
		var err error
		synctest.Test(t, func(t *testing.T) { err = runContention(t, faults, pauses) })
		if err != nil {
			rt.Fatal(err)
		}
	})
}

// runContention runs three holders against faults that change every second and
// returns an error when two grants are valid at the same time.
func runContention(t *testing.T, faults []platformtest.Faults, pauses []int64) error {
	store := platformtest.New()
	ctx, cancel := context.WithTimeout(t.Context(), time.Duration(len(faults))*time.Second)
	defer cancel()
	m := &grantMonitor{grants: make(map[int]lease.Grant)}
	done := make(chan struct{})
	for id := range 3 {
		go func() {
			defer func() { done <- struct{}{} }()
			for n := id; ctx.Err() == nil; n++ {
				m.holdLease(ctx, store, id, func() time.Duration { n++; return time.Duration(pauses[n%len(pauses)]) })
			}
		}()
	}
	for _, f := range faults {
		store.SetFaults(f)
		time.Sleep(time.Second)
	}
	for range 3 {
		<-done
	}
	return m.err
}
