package serving

import (
	"context"
	"fmt"
	"time"

	"nutmeghoist.example/nutmeghoist/internal/loadgen"
)

const (
	busyServiceMS  = 20
	busyCapacity   = 2 * slots * 1000 / busyServiceMS // calls per second of the two targets
	overloadPeriod = 3 * time.Second
	callerTimeout  = time.Second
	urgentWeight   = 0.1
)

// overload offers several multiples of the capacity through the nodes, and the
// same to the targets in turn as a baseline without admission.
func (r *run) overload(ctx context.Context) error {
	peak := 0.0
	for _, f := range []float64{0.5, 1, 2, 5} {
		res, err := r.load(ctx, busyLoad(r.callers(0, 1, 2), f))
		if err != nil {
			return err
		}
		goodput := res.Goodput()
		peak = max(peak, goodput)
		name := fmt.Sprintf("%gx", f)
		r.print("goodput_per_second_"+name, "%.0f", goodput)
		r.print("urgent_ok_share_"+name, "%.3f", okShare(res.Kinds["GET /busy/urgent"]))
		if f > 1 {
			r.print("goodput_share_"+name, "%.3f", goodput/peak)
			r.print("refusal_p99_ms_"+name, "%.2f", float64(res.Quantile(loadgen.NotRun, 99).Microseconds())/1000)
			r.print("ok_p99_ms_"+name, "%.0f", float64(res.Quantile(loadgen.OK, 99).Microseconds())/1000)
		}
		if f == 5 {
			r.print("refusal_p99_ms", "%.2f", float64(res.Quantile(loadgen.NotRun, 99).Microseconds())/1000)
		}
	}
	return r.overloadBaseline(ctx, peak)
}

func (r *run) overloadBaseline(ctx context.Context, peak float64) error {
	var targets []string
	for _, t := range r.c.Targets {
		if t.Version.Service == "busy" {
			targets = append(targets, "http://"+t.Address)
		}
	}
	for _, f := range []float64{2, 5} {
		res, err := loadgen.Run(ctx, busyLoad(targets, f))
		if err != nil {
			return err
		}
		r.print(fmt.Sprintf("baseline_direct_goodput_share_%gx", f), "%.3f", res.Goodput()/peak)
	}
	return nil
}

func busyLoad(nodes []string, factor float64) loadgen.Options {
	return loadgen.Options{
		Nodes: nodes, Rate: factor * busyCapacity, Duration: overloadPeriod, Timeout: callerTimeout,
		Mix: []loadgen.Kind{
			{Method: "GET", Path: "/busy", Weight: 1 - urgentWeight},
			{Method: "GET", Path: "/busy/urgent", Weight: urgentWeight},
		},
	}
}

func okShare(counts map[loadgen.Outcome]int64) float64 {
	total := int64(0)
	for _, n := range counts {
		total += n
	}
	return float64(counts[loadgen.OK]) / float64(max(1, total))
}
