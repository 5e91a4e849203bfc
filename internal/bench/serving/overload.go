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

// measureOverload offers several multiples of the capacity through the nodes. As
// a baseline without admission control, it then offers two of them to the
// targets directly, in round robin.
func (r *run) measureOverload(ctx context.Context) error {
	peakGoodput := 0.0
	for _, factor := range []float64{0.5, 1, 2, 5} {
		res, err := r.runLoad(ctx, busyLoadOptions(r.callerURLs(0, 1, 2), factor))
		if err != nil {
			return err
		}
		goodput := res.Goodput()
		peakGoodput = max(peakGoodput, goodput)
		label := fmt.Sprintf("%gx", factor)
		r.print("goodput_per_second_"+label, "%.0f", goodput)
		r.print("urgent_ok_share_"+label, "%.3f", okShare(res.Kinds["GET /busy/urgent"]))
		if factor > 1 {
			r.print("goodput_share_"+label, "%.3f", goodput/peakGoodput)
			r.print("refusal_p99_ms_"+label, "%.2f", float64(res.Quantile(loadgen.NotRun, 99).Microseconds())/1000)
			r.print("ok_p99_ms_"+label, "%.0f", float64(res.Quantile(loadgen.OK, 99).Microseconds())/1000)
		}
		if factor == 5 {
			r.print("refusal_p99_ms", "%.2f", float64(res.Quantile(loadgen.NotRun, 99).Microseconds())/1000)
		}
	}
	return r.measureOverloadBaseline(ctx, peakGoodput)
}

func (r *run) measureOverloadBaseline(ctx context.Context, peakGoodput float64) error {
	var targets []string
	for _, t := range r.cluster.Targets {
		if t.Version.Service == "busy" {
			targets = append(targets, "http://"+t.Address)
		}
	}
	for _, factor := range []float64{2, 5} {
		res, err := loadgen.Run(ctx, busyLoadOptions(targets, factor))
		if err != nil {
			return err
		}
		r.print(fmt.Sprintf("baseline_direct_goodput_share_%gx", factor), "%.3f", res.Goodput()/peakGoodput)
	}
	return nil
}

func busyLoadOptions(nodes []string, factor float64) loadgen.Options {
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
