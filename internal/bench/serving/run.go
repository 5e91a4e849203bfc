// Package serving measures the call path with separate processes: the added
// latency, the goodput under overload, and the outcomes that callers see during
// faults.
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

// The sizes of the larger mesh in use.
const (
	slots       = 12
	connections = 130
	hosts       = 3
)

// services lists the services of the run with the hosts and faults of their targets.
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

// run is the state of one measurement.
type run struct {
	cluster *cluster.Cluster
	out     io.Writer

	orders         map[string]loadgen.OrderOutcome
	shortAnswers   int64
	foreignAnswers int64
	cutCalls       int64
	loadCount      int
}

// Run runs the measurements and prints name=value lines. It returns an error when
// a guarantee to callers was violated.
func Run(ctx context.Context, binDir string, out io.Writer) error {
	c, err := cluster.Start(ctx, cluster.Options{BinDir: binDir, DataCentres: []mesh.DataCentre{"north"}, Hosts: hosts, Direct: true})
	if err != nil {
		return err
	}
	defer c.Close()
	r := &run{cluster: c, out: out, orders: map[string]loadgen.OrderOutcome{}}
	for _, step := range []func(context.Context) error{r.prepare, r.measureLatency, r.measureOverload, r.measureFaults, r.checkGuarantees} {
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
			t, err := r.cluster.StartTarget(r.cluster.Nodes[h], mesh.ServiceVersion{Service: s.name, Version: "v1"}, slots, connections)
			if err != nil {
				return err
			}
			err = r.cluster.WaitFor(ctx, 5*time.Second, "faults are set", func() bool { return t.SetFaults(ctx, s.faults) == nil })
			if err != nil {
				return err
			}
		}
	}
	if _, err := r.cluster.Accept(ctx, rulesText); err != nil {
		return err
	}
	return r.cluster.WaitFor(ctx, 15*time.Second, "nodes serve all targets", func() bool { return r.cluster.Ready() && r.cluster.AllTargetsReady(ctx) })
}

// runLoad runs one load and records its orders for checkGuarantees.
func (r *run) runLoad(ctx context.Context, o loadgen.Options) (loadgen.Result, error) {
	r.loadCount++
	o.OrderPrefix, o.Seed, o.KeepOutcomes = fmt.Sprintf("load%d", r.loadCount), uint64(r.loadCount), true
	res, err := loadgen.Run(ctx, o)
	if err != nil {
		return res, err
	}
	r.recordLoad(&res)
	return res, nil
}

func (r *run) recordLoad(res *loadgen.Result) {
	maps.Copy(r.orders, res.Orders)
	r.shortAnswers += res.Counts[loadgen.Short]
	r.foreignAnswers += res.Counts[loadgen.Foreign]
}

func (r *run) callerURLs(indexes ...int) []string {
	var urls []string
	for _, i := range indexes {
		urls = append(urls, r.cluster.Nodes[i].CallerURL())
	}
	return urls
}

// checkGuarantees compares the outcomes that callers saw with the runs of the
// targets.
func (r *run) checkGuarantees(context.Context) error {
	runs, err := r.cluster.Runs()
	if err != nil {
		return err
	}
	var runTwice, falseNotRun int
	for order, o := range r.orders {
		isOrder := o.Method == "POST"
		if isOrder && runs[order] > 1 {
			runTwice++
		}
		if o.Outcome == loadgen.NotRun && runs[order] > 0 {
			falseNotRun++
		}
	}
	r.print("orders_run_twice", "%d", runTwice)
	r.print("false_not_run", "%d", falseNotRun)
	r.print("short_answers", "%d", r.shortAnswers)
	r.print("foreign_answers", "%d", r.foreignAnswers)
	r.print("cut_on_planned_stop", "%d", r.cutCalls)
	if runTwice+falseNotRun > 0 || r.shortAnswers+r.foreignAnswers+r.cutCalls > 0 {
		return fmt.Errorf("a guarantee to callers was violated; example orders: %.10v", slices.Collect(maps.Keys(r.orders))[:1])
	}
	return nil
}
