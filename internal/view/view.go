// Package view holds what a node serves calls by: one immutable snapshot of the
// configuration, the targets and the rollouts, swapped as a whole.
package view

import (
	"sync"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/rollout"
	"nutmeghoist.example/nutmeghoist/pkg/routing"
	"nutmeghoist.example/nutmeghoist/pkg/traffic"
)

// Snapshot is immutable.
type Snapshot struct {
	Config   *traffic.Config
	Matcher  *traffic.Matcher
	Services map[mesh.ServiceName]*Service
}

// Service holds the targets of a service by their part in its rollout.
type Service struct {
	Name mesh.ServiceName
	// Stable holds the targets that take the calls; Next those of the version
	// that a running rollout moves to.
	Stable *routing.Set
	Next   *routing.Set
	// Rollout is the newest progress known; nil without one.
	Rollout *rollout.Progress
	// Revision is that of the newest order known, and To its version; calls are
	// counted for both versions from the order on. Zero without an order.
	Revision uint64
	To       mesh.TargetVersion
}

// VersionSplitter spreads the calls of services over the stable and the next version. It
// interleaves them evenly, so that small shares are kept in short spans. It is
// safe for concurrent use.
type VersionSplitter struct {
	mu     sync.Mutex
	credit map[mesh.ServiceName]int
}

// Pick returns the set of targets for the next call, and whether it is that of
// the next version.
func (d *VersionSplitter) Pick(s *Service) (*routing.Set, bool) {
	if s.Next == nil || s.Next.Len() == 0 || s.Rollout == nil || s.Rollout.Permille == 0 {
		return s.Stable, false
	}
	if s.Stable == nil || s.Stable.Len() == 0 {
		return s.Next, true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.credit == nil {
		d.credit = make(map[mesh.ServiceName]int)
	}
	d.credit[s.Name] += s.Rollout.Permille
	if d.credit[s.Name] < 1000 {
		return s.Stable, false
	}
	d.credit[s.Name] -= 1000
	return s.Next, true
}
