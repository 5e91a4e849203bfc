package snapshot

import (
	"cmp"
	"slices"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/rules"
	"nutmeghoist.example/nutmeghoist/pkg/source"
)

// Build compiles a snapshot and checks it. The result does not depend on the
// order of hosts and vetoes. It keeps references into file, whose content must
// not be changed afterwards. The error is a finding.List with all findings.
func Build(head source.Head, file rules.File, hosts []membership.Host, vetoes []source.Veto, generation uint64, now time.Time) (*Snapshot, error) {
	rs := file.Rules
	s := &Snapshot{
		Version:        mesh.ConfigVersion{Revision: head.Revision},
		Generation:     generation,
		Head:           head,
		Rules:          rs,
		Services:       file.Services,
		Targets:        targetsByVersion(rs, hosts),
		Vetoed:         vetoesByMove(rs, vetoes),
		MoveAcceptedAt: make(map[mesh.MoveID]time.Time, len(head.Moves)),
		BuiltAt:        now,
	}
	for _, m := range head.Moves {
		s.MoveAcceptedAt[m.Move] = m.At
	}
	s.Version.Epoch = uint64(len(s.Vetoed))
	if err := s.Check(); err != nil {
		return nil, err
	}
	return s, nil
}

// targetsByVersion returns an entry for each service version that a rule names.
// The entry contains the ready targets on hosts that are alive or suspect,
// ordered by host ID and target ID.
func targetsByVersion(rs []rules.Rule, hosts []membership.Host) map[mesh.ServiceVersion][]Target {
	m := make(map[mesh.ServiceVersion][]Target)
	for i := range rs {
		for _, sv := range rs[i].ReachableDestinations() {
			m[sv] = nil
		}
	}
	// Sorting pointers to hosts copies less memory than sorting the targets.
	sorted := make([]*membership.Host, 0, len(hosts))
	counts := make(map[mesh.ServiceVersion]int, len(m))
	for i := range hosts {
		h := &hosts[i]
		if h.Status != membership.StatusAlive && h.Status != membership.StatusSuspect {
			continue
		}
		sorted = append(sorted, h)
		for j := range h.Targets {
			counts[serviceVersion(&h.Targets[j])]++
		}
	}
	for sv := range m {
		m[sv] = make([]Target, 0, counts[sv])
	}
	slices.SortFunc(sorted, func(a, b *membership.Host) int { return cmp.Compare(a.ID, b.ID) })
	for _, h := range sorted {
		addTargets(m, h)
	}
	return m
}

func serviceVersion(t *membership.Target) mesh.ServiceVersion {
	return mesh.ServiceVersion{Service: t.Service, Version: t.Version}
}

// addTargets appends the host's ready targets to their entries in m, in the order
// of their IDs. Targets without an entry are left out.
func addTargets(m map[mesh.ServiceVersion][]Target, h *membership.Host) {
	hostTargets := h.Targets
	byID := func(a, b membership.Target) int { return cmp.Compare(a.ID, b.ID) }
	if !slices.IsSortedFunc(hostTargets, byID) {
		hostTargets = slices.SortedFunc(slices.Values(hostTargets), byID)
	}
	for i := range hostTargets {
		sv := serviceVersion(&hostTargets[i])
		targets, isNamed := m[sv]
		if !isNamed || hostTargets[i].State != membership.TargetReady {
			continue
		}
		m[sv] = append(targets, Target{
			Target:      hostTargets[i],
			Host:        h.ID,
			DataCentre:  h.DataCentre,
			CallAddress: h.CallAddress,
			Suspect:     h.Status == membership.StatusSuspect,
		})
	}
}

// vetoesByMove returns the veto of each move that was rolled back. Of several
// vetoes that apply to a move, it returns the one with the highest attempt, and
// of those with the same attempt the earliest.
func vetoesByMove(rs []rules.Rule, vetoes []source.Veto) map[mesh.MoveID]source.Veto {
	strongest := make(map[mesh.ServiceVersion]source.Veto, len(vetoes))
	for _, v := range vetoes {
		sv := mesh.ServiceVersion{Service: v.Service, Version: v.Version}
		if current, ok := strongest[sv]; !ok || outranks(&v, &current) {
			strongest[sv] = v
		}
	}
	m := make(map[mesh.MoveID]source.Veto)
	for i := range rs {
		r := &rs[i]
		if v, ok := strongest[r.Destination()]; ok && r.IsMove() && r.Attempt <= v.Attempt {
			m[r.MoveID()] = v
		}
	}
	return m
}

func outranks(v, w *source.Veto) bool {
	return cmp.Or(
		cmp.Compare(v.Attempt, w.Attempt),
		w.At.Compare(v.At),
		cmp.Compare(w.Host, v.Host),
		cmp.Compare(w.Route, v.Route),
		cmp.Compare(w.Evidence, v.Evidence),
	) > 0
}
