package snapshot

import (
	"fmt"
	"sync"
	"sync/atomic"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// StaleError reports that a snapshot is not newer than the one in force, or that
// it is below the floor.
type StaleError struct {
	Offered           mesh.ConfigVersion
	OfferedGeneration uint64
	InForce           mesh.ConfigVersion // zero when none is in force
	Generation        uint64             // of the snapshot in force
	Floor             mesh.ConfigVersion
}

func (e *StaleError) Error() string {
	if e.Offered.Compare(e.Floor) < 0 {
		return fmt.Sprintf("version %s is below the floor %s", e.Offered, e.Floor)
	}
	return fmt.Sprintf("version %s generation %d is not newer than version %s generation %d in force",
		e.Offered, e.OfferedGeneration, e.InForce, e.Generation)
}

// Holder holds the snapshot in force. Load takes no lock. The zero value holds no
// snapshot and is ready for use.
type Holder struct {
	inForce atomic.Pointer[Snapshot]

	mu    sync.Mutex // serialises writers
	floor mesh.ConfigVersion
}

// Load returns the snapshot in force, or nil before the first Swap.
func (h *Holder) Load() *Snapshot { return h.inForce.Load() }

// Swap puts a snapshot in force by one atomic store. It returns a *StaleError if
// the version is below the floor, or is neither newer than the one in force nor
// equal to it with a higher generation.
func (h *Holder) Swap(s *Snapshot) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	e := &StaleError{Offered: s.Version, OfferedGeneration: s.Generation, Floor: h.floor}
	current := h.inForce.Load()
	if current != nil {
		e.InForce, e.Generation = current.Version, current.Generation
	}
	if s.Version.Compare(h.floor) < 0 || current != nil && !isNewer(s, current) {
		return e
	}
	h.inForce.Store(s)
	return nil
}

// SetFloor raises the lowest version that Swap accepts. A floor below the current
// one has no effect. The snapshot in force is not changed.
func (h *Holder) SetFloor(v mesh.ConfigVersion) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if v.Compare(h.floor) > 0 {
		h.floor = v
	}
}

// Floor returns the lowest version that Swap accepts.
func (h *Holder) Floor() mesh.ConfigVersion {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.floor
}

func isNewer(s, current *Snapshot) bool {
	if c := s.Version.Compare(current.Version); c != 0 {
		return c > 0
	}
	return s.Generation > current.Generation
}
