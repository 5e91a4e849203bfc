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
	faultDelay  = time.Second
)

// measureFaults measures the share of OK answers while one process fails. Callers
// use the first node, which does not fail.
func (r *run) measureFaults(ctx context.Context) error {
	shop := r.targetOn(1, "shop")
	for _, f := range []struct {
		name            string
		inject, restore func() error
	}{
		{"target_killed", func() error { shop.Kill(); return nil }, shop.Start},
		{"silent_connection", func() error {
			return shop.SetFaults(ctx, standin.Faults{ServiceTime: standin.ServiceTime{MeanMS: 5}, SilenceConnections: true})
		}, nil},
		{"target_frozen", func() error { shop.Freeze(); return nil }, func() error { shop.Unfreeze(); return nil }},
		{"node_killed", func() error { r.cluster.Nodes[2].Kill(); return nil }, r.cluster.Nodes[2].Start},
		{"node_frozen", func() error { r.cluster.Nodes[1].Freeze(); return nil }, func() error { r.cluster.Nodes[1].Unfreeze(); return nil }},
	} {
		res, err := r.runLoadWithFault(ctx, f.inject)
		if err != nil {
			return err
		}
		r.print("good_share_"+f.name, "%.4f", okShare(res.Counts))
		r.print("unknown_share_"+f.name, "%.4f", float64(res.Counts[loadgen.Unknown])/float64(res.Sent))
		if f.restore != nil {
			if err := f.restore(); err != nil {
				return err
			}
		}
		if err := r.cluster.WaitFor(ctx, 15*time.Second, "mesh has recovered from "+f.name, func() bool { return r.cluster.Ready() && r.cluster.AllTargetsReady(ctx) }); err != nil {
			return err
		}
	}
	return r.measurePlannedStop(ctx)
}

func (r *run) targetOn(host int, service string) *cluster.Target {
	for _, t := range r.cluster.Targets {
		if t.Node == r.cluster.Nodes[host] && string(t.Version.Service) == service {
			return t
		}
	}
	return nil
}

// runLoadWithFault runs a load and injects a fault after faultDelay.
func (r *run) runLoadWithFault(ctx context.Context, injectFault func() error) (loadgen.Result, error) {
	failed := make(chan error, 1)
	time.AfterFunc(faultDelay, func() { failed <- injectFault() })
	res, err := r.runLoad(ctx, loadgen.Options{
		Nodes: r.callerURLs(0), Rate: faultRate, Duration: faultPeriod,
		Mix: []loadgen.Kind{{Method: "GET", Path: "/shop", Weight: 1}, {Method: "POST", Path: "/shop", Weight: 1, BodySize: 200}},
	})
	if err != nil {
		return res, err
	}
	return res, <-failed
}

// measurePlannedStop counts the calls that are lost when a target and then a node
// stop gracefully with calls of 200 ms in flight.
func (r *run) measurePlannedStop(ctx context.Context) error {
	for _, p := range []*cluster.Process{r.targetOn(1, "slow").Process, r.cluster.Nodes[2].Process} {
		time.AfterFunc(faultDelay, p.Terminate)
		res, err := r.runLoad(ctx, loadgen.Options{
			Nodes: r.callerURLs(0), Rate: 60, Duration: faultPeriod,
			Mix: []loadgen.Kind{{Method: "GET", Path: "/slow", Weight: 1}, {Method: "POST", Path: "/slow", Weight: 1, BodySize: 200}},
		})
		if err != nil {
			return err
		}
		r.cutCalls += res.Sent - res.Counts[loadgen.OK] - res.Counts[loadgen.NotRun]
		if err := p.Wait(20 * time.Second); err != nil {
			return err
		}
	}
	return nil
}
