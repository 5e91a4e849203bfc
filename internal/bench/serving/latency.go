package serving

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"nutmeghoist.example/nutmeghoist/internal/loadgen"
)

const (
	latencyRate   = 800 // calls per second for each of the three paths
	latencyPeriod = 6 * time.Second
	warmUp        = time.Second
)

// measureLatency compares calls through one node and two nodes with direct calls
// at the same time. The targets answer at once, so that the difference is the
// latency of the nodes and of the network between them.
func (r *run) measureLatency(ctx context.Context) error {
	direct := ""
	for _, t := range r.cluster.Targets {
		if t.Version.Service == "near" {
			direct = "http://" + t.Address
		}
	}
	paths := []loadgen.Options{
		{Nodes: []string{direct}, Mix: []loadgen.Kind{{Method: "GET", Path: "/near", Weight: 1}}},
		{Nodes: r.callerURLs(0), Mix: []loadgen.Kind{{Method: "GET", Path: "/near", Weight: 1}}},
		{Nodes: r.callerURLs(0), Mix: []loadgen.Kind{{Method: "GET", Path: "/far", Weight: 1}}},
	}
	results, err := r.runConcurrently(ctx, paths, warmUp)
	if err != nil {
		return err
	}
	if results, err = r.runConcurrently(ctx, paths, latencyPeriod); err != nil {
		return err
	}
	quantileMS := func(i int, p float64) float64 {
		return float64(results[i].ServiceTimeQuantile(loadgen.OK, p).Microseconds()) / 1000
	}
	r.print("direct_p50_ms", "%.3f", quantileMS(0, 50))
	r.print("direct_p99_ms", "%.3f", quantileMS(0, 99))
	for i, name := range []string{"one_node", "two_nodes"} {
		r.print("added_p50_ms_"+name, "%.3f", quantileMS(i+1, 50)-quantileMS(0, 50))
		r.print("added_p99_ms_"+name, "%.3f", quantileMS(i+1, 99)-quantileMS(0, 99))
		r.print("added_p999_ms_"+name, "%.3f", quantileMS(i+1, 99.9)-quantileMS(0, 99.9))
	}
	return nil
}

// runConcurrently runs several loads at the same time.
func (r *run) runConcurrently(ctx context.Context, loads []loadgen.Options, period time.Duration) ([]loadgen.Result, error) {
	results := make([]loadgen.Result, len(loads))
	var g errgroup.Group
	for i, o := range loads {
		o.Rate, o.Duration, o.Seed = latencyRate, period, uint64(i+1)
		g.Go(func() (err error) {
			results[i], err = loadgen.Run(ctx, o)
			return err
		})
	}
	return results, g.Wait()
}
