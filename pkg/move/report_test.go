package move

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/source"
)

// Guards against a report that is untrue: written without the confirmation of
// every host, from an old version, twice, or before the schedule ends.
func TestDecideReports(t *testing.T) {
	version := mesh.ConfigVersion{Revision: 3, Epoch: 1}
	by := start.Add(time.Minute)
	rule := testRule(by)
	full := Confirmation{Version: version, FullShare: true}
	zero := Confirmation{Version: version, ZeroShare: true}
	stale := Confirmation{Version: mesh.ConfigVersion{Revision: 3}, FullShare: true, ZeroShare: true}
	hosts := []Member{{"a1", "a"}, {"a2", "a"}, {"b1", "b"}}
	all := func(c Confirmation) map[mesh.HostID]Confirmation {
		return map[mesh.HostID]Confirmation{"a1": c, "a2": c, "b1": c}
	}
	allWithB1 := func(c Confirmation, b1 Confirmation) map[mesh.HostID]Confirmation {
		m := all(c)
		m["b1"] = b1
		return m
	}
	veto := &source.Veto{Evidence: "9 of 9 calls failed"}
	existing := func(kinds ...string) []source.Report {
		var list []source.Report
		for _, k := range kinds {
			kind, dc, _ := strings.Cut(k, ":")
			r := source.Report{Move: rule.MoveID(), Kind: source.ReportKind(kind)}
			if dc != "" {
				r.WaitingFor = []mesh.DataCentre{mesh.DataCentre(dc)}
			}
			list = append(list, r)
		}
		return list
	}
	onlyB := []mesh.DataCentre{"b"}
	for _, tt := range []struct {
		name        string
		at          time.Duration
		confirm     map[mesh.HostID]Confirmation
		veto        *source.Veto
		unreachable []mesh.DataCentre
		written     []source.Report
		want        string
	}{
		{"first decision", 0, nil, nil, nil, nil, "moving"},
		{"nothing new", time.Second, nil, nil, nil, existing("moving"), ""},
		{"full before the end", 50 * time.Second, all(full), nil, nil, existing("moving"), ""},
		{"done", 58 * time.Second, all(full), nil, nil, existing("moving"), "done"},
		{"second writer after done", 59 * time.Second, all(full), nil, nil, existing("moving", "done"), ""},
		{"paused writer that missed everything", time.Hour, all(full), nil, nil, nil, "done"},
		{"old version on one host", 59 * time.Second, allWithB1(full, stale), nil, nil, existing("moving"), ""},
		{"one host not full", 59 * time.Second, allWithB1(full, zero), nil, nil, existing("moving"), ""},
		{"late", time.Minute, allWithB1(full, Confirmation{}), nil, nil, existing("moving"), "late"},
		{"done after late", 2 * time.Minute, all(full), nil, nil, existing("moving", "late"), "done"},
		{"cut early", 10 * time.Second, all(full), nil, onlyB, existing("moving"), ""},
		{"cut at the end", 58 * time.Second, all(full), nil, onlyB, existing("moving"), "waiting:b"},
		{"cut, already reported", 59 * time.Second, all(full), nil, onlyB, existing("moving", "waiting:b"), ""},
		{"second cut", 59 * time.Second, nil, nil, []mesh.DataCentre{"b", "a", "b"}, existing("moving", "waiting:b"), "waiting:a"},
		{"cut and late", time.Minute, all(full), nil, onlyB, existing("moving", "waiting:b"), "late"},
		{"healed", time.Minute, all(full), nil, nil, existing("moving", "waiting:b"), "done"},
		{"restart after done", time.Hour, allWithB1(full, Confirmation{}), nil, nil, existing("moving", "done"), ""},
		{"veto, not everywhere", 20 * time.Second, allWithB1(zero, full), veto, nil, existing("moving"), ""},
		{"veto, one host silent", time.Hour, map[mesh.HostID]Confirmation{"a1": zero}, veto, nil, existing("moving"), ""},
		{"taken back", 20 * time.Second, all(zero), veto, nil, existing("moving"), "taken-back"},
		{"taken back, old epoch", 20 * time.Second, allWithB1(zero, stale), veto, nil, existing("moving"), ""},
		{"taken back after done", time.Hour, all(zero), veto, nil, existing("moving", "done"), "taken-back"},
		{"taken back, cut", 20 * time.Second, all(zero), veto, onlyB, existing("moving"), "waiting:b"},
		{"taken back twice", time.Hour, all(zero), veto, nil, existing("moving", "taken-back"), ""},
	} {
		got := DecideReports(ReportInput{
			Now: start.Add(tt.at), Version: version, Hosts: hosts, Unreachable: tt.unreachable, Written: tt.written,
			Moves: []ReportMove{{Rule: rule, Accepted: start, Veto: tt.veto, Confirmations: tt.confirm}},
		})
		if s := kinds(got); s != tt.want {
			t.Errorf("%s: %q, want %q", tt.name, s, tt.want)
		}
	}
	if got := DecideReports(ReportInput{Now: by, Version: version, Moves: []ReportMove{{Rule: rule, Accepted: start}}}); kinds(got) != "moving late" {
		t.Errorf("no host in membership: %q, want no claim that it is done", kinds(got))
	}
}

func kinds(list []source.Report) string {
	var out []string
	for _, r := range list {
		s := string(r.Kind)
		for _, dc := range r.WaitingFor {
			s += ":" + string(dc)
		}
		out = append(out, s)
	}
	return strings.Join(out, " ")
}

// Guards against two report writers that together write a row twice or report
// contradictory outcomes, however outdated their reads of the rows are.
func TestTwoWriters(t *testing.T) {
	rule := testRule(start.Add(time.Minute))
	version := mesh.ConfigVersion{Revision: 1}
	rapid.Check(t, func(t *rapid.T) {
		rows := map[string]source.Report{} // the table: the first write of a key wins
		var read [2][]source.Report        // what each writer has read
		for range rapid.IntRange(1, 20).Draw(t, "looks") {
			w := rapid.IntRange(0, 1).Draw(t, "writer")
			if rapid.Bool().Draw(t, "fresh") {
				read[w] = nil
				for _, r := range rows {
					read[w] = append(read[w], r)
				}
			}
			in := ReportInput{Now: start.Add(time.Duration(rapid.IntRange(0, 90).Draw(t, "s")) * time.Second), Version: version, Written: read[w]}
			m := ReportMove{Rule: rule, Accepted: start, Confirmations: map[mesh.HostID]Confirmation{}}
			confirmed := 0
			for i := range 3 {
				id := mesh.HostID(fmt.Sprint("h", i))
				in.Hosts = append(in.Hosts, Member{id, "a"})
				c := Confirmation{Version: version, FullShare: rapid.Bool().Draw(t, "full")}
				m.Confirmations[id] = c
				if c.FullShare {
					confirmed++
				}
			}
			in.Moves = []ReportMove{m}
			for _, r := range DecideReports(in) {
				if r.Kind == source.ReportDone && confirmed != 3 {
					t.Fatalf("done with %d of 3 hosts", confirmed)
				}
				if slices.ContainsFunc(read[w], func(o source.Report) bool { return o.Kind == r.Kind }) {
					t.Fatalf("%s decided again", r.Kind)
				}
				if key := string(r.Kind); rows[key].Kind == "" {
					rows[key] = r
				}
			}
		}
	})
}
