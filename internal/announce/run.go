package announce

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"nutmeghoist.example/nutmeghoist/internal/response"
	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// ProbeResult is the health and load that a target reports. Such reports can be
// late or wrong: they make a starting target ready and affect target selection
// while there is no recent answer, but never override the outcomes of calls.
type ProbeResult struct {
	Healthy bool    `json:"healthy"`
	Load    float64 `json:"load"` // running calls as a share of the slots
}

// Probe requests the health of a target, at the health path, and its load.
type Probe func(ctx context.Context, t membership.Target, healthPath string) ProbeResult

// Run expires leases and probes targets until the context is done.
func (r *Registry) Run(ctx context.Context) {
	var probes sync.WaitGroup
	defer probes.Wait()
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		for _, t := range r.check(time.Now()) {
			probes.Go(func() { r.probe(ctx, t) })
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// check applies expired leases and start graces, removes drained targets and
// returns the targets whose probe is due.
func (r *Registry) check(now time.Time) []membership.Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	var due []membership.Target
	for _, e := range r.targets {
		if now.Sub(e.renewedAt) >= leaseTime {
			r.applyEvent(e, eventExpire, now)
		}
		if now.Sub(e.firstAnnouncedAt) >= startGrace {
			r.applyEvent(e, eventGraceOver, now)
		}
		if e.target.State == membership.TargetDraining {
			if e.limiter.Load().InFlight == 0 {
				r.applyEvent(e, eventIdle, now)
			}
			continue
		}
		if !e.probing && now.Sub(e.probedAt) >= probeInterval {
			e.probing, e.probedAt = true, now
			due = append(due, e.target)
		}
	}
	for id, w := range r.withdrawals {
		if _, announced := r.targets[id]; !announced && now.Sub(w.at) >= leaseTime {
			delete(r.withdrawals, id)
		}
	}
	return due
}

func (r *Registry) probe(ctx context.Context, t membership.Target) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	h := r.cfg.Probe(ctx, t, r.healthPath(t.Service))
	if r.recordProbe(t, h) && r.cfg.OnProbe != nil {
		r.cfg.OnProbe(t.ID, h.Healthy)
	}
}

// recordProbe records the result of a probe. It reports false when the target
// has been removed meanwhile or its ID belongs to another process.
func (r *Registry) recordProbe(t membership.Target, h ProbeResult) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.targets[t.ID]
	if e == nil || e.target.Address != t.Address {
		return false
	}
	e.probing, e.probeResult = false, h
	if h.Healthy {
		r.applyEvent(e, eventHealthy, time.Now())
	}
	return true
}

// DrainAll withdraws all targets, for the graceful shutdown of the node.
func (r *Registry) DrainAll() {
	r.mu.RLock()
	ids := make([]mesh.TargetID, 0, len(r.targets))
	for id := range r.targets {
		ids = append(ids, id)
	}
	r.mu.RUnlock()
	for _, id := range ids {
		r.withdraw(id, time.Now())
	}
}

const (
	maxReportBytes   = 4 << 10
	maxProbeConns    = 1
	probeIdleTimeout = 5 * time.Second
)

// newHTTPProbe returns a Probe that requests the health path and /load. It opens
// at most one connection to each target, separate from the connections of calls.
func newHTTPProbe() Probe {
	client := &http.Client{Transport: response.NewTransport(&http.Transport{
		MaxConnsPerHost: maxProbeConns, MaxIdleConnsPerHost: maxProbeConns, IdleConnTimeout: probeIdleTimeout,
	})}
	return func(ctx context.Context, t membership.Target, healthPath string) ProbeResult {
		var h ProbeResult
		_, h.Healthy = get(ctx, client, "http://"+t.Address+healthPath)
		if body, ok := get(ctx, client, "http://"+t.Address+"/load"); ok {
			_ = json.Unmarshal(body, &struct {
				Load *float64 `json:"load"`
			}{&h.Load}) // an invalid load report is ignored
		}
		return h
	}
}

func get(ctx context.Context, client *http.Client, url string) ([]byte, bool) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, false
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes))
	return body, err == nil && resp.StatusCode == http.StatusOK
}
