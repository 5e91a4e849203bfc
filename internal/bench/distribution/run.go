// Package distribution measures how a configuration spreads over a mesh of
// separate processes, with and without faults: the time until it is in force, the
// control traffic and the reads at the platform.
package distribution

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"

	"nutmeghoist.example/nutmeghoist/internal/bench/cluster"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/platform/platformtest"
	"nutmeghoist.example/nutmeghoist/pkg/source"
	"nutmeghoist.example/nutmeghoist/platform"
)

const (
	dataCentres = 4
	changeCount = 10
	idlePeriod  = 8 * time.Second
	// convergenceLimit is the documented bound: a change is in force on all
	// reachable hosts within 9 s.
	convergenceLimit = 9 * time.Second
	percent          = 100
)

// Options are the settings of a run.
type Options struct {
	BinDir string
	Full   bool // sizes 8, 16, 32 and 64 instead of 8 and 24
}

// Run measures all sizes and prints name=value lines. It returns an error when a
// host activated an older configuration or an accepted one is not in force.
func Run(ctx context.Context, o Options, out io.Writer) error {
	sizes := []int{8, 24}
	if o.Full {
		sizes = []int{8, 16, 32, 64}
	}
	var results []*result
	for _, size := range sizes {
		r, err := measureSize(ctx, o.BinDir, size, size == sizes[len(sizes)-1])
		if err != nil {
			return fmt.Errorf("%d nodes: %w", size, err)
		}
		results = append(results, r)
		r.print(out, fmt.Sprintf("_%d_nodes", size))
	}
	first, last := results[0], results[len(results)-1]
	last.print(out, "")
	fmt.Fprintf(out, "convergence_fault_worst_ms=%d\n", last.worstFault.Milliseconds())
	for _, f := range last.faults {
		fmt.Fprintf(out, "convergence_%s_ms=%d\n", f.name, f.worst.Milliseconds())
	}
	fmt.Fprintf(out, "platform_reads_per_second_small=%.2f\nplatform_nodes_small=%d\n", first.platformReads, sizes[0])
	fmt.Fprintf(out, "platform_reads_per_second_large=%.2f\nplatform_nodes_large=%d\n", last.platformReads, sizes[len(sizes)-1])
	downgrades, reverted := 0, 0
	for _, r := range results {
		downgrades, reverted = downgrades+r.downgrades, reverted+r.reverted
	}
	fmt.Fprintf(out, "older_served=%d\nreverted=%d\n", downgrades, reverted)
	if downgrades+reverted > 0 {
		return errors.New("a host activated an older configuration, or an accepted one is not in force")
	}
	return nil
}

type faultResult struct {
	name  string
	worst time.Duration
}

// result holds the measurements of one size.
type result struct {
	slowestPerChange []time.Duration // for each change, until in force on the last node
	activationTimes  []time.Duration // for each change and node
	faults           []faultResult
	worstFault       time.Duration
	sent             float64 // bytes per node and second while idle
	received         float64
	perChange        float64 // bytes per node and change, sent and received
	platformReads    float64 // per second
	platformWrites   float64 // per second
	maxRSS           float64 // MB, the largest node
	meanRSS          float64 // MB
	meanCPU          float64 // percent of a core while idle, mean
	downgrades       int
	reverted         int
}

func (r *result) print(out io.Writer, suffix string) {
	fmt.Fprintf(out, "convergence_p50_ms%s=%d\n", suffix, quantile(r.activationTimes, 0.5).Milliseconds())
	fmt.Fprintf(out, "convergence_p99_ms%s=%d\n", suffix, quantile(r.activationTimes, 0.99).Milliseconds())
	fmt.Fprintf(out, "convergence_worst_ms%s=%d\n", suffix, slices.Max(r.slowestPerChange).Milliseconds())
	fmt.Fprintf(out, "control_bytes_per_node_second%s=%.0f\n", suffix, r.sent+r.received)
	fmt.Fprintf(out, "control_bytes_sent_per_node_second%s=%.0f\n", suffix, r.sent)
	fmt.Fprintf(out, "control_bytes_per_node_change%s=%.0f\n", suffix, r.perChange)
	fmt.Fprintf(out, "platform_writes_per_second%s=%.2f\n", suffix, r.platformWrites)
	fmt.Fprintf(out, "node_rss_mb%s=%.1f\n", suffix, r.maxRSS)
	fmt.Fprintf(out, "node_rss_mean_mb%s=%.1f\n", suffix, r.meanRSS)
	fmt.Fprintf(out, "node_control_cpu_percent%s=%.2f\n", suffix, r.meanCPU)
}

func quantile(d []time.Duration, q float64) time.Duration {
	s := slices.Clone(d)
	slices.Sort(s)
	return s[min(len(s)-1, int(q*float64(len(s))))]
}

// run is the state of the measurement of one size.
type run struct {
	cluster *cluster.Cluster
	source  *source.Source
	head    source.Head
	result  *result
}

func measureSize(ctx context.Context, binDir string, size int, faults bool) (*result, error) {
	dcs := make([]mesh.DataCentre, dataCentres)
	for i := range dcs {
		dcs[i] = mesh.DataCentre(fmt.Sprintf("dc%d", i+1))
	}
	c, err := cluster.Start(ctx, cluster.Options{BinDir: binDir, DataCentres: dcs, Hosts: size / dataCentres})
	if err != nil {
		return nil, err
	}
	defer c.Close()
	client := platform.NewStore(c.PlatformURL(), metrics.NewRegistry())
	r := &run{cluster: c, source: source.New(client, client.Objects()), result: &result{}}
	if err := r.measureChanges(ctx); err != nil {
		return nil, err
	}
	if err := r.measureIdle(ctx); err != nil {
		return nil, err
	}
	if faults {
		if err := r.measureFaults(ctx); err != nil {
			return nil, err
		}
	}
	return r.result, r.checkVersions(ctx)
}

// acceptRevision accepts the next revision and returns the time at which the
// submission started.
func (r *run) acceptRevision(ctx context.Context) (time.Time, error) {
	n := r.head.Revision + 1
	text := fmt.Sprintf("route GET /menus to orderdesk tray-%d # Oyuna: revision %d\n", n, n)
	start := time.Now()
	h, err := r.source.Accept(ctx, source.Submission{Text: []byte(text), Base: r.head, Author: "bench", Token: uuid.NewString()})
	if err == nil {
		r.head = h
	}
	return start, err
}

// activationTimes returns the time from start until the head came into force, for
// each of the hosts on which it has, and whether it has on all.
func (r *run) activationTimes(start time.Time, hosts []*cluster.Node) (times []time.Duration, complete bool) {
	activatedAt := map[string]time.Time{}
	for _, a := range r.cluster.Activations() {
		if _, ok := activatedAt[a.Host]; !ok && a.Version.Revision >= r.head.Revision {
			activatedAt[a.Host] = a.At
		}
	}
	for _, n := range hosts {
		if t, ok := activatedAt[string(n.ID)]; ok {
			times = append(times, t.Sub(start))
		}
	}
	return times, len(times) == len(hosts)
}

// applyChange accepts a revision and waits until it is in force on the hosts.
func (r *run) applyChange(ctx context.Context, hosts []*cluster.Node) ([]time.Duration, error) {
	start, err := r.acceptRevision(ctx)
	if err != nil {
		return nil, err
	}
	var times []time.Duration
	err = r.cluster.WaitFor(ctx, 2*convergenceLimit, fmt.Sprintf("revision %d is in force", r.head.Revision), func() bool {
		var complete bool
		times, complete = r.activationTimes(start, hosts)
		return complete
	})
	return times, err
}

func (r *run) measureChanges(ctx context.Context) error {
	if _, err := r.applyChange(ctx, r.cluster.Nodes); err != nil {
		return err
	}
	if err := r.cluster.WaitFor(ctx, convergenceLimit, "every node lists all hosts", func() bool { return r.converged(ctx) }); err != nil {
		return err
	}
	before, err := r.nodeTotals(ctx)
	if err != nil {
		return err
	}
	start := time.Now()
	for range changeCount {
		times, err := r.applyChange(ctx, r.cluster.Nodes)
		if err != nil {
			return err
		}
		r.result.activationTimes = append(r.result.activationTimes, times...)
		r.result.slowestPerChange = append(r.result.slowestPerChange, slices.Max(times))
		time.Sleep(100 * time.Millisecond)
	}
	after, err := r.nodeTotals(ctx)
	r.result.perChange = (after.sent + after.received - before.sent - before.received) / float64(len(r.cluster.Nodes)) / changeCount
	// measureIdle subtracts the idle traffic. Until then, sent holds the negated
	// seconds per change.
	r.result.sent = -time.Since(start).Seconds() / changeCount
	return err
}

func (r *run) converged(ctx context.Context) bool {
	for _, n := range r.cluster.Nodes {
		s, err := n.Status(ctx)
		if err != nil || len(s.Hosts) != len(r.cluster.Nodes) {
			return false
		}
	}
	return true
}

type totals struct{ sent, received, cpu, maxRSS, sumRSS float64 }

// nodeTotals sums the metrics of all running nodes.
func (r *run) nodeTotals(ctx context.Context) (totals, error) {
	var t totals
	for _, n := range r.cluster.Nodes {
		if !n.Running() {
			continue
		}
		m, err := n.Metrics(ctx)
		if err != nil {
			return t, err
		}
		t.sent += m["nutmeghoist_links_bytes_sent"] + m["nutmeghoist_control_bytes_sent_total"]
		t.received += m["nutmeghoist_links_bytes_received"] + m["nutmeghoist_control_bytes_received_total"]
		t.cpu += m["nutmeghoist_process_cpu_seconds"]
		t.sumRSS += m["nutmeghoist_process_resident_bytes"]
		t.maxRSS = max(t.maxRSS, m["nutmeghoist_process_resident_bytes"])
	}
	return t, nil
}

// measureIdle measures the traffic and the resources of a mesh without changes.
func (r *run) measureIdle(ctx context.Context) error {
	statsBefore, err := r.platformStats(ctx)
	if err != nil {
		return err
	}
	before, err := r.nodeTotals(ctx)
	if err != nil {
		return err
	}
	start := time.Now()
	time.Sleep(idlePeriod)
	after, err := r.nodeTotals(ctx)
	if err != nil {
		return err
	}
	statsAfter, err := r.platformStats(ctx)
	if err != nil {
		return err
	}
	seconds := time.Since(start).Seconds()
	perNode := seconds * float64(len(r.cluster.Nodes))
	perChangeSeconds := -r.result.sent
	r.result.sent = (after.sent - before.sent) / perNode
	r.result.received = (after.received - before.received) / perNode
	r.result.perChange = max(0, r.result.perChange-perChangeSeconds*(r.result.sent+r.result.received))
	r.result.meanCPU = percent * (after.cpu - before.cpu) / perNode
	r.result.maxRSS = after.maxRSS / (1 << 20)
	r.result.meanRSS = after.sumRSS / float64(len(r.cluster.Nodes)) / (1 << 20)
	r.result.platformReads = float64(statsAfter.Reads.Total-statsBefore.Reads.Total) / seconds
	r.result.platformWrites = float64(statsAfter.Writes.Total-statsBefore.Writes.Total) / seconds
	return nil
}

func (r *run) platformStats(ctx context.Context) (platformtest.Stats, error) {
	var s platformtest.Stats
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, r.cluster.PlatformURL()+"/stats", nil)
	if err != nil {
		return s, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return s, err
	}
	defer resp.Body.Close()
	return s, json.NewDecoder(resp.Body).Decode(&s)
}

// checkVersions counts the downgrades on all hosts, also across restarts, and the
// hosts on which the last accepted revision is not in force.
func (r *run) checkVersions(ctx context.Context) error {
	r.result.downgrades = r.cluster.CountDowngrades()
	for _, n := range r.cluster.Nodes {
		if !n.Running() {
			continue
		}
		s, err := n.Status(ctx)
		if err != nil {
			return err
		}
		if s.Version.Revision != r.head.Revision {
			r.result.reverted++
		}
	}
	return nil
}
