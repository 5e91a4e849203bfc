package platformtest_test

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/platform"
	"nutmeghoist.example/nutmeghoist/pkg/platform/platformtest"
)

// Guards against faults of the object store that show as the wrong error.
func TestObjectFaults(t *testing.T) {
	text := []byte("text")
	hash := platform.Hash(text)
	for _, c := range []struct {
		name   string
		faults platformtest.Faults
		put    error
		stored bool
	}{
		{"none", platformtest.Faults{}, nil, true},
		{"down", platformtest.Faults{Down: true}, platform.ErrUnavailable, false},
		{"lost after the write", platformtest.Faults{LoseAfter: 1, LosePrefix: "objects"}, platform.ErrOutcomeUnknown, true},
		{"lost before the write", platformtest.Faults{LoseBefore: 1}, platform.ErrOutcomeUnknown, false},
		{"only rows are lost", platformtest.Faults{LoseBefore: 1, LosePrefix: "config/"}, nil, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			each(t, func(t *testing.T, s service) {
				s.store.SetFaults(c.faults)
				if err := s.objects.Put(t.Context(), hash, text); !errors.Is(err, c.put) {
					t.Errorf("put: got %v, want %v", err, c.put)
				}
				s.store.SetFaults(platformtest.Faults{})
				if _, err := s.objects.Get(t.Context(), hash); (err == nil) != c.stored {
					t.Errorf("get: got %v, want stored %t", err, c.stored)
				}
			})
		})
	}
}

// Guards against a fake that forgets a write whose caller has left: the worst
// case for a caller is that it takes effect after the read-back.
func TestSlowWriteTakesEffectLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformtest.New()
		store.SetFaults(platformtest.Faults{DelayMS: 300})
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		if err := store.Commit(ctx, put("k", "late")); !errors.Is(err, platform.ErrOutcomeUnknown) {
			t.Fatalf("got %v, want ErrOutcomeUnknown", err)
		}
		store.SetFaults(platformtest.Faults{})
		time.Sleep(249 * time.Millisecond)
		if _, err := store.Get(t.Context(), "k"); !errors.Is(err, platform.ErrNotFound) {
			t.Errorf("got %v, want ErrNotFound before the delay has passed", err)
		}
		time.Sleep(2 * time.Millisecond)
		if _, err := store.Get(t.Context(), "k"); err != nil {
			t.Errorf("after the delay: %v", err)
		}
	})
}

// Guards against a limit that lets more through than the platform can do, which
// would make measured figures too good.
func TestRates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformtest.New()
		const seconds = 10
		reads, writes := 0, 0
		for start := time.Now(); time.Since(start) < seconds*time.Second; time.Sleep(200 * time.Microsecond) {
			if _, err := store.List(t.Context(), "m/", "", 1); err == nil {
				reads++
			}
			two := platform.Txn{Writes: []platform.Write{{Key: "m/1"}, {Key: "n/1"}}}
			if store.Commit(t.Context(), two) == nil {
				writes += 2
			}
		}
		// A second's worth may be saved up before the start.
		if most := platformtest.DefaultReadsPerSecond * (seconds + 1); reads > most || reads < most*9/10 {
			t.Errorf("%d reads in %d s, want at most %d", reads, seconds, most)
		}
		if most := platformtest.DefaultWritesPerSecond * (seconds + 1); writes > most || writes < most*9/10 {
			t.Errorf("%d rows written in %d s, want at most %d", writes, seconds, most)
		}
		st := store.Stats()
		if st.Reads.ByPrefix["m"] != reads || st.Writes.ByPrefix["n"] != writes/2 || st.Writes.Total != writes || st.RateLimited == 0 {
			t.Errorf("stats are %+v, want %d reads and %d writes", st, reads, writes)
		}
	})
}

// Guards against a switch of faults that goes unheard because of a misspelt
// name, and against rates that a switch resets.
func TestFaultsOverHTTP(t *testing.T) {
	store := platformtest.NewWithRates(1, -1)
	server := httptest.NewServer(platformtest.Handler(store))
	defer server.Close()
	post := func(body string) int {
		resp, err := http.Post(server.URL+"/faults", "application/json", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		return resp.StatusCode
	}
	if code := post(`{"dwon": true}`); code != http.StatusBadRequest || store.Faults().Down {
		t.Errorf("misspelt fault: got %d, %+v", code, store.Faults())
	}
	if code := post(`{"lose_after": 2}`); code != http.StatusOK || store.Faults().LoseAfter != 2 {
		t.Errorf("got %d, %+v", code, store.Faults())
	}
	client := platform.NewClient(server.URL, nil)
	if err := client.Commit(t.Context(), put("config/head", "x")); !errors.Is(err, platform.ErrOutcomeUnknown) {
		t.Errorf("got %v, want ErrOutcomeUnknown", err)
	}
	store.SetFaults(platformtest.Faults{})
	if !limited(func() error { return client.Commit(t.Context(), put("member/a", "x")) }) {
		t.Error("the store's own rate limit is gone")
	}
	resp, err := http.Get(server.URL + "/stats")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var st platformtest.Stats
	if err := json.NewDecoder(resp.Body).Decode(&st); err != nil || st.Writes.ByPrefix["config"] != 1 || st.Lost != 1 || st.RateLimited == 0 {
		t.Errorf("stats are %+v, %v", st, err)
	}
}
