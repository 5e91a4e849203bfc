package entry

import (
	"sync"

	"nutmeghoist.example/nutmeghoist/internal/hop"
	"nutmeghoist.example/nutmeghoist/pkg/routing"
)

// maxSignals bounds the targets whose signals are remembered.
const maxSignals = 4096

// targetSignals remembers what targets have said of themselves in the answers that
// this node has passed on. Each call carries it to the target's owner, which may have
// been restarted since. Its zero value is ready for use, and it is safe for concurrent
// use.
type targetSignals struct {
	mu      sync.Mutex
	targets map[routing.Key]hop.TargetSignals
}

// get returns what the target has said since its start, or nil.
func (s *targetSignals) get(t *routing.Candidate) *hop.TargetSignals {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.targets[routing.Key{Host: t.Host, ID: t.ID}]
	if !ok || known.Started != t.ReadySince.UnixMilli() {
		return nil
	}
	return &known
}

// record remembers the signals in a response of the target's owner. An answer without
// signals revokes those before it; a refusal proves nothing.
func (s *targetSignals) record(t *routing.Candidate, resp *hop.Response) {
	if resp.Signals == nil && resp.Outcome != hop.Answered {
		return
	}
	key := routing.Key{Host: t.Host, ID: t.ID}
	s.mu.Lock()
	defer s.mu.Unlock()
	if resp.Signals == nil {
		delete(s.targets, key)
		return
	}
	if s.targets == nil || len(s.targets) >= maxSignals {
		s.targets = make(map[routing.Key]hop.TargetSignals)
	}
	s.targets[key] = *resp.Signals
}
