// Package view defines the immutable snapshot of the configuration, the targets
// and the rollouts from which a node routes calls. A change replaces the snapshot
// as a whole.
package view

import (
	"sync"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/rollout"
	"nutmeghoist.example/nutmeghoist/pkg/routing"
	"nutmeghoist.example/nutmeghoist/pkg/traffic"
)

// Snapshot is the routing state of a node at one moment. It is immutable.
type Snapshot struct {
	Config   *traffic.Config
	Matcher  *traffic.Matcher
	Services map[mesh.ServiceName]*Service
}

// Service holds the targets of a service, grouped by their role in its rollout.
type Service struct {
	Name mesh.ServiceName
	// Stable holds the targets that serve calls by default, and Next those of the
	// version that a running rollout moves to.
	Stable *routing.Set
	Next   *routing.Set
	// Evacuated means that Stable is empty because all its targets are in evacuated data
	// centres.
	Evacuated bool
	// NextEvacuated means the same for Next: no call shows whether the version is good.
	NextEvacuated bool
	// Rollout is the newest progress known, or nil without one. It is also nil
	// until a coordinator has started on the newest order. While it is running, the
	// calls of both versions are counted.
	Rollout *rollout.Progress
	// Revision is the revision of the newest rollout order known, and To the
	// version that it asks for. Both are zero without an order.
	Revision uint64
	To       mesh.TargetVersion
	// From is the version of the targets in Stable. Targets of other versions than From and
	// To get no calls.
	From mesh.TargetVersion
}

// State returns the state of the service's rollout, or "" without a progress.
func (s *Service) State() rollout.State {
	if s.Rollout == nil {
		return ""
	}
	return s.Rollout.State
}

// VersionSplitter splits the calls of services between the stable and the next
// version. It interleaves the two evenly, so that small shares hold over short
// spans too. It is safe for concurrent use.
type VersionSplitter struct {
	mu     sync.Mutex
	credit map[mesh.ServiceName]int
}

// Pick returns the set of targets for a call, and whether it is that of the next
// version.
func (v *VersionSplitter) Pick(s *Service) (*routing.Set, bool) {
	if s.Next == nil || s.Next.Len() == 0 || s.Rollout == nil || s.Rollout.Permille == 0 {
		return s.Stable, false
	}
	if s.Evacuated {
		return s.Stable, false // the next version gets no more than its share
	}
	if s.Stable == nil || s.Stable.Len() == 0 {
		return s.Next, true
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.credit == nil {
		v.credit = make(map[mesh.ServiceName]int)
	}
	v.credit[s.Name] += s.Rollout.Permille
	if v.credit[s.Name] < 1000 {
		return s.Stable, false
	}
	v.credit[s.Name] -= 1000
	return s.Next, true
}
