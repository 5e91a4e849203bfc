package entry

import (
	"slices"
	"time"

	"nutmeghoist.example/nutmeghoist/internal/hop"
	"nutmeghoist.example/nutmeghoist/pkg/routing"
)

// exclude returns a function that reports whether a target gets no call: it has said that
// it leaves, or its data centre is evacuated, perhaps since the call began. It returns nil
// when there is no such target.
func (c *call) exclude() func(*routing.Candidate) bool {
	leaving := c.entry.signals.exclude(time.Now())
	table := c.entry.cfg.Evacuations
	if !table.AnyActive() && len(c.evacuated) == 0 {
		return leaving
	}
	return func(t *routing.Candidate) bool {
		return table.IsActive(t.DataCentre) || slices.Contains(c.evacuated, t.DataCentre) || leaving != nil && leaving(t)
	}
}

// recordEvacuation keeps the call from further targets of a data centre when the owner of
// one has refused it for an evacuation that this host has not heard of yet.
func (c *call) recordEvacuation(t *routing.Candidate, resp *hop.Response) {
	if resp.Outcome == hop.NotRun && resp.Reason == reasonEvacuated {
		c.evacuated = append(c.evacuated, t.DataCentre)
	}
}
