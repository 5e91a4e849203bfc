package membership

import (
	"flag"
	"fmt"
	"os"
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// TestMain fixes the seed of the property tests unless one is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		_ = f.Value.Set("1")
	}
	os.Exit(m.Run())
}

// genRecord generates records that often tie, since merges are most likely to
// go wrong on ties.
func genRecord(ids ...string) *rapid.Generator[Host] {
	return rapid.Custom(func(t *rapid.T) Host {
		h := Host{
			ID: mesh.HostID(rapid.SampledFrom(ids).Draw(t, "id")), DataCentre: "dc",
			PeerAddress: rapid.SampledFrom([]string{"a:1", "b:1"}).Draw(t, "addr"),
			Incarnation: rapid.Uint64Range(1, 3).Draw(t, "inc"), Sequence: rapid.Uint64Range(0, 2).Draw(t, "seq"),
			Status: Status(rapid.IntRange(int(StatusAlive), int(StatusLeft)).Draw(t, "status")),
		}
		for i := range rapid.IntRange(0, 2).Draw(t, "targets") {
			h.Targets = append(h.Targets, Target{ID: mesh.TargetID(fmt.Sprint(i)), State: TargetState(rapid.IntRange(1, 3).Draw(t, "state"))})
		}
		return h
	})
}

// Guards against hosts that end up with different records after receiving the
// same ones.
func TestMergeLaws(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := genRecord("x")
		a, b, c := g.Draw(t, "a"), g.Draw(t, "b"), g.Draw(t, "c")
		eq := func(law string, x, y Host) {
			if !reflect.DeepEqual(x, y) {
				t.Fatalf("%s: %+v != %+v", law, x, y)
			}
		}
		eq("commutative", MergeRecords(a, b), MergeRecords(b, a))
		eq("associative", MergeRecords(MergeRecords(a, b), c), MergeRecords(a, MergeRecords(b, c)))
		eq("idempotent", MergeRecords(MergeRecords(a, b), b), MergeRecords(a, b))
		for _, in := range []Host{a, b} {
			if merged := MergeRecords(a, b); compareOrder(&merged, &in) < 0 {
				t.Fatalf("merged record %+v is older than %+v", merged, in)
			}
		}
	})
}

func compareOrder(a, b *Host) int {
	x, y := *a, *b
	x.Targets, y.Targets = nil, nil
	return compare(&x, &y)
}

// Guards against tables or digests that depend on the order of messages.
func TestMergeOrderIndependence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(genRecord("x", "y", "z"), 1, 12).Draw(t, "records")
		shuffled := rapid.Permutation(records).Draw(t, "shuffled")
		a, b := NewTable(Host{ID: "self"}, Options{}), NewTable(Host{ID: "self"}, Options{})
		a.Merge(records)
		for _, r := range shuffled { // one at a time, some twice
			b.Merge([]Host{r, r})
		}
		if !reflect.DeepEqual(a.Hosts(), b.Hosts()) || a.Digest() != b.Digest() {
			t.Fatalf("%+v\n%+v", a.Hosts(), b.Hosts())
		}
		if again := a.Merge(shuffled); len(again) != 0 {
			t.Fatalf("merge of known records changed %+v", again)
		}
		c := NewTable(Host{ID: "self"}, Options{})
		c.Merge(a.Hosts())
		if c.BucketDigests() != a.BucketDigests() {
			t.Fatal("digest depends on the history")
		}
	})
}

// Guards against a live host that stays suspected or failed, and against its
// record losing its targets for good.
func TestRefute(t *testing.T) {
	for _, status := range []Status{StatusSuspect, StatusFailed, StatusLeft} {
		a := NewTable(Host{ID: "a", Incarnation: 5, Targets: []Target{{ID: "t"}}}, Options{})
		b := NewTable(Host{ID: "b"}, Options{})
		r := a.Self()
		r.Status = status
		b.Merge([]Host{a.Self(), r})
		changed := a.Merge(b.Hosts())
		b.Merge(a.Hosts())
		got, _ := b.Get("a")
		if got.Status != StatusAlive || got.Incarnation != 6 || len(got.Targets) != 1 || len(changed) != 2 {
			t.Errorf("status %d: after refutation %+v, changed %+v", status, got, changed)
		}
	}
}

// Guards against a restarted host that is ignored because its clock or its
// lost memory gives it a lower incarnation than its previous run had.
func TestRestartWithLowerIncarnation(t *testing.T) {
	old := Host{ID: "a", PeerAddress: "a:1", Incarnation: 90, Sequence: 4, Status: StatusAlive, Targets: []Target{{ID: "old"}}}
	a := NewTable(Host{ID: "a", PeerAddress: "a:2", Incarnation: 10}, Options{})
	a.Merge([]Host{old})
	b := NewTable(Host{ID: "b"}, Options{})
	b.Merge([]Host{old})
	b.Merge(a.Hosts())
	if got, _ := b.Get("a"); got.PeerAddress != "a:2" || got.Incarnation <= 90 || len(got.Targets) != 0 {
		t.Errorf("after restart: %+v", got)
	}
	if a.HostIDTaken() {
		t.Error("a restart counts as a duplicate")
	}
}

// Guards against two processes with one host ID that raise their incarnations
// above each other's without end.
func TestDuplicateHostsConverge(t *testing.T) {
	a := NewTable(Host{ID: "x", PeerAddress: "a:1", Incarnation: 1}, Options{})
	b := NewTable(Host{ID: "x", PeerAddress: "b:1", Incarnation: 1}, Options{})
	rounds := 0
	for ; rounds < 100; rounds++ {
		ca, cb := a.Merge([]Host{b.Self()}), b.Merge([]Host{a.Self()})
		if len(ca)+len(cb) == 0 {
			break
		}
	}
	if rounds == 100 || a.HostIDTaken() == b.HostIDTaken() {
		t.Errorf("after %d rounds duplicate: a %v, b %v", rounds, a.HostIDTaken(), b.HostIDTaken())
	}
}

// Guards against wrong timers of suspicion, failure and expiry, and against
// old copies of a record that bring back a host that has failed.
func TestSuspicionAndExpiryTimers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := NewTable(Host{ID: "self"}, Options{})
		rec := Host{ID: "x", Incarnation: 1, Status: StatusAlive, Targets: []Target{{ID: "t"}}}
		table.Merge([]Host{rec})
		status := func() Status { h, _ := table.Get("x"); return h.Status }
		step := func(d time.Duration, want Status) {
			t.Helper()
			time.Sleep(d)
			table.Tick(time.Now())
			if got := status(); got != want {
				t.Fatalf("after %v: status %d, not %d", d, got, want)
			}
		}
		if !table.Suspect("x") || table.Suspect("x") || table.Suspect("self") || table.Suspect("nobody") {
			t.Fatal("Suspect reports a wrong change")
		}
		step(2900*time.Millisecond, StatusSuspect)
		step(200*time.Millisecond, StatusFailed)
		if h, _ := table.Get("x"); h.Targets != nil {
			t.Error("a failed host keeps targets")
		}
		table.Merge([]Host{rec})
		step(0, StatusFailed)
		step(11*time.Minute, 0) // hidden
		if len(table.FailedHosts()) != 1 {
			t.Error("a failed host is no longer returned by FailedHosts")
		}
		if changed := table.Merge([]Host{rec}); len(changed) != 0 || status() != 0 {
			t.Error("an old copy brought a failed host back")
		}
		rec.Incarnation++
		table.Merge([]Host{rec})
		step(0, StatusAlive)
		rec.Sequence, rec.Status = 1, StatusLeaving
		table.Merge([]Host{rec})
		table.Suspect("x")
		step(2900*time.Millisecond, StatusLeaving)
		step(200*time.Millisecond, StatusLeft)
		if gone := table.GoneHosts(); len(gone) != 1 || len(table.FailedHosts()) != 0 {
			t.Errorf("a host that has stopped: gone %v, failed %v", gone, table.FailedHosts())
		}
		other := Host{ID: "y", Incarnation: 1, Status: StatusFailed}
		table.Merge([]Host{other})
		step(47*time.Hour, 0)
		if len(table.GoneHosts()) != 2 || len(table.FailedHosts()) != 1 {
			t.Error("a record does not last for its retention")
		}
		step(2*time.Hour, 0)
		for _, id := range []mesh.HostID{"x", "y"} {
			if _, ok := table.GetRetained(id); ok {
				t.Errorf("the record of %s outlives its retention", id)
			}
		}
	})
}

// Guards against records of a faulty peer that cannot be refuted or that fill
// the memory.
func TestMergeBounds(t *testing.T) {
	table := NewTable(Host{ID: "self", Incarnation: 1}, Options{})
	bad := []Host{
		{ID: "self", Incarnation: ^uint64(0), Status: StatusFailed},
		{ID: "x", Incarnation: maxIncarnation, Status: StatusAlive},
		{ID: "", Status: StatusAlive},
		{ID: "y"},
		{ID: "y", Status: StatusLeft + 1},
	}
	if changed := table.Merge(bad); len(changed) != 0 {
		t.Errorf("accepted %+v", changed)
	}
	for i := range maxHosts + 10 {
		table.Merge([]Host{{ID: mesh.HostID(fmt.Sprint(i)), Status: StatusAlive}})
	}
	if n := len(table.Hosts()); n != maxHosts {
		t.Errorf("%d records are kept", n)
	}
}

// Guards against missed or superfluous notifications and wrong sequences.
func TestChangeNotification(t *testing.T) {
	table := NewTable(Host{ID: "self", Incarnation: 7}, Options{})
	_, v := table.ChangedSince(0)
	c := table.NextChange()
	table.UpdateSelf(func(h *Host) { h.CallAddress, h.Incarnation, h.ID = "c:1", 0, "" })
	select {
	case <-c:
	default:
		t.Error("no notification of a change")
	}
	hosts, v := table.ChangedSince(v)
	if len(hosts) != 1 || hosts[0].Sequence != 1 || hosts[0].Incarnation != 7 || hosts[0].ID != "self" {
		t.Errorf("changed: %+v", hosts)
	}
	c = table.NextChange()
	table.Merge(hosts)
	select {
	case <-c:
		t.Error("notification without a change")
	default:
	}
	if hosts, _ := table.ChangedSince(v); len(hosts) != 0 {
		t.Errorf("changed twice: %+v", hosts)
	}
}
