// Package moves runs a table of good and bad versions through the decision code
// of pkg/move on a virtual clock, with stand-ins for calls and targets, and
// compares the result with two simpler policies on the same seeds.
package moves

import (
	"fmt"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/rules"
	"nutmeghoist.example/nutmeghoist/pkg/snapshot"
	"nutmeghoist.example/nutmeghoist/pkg/source"
)

// size is one of the two meshes in use.
type size struct {
	name        string
	dataCentres int
	movedHosts  int // hosts in each data centre that run the service under move
	otherHosts  int // hosts that run the other service
	moved       mesh.ServiceName
	other       mesh.ServiceName
}

var sizes = []size{
	{"mongol-mid", 4, 6, 5, "orderdesk", "galley"},
	{"sierra-norte", 3, 5, 4, "pedidos", "bodega"},
}

const (
	oldVersion   mesh.TargetVersion = "v-1"
	newVersion   mesh.TargetVersion = "v-2"
	otherVersion mesh.TargetVersion = "w-1"
)

var epoch = time.Date(2026, 12, 5, 6, 0, 0, 0, time.UTC)

type host struct {
	id mesh.HostID
	dc int
}

// Names are made once, since each simulated call needs some.
const (
	maxCentres = 4
	maxHosts   = 6
)

var (
	dcNames    [maxCentres]mesh.DataCentre
	movedNames [maxCentres][maxHosts]mesh.HostID
	otherNames [maxCentres][maxHosts]mesh.HostID
)

func init() {
	for dc := range maxCentres {
		dcNames[dc] = mesh.DataCentre(fmt.Sprintf("dc-%d", dc+1))
		for i := range maxHosts {
			movedNames[dc][i] = mesh.HostID(fmt.Sprintf("dc-%d-m%d", dc+1, i+1))
			otherNames[dc][i] = mesh.HostID(fmt.Sprintf("dc-%d-o%d", dc+1, i+1))
		}
	}
}

// hosts lists all hosts of the mesh; each runs a node.
func (s *size) hosts() []host {
	var list []host
	for dc := range s.dataCentres {
		for i := range s.movedHosts {
			list = append(list, host{movedNames[dc][i], dc})
		}
		for i := range s.otherHosts {
			list = append(list, host{otherNames[dc][i], dc})
		}
	}
	return list
}

// snapshot returns the configuration with a move on each of two routes.
func (s *size) snapshot(window time.Duration) *snapshot.Snapshot {
	rule := func(prefix string) rules.Rule {
		return rules.Rule{
			Methods: []string{"GET"}, Prefix: prefix, Service: s.moved, Version: newVersion,
			From: oldVersion, By: epoch.Add(window), Attempt: 1,
		}
	}
	sn := &snapshot.Snapshot{
		Version: mesh.ConfigVersion{Revision: 1}, BuiltAt: epoch,
		Head:    source.Head{Revision: 1, AcceptedAt: epoch},
		Rules:   []rules.Rule{rule("/first"), rule("/second")},
		Targets: map[mesh.ServiceVersion][]snapshot.Target{},
	}
	for dc := range s.dataCentres {
		for i := range s.movedHosts {
			for _, v := range []mesh.TargetVersion{oldVersion, newVersion} {
				sv := mesh.ServiceVersion{Service: s.moved, Version: v}
				sn.Targets[sv] = append(sn.Targets[sv], snapshot.Target{
					Target: membership.Target{Service: s.moved, Version: v, State: membership.TargetReady},
					Host:   movedNames[dc][i], DataCentre: dcNames[dc],
				})
			}
		}
	}
	return sn
}
