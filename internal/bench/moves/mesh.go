// Package moves simulates moves to good and bad versions: it runs the decision
// code of pkg/move on a virtual clock with simulated calls and targets, and
// compares the results with two simpler policies on the same seeds.
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

// meshSize is the size of one of the two meshes in use.
type meshSize struct {
	name         string
	dataCentres  int
	movedHosts   int // hosts in each data centre that run the moved service
	otherHosts   int // hosts that run the other service
	movedService mesh.ServiceName
	otherService mesh.ServiceName
}

var meshSizes = []meshSize{
	{"mongol-mid", 4, 6, 5, "orderdesk", "galley"},
	{"sierra-norte", 3, 5, 4, "pedidos", "bodega"},
}

const (
	oldVersion   mesh.TargetVersion = "v-1"
	newVersion   mesh.TargetVersion = "v-2"
	otherVersion mesh.TargetVersion = "w-1"
)

var startTime = time.Date(2026, 12, 5, 6, 0, 0, 0, time.UTC)

type host struct {
	id mesh.HostID
	dc int
}

// The names are built once, since every simulated call uses some.
const (
	maxDataCentres = 4
	maxHosts       = 6
)

var (
	dcNames    [maxDataCentres]mesh.DataCentre
	movedNames [maxDataCentres][maxHosts]mesh.HostID
	otherNames [maxDataCentres][maxHosts]mesh.HostID
)

func init() {
	for dc := range maxDataCentres {
		dcNames[dc] = mesh.DataCentre(fmt.Sprintf("dc-%d", dc+1))
		for i := range maxHosts {
			movedNames[dc][i] = mesh.HostID(fmt.Sprintf("dc-%d-m%d", dc+1, i+1))
			otherNames[dc][i] = mesh.HostID(fmt.Sprintf("dc-%d-o%d", dc+1, i+1))
		}
	}
}

// hosts lists all hosts of the mesh; each runs a node.
func (s *meshSize) hosts() []host {
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
func (s *meshSize) snapshot(window time.Duration) *snapshot.Snapshot {
	rule := func(prefix string) rules.Rule {
		return rules.Rule{
			Methods: []string{"GET"}, Prefix: prefix, Service: s.movedService, Version: newVersion,
			From: oldVersion, By: startTime.Add(window), Attempt: 1,
		}
	}
	snap := &snapshot.Snapshot{
		Version: mesh.ConfigVersion{Revision: 1}, BuiltAt: startTime,
		Head:    source.Head{Revision: 1, AcceptedAt: startTime},
		Rules:   []rules.Rule{rule("/first"), rule("/second")},
		Targets: map[mesh.ServiceVersion][]snapshot.Target{},
	}
	for dc := range s.dataCentres {
		for i := range s.movedHosts {
			for _, v := range []mesh.TargetVersion{oldVersion, newVersion} {
				sv := mesh.ServiceVersion{Service: s.movedService, Version: v}
				snap.Targets[sv] = append(snap.Targets[sv], snapshot.Target{
					Target: membership.Target{Service: s.movedService, Version: v, State: membership.TargetReady},
					Host:   movedNames[dc][i], DataCentre: dcNames[dc],
				})
			}
		}
	}
	return snap
}
