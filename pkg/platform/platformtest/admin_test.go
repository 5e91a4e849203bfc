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

func put(key, value string) platform.Txn {
	return platform.Txn{Writes: []platform.Write{{Key: key, Value: []byte(value)}}}
}

// Guards against a fake that drops a delayed write once its caller has given up.
// The worst case for a caller is a write that takes effect after the caller has
// read the row again.
func TestSlowWriteTakesEffectLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformtest.New()
		store.SetFaults(platformtest.Faults{DelayMS: 300})
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		if err := store.Commit(ctx, put("t/k", "late")); !errors.Is(err, platform.ErrOutcomeUnknown) {
			t.Fatalf("got %v, want ErrOutcomeUnknown", err)
		}
		store.SetFaults(platformtest.Faults{})
		time.Sleep(249 * time.Millisecond)
		if _, err := store.Get(t.Context(), "t/k"); !errors.Is(err, platform.ErrNotFound) {
			t.Errorf("got %v, want ErrNotFound before the delay has passed", err)
		}
		time.Sleep(2 * time.Millisecond)
		if _, err := store.Get(t.Context(), "t/k"); err != nil {
			t.Errorf("after the delay: %v", err)
		}
	})
}

// Guards against rate limits above those of the platform, which would make
// measurements look better than they are.
func TestRateLimits(t *testing.T) {
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
		// The burst allows one more second's requests at the start.
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

// Guards against a misspelt fault name that is ignored, and against a change of
// faults that resets the store's own rate limits.
func TestFaultsOverHTTP(t *testing.T) {
	store := platformtest.NewWithRates(1, -1)
	server := httptest.NewServer(platformtest.AdminHandler(store))
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
	if err := store.Commit(t.Context(), put("config/head", "x")); !errors.Is(err, platform.ErrOutcomeUnknown) {
		t.Errorf("got %v, want ErrOutcomeUnknown", err)
	}
	store.SetFaults(platformtest.Faults{})
	var limited *platform.RateLimitedError
	for range 50 { // at one write per second, no machine is slow enough for all to pass
		if errors.As(store.Commit(t.Context(), put("member/a", "x")), &limited) {
			break
		}
	}
	if limited == nil {
		t.Error("the store's own rate limit is not applied")
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
