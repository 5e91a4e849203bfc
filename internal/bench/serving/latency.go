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

// latency compares calls through one node and two nodes with direct calls in
// the same seconds. The targets answer at once, so that the difference is the
// work of the nodes and the way between them.
func (r *run) latency(ctx context.Context) error {
	direct := ""
	for _, t := range r.c.Targets {
		if t.Version.Service == "near" {
			direct = "http://" + t.Address
		}
	}
	paths := []loadgen.Options{
		{Nodes: []string{direct}, Mix: []loadgen.Kind{{Method: "GET", Path: "/near", Weight: 1}}},
		{Nodes: r.callers(0), Mix: []loadgen.Kind{{Method: "GET", Path: "/near", Weight: 1}}},
		{Nodes: r.callers(0), Mix: []loadgen.Kind{{Method: "GET", Path: "/far", Weight: 1}}},
	}
	results, err := r.together(ctx, paths, warmUp)
	if err != nil {
		return err
	}
	if results, err = r.together(ctx, paths, latencyPeriod); err != nil {
		return err
	}
	ms := func(i int, p float64) float64 {
		return float64(results[i].ServiceTimeQuantile(loadgen.OK, p).Microseconds()) / 1000
	}
	r.print("direct_p50_ms", "%.3f", ms(0, 50))
	r.print("direct_p99_ms", "%.3f", ms(0, 99))
	for i, name := range []string{"one_node", "two_nodes"} {
		r.print("added_p50_ms_"+name, "%.3f", ms(i+1, 50)-ms(0, 50))
		r.print("added_p99_ms_"+name, "%.3f", ms(i+1, 99)-ms(0, 99))
		r.print("added_p999_ms_"+name, "%.3f", ms(i+1, 99.9)-ms(0, 99.9))
	}
	return nil
}

// together runs several loads in the same seconds.
func (r *run) together(ctx context.Context, loads []loadgen.Options, period time.Duration) ([]loadgen.Result, error) {
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
