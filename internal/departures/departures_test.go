package departures

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/platform"
	"nutmeghoist.example/nutmeghoist/pkg/platform/platformtest"
)

const prefix = "hosts/left/"

// run calls test with a running keeper in a bubble with virtual time.
func run(t *testing.T, test func(t *testing.T, k *Keeper, store *platformtest.Store)) {
	synctest.Test(t, func(t *testing.T) {
		store := platformtest.NewWithRates(-1, -1)
		k := newKeeper(store, "h1")
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); k.Run(ctx) }()
		test(t, k, store)
		cancel()
		<-done
	})
}

func newKeeper(store *platformtest.Store, host mesh.HostID) *Keeper {
	return New(store, prefix, host, metrics.NewRegistry(), &log.Logger{Level: log.PanicLevel + 1})
}

// reload returns what a new process of a host reads.
func reload(t *testing.T, store *platformtest.Store, host mesh.HostID) map[mesh.TargetID]int64 {
	t.Helper()
	rows, _, err := store.Rows(t.Context(), "hosts")
	if err != nil {
		t.Fatal(err)
	}
	out := make(map[mesh.TargetID]int64)
	for _, d := range newKeeper(store, host).Load(rows) {
		out[d.Target] = d.Started
	}
	return out
}

// Guards against a departure that is acknowledged before it is stored, also while the
// store is away or loses answers, and against one that is lost when the store is back.
func TestStoredBeforeAcknowledged(t *testing.T) {
	cases := map[string]struct {
		faults platformtest.Faults
		acked  bool // within a second
	}{
		"store up":          {platformtest.Faults{}, true},
		"store away":        {platformtest.Faults{Down: true}, false},
		"write is lost":     {platformtest.Faults{LoseBefore: 1}, true},
		"answer is lost":    {platformtest.Faults{LoseAfter: 1}, true},
		"two answers, lost": {platformtest.Faults{LoseAfter: 2}, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			run(t, func(t *testing.T, k *Keeper, store *platformtest.Store) {
				store.SetFaults(tc.faults)
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				err := k.Store(ctx, "a", 10)
				if (err == nil) != tc.acked {
					t.Errorf("stored: %v", err)
				}
				store.SetFaults(platformtest.Faults{})
				if tc.acked && reload(t, store, "h1")["a"] != 10 {
					t.Error("acknowledged and not in the store")
				}
				time.Sleep(2 * maxBackoff)
				if got := reload(t, store, "h1"); got["a"] != 10 || len(reload(t, store, "h2")) != 0 {
					t.Errorf("the store has %v", got)
				}
				if err := k.Store(t.Context(), "a", 10); err != nil {
					t.Error(err)
				}
			})
		})
	}
}

// Guards against rows that grow without bound, a write for each repeated announcement, a
// later start that is taken for the earlier one, and departures that a restore of the
// store makes void.
func TestRowsOfDepartures(t *testing.T) {
	run(t, func(t *testing.T, k *Keeper, store *platformtest.Store) {
		copied := store.Copy()
		for range 3 {
			if err := k.Store(t.Context(), "a", 10); err != nil {
				t.Fatal(err)
			}
		}
		if n := store.Stats().Writes.Total; n != 1 {
			t.Errorf("%d writes of one departure", n)
		}
		_ = k.Store(t.Context(), "a", 20)
		_ = k.Store(t.Context(), "a", 10)
		if got := reload(t, store, "h1"); got["a"] != 20 {
			t.Errorf("the store has %v after a later start has left", got)
		}
		store.Restore(copied)
		k.Restore()
		time.Sleep(time.Second)
		if got := reload(t, store, "h1"); got["a"] != 20 {
			t.Errorf("the store has %v after a restore", got)
		}
		time.Sleep(Retention + time.Second)
		if got := reload(t, store, "h1"); len(got) != 0 {
			t.Errorf("%v still holds", got)
		}
		for i := range 2 * maxDepartures {
			if err := k.Store(t.Context(), mesh.TargetID(fmt.Sprint(i)), 10); err != nil {
				t.Fatal(err)
			}
		}
		if len(k.kept) > maxDepartures {
			t.Errorf("%d departures are kept", len(k.kept))
		}
		if _, err := store.Get(t.Context(), k.rowKey("a")); err == nil {
			t.Error("the row of the first departure is still there")
		}
	})
}

// Guards against a row of another writer that hides the rows of departures, or ends the
// process.
func TestUnreadableRows(t *testing.T) {
	k := newKeeper(platformtest.New(), "h1")
	good := platform.Row{Key: k.rowKey("a"), Value: encode(Departure{"a", 10, time.Now().UnixMilli()})}
	rows := []platform.Row{good}
	for _, value := range []string{"", "null", "[]", "\xff", `{"target":"b","started":1e400}`, `{"target":"b","started":-1,"at_ms":9223372036854775807}`} {
		rows = append(rows, platform.Row{Key: k.own + value, Value: []byte(value)})
	}
	loaded := k.Load(append(rows, platform.Row{Key: prefix + "h2/x", Value: good.Value}))
	if len(loaded) != 1 || loaded[0].Target != "a" {
		t.Errorf("loaded %v", loaded)
	}
}
