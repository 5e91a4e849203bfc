package source

import (
	"slices"
	"testing"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// Guards against an unrelated edit that restarts the schedule of a move, and
// against a head that grows with every past move.
func TestMoveStartsKeepTheFirstAcceptance(t *testing.T) {
	now := time.Date(2026, 12, 5, 6, 0, 0, 0, time.UTC)
	first := now.Add(-time.Hour)
	got := moveStarts(
		[]MoveStart{{"kept", first}, {"removed", first}, {"over", first}},
		[]PendingMove{{"kept", now.Add(time.Hour)}, {"new", now.Add(time.Hour)}, {"over", now.Add(-time.Minute)}}, now)
	want := []MoveStart{{mesh.MoveID("kept"), first}, {mesh.MoveID("new"), now}}
	if !slices.Equal(got, want) {
		t.Fatalf("got %v, want %v", got, want)
	}
}
