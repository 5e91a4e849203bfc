// Package snapshot holds the compiled configuration that a proxy serves: an
// immutable value with the routes and the target sets they need.
package snapshot

import (
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/rules"
	"nutmeghoist.example/nutmeghoist/pkg/source"
)

// Target is a target together with the host that owns admission to it.
type Target struct {
	membership.Target
	Host        mesh.HostID
	DataCentre  mesh.DataCentre
	CallAddress string // where the host's node takes calls from other nodes
	Suspect     bool   // the host is suspected; use it only when no other is there
}

// Snapshot is immutable once built.
type Snapshot struct {
	Version    mesh.ConfigVersion
	Generation uint64 // counts the changes of the target sets within a version
	Head       source.Head
	Rules      []rules.Rule
	Services   []rules.Service
	Targets    map[mesh.ServiceVersion][]Target // an entry for each service version that a rule names
	Vetoed     map[mesh.MoveID]source.Veto      // moves of this revision that were taken back
	// AcceptedAt holds when each move was first accepted, since Head.AcceptedAt
	// changes with unrelated edits. A move without an entry counts from Head.AcceptedAt.
	AcceptedAt map[mesh.MoveID]time.Time
	BuiltAt    time.Time
}
