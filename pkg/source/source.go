// Package source stores accepted rules texts on the platform and reads them
// back. It also reads and writes the vetoes, the reports and the records of
// hosts.
package source

import (
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// Head describes an accepted configuration. The head row holds the newest one
// and alone determines the order of revisions.
type Head struct {
	Revision   uint64    `json:"revision" cbor:"1,keyasint"`
	Hash       string    `json:"hash" cbor:"2,keyasint"` // hex SHA-256 of the rules text
	Base       uint64    `json:"base" cbor:"3,keyasint"` // the revision that was edited
	Token      string    `json:"token" cbor:"4,keyasint"`
	Author     string    `json:"author" cbor:"5,keyasint"`
	AcceptedAt time.Time `json:"accepted_at" cbor:"6,keyasint"`
	// Moves holds the time at which each unfinished move was first accepted, so
	// that a host that starts later computes the same schedule as the others.
	Moves []MoveStart `json:"moves,omitempty" cbor:"7,keyasint,omitempty"`
}

// MoveStart records when a move was first accepted.
type MoveStart struct {
	Move mesh.MoveID `json:"move" cbor:"1,keyasint"`
	At   time.Time   `json:"at" cbor:"2,keyasint"`
}

// Veto rolls back a version on every route, for its attempt and all lower ones.
type Veto struct {
	Service  mesh.ServiceName   `json:"service" cbor:"1,keyasint"`
	Version  mesh.TargetVersion `json:"version" cbor:"2,keyasint"`
	Attempt  int                `json:"attempt" cbor:"3,keyasint"`
	Route    string             `json:"route" cbor:"4,keyasint"` // where the fault was detected
	Evidence string             `json:"evidence" cbor:"5,keyasint"`
	Host     mesh.HostID        `json:"host" cbor:"6,keyasint"` // the host that decided
	At       time.Time          `json:"at" cbor:"7,keyasint"`
}

// VetoKey identifies a veto. Two vetoes with the same key have the same effect.
type VetoKey struct {
	Service mesh.ServiceName
	Version mesh.TargetVersion
	Attempt int
}

// Key returns the key of the veto.
func (v *Veto) Key() VetoKey { return VetoKey{v.Service, v.Version, v.Attempt} }

// ReportKind is the kind of a report.
type ReportKind string

// The kinds of reports.
const (
	ReportMoving    ReportKind = "moving"
	ReportWaiting   ReportKind = "waiting"
	ReportDone      ReportKind = "done"
	ReportTakenBack ReportKind = "taken-back"
	ReportLate      ReportKind = "late"
)

// Report describes the progress of a move for operators. Each kind is written at
// most once per move, except that a waiting report is written at most once per
// data centre.
type Report struct {
	Move        mesh.MoveID        `json:"move"`
	Kind        ReportKind         `json:"kind"`
	Service     mesh.ServiceName   `json:"service"`
	Version     mesh.TargetVersion `json:"version"`
	From        mesh.TargetVersion `json:"from"`
	Route       string             `json:"route"`
	Revision    uint64             `json:"revision"`
	At          time.Time          `json:"at"`
	Text        string             `json:"text"`                  // one sentence for operators, with the numbers
	WaitingFor  []mesh.DataCentre  `json:"waiting_for,omitempty"` // unreachable data centres
	Confirmed   int                `json:"confirmed,omitempty"`   // hosts that confirmed the version in force
	Unconfirmed []mesh.HostID      `json:"unconfirmed,omitempty"`
}
