// Package membership keeps the records of hosts and their targets, merges
// records received from other hosts, and decides which hosts are suspected or
// failed.
package membership

import (
	"slices"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/rollout"
)

// Status is the state of a host in the mesh. Of two records with the same
// incarnation and sequence, a merge keeps the one with the higher status.
type Status uint8

// The states of a host.
const (
	StatusAlive Status = iota + 1
	StatusSuspect
	StatusLeaving // planned stop; takes no new calls
	StatusFailed
	StatusLeft
)

// TargetState is the state of a target as reported by its own host.
type TargetState uint8

// The states of a target.
const (
	TargetStarting TargetState = iota + 1
	TargetReady
	TargetDraining // takes no new calls
)

// Target is one target on a host.
type Target struct {
	ID          mesh.TargetID      `cbor:"1,keyasint" json:"id"`
	Service     mesh.ServiceName   `cbor:"2,keyasint" json:"service"`
	Version     mesh.TargetVersion `cbor:"3,keyasint" json:"version"`
	Address     string             `cbor:"4,keyasint" json:"address"` // IP:port on its host
	Slots       int                `cbor:"5,keyasint" json:"slots"`
	Connections int                `cbor:"6,keyasint" json:"connections"`
	State       TargetState        `cbor:"7,keyasint" json:"state"`
	ReadySince  time.Time          `cbor:"8,keyasint" json:"ready_since"`
	// ColdUntil is the end of the time in which the target takes few calls, in Unix
	// milliseconds of its host's clock; 0 without such a time.
	ColdUntil int64 `cbor:"9,keyasint,omitempty" json:"cold_until,omitempty"`
}

// Host is the record of one host. Only the host itself writes its addresses
// and targets; others may only raise its status within an incarnation.
type Host struct {
	ID          mesh.HostID     `cbor:"1,keyasint" json:"id"`
	DataCentre  mesh.DataCentre `cbor:"2,keyasint" json:"data_centre"`
	PeerAddress string          `cbor:"3,keyasint" json:"peer_address"` // control links, UDP
	CallAddress string          `cbor:"4,keyasint" json:"call_address"` // node-to-node calls, TCP
	Incarnation uint64          `cbor:"5,keyasint" json:"incarnation"`  // rises with each start and each refutation
	Sequence    uint64          `cbor:"6,keyasint" json:"sequence"`     // rises with each change of the record
	Status      Status          `cbor:"7,keyasint" json:"status"`
	Targets     []Target        `cbor:"8,keyasint" json:"targets,omitempty"`
	// Rollouts are the rollouts that this host coordinates or coordinated last.
	Rollouts []rollout.Progress `cbor:"9,keyasint,omitempty" json:"rollouts,omitempty"`
	// Detached means that the host cannot reach the platform's store.
	Detached bool `cbor:"10,keyasint,omitempty" json:"detached,omitempty"`
	// StoreEra is the era of the platform's history that the host has seen; it rises
	// when the platform is restored from an older copy.
	StoreEra uint64 `cbor:"11,keyasint,omitempty" json:"store_era,omitempty"`
}

// HasLeavingTarget reports whether a target of the host is draining.
func (h *Host) HasLeavingTarget() bool { return slices.ContainsFunc(h.Targets, isDraining) }

// OutlivesProcess reports whether the record holds what a later process of the host needs
// to know: a target is draining, or a rollout has ended.
func (h *Host) OutlivesProcess() bool {
	return h.HasLeavingTarget() || slices.ContainsFunc(h.Rollouts, hasEnded)
}

func isDraining(t Target) bool { return t.State == TargetDraining }

func hasEnded(p rollout.Progress) bool { return p.State.IsFinal() }

// maxFormerTargets bounds the targets that WithFormer takes over.
const maxFormerTargets = 32

// WithFormer returns a record with what OutlivesProcess asks for of an earlier one, as far
// as the record does not tell of the same target or service.
func (h Host) WithFormer(former *Host) Host {
	h = clone(h)
	for _, t := range former.Targets {
		if isDraining(t) && len(h.Targets) < maxFormerTargets && !slices.ContainsFunc(h.Targets, func(known Target) bool { return known.ID == t.ID }) {
			h.Targets = append(h.Targets, t)
		}
	}
	for _, p := range former.Rollouts {
		if hasEnded(p) && !slices.ContainsFunc(h.Rollouts, func(known rollout.Progress) bool { return known.Service == p.Service }) {
			h.Rollouts = append(h.Rollouts, p)
		}
	}
	return h
}
