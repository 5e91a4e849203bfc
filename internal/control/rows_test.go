package control

import (
	"encoding/json"
	"errors"
	"testing"
	"time"

	"nutmeghoist.example/nutmeghoist/internal/memnet"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/platform"
	"nutmeghoist.example/nutmeghoist/pkg/platform/platformtest"
)

// Guards against rows of ended hosts and of their departures that stay for good, and
// against rows that go although they are needed: those of live hosts, of requests that end
// targets and of decisions, and of hosts that are cut off and go on writing theirs.
func TestRowsOfEndedHostsAreDeleted(t *testing.T) {
	meshTest(t, func(t *testing.T) {
		m := startMesh(t)
		defer m.stopAll()
		time.Sleep(5 * time.Second)
		m.leaveRows(120)
		left, guilty, decision := departurePrefix+"ended-1/0011223344556677", guiltyPrefix+"00", decisionPrefix+"orderdesk"
		for _, key := range []string{left, guilty, decision, hostTable + "/odd"} {
			m.put(key, "{}")
		}
		m.stopNode("h8")
		m.start("apart", "west")
		time.Sleep(5 * time.Second)
		m.net.SetImpairment(func(from, to mesh.HostID) memnet.Impairment {
			return memnet.Impairment{Lost: (from == "apart") != (to == "apart")}
		})
		time.Sleep(staleAfter - 10*time.Second)
		if n := m.countRows(); n != 120+10+4 {
			t.Errorf("%d rows before the time is over", n)
		}
		time.Sleep(2 * time.Hour)
		if n := m.countRows(); n != 9+3 {
			t.Errorf("%d rows at the end, not those of 9 live hosts and 3 others", n)
		}
		for _, key := range []string{hostTable + "/apart", hostTable + "/h0", guilty, decision, hostTable + "/odd"} {
			if _, err := m.store.Get(t.Context(), key); err != nil {
				t.Errorf("row %s: %v", key, err)
			}
		}
		m.start("h8", "west")
		time.Sleep(2 * time.Second)
		if _, err := m.store.Get(t.Context(), hostTable+"/h8"); err != nil {
			t.Errorf("a host that is started again has no row: %v", err)
		}
	})
}

func (m *testMesh) countRows() int {
	rows, _, err := m.store.Rows(m.t.Context(), hostTable)
	if err != nil {
		m.t.Fatal(err)
	}
	return len(rows)
}

// Guards against a row that is deleted although its host has written it meanwhile, at the
// same address or another one, and against a renewal that overwrites the row of a later
// process at another address.
func TestRowsThatAreWrittenMeanwhileStay(t *testing.T) {
	meshTest(t, func(t *testing.T) {
		m := startMesh(t)
		defer m.stopAll()
		m.leaveRows(1)
		time.Sleep(5 * time.Second)
		n := m.nodes["h0"]
		f := &follower{agent: n.Agent, rows: newRowKeeper(), rowEra: 1}
		ended := hostTable + "/ended-0"
		if err := f.sweepRows(t.Context()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(staleAfter)
		m.leaveRows(1) // the row is written again after the last read
		if err := f.sweepRows(t.Context()); err != nil {
			t.Fatal(err)
		}
		if _, err := m.store.Get(t.Context(), ended); err != nil {
			t.Errorf("a row that was written meanwhile: %v", err)
		}
		other := &follower{agent: m.nodes["h1"].Agent, rows: newRowKeeper(), rowEra: 1}
		for _, f := range []*follower{f, other} {
			if err := f.sweepRows(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(staleAfter)
		m.store.SetFaults(platformtest.Faults{LoseAfter: 1, LosePrefix: hostTable + "/ended"}) // the answer to the first deletion
		if err := f.sweepRows(t.Context()); err == nil {
			t.Error("no error after a lost answer")
		}
		for _, f := range []*follower{other, f} {
			if err := f.sweepRows(t.Context()); err != nil {
				t.Errorf("a deletion after another one: %v", err)
			}
		}
		if n := m.countRows(); n != 9 {
			t.Errorf("%d rows are left of 9 live hosts", n)
		}
		own := n.members.Self()
		own.CallAddress, own.Incarnation = "elsewhere:1", own.Incarnation+5
		value, err := json.Marshal(own)
		if err != nil {
			t.Fatal(err)
		}
		m.put(hostTable+"/h0", string(value))
		if err := f.renewRow(t.Context()); err != nil {
			t.Fatal(err)
		}
		if row, err := m.store.Get(t.Context(), hostTable+"/h0"); err != nil || string(row.Value) != string(value) {
			t.Errorf("the row of a later process became %s, %v", row.Value, err)
		}
		if err := m.store.Commit(t.Context(), platform.Txn{Writes: []platform.Write{{Key: hostTable + "/h0", Delete: true}}}); err != nil {
			t.Fatal(err)
		}
		if err := f.renewRow(t.Context()); err != nil {
			t.Fatal(err)
		}
		if _, err := m.store.Get(t.Context(), hostTable+"/h0"); errors.Is(err, platform.ErrNotFound) {
			t.Error("a live host's row that was deleted is not written again")
		}
	})
}

// Guards against rows whose age is that of an earlier version, or of an earlier history of
// the store.
func TestRowAges(t *testing.T) {
	now := time.Now()
	ages := make(rowAges)
	row := func(key string, version uint64) platform.Row { return platform.Row{Key: key, Version: version} }
	restored := platform.MakeVersion(2, 1)
	for _, step := range []struct {
		after time.Duration
		rows  []platform.Row
		stale int
	}{
		{0, []platform.Row{row("a", 1), row("b", 2)}, 0},
		{staleAfter - 1, []platform.Row{row("a", 1), row("b", 9)}, 0},
		{staleAfter, []platform.Row{row("a", 1), row("b", 9)}, 1},
		{2 * staleAfter, []platform.Row{row("b", 9)}, 1},
		{2*staleAfter + 1, []platform.Row{row("a", 1), row("b", restored)}, 0},
		{3 * staleAfter, []platform.Row{row("a", 1), row("b", restored)}, 0},
		{3*staleAfter + 1, []platform.Row{row("a", 1), row("b", restored)}, 2},
	} {
		if got := ages.observe(step.rows, now.Add(step.after)); len(got) != step.stale {
			t.Errorf("after %s: %v is stale, want %d rows", step.after, got, step.stale)
		}
	}
}
