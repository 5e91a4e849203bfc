package control

import (
	"sync"

	"nutmeghoist.example/nutmeghoist/pkg/evacuation"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/platform"
	"nutmeghoist.example/nutmeghoist/pkg/snapshot"
)

// evacuationRows are the rows of evacuated data centres as this host has read them.
type evacuationRows struct {
	mu   sync.Mutex
	rows evacuation.Rows
}

// evacuatedBy returns the data centre that a row of the operators' table evacuates.
func (a *Agent) evacuatedBy(key string) (mesh.DataCentre, bool) {
	if a.cfg.Codec.DecodeEvacuation == nil {
		return "", false
	}
	return a.cfg.Codec.DecodeEvacuation(key)
}

// readEvacuations applies the evacuations among all rows of the operators' table.
func (a *Agent) readEvacuations(rows []platform.Row, version uint64) {
	e := &a.evacuationRows
	e.mu.Lock()
	e.rows.Reset(version)
	for _, row := range rows {
		if dc, ok := a.evacuatedBy(row.Key); ok {
			e.rows.Put(dc, row.Version)
		}
	}
	e.mu.Unlock()
	a.observeEvacuations()
}

// changeEvacuations applies the evacuations among changes of the operators' table.
func (a *Agent) changeEvacuations(changes platform.Changes) {
	e := &a.evacuationRows
	e.mu.Lock()
	e.rows.Advance(changes.Version)
	for _, row := range changes.Rows {
		dc, ok := a.evacuatedBy(row.Key)
		switch {
		case !ok:
		case row.Removed:
			e.rows.Remove(dc)
		default:
			e.rows.Put(dc, row.Version)
		}
	}
	e.mu.Unlock()
	a.observeEvacuations()
}

// observeEvacuations puts the rows read in force and tells the other hosts. A store that
// has just been restored may lack rows that the operators are about to write again, and
// hold some that they had removed; what was known before stays until it has settled.
func (a *Agent) observeEvacuations() {
	if !a.history.settled() {
		return
	}
	e := &a.evacuationRows
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.rows.Version() == 0 {
		return
	}
	a.gossip.SpreadEvacuations(a.cfg.Evacuations.ObserveStore(e.rows.Records(), e.rows.Version()))
}

// handleEvacuations is called when evacuations have started or ended.
func (a *Agent) handleEvacuations(changed []evacuation.Record, from string) {
	for _, r := range changed {
		line := a.cfg.Log.Info().Str("data_centre", string(r.DataCentre)).Uint64("era", platform.EraOf(r.Version)).
			Uint64("row", platform.CounterOf(r.Version)).Str("from", from)
		if r.Active {
			a.count("evacuations.started")
			line.Msg("data centre is evacuated; its targets get no calls")
		} else {
			a.count("evacuations.ended")
			line.Msg("data centre is taken back")
		}
	}
	a.buildSnapshot()
	if a.cfg.OnEvacuation != nil {
		a.cfg.OnEvacuation()
	}
}

// withoutEvacuated returns the targets that are not in an evacuated data centre.
func (a *Agent) withoutEvacuated(targets []snapshot.Target) []snapshot.Target {
	if !a.cfg.Evacuations.AnyActive() {
		return targets
	}
	var out []snapshot.Target
	for _, t := range targets {
		if !a.cfg.Evacuations.IsActive(t.DataCentre) {
			out = append(out, t)
		}
	}
	return out
}
