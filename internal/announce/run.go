package announce

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// ProbeResult is what a target says about itself. Health and load reports lag and
// mislead: they lead a starting target on and break ties, and never outrank
// what calls show.
type ProbeResult struct {
	Healthy bool    `json:"healthy"`
	Load    float64 `json:"load"` // running calls as a share of the slots
}

// Probe asks a target for its health, at a path, and its load.
type Probe func(ctx context.Context, t membership.Target, healthPath string) ProbeResult

// Run expires leases and probes targets until the context ends.
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

// check applies what has become due and returns the targets to probe.
func (r *Registry) check(now time.Time) []membership.Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	var due []membership.Target
	for _, e := range r.targets {
		if now.Sub(e.renewed) >= leaseTime {
			r.event(e, eventExpire, now)
		}
		if now.Sub(e.first) >= startGrace {
			r.event(e, eventGraceOver, now)
		}
		if e.target.State == membership.TargetDraining {
			if e.limiter.Load().InFlight == 0 {
				r.event(e, eventIdle, now)
			}
			continue
		}
		if !e.probing && now.Sub(e.probed) >= probeInterval {
			e.probing, e.probed = true, now
			due = append(due, e.target)
		}
	}
	for id, d := range r.left {
		if _, here := r.targets[id]; !here && now.Sub(d.at) >= leaseTime {
			delete(r.left, id)
		}
	}
	return due
}

func (r *Registry) probe(ctx context.Context, t membership.Target) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	h := r.cfg.Probe(ctx, t, r.healthPath(t.Service))
	if r.take(t, h) && r.cfg.OnProbe != nil {
		r.cfg.OnProbe(t.ID, h.Healthy)
	}
}

// take records a report; it reports false when the target has left or another
// process has taken its ID meanwhile.
func (r *Registry) take(t membership.Target, h ProbeResult) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.targets[t.ID]
	if e == nil || e.target.Address != t.Address {
		return false
	}
	e.probing, e.hint = false, h
	if h.Healthy {
		r.event(e, eventHealthy, time.Now())
	}
	return true
}

// DrainAll withdraws every target, for the graceful shutdown of the node.
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
	maxReport       = 4 << 10
	probeIdleConns  = 1
	probeIdleExpiry = 5 * time.Second
)

// newHTTPProbe returns a probe of the health path and of GET /load. It opens at most
// one connection to a target, which is apart from those of calls.
func newHTTPProbe() Probe {
	client := &http.Client{Transport: &http.Transport{
		MaxConnsPerHost: probeIdleConns, MaxIdleConnsPerHost: probeIdleConns, IdleConnTimeout: probeIdleExpiry,
	}}
	return func(ctx context.Context, t membership.Target, healthPath string) ProbeResult {
		var h ProbeResult
		_, h.Healthy = get(ctx, client, "http://"+t.Address+healthPath)
		if body, ok := get(ctx, client, "http://"+t.Address+"/load"); ok {
			_ = json.Unmarshal(body, &struct {
				Load *float64 `json:"load"`
			}{&h.Load}) // a report that cannot be read is no report
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
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReport))
	return body, err == nil && resp.StatusCode == http.StatusOK
}
