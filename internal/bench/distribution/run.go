// Package distribution measures how a configuration spreads over a mesh of
// separate processes: the time until it is in force, the bytes for control and
// the reads at the platform, calm and under faults.
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
	changes     = 10
	idlePeriod  = 8 * time.Second
	// reachLimit is the stated bound: in force everywhere in reach within 9 s.
	reachLimit = 9 * time.Second
	percent    = 100
)

// Options of a run.
type Options struct {
	BinDir string
	Full   bool // sizes 8, 16, 32 and 64 instead of 8 and 24
}

// Run measures all sizes and prints one name=value a line. It returns an error
// when a host served an older configuration or an accepted one reverted.
func Run(ctx context.Context, o Options, out io.Writer) error {
	sizes := []int{8, 24}
	if o.Full {
		sizes = []int{8, 16, 32, 64}
	}
	var results []*result
	for _, size := range sizes {
		r, err := measure(ctx, o.BinDir, size, size == sizes[len(sizes)-1])
		if err != nil {
			return fmt.Errorf("%d nodes: %w", size, err)
		}
		results = append(results, r)
		r.print(out, fmt.Sprintf("_%d_nodes", size))
	}
	first, last := results[0], results[len(results)-1]
	last.print(out, "")
	fmt.Fprintf(out, "convergence_fault_worst_ms=%d\n", last.faultWorst.Milliseconds())
	for _, f := range last.faults {
		fmt.Fprintf(out, "convergence_%s_ms=%d\n", f.name, f.worst.Milliseconds())
	}
	fmt.Fprintf(out, "platform_reads_per_second_small=%.2f\nplatform_nodes_small=%d\n", first.reads, sizes[0])
	fmt.Fprintf(out, "platform_reads_per_second_large=%.2f\nplatform_nodes_large=%d\n", last.reads, sizes[len(sizes)-1])
	older, reverted := 0, 0
	for _, r := range results {
		older, reverted = older+r.older, reverted+r.reverted
	}
	fmt.Fprintf(out, "older_served=%d\nreverted=%d\n", older, reverted)
	if older+reverted > 0 {
		return errors.New("a host served an older configuration, or an accepted one reverted")
	}
	return nil
}

type faultResult struct {
	name  string
	worst time.Duration
}

// result is what one size gave.
type result struct {
	calm       []time.Duration // for each change, until in force on the last node
	all        []time.Duration // for each change and node
	faults     []faultResult
	faultWorst time.Duration
	sent       float64 // bytes a node and second while idle
	received   float64
	perChange  float64 // bytes a node, sent and received, for one change
	reads      float64 // at the platform, a second
	writes     float64
	rss        float64 // MB, the largest node
	rssMean    float64 // MB
	cpu        float64 // percent of a core while idle, mean
	older      int
	reverted   int
}

func (r *result) print(out io.Writer, suffix string) {
	fmt.Fprintf(out, "convergence_p50_ms%s=%d\n", suffix, quantile(r.all, 0.5).Milliseconds())
	fmt.Fprintf(out, "convergence_p99_ms%s=%d\n", suffix, quantile(r.all, 0.99).Milliseconds())
	fmt.Fprintf(out, "convergence_worst_ms%s=%d\n", suffix, slices.Max(r.calm).Milliseconds())
	fmt.Fprintf(out, "control_bytes_per_node_second%s=%.0f\n", suffix, r.sent+r.received)
	fmt.Fprintf(out, "control_bytes_sent_per_node_second%s=%.0f\n", suffix, r.sent)
	fmt.Fprintf(out, "control_bytes_per_node_change%s=%.0f\n", suffix, r.perChange)
	fmt.Fprintf(out, "platform_writes_per_second%s=%.2f\n", suffix, r.writes)
	fmt.Fprintf(out, "node_rss_mb%s=%.1f\n", suffix, r.rss)
	fmt.Fprintf(out, "node_rss_mean_mb%s=%.1f\n", suffix, r.rssMean)
	fmt.Fprintf(out, "node_control_cpu_percent%s=%.2f\n", suffix, r.cpu)
}

func quantile(d []time.Duration, q float64) time.Duration {
	s := slices.Clone(d)
	slices.Sort(s)
	return s[min(len(s)-1, int(q*float64(len(s))))]
}

// run is one size being measured.
type run struct {
	c      *cluster.Cluster
	source *source.Source
	head   source.Head
	result *result
}

func measure(ctx context.Context, binDir string, size int, faults bool) (*result, error) {
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
	r := &run{c: c, source: source.New(client, client.Objects()), result: &result{}}
	if err := r.calm(ctx); err != nil {
		return nil, err
	}
	if err := r.idle(ctx); err != nil {
		return nil, err
	}
	if faults {
		if err := r.faults(ctx); err != nil {
			return nil, err
		}
	}
	return r.result, r.check(ctx)
}

// accept makes the next revision and returns when the commit was sent.
func (r *run) accept(ctx context.Context) (time.Time, error) {
	n := r.head.Revision + 1
	text := fmt.Sprintf("route GET /menus to orderdesk tray-%d # Oyuna: revision %d\n", n, n)
	start := time.Now()
	h, err := r.source.Accept(ctx, source.Submission{Text: []byte(text), Base: r.head, Author: "bench", Token: uuid.NewString()})
	if err == nil {
		r.head = h
	}
	return start, err
}

// inForce returns how long after start the head came into force on each of the hosts.
func (r *run) inForce(start time.Time, hosts []*cluster.Node) (times []time.Duration, all bool) {
	at := map[string]time.Time{}
	for _, e := range r.c.Activations() {
		if _, ok := at[e.Host]; !ok && e.Version.Revision >= r.head.Revision {
			at[e.Host] = e.At
		}
	}
	for _, n := range hosts {
		if t, ok := at[string(n.ID)]; ok {
			times = append(times, t.Sub(start))
		}
	}
	return times, len(times) == len(hosts)
}

// change accepts a revision and waits until it is in force on the hosts.
func (r *run) change(ctx context.Context, hosts []*cluster.Node) ([]time.Duration, error) {
	start, err := r.accept(ctx)
	if err != nil {
		return nil, err
	}
	var times []time.Duration
	err = r.c.WaitFor(ctx, 2*reachLimit, fmt.Sprintf("revision %d is in force", r.head.Revision), func() bool {
		var all bool
		times, all = r.inForce(start, hosts)
		return all
	})
	return times, err
}

func (r *run) calm(ctx context.Context) error {
	if _, err := r.change(ctx, r.c.Nodes); err != nil {
		return err
	}
	if err := r.c.WaitFor(ctx, reachLimit, "nodes know one another", func() bool { return r.converged(ctx) }); err != nil {
		return err
	}
	before, err := r.bytes(ctx)
	if err != nil {
		return err
	}
	start := time.Now()
	for range changes {
		times, err := r.change(ctx, r.c.Nodes)
		if err != nil {
			return err
		}
		r.result.all = append(r.result.all, times...)
		r.result.calm = append(r.result.calm, slices.Max(times))
		time.Sleep(100 * time.Millisecond)
	}
	after, err := r.bytes(ctx)
	r.result.perChange = (after.sent + after.received - before.sent - before.received) / float64(len(r.c.Nodes)) / changes
	// The idle part of it is taken off in idle.
	r.result.sent = -time.Since(start).Seconds() / changes
	return err
}

func (r *run) converged(ctx context.Context) bool {
	for _, n := range r.c.Nodes {
		s, err := n.Status(ctx)
		if err != nil || len(s.Hosts) != len(r.c.Nodes) {
			return false
		}
	}
	return true
}

type totals struct{ sent, received, cpu, rss, rssSum float64 }

// bytes adds up the counters of all running nodes.
func (r *run) bytes(ctx context.Context) (totals, error) {
	var t totals
	for _, n := range r.c.Nodes {
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
		t.rssSum += m["nutmeghoist_process_resident_bytes"]
		t.rss = max(t.rss, m["nutmeghoist_process_resident_bytes"])
	}
	return t, nil
}

// idle measures what a mesh costs in which nothing changes.
func (r *run) idle(ctx context.Context) error {
	statsBefore, err := r.stats(ctx)
	if err != nil {
		return err
	}
	before, err := r.bytes(ctx)
	if err != nil {
		return err
	}
	start := time.Now()
	time.Sleep(idlePeriod)
	after, err := r.bytes(ctx)
	if err != nil {
		return err
	}
	statsAfter, err := r.stats(ctx)
	if err != nil {
		return err
	}
	seconds := time.Since(start).Seconds()
	perNode := seconds * float64(len(r.c.Nodes))
	perChangeSeconds := -r.result.sent
	r.result.sent = (after.sent - before.sent) / perNode
	r.result.received = (after.received - before.received) / perNode
	r.result.perChange = max(0, r.result.perChange-perChangeSeconds*(r.result.sent+r.result.received))
	r.result.cpu = percent * (after.cpu - before.cpu) / perNode
	r.result.rss = after.rss / (1 << 20)
	r.result.rssMean = after.rssSum / float64(len(r.c.Nodes)) / (1 << 20)
	r.result.reads = float64(statsAfter.Reads.Total-statsBefore.Reads.Total) / seconds
	r.result.writes = float64(statsAfter.Writes.Total-statsBefore.Writes.Total) / seconds
	return nil
}

func (r *run) stats(ctx context.Context) (platformtest.Stats, error) {
	var s platformtest.Stats
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, r.c.PlatformURL()+"/stats", nil)
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

// check counts hosts that served an older version than before, also across
// restarts, and hosts on which the last accepted revision is not in force.
func (r *run) check(ctx context.Context) error {
	r.result.older = r.c.CountDowngrades()
	for _, n := range r.c.Nodes {
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
