package move

import (
	"testing"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/rules"
	"nutmeghoist.example/nutmeghoist/pkg/snapshot"
	"nutmeghoist.example/nutmeghoist/pkg/source"
)

var start = time.Date(2026, 12, 5, 6, 0, 0, 0, time.UTC)

func testRule(by time.Time) rules.Rule {
	return rules.Rule{Methods: []string{"GET"}, Prefix: "/menus", Service: "orderdesk", Version: "tray-2", From: "tray-1", By: by, Attempt: 1}
}

func testTargets(v mesh.TargetVersion, hosts ...mesh.HostID) []snapshot.Target {
	var list []snapshot.Target
	for _, h := range hosts {
		list = append(list, snapshot.Target{Target: membership.Target{Service: "orderdesk", Version: v, State: membership.TargetReady}, Host: h, DataCentre: "a"})
	}
	return list
}

func testSnapshot(revision uint64, at time.Time, list ...rules.Rule) *snapshot.Snapshot {
	return &snapshot.Snapshot{
		Version: mesh.ConfigVersion{Revision: revision}, Head: source.Head{Revision: revision, AcceptedAt: start}, Rules: list, BuiltAt: at,
		Targets: map[mesh.ServiceVersion][]snapshot.Target{
			{Service: "orderdesk", Version: "tray-1"}: testTargets("tray-1", "h1", "h2", "h3"),
			{Service: "orderdesk", Version: "tray-2"}: testTargets("tray-2", "h1", "h2", "h3"),
		},
	}
}

func observe(c *Controller, v mesh.TargetVersion, host mesh.HostID, k OutcomeKind, n int) {
	for range n {
		c.Observe(Outcome{Service: "orderdesk", Version: v, Route: "GET /menus", Host: host, DataCentre: "a", Kind: k, Latency: 5 * time.Millisecond})
	}
}

// Guards against an obvious fault that has to wait for the evaluator: the node
// that observes it must roll the version back by itself, with numbers in the
// evidence.
func TestLocalRollback(t *testing.T) {
	var vetoes []source.Veto
	c := NewController(Config{Self: "h1", DataCentre: "a", OnVeto: func(v source.Veto) { vetoes = append(vetoes, v) }})
	c.Apply(testSnapshot(1, start, testRule(start.Add(time.Minute))))
	c.Tick(start)
	if got := c.Moves()[0].Share; got != 100 {
		t.Fatalf("share %d, want 100", got)
	}
	observe(c, "tray-1", "h1", OutcomeOK, 1000)
	for i := range 12 {
		observe(c, "tray-2", []mesh.HostID{"h1", "h2", "h3"}[i%3], OutcomeFailed, 1)
	}
	if len(vetoes) != 1 || c.Moves()[0].Share != 0 || c.Moves()[0].State != StateTakenBack {
		t.Fatalf("vetoes %v, status %+v", vetoes, c.Moves())
	}
	t.Log(vetoes[0].Evidence)
}
