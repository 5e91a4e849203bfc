package serving

import (
	"context"
	"time"

	"nutmeghoist.example/nutmeghoist/internal/bench/cluster"
	"nutmeghoist.example/nutmeghoist/internal/loadgen"
	"nutmeghoist.example/nutmeghoist/internal/standin"
)

const (
	faultRate   = 300 // calls per second
	faultPeriod = 4 * time.Second
	faultAfter  = time.Second
)

// faults measures the share of good answers while one part fails. Callers use
// the first node, which does not fail.
func (r *run) faults(ctx context.Context) error {
	shop := r.targetOn(1, "shop")
	for _, f := range []struct {
		name         string
		strike, mend func() error
	}{
		{"target_killed", func() error { shop.Kill(); return nil }, shop.Start},
		{"silent_connection", func() error {
			return shop.SetFaults(ctx, standin.Faults{ServiceTime: standin.ServiceTime{MeanMS: 5}, SilenceConnections: true})
		}, nil},
		{"target_frozen", func() error { shop.Freeze(); return nil }, func() error { shop.Unfreeze(); return nil }},
		{"node_killed", func() error { r.c.Nodes[2].Kill(); return nil }, r.c.Nodes[2].Start},
		{"node_frozen", func() error { r.c.Nodes[1].Freeze(); return nil }, func() error { r.c.Nodes[1].Unfreeze(); return nil }},
	} {
		res, err := r.during(ctx, f.strike)
		if err != nil {
			return err
		}
		r.print("good_share_"+f.name, "%.4f", okShare(res.Counts))
		r.print("unknown_share_"+f.name, "%.4f", float64(res.Counts[loadgen.Unknown])/float64(res.Sent))
		if f.mend != nil {
			if err := f.mend(); err != nil {
				return err
			}
		}
		if err := r.c.WaitFor(ctx, 15*time.Second, "mesh has recovered from "+f.name, func() bool { return r.c.Ready() && r.c.AllTargetsReady(ctx) }); err != nil {
			return err
		}
	}
	return r.plannedStop(ctx)
}

func (r *run) targetOn(host int, service string) *cluster.Target {
	for _, t := range r.c.Targets {
		if t.Node == r.c.Nodes[host] && string(t.Version.Service) == service {
			return t
		}
	}
	return nil
}

// during runs a load in which something breaks after a second.
func (r *run) during(ctx context.Context, breakIt func() error) (loadgen.Result, error) {
	failed := make(chan error, 1)
	time.AfterFunc(faultAfter, func() { failed <- breakIt() })
	res, err := r.load(ctx, loadgen.Options{
		Nodes: r.callers(0), Rate: faultRate, Duration: faultPeriod,
		Mix: []loadgen.Kind{{Method: "GET", Path: "/shop", Weight: 1}, {Method: "POST", Path: "/shop", Weight: 1, BodySize: 200}},
	})
	if err != nil {
		return res, err
	}
	return res, <-failed
}

// plannedStop stops a node and a target with calls of 200 ms in flight.
func (r *run) plannedStop(ctx context.Context) error {
	for _, p := range []*cluster.Process{r.targetOn(1, "slow").Process, r.c.Nodes[2].Process} {
		time.AfterFunc(faultAfter, p.Terminate)
		res, err := r.load(ctx, loadgen.Options{
			Nodes: r.callers(0), Rate: 60, Duration: faultPeriod,
			Mix: []loadgen.Kind{{Method: "GET", Path: "/slow", Weight: 1}, {Method: "POST", Path: "/slow", Weight: 1, BodySize: 200}},
		})
		if err != nil {
			return err
		}
		r.cut += res.Sent - res.Counts[loadgen.OK] - res.Counts[loadgen.NotRun]
		if err := p.Wait(20 * time.Second); err != nil {
			return err
		}
	}
	return nil
}
