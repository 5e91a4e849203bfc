package owner

import "nutmeghoist.example/nutmeghoist/pkg/admission"

// isEvacuated reports whether the data centre of this host is evacuated. Other hosts may
// not have heard of that yet.
func (o *Owner) isEvacuated() bool { return o.cfg.Evacuated != nil && o.cfg.Evacuated() }

// sendBan returns the reason for which the targets of this host get no calls now, or "".
// It is checked when a call arrives and right before each send.
func (o *Owner) sendBan() string {
	switch {
	case o.isEvacuated():
		return reasonEvacuated
	case o.cfg.Stale != nil && o.cfg.Stale():
		o.cfg.Log.Warn().Msg("call refused; the node was paused and may have missed an evacuation")
		return reasonPaused
	}
	return ""
}

// ApplyEvacuation applies the start or the end of an evacuation of a data centre. When
// that of this host is evacuated, it refuses the calls that wait for a slot, so that they
// go elsewhere while there is time. Calls at a target end there.
func (o *Owner) ApplyEvacuation() {
	evacuated := o.isEvacuated()
	if was := o.wasEvacuated.Swap(evacuated); was && !evacuated {
		o.DoubtWarmth()
	}
	if !evacuated {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, t := range o.targets {
		load := t.limiter.Load()
		o.cfg.Log.Info().Str("target", string(t.id)).Int("in_flight", load.InFlight).Int("queued", load.Queued).
			Msg("target gets no calls; its data centre is evacuated")
		t.limiter.RefuseQueued(admission.Reason(reasonEvacuated))
	}
}

// InFlight returns the number of calls that run at the targets of this host.
func (o *Owner) InFlight() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, t := range o.targets {
		n += t.limiter.Load().InFlight
	}
	return n
}
