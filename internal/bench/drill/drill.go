// Package drill runs moves in separate processes while the platform or a data
// centre is unreachable, and checks the behaviour of the hosts and the reports.
package drill

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"nutmeghoist.example/nutmeghoist/internal/bench/cluster"
	"nutmeghoist.example/nutmeghoist/internal/loadgen"
	"nutmeghoist.example/nutmeghoist/internal/opapi"
	"nutmeghoist.example/nutmeghoist/internal/standin"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/source"
)

const (
	slots       = 12
	connections = 130
	rate        = 300 // calls per second over all nodes
	moveWindow  = 32 * time.Second
	// cutDelay lets the first step of the moves pass before the partition.
	cutDelay = 2 * time.Second
	// reportLimit bounds the time until a report is written once its condition is
	// met: the report lease of a paused holder must expire, and one round of
	// confirmations must pass.
	reportLimit        = 20 * time.Second
	isolatedDataCentre = mesh.DataCentre("south")
)

type drill struct {
	cluster *cluster.Cluster
	out     io.Writer
}

// Run runs the drills and prints name=value lines. It returns an error at the
// first check that fails.
func Run(ctx context.Context, binDir string, out io.Writer) error {
	c, err := cluster.Start(ctx, cluster.Options{BinDir: binDir, DataCentres: []mesh.DataCentre{"north", isolatedDataCentre, "west"}, Hosts: 2})
	if err != nil {
		return err
	}
	defer c.Close()
	d := &drill{cluster: c, out: out}
	if err := d.prepare(ctx); err != nil {
		return err
	}
	ctx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	type outcome struct {
		r   loadgen.Result
		err error
	}
	load := make(chan outcome, 1)
	go func() {
		r, err := loadgen.Run(ctx, d.loadOptions())
		load <- outcome{r, err}
	}()
	if err := d.platformOutage(ctx); err != nil {
		return fmt.Errorf("platform outage: %w", err)
	}
	if err := d.dataCentreCut(ctx); err != nil {
		return fmt.Errorf("data centre cut: %w", err)
	}
	stopLoad()
	o := <-load
	if o.err != nil {
		return o.err
	}
	return d.checkGuarantees(&o.r)
}

// prepare starts a stand-in of each version on each host, where version bad
// fails half of its calls, and puts the first rules in force.
func (d *drill) prepare(ctx context.Context) error {
	for _, n := range d.cluster.Nodes {
		for _, v := range []mesh.TargetVersion{"v1", "v2", "v3", "bad"} {
			t, err := d.cluster.StartTarget(n, mesh.ServiceVersion{Service: "orderdesk", Version: v}, slots, connections)
			if err != nil {
				return err
			}
			if v != "bad" {
				continue
			}
			err = d.cluster.WaitFor(ctx, 5*time.Second, "faults are set", func() bool {
				return t.SetFaults(ctx, standin.Faults{FailShare: 0.5}) == nil
			})
			if err != nil {
				return err
			}
		}
	}
	if _, err := d.cluster.Accept(ctx, rulesText("v1", "v1")); err != nil {
		return err
	}
	return d.cluster.WaitFor(ctx, 15*time.Second, "nodes serve all targets", func() bool { return d.cluster.Ready() && d.cluster.AllTargetsReady(ctx) })
}

func rulesText(menus, orders string) string {
	return fmt.Sprintf("route GET /menus to orderdesk %s # bench: drill\nroute POST /orders to orderdesk %s # bench: drill\n", menus, orders)
}

func moveTo(to, from string, by time.Time) string {
	return fmt.Sprintf("%s from %s by %s", to, from, by.UTC().Format(time.RFC3339))
}

func (d *drill) loadOptions() loadgen.Options {
	o := loadgen.Options{
		Rate: rate, Duration: 5 * time.Minute, Seed: 1, OrderPrefix: "drill", KeepOutcomes: true,
		Mix: []loadgen.Kind{{Method: "GET", Path: "/menus", Weight: 1}, {Method: "POST", Path: "/orders", Weight: 1, BodySize: 100}},
	}
	for _, n := range d.cluster.Nodes {
		o.Nodes = append(o.Nodes, n.CallerURL())
	}
	return o
}

// platformOutage makes the platform unreachable during a good and a bad move.
// The moves must continue, the veto must spread, and the reports must be written
// after the outage.
func (d *drill) platformOutage(ctx context.Context) error {
	by := time.Now().Add(moveWindow)
	head, err := d.startMoves(ctx, rulesText(moveTo("v2", "v1", by), moveTo("bad", "v1", by)))
	if err != nil {
		return err
	}
	time.Sleep(cutDelay)
	d.cluster.CutPlatform()
	err = d.cluster.WaitFor(ctx, moveWindow, "the bad version has no share on any host", func() bool {
		return d.onAllHosts(ctx, "bad", func(m *opapi.MoveStatus) bool { return m.State == "taken-back" && m.Share == 0 })
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(d.out, "platform_out_taken_back_s=%.1f\n", time.Since(head.AcceptedAt).Seconds())
	err = d.cluster.WaitFor(ctx, time.Until(by)+time.Second, "the good version has the full share on all hosts", func() bool {
		return d.onAllHosts(ctx, "v2", func(m *opapi.MoveStatus) bool { return m.Share == 1 })
	})
	if err != nil {
		return err
	}
	if kinds, err := d.reportKinds(ctx, "v2"); err != nil || slices.Contains(kinds, source.ReportDone) {
		return fmt.Errorf("reports %v during the outage, error %v", kinds, err)
	}
	if wait := time.Until(by); wait > 0 {
		time.Sleep(wait)
	}
	d.cluster.HealPlatform()
	healed := time.Now()
	if err := d.waitForReport(ctx, "v2", source.ReportDone); err != nil {
		return err
	}
	if err := d.waitForReport(ctx, "bad", source.ReportTakenBack); err != nil {
		return err
	}
	fmt.Fprintf(d.out, "platform_out_reports_after_healing_s=%.1f\n", time.Since(healed).Seconds())
	return nil
}

// dataCentreCut partitions a data centre from the others during a good move. The
// move must continue everywhere, and the report must wait for the data centre.
func (d *drill) dataCentreCut(ctx context.Context) error {
	by := time.Now().Add(moveWindow)
	if _, err := d.startMoves(ctx, rulesText(moveTo("v3", "v2", by), "v1")); err != nil {
		return err
	}
	time.Sleep(cutDelay)
	d.cluster.CutDataCentre(isolatedDataCentre)
	err := d.cluster.WaitFor(ctx, moveWindow+time.Second, "the version has the full share on all hosts", func() bool {
		return d.onAllHosts(ctx, "v3", func(m *opapi.MoveStatus) bool { return m.Share == 1 })
	})
	if err != nil {
		return err
	}
	if err := d.waitForReport(ctx, "v3", source.ReportWaiting); err != nil {
		return err
	}
	if wait := time.Until(by); wait > 0 {
		time.Sleep(wait)
	}
	if kinds, err := d.reportKinds(ctx, "v3"); err != nil || slices.Contains(kinds, source.ReportDone) {
		return fmt.Errorf("reports %v while a data centre is unreachable, error %v", kinds, err)
	}
	d.cluster.HealDataCentre(isolatedDataCentre)
	healed := time.Now()
	if err := d.waitForReport(ctx, "v3", source.ReportDone); err != nil {
		return err
	}
	fmt.Fprintf(d.out, "data_centre_cut_report_after_healing_s=%.1f\n", time.Since(healed).Seconds())
	return nil
}

func (d *drill) startMoves(ctx context.Context, text string) (source.Head, error) {
	head, err := d.cluster.Accept(ctx, text)
	if err != nil {
		return head, err
	}
	return head, d.cluster.WaitFor(ctx, 9*time.Second, "moves are in force on all nodes", func() bool {
		return d.cluster.InForce(ctx, head.Revision, d.cluster.Nodes)
	})
}

// onAllHosts reports whether the move to a version meets a condition on all hosts.
func (d *drill) onAllHosts(ctx context.Context, to mesh.TargetVersion, condition func(*opapi.MoveStatus) bool) bool {
	for _, n := range d.cluster.Nodes {
		s, err := n.Status(ctx)
		if err != nil {
			return false
		}
		i := slices.IndexFunc(s.Moves, func(m opapi.MoveStatus) bool { return m.To == to })
		if i < 0 || !condition(&s.Moves[i]) {
			return false
		}
	}
	return true
}

// reportKinds returns the kinds of reports that exist for the move to a version.
func (d *drill) reportKinds(ctx context.Context, to mesh.TargetVersion) ([]source.ReportKind, error) {
	reports, err := d.cluster.Source().Reports(ctx)
	var kinds []source.ReportKind
	for _, r := range reports {
		if r.Version == to {
			kinds = append(kinds, r.Kind)
		}
	}
	return kinds, err
}

// waitForReport waits for a kind of report for the move to a version.
func (d *drill) waitForReport(ctx context.Context, to mesh.TargetVersion, kind source.ReportKind) error {
	return d.cluster.WaitFor(ctx, reportLimit, fmt.Sprintf("report %s for version %s", kind, to), func() bool {
		kinds, err := d.reportKinds(ctx, to)
		return err == nil && slices.Contains(kinds, kind)
	})
}

// checkGuarantees compares the outcomes that callers saw with the runs of the
// targets, and looks for hosts that activated an older version.
func (d *drill) checkGuarantees(r *loadgen.Result) error {
	runs, err := d.cluster.Runs()
	if err != nil {
		return err
	}
	violations := loadgen.CheckRuns(r.Orders, runs)
	downgrades := d.cluster.CountDowngrades()
	fmt.Fprintf(d.out, "calls=%d\nok_share=%.4f\npromises_broken=%d\nolder_served=%d\n",
		r.Sent, float64(r.Counts[loadgen.OK])/float64(r.Sent), len(violations), downgrades)
	if len(violations) > 0 || downgrades > 0 {
		return errors.New("a guarantee was violated: " + fmt.Sprint(violations))
	}
	return nil
}
