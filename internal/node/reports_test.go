package node

import (
	"testing"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/rules"
	"nutmeghoist.example/nutmeghoist/pkg/snapshot"
	"nutmeghoist.example/nutmeghoist/pkg/source"
)

// Guards against a report writer that queries all hosts while no report is
// possible, or that does not query them when a report is due.
func TestConfirmationsDue(t *testing.T) {
	start := time.Date(2026, 12, 5, 6, 0, 0, 0, time.UTC)
	r := rules.Rule{Prefix: "/menus", Service: "orderdesk", Version: "tray-2", From: "tray-1", By: start.Add(time.Minute), Attempt: 1}
	vetoed := map[mesh.MoveID]source.Veto{r.MoveID(): {Service: r.Service, Version: r.Version, Attempt: 1}}
	report := func(k source.ReportKind) []source.Report { return []source.Report{{Move: r.MoveID(), Kind: k}} }
	tests := []struct {
		name    string
		vetoed  map[mesh.MoveID]source.Veto
		after   time.Duration
		written []source.Report
		want    bool
	}{
		{"schedule still running", nil, 30 * time.Second, report(source.ReportMoving), false},
		{"schedule ended", nil, 59 * time.Second, report(source.ReportMoving), true},
		{"late report is not final", nil, 2 * time.Minute, report(source.ReportLate), true},
		{"done report written", nil, 2 * time.Minute, report(source.ReportDone), false},
		{"rolled back", vetoed, 10 * time.Second, report(source.ReportMoving), true},
		{"rolled back after the done report", vetoed, 2 * time.Minute, report(source.ReportDone), true},
		{"rolled back and reported", vetoed, 2 * time.Minute, report(source.ReportTakenBack), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := &snapshot.Snapshot{Head: source.Head{AcceptedAt: start}, Rules: []rules.Rule{r}, Vetoed: tt.vetoed}
			if got := confirmationsDue(s, start.Add(tt.after), tt.written); got != tt.want {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}
