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

// measureFaults measures the time of a change under each fault in turn.
func (r *run) measureFaults(ctx context.Context) error {
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
		r.result.worstFault = max(r.result.worstFault, worst)
	}
	return nil
}

// nodesKilled kills a fifth of the nodes at once, changes the configuration,
// restarts the killed nodes and waits until they have caught up.
func (r *run) nodesKilled(ctx context.Context) ([]time.Duration, error) {
	var killed, survivors []*cluster.Node
	for i, n := range r.cluster.Nodes {
		if i%5 == 0 {
			killed = append(killed, n)
		} else {
			survivors = append(survivors, n)
		}
	}
	for _, n := range killed {
		n.Kill()
	}
	times, err := r.applyChange(ctx, survivors)
	if err != nil {
		return nil, err
	}
	for _, n := range killed {
		if err := n.Start(); err != nil {
			return nil, err
		}
	}
	start := time.Now()
	var restartTimes []time.Duration
	err = r.cluster.WaitFor(ctx, 2*convergenceLimit, "restarted nodes have caught up", func() bool {
		var complete bool
		restartTimes, complete = r.activationTimes(start, killed)
		return complete
	})
	return append(times, restartTimes...), err
}

func (r *run) setPlatformFaults(ctx context.Context, body string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, r.cluster.PlatformURL()+"/faults", strings.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// platformSlow changes the configuration while each request to the platform takes
// half a second.
func (r *run) platformSlow(ctx context.Context) ([]time.Duration, error) {
	if err := r.setPlatformFaults(ctx, `{"delay_ms":500}`); err != nil {
		return nil, err
	}
	times, err := r.applyChange(ctx, r.cluster.Nodes)
	if err != nil {
		return nil, err
	}
	return times, r.setPlatformFaults(ctx, `{}`)
}

// isolatedDataCentre is the data centre that is partitioned from the others. It
// still reaches the platform.
const isolatedDataCentre mesh.DataCentre = "dc2"

func (r *run) dataCentreCut(ctx context.Context) ([]time.Duration, error) {
	r.cluster.CutDataCentre(isolatedDataCentre)
	return r.applyChange(ctx, r.cluster.Nodes)
}

// dataCentreHealed changes the configuration right after the partition has healed.
func (r *run) dataCentreHealed(ctx context.Context) ([]time.Duration, error) {
	r.cluster.HealDataCentre(isolatedDataCentre)
	return r.applyChange(ctx, r.cluster.Nodes)
}
