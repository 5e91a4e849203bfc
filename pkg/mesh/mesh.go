// Package mesh defines the identifiers and versions that all other packages share.
package mesh

import (
	"cmp"
	"fmt"
)

// HostID names a host. It is unique across all data centres.
type HostID string

// DataCentre names a data centre.
type DataCentre string

// ServiceName names a service.
type ServiceName string

// TargetVersion names a version of a service's targets, for example "tray-2".
type TargetVersion string

// TargetID names a target; it is unique on its host.
type TargetID string

// TeamName names a team: a group of callers that share API keys, a priority and a
// rate limit.
type TeamName string

// MoveID identifies one move of one route to a new target version. Editing the
// time of a move keeps its MoveID; a new attempt changes it.
type MoveID string

// ServiceVersion is a service at one version.
type ServiceVersion struct {
	Service ServiceName   `json:"service" cbor:"1,keyasint"`
	Version TargetVersion `json:"version" cbor:"2,keyasint"`
}

func (s ServiceVersion) String() string { return string(s.Service) + "@" + string(s.Version) }

// ConfigVersion orders the configurations that a proxy can have in force: by
// revision, then by epoch. The epoch counts the vetoes that apply to the
// moves of the revision, so it can rise within a revision.
type ConfigVersion struct {
	Revision uint64 `json:"revision" cbor:"1,keyasint"`
	Epoch    uint64 `json:"epoch" cbor:"2,keyasint"`
}

// Compare returns -1, 0 or 1 as v is older than, equal to or newer than w.
func (v ConfigVersion) Compare(w ConfigVersion) int {
	if c := cmp.Compare(v.Revision, w.Revision); c != 0 {
		return c
	}
	return cmp.Compare(v.Epoch, w.Epoch)
}

func (v ConfigVersion) String() string { return fmt.Sprintf("%d.%d", v.Revision, v.Epoch) }

// Class is the priority class of a call.
type Class uint8

// The classes, from first served to last served.
const (
	ClassUrgent Class = iota
	ClassNormal
	ClassBackground
)

var classNames = [...]string{"urgent", "normal", "background"}

func (c Class) String() string {
	if int(c) < len(classNames) {
		return classNames[c]
	}
	return fmt.Sprintf("class(%d)", uint8(c))
}

// ParseClass returns the class with the given name.
func ParseClass(name string) (Class, error) {
	for i, n := range classNames {
		if n == name {
			return Class(i), nil
		}
	}
	return 0, fmt.Errorf("class %q is not one of urgent, normal, background", name)
}

// ClassOfPriority returns the class of a numeric priority, 0 being the highest.
func ClassOfPriority(priority int) Class {
	switch {
	case priority <= 1:
		return ClassUrgent
	case priority == 2:
		return ClassNormal
	default:
		return ClassBackground
	}
}
