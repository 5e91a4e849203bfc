package source_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/lease"
	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/platform"
	"nutmeghoist.example/nutmeghoist/pkg/platform/platformtest"
	"nutmeghoist.example/nutmeghoist/pkg/source"
)

const (
	leaseKey = "lease/reporter"
	leaseTTL = 3 * time.Second
)

func grant(t *testing.T, store *platformtest.Store, holder string) lease.Grant {
	t.Helper()
	g, err := lease.Acquire(t.Context(), store, leaseKey, holder, leaseTTL)
	if err != nil {
		t.Fatal(err)
	}
	return g
}

// Guards against a report that is written twice or by a holder that has lost
// the lease, and against an error for a report that was written although its
// answer was lost.
func TestPutReport(t *testing.T) {
	done := source.Report{Move: "m1", Kind: source.ReportDone, Service: "orderdesk", Text: "done"}
	for _, c := range []struct {
		name      string
		faults    platformtest.Faults
		leaseLost bool // another holder has the lease
		exists    bool // the report exists already
		want      error
		written   string // text of the report afterwards; empty when there is none
	}{
		{"first", platformtest.Faults{}, false, false, nil, "a"},
		{"repeated", platformtest.Faults{}, false, true, source.ErrAlreadyReported, "before"},
		{"lease lost", platformtest.Faults{}, true, false, lease.ErrLost, ""},
		{"lease lost, repeated", platformtest.Faults{}, true, true, source.ErrAlreadyReported, "before"},
		{"answer lost", platformtest.Faults{LoseAfter: 1}, false, false, nil, "a"},
		{"request lost", platformtest.Faults{LoseBefore: 1}, false, false, nil, "a"},
		{"request lost, repeated", platformtest.Faults{LoseBefore: 1}, false, true, source.ErrAlreadyReported, "before"},
		{"request and lease lost", platformtest.Faults{LoseBefore: 1}, true, false, lease.ErrLost, ""},
		{"down", platformtest.Faults{Down: true}, false, false, platform.ErrUnavailable, ""},
		{"rate limit and answer lost", platformtest.Faults{WritesPerSecond: 1, ReadsPerSecond: 1, LoseAfter: 1}, false, false, nil, "a"},
	} {
		t.Run(c.name, func(t *testing.T) {
			withFakeClock(t, func(t *testing.T, store *platformtest.Store, s *source.Source) {
				a := grant(t, store, "a")
				if c.exists {
					first := done
					first.Text = "before"
					if err := s.PutReport(t.Context(), a, first); err != nil {
						t.Fatal(err)
					}
				}
				if c.leaseLost {
					grant(t, store, "b")
				}
				store.SetFaults(c.faults)
				mine := done
				mine.Text = "a"
				if err := s.PutReport(t.Context(), a, mine); !errors.Is(err, c.want) {
					t.Errorf("got %v, want %v", err, c.want)
				}
				store.SetFaults(platformtest.Faults{})
				reports, err := s.Reports(t.Context())
				if err != nil || len(reports) > 1 || c.written == "" && len(reports) > 0 || c.written != "" && (len(reports) == 0 || reports[0].Text != c.written) {
					t.Errorf("reports are %+v, %v", reports, err)
				}
			})
		})
	}
}

// Guards against a data centre that has two waiting reports or none, and against
// a report by a process that never held the lease.
func TestPutWaitingReport(t *testing.T) {
	withFakeClock(t, func(t *testing.T, store *platformtest.Store, s *source.Source) {
		a := grant(t, store, "a")
		waiting := func(dcs ...mesh.DataCentre) error {
			return s.PutReport(t.Context(), a, source.Report{Move: "m1", Kind: source.ReportWaiting, WaitingFor: dcs})
		}
		if err := s.PutReport(t.Context(), lease.Grant{}, source.Report{Move: "m1", Kind: source.ReportDone}); !errors.Is(err, lease.ErrLost) {
			t.Errorf("report without a lease: got %v, want ErrLost", err)
		}
		if err := waiting(); err == nil {
			t.Error("a waiting report without a data centre is accepted")
		}
		for _, err := range []error{waiting("dc-a", "dc/b"), waiting("dc/b", "dc-c")} {
			if err != nil {
				t.Error(err)
			}
		}
		if err := waiting("dc-a", "dc-c"); !errors.Is(err, source.ErrAlreadyReported) {
			t.Errorf("got %v, want ErrAlreadyReported", err)
		}
		reports, err := s.Reports(t.Context())
		if err != nil || len(reports) != 3 {
			t.Fatalf("got %+v, %v; want one report for each of 3 data centres", reports, err)
		}
	})
}

// Guards against a veto that is lost or overwritten, and against two vetoes that
// share a row because a name contains a slash.
func TestVetoes(t *testing.T) {
	withFakeClock(t, func(t *testing.T, store *platformtest.Store, s *source.Source) {
		put := func(service mesh.ServiceName, version mesh.TargetVersion, host mesh.HostID) {
			t.Helper()
			if err := s.PutVeto(t.Context(), source.Veto{Service: service, Version: version, Attempt: 1, Host: host}); err != nil {
				t.Fatal(err)
			}
		}
		put("a/b", "c", "first")
		put("a", "b/c", "first")
		put("a", "b/c", "second")
		store.SetFaults(platformtest.Faults{LoseAfter: 1})
		put("d", "e", "first")
		store.SetFaults(platformtest.Faults{WritesPerSecond: 1, LoseBefore: 1})
		put("d", "f", "first")
		vetoes, err := s.Vetoes(t.Context())
		if err != nil || len(vetoes) != 4 {
			t.Fatalf("got %+v, %v; want 4 vetoes", vetoes, err)
		}
		for _, v := range vetoes {
			if v.Host != "first" {
				t.Errorf("veto was overwritten: %+v", v)
			}
		}
		store.SetFaults(platformtest.Faults{Down: true})
		if err := s.PutVeto(t.Context(), vetoes[0]); !errors.Is(err, platform.ErrUnavailable) {
			t.Errorf("got %v, want ErrUnavailable", err)
		}
	})
}

// Guards against hosts that are lost at page boundaries, and against one
// undecodable row that hides all other hosts.
func TestMembers(t *testing.T) {
	withFakeClock(t, func(t *testing.T, store *platformtest.Store, s *source.Source) {
		const hosts = 1203 // three pages
		store.SetFaults(platformtest.Faults{WritesPerSecond: -1})
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		for i := range hosts {
			h := membership.Host{ID: mesh.HostID(fmt.Sprintf("h-%d", i)), DataCentre: mesh.DataCentre(fmt.Sprint("dc-", i%4)), Incarnation: 1}
			if err := s.PutMember(ctx, h); err != nil {
				t.Fatal(err)
			}
		}
		bad := platform.Txn{Writes: []platform.Write{{Key: "member/dc-0/bad", Value: []byte("{")}}}
		if err := store.Commit(ctx, bad); err != nil {
			t.Fatal(err)
		}
		members, err := s.Members(ctx)
		seen := map[mesh.HostID]bool{}
		for _, m := range members {
			seen[m.ID] = true
		}
		if err == nil || len(seen) != hosts || len(members) != hosts {
			t.Fatalf("got %d members, %d different, %v; want %d and an error for the bad row", len(members), len(seen), err, hosts)
		}
		if st := store.Stats(); st.Reads.ByPrefix["member"] != 3 || st.Writes.ByPrefix["member"] != hosts+1 {
			t.Errorf("stats are %+v", st)
		}
	})
}
