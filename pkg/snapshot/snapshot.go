// Package snapshot holds the compiled configuration that a proxy serves. It is an
// immutable value with the rules and the targets that they route to.
package snapshot

import (
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/rules"
	"nutmeghoist.example/nutmeghoist/pkg/source"
)

// Target is a target and the host that is responsible for admission to it.
type Target struct {
	membership.Target
	Host        mesh.HostID
	DataCentre  mesh.DataCentre
	CallAddress string // where the host's node accepts calls from other nodes
	Suspect     bool   // the host is suspected of a failure; use it only as a last resort
}

// Snapshot is a compiled configuration. It is immutable once built.
type Snapshot struct {
	Version    mesh.ConfigVersion
	Generation uint64 // counts the changes of the target sets within a version
	Head       source.Head
	Rules      []rules.Rule
	Services   []rules.Service
	Targets    map[mesh.ServiceVersion][]Target // an entry for each service version that a rule names
	Vetoed     map[mesh.MoveID]source.Veto      // moves of this revision that were rolled back
	// MoveAcceptedAt holds the time at which each move was first accepted, because
	// Head.AcceptedAt changes with unrelated edits. For a move without an entry,
	// Head.AcceptedAt applies.
	MoveAcceptedAt map[mesh.MoveID]time.Time
	BuiltAt        time.Time
}
