// Package serving measures the call path with separate processes: the latency
// it adds, what is left of the goodput under overload, and what callers see
// when parts fail.
package serving

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"nutmeghoist.example/nutmeghoist/internal/bench/cluster"
	"nutmeghoist.example/nutmeghoist/internal/loadgen"
	"nutmeghoist.example/nutmeghoist/internal/standin"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// The sizes of today's larger mesh.
const (
	slots       = 12
	connections = 130
	hosts       = 3
)

// The services of the run and where their targets are.
var services = []struct {
	name   mesh.ServiceName
	hosts  []int
	faults standin.Faults
}{
	{"near", []int{0}, standin.Faults{}},
	{"far", []int{1}, standin.Faults{}},
	{"busy", []int{1, 2}, standin.Faults{ServiceTime: standin.ServiceTime{MeanMS: busyServiceMS}}},
	{"shop", []int{0, 1, 2}, standin.Faults{ServiceTime: standin.ServiceTime{MeanMS: 5}}},
	{"slow", []int{0, 1, 2}, standin.Faults{ServiceTime: standin.ServiceTime{MeanMS: 200}}},
}

const rulesText = `route GET /near to near v1 # bench: measurement
route GET /far to far v1 # bench: measurement
route GET /busy to busy v1 timeout 1s # bench: measurement
route GET /busy/urgent to busy v1 class urgent timeout 1s # bench: measurement
route * /shop to shop v1 timeout 2s # bench: measurement
route * /slow to slow v1 timeout 5s # bench: measurement
`

// run is one run of the measurement.
type run struct {
	c   *cluster.Cluster
	out io.Writer

	orders map[string]loadgen.OrderOutcome
	short  int64
	alien  int64
	cut    int64
	loads  int
}

// Run measures and prints one name=value a line. It returns an error when a
// promise to callers was broken.
func Run(ctx context.Context, binDir string, out io.Writer) error {
	c, err := cluster.Start(ctx, cluster.Options{BinDir: binDir, DataCentres: []mesh.DataCentre{"north"}, Hosts: hosts, Direct: true})
	if err != nil {
		return err
	}
	defer c.Close()
	r := &run{c: c, out: out, orders: map[string]loadgen.OrderOutcome{}}
	for _, step := range []func(context.Context) error{r.prepare, r.latency, r.overload, r.faults, r.verdict} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) print(name string, format string, value any) {
	fmt.Fprintf(r.out, "%s="+format+"\n", name, value)
}

// prepare starts the targets and puts the rules in force.
func (r *run) prepare(ctx context.Context) error {
	for _, s := range services {
		for _, h := range s.hosts {
			t, err := r.c.StartTarget(r.c.Nodes[h], mesh.ServiceVersion{Service: s.name, Version: "v1"}, slots, connections)
			if err != nil {
				return err
			}
			err = r.c.WaitFor(ctx, 5*time.Second, "faults are set", func() bool { return t.SetFaults(ctx, s.faults) == nil })
			if err != nil {
				return err
			}
		}
	}
	if _, err := r.c.Accept(ctx, rulesText); err != nil {
		return err
	}
	return r.c.WaitFor(ctx, 15*time.Second, "nodes serve all targets", func() bool { return r.c.Ready() && r.c.AllTargetsReady(ctx) })
}

// load runs one load and keeps its orders for the verdict.
func (r *run) load(ctx context.Context, o loadgen.Options) (loadgen.Result, error) {
	r.loads++
	o.OrderPrefix, o.Seed, o.KeepOutcomes = fmt.Sprintf("load%d", r.loads), uint64(r.loads), true
	res, err := loadgen.Run(ctx, o)
	if err != nil {
		return res, err
	}
	r.keep(&res)
	return res, nil
}

func (r *run) keep(res *loadgen.Result) {
	maps.Copy(r.orders, res.Orders)
	r.short += res.Counts[loadgen.Short]
	r.alien += res.Counts[loadgen.Foreign]
}

func (r *run) callers(indexes ...int) []string {
	var urls []string
	for _, i := range indexes {
		urls = append(urls, r.c.Nodes[i].CallerURL())
	}
	return urls
}

// verdict compares what callers were told with what the targets ran.
func (r *run) verdict(context.Context) error {
	runs, err := r.c.Runs()
	if err != nil {
		return err
	}
	var twice, untrue int
	for order, o := range r.orders {
		isOrder := o.Method == "POST"
		if isOrder && runs[order] > 1 {
			twice++
		}
		if o.Outcome == loadgen.NotRun && runs[order] > 0 {
			untrue++
		}
	}
	r.print("orders_run_twice", "%d", twice)
	r.print("false_not_run", "%d", untrue)
	r.print("short_answers", "%d", r.short)
	r.print("foreign_answers", "%d", r.alien)
	r.print("cut_on_planned_stop", "%d", r.cut)
	if twice+untrue > 0 || r.short+r.alien+r.cut > 0 {
		return fmt.Errorf("a promise to callers was broken; example orders: %.10v", slices.Collect(maps.Keys(r.orders))[:1])
	}
	return nil
}
