package distribution

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"nutmeghoist.example/nutmeghoist/internal/bench/cluster"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// faults measures a change under each single fault.
func (r *run) faults(ctx context.Context) error {
	for _, f := range []struct {
		name string
		run  func(context.Context) ([]time.Duration, error)
	}{
		{"nodes_killed", r.nodesKilled},
		{"platform_slow", r.platformSlow},
		{"data_centre_cut", r.dataCentreCut},
		{"data_centre_healed", r.dataCentreHealed},
	} {
		times, err := f.run(ctx)
		if err != nil {
			return fmt.Errorf("%s: %w", f.name, err)
		}
		worst := slices.Max(times)
		r.result.faults = append(r.result.faults, faultResult{f.name, worst})
		r.result.faultWorst = max(r.result.faultWorst, worst)
	}
	return nil
}

// nodesKilled kills a fifth of the nodes at once, changes the configuration,
// starts them again and waits until they have caught up.
func (r *run) nodesKilled(ctx context.Context) ([]time.Duration, error) {
	var killed, left []*cluster.Node
	for i, n := range r.c.Nodes {
		if i%5 == 0 {
			killed = append(killed, n)
		} else {
			left = append(left, n)
		}
	}
	for _, n := range killed {
		n.Kill()
	}
	times, err := r.change(ctx, left)
	if err != nil {
		return nil, err
	}
	for _, n := range killed {
		if err := n.Start(); err != nil {
			return nil, err
		}
	}
	start := time.Now()
	var back []time.Duration
	err = r.c.WaitFor(ctx, 2*reachLimit, "restarted nodes have caught up", func() bool {
		var all bool
		back, all = r.inForce(start, killed)
		return all
	})
	return append(times, back...), err
}

func (r *run) setPlatformFaults(ctx context.Context, body string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, r.c.PlatformURL()+"/faults", strings.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// platformSlow changes the configuration while each request takes half a second.
func (r *run) platformSlow(ctx context.Context) ([]time.Duration, error) {
	if err := r.setPlatformFaults(ctx, `{"delay_ms":500}`); err != nil {
		return nil, err
	}
	times, err := r.change(ctx, r.c.Nodes)
	if err != nil {
		return nil, err
	}
	return times, r.setPlatformFaults(ctx, `{}`)
}

// cutOff is the data centre that the cut separates from the others; it still
// reaches the platform.
const cutOff mesh.DataCentre = "dc2"

func (r *run) dataCentreCut(ctx context.Context) ([]time.Duration, error) {
	r.c.CutDataCentre(cutOff)
	return r.change(ctx, r.c.Nodes)
}

// dataCentreHealed changes the configuration right after the cut has ended.
func (r *run) dataCentreHealed(ctx context.Context) ([]time.Duration, error) {
	r.c.HealDataCentre(cutOff)
	return r.change(ctx, r.c.Nodes)
}
