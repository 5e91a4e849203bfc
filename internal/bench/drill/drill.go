// Package drill runs moves in separate processes while the platform or a data
// centre is out of reach, and checks what the hosts do and what the reports say.
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
	window      = 32 * time.Second
	// cutAfter leaves the first step of the moves to the calm mesh.
	cutAfter = 2 * time.Second
	// reportLimit bounds the time until reports are written once nothing is in
	// the way: the lease of a paused holder, and one round of confirmations.
	reportLimit = 20 * time.Second
	southern    = mesh.DataCentre("south")
)

type drill struct {
	c   *cluster.Cluster
	out io.Writer
}

// Run runs the drills and prints one name=value a line. It returns an error at
// the first thing that is not as it must be.
func Run(ctx context.Context, binDir string, out io.Writer) error {
	c, err := cluster.Start(ctx, cluster.Options{BinDir: binDir, DataCentres: []mesh.DataCentre{"north", southern, "west"}, Hosts: 2})
	if err != nil {
		return err
	}
	defer c.Close()
	d := &drill{c: c, out: out}
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
		r, err := loadgen.Run(ctx, d.load())
		load <- outcome{r, err}
	}()
	if err := d.platformOut(ctx); err != nil {
		return fmt.Errorf("platform out: %w", err)
	}
	if err := d.dataCentreCut(ctx); err != nil {
		return fmt.Errorf("data centre cut: %w", err)
	}
	stopLoad()
	o := <-load
	if o.err != nil {
		return o.err
	}
	return d.check(&o.r)
}

// prepare starts a stand-in of each version on each host; version bad fails half
// of its calls.
func (d *drill) prepare(ctx context.Context) error {
	for _, n := range d.c.Nodes {
		for _, v := range []mesh.TargetVersion{"v1", "v2", "v3", "bad"} {
			t, err := d.c.StartTarget(n, mesh.ServiceVersion{Service: "orderdesk", Version: v}, slots, connections)
			if err != nil {
				return err
			}
			if v != "bad" {
				continue
			}
			err = d.c.WaitFor(ctx, 5*time.Second, "faults are set", func() bool {
				return t.SetFaults(ctx, standin.Faults{FailShare: 0.5}) == nil
			})
			if err != nil {
				return err
			}
		}
	}
	if _, err := d.c.Accept(ctx, rulesText("v1", "v1")); err != nil {
		return err
	}
	return d.c.WaitFor(ctx, 15*time.Second, "nodes serve all targets", func() bool { return d.c.Ready() && d.c.AllTargetsReady(ctx) })
}

func rulesText(menus, orders string) string {
	return fmt.Sprintf("route GET /menus to orderdesk %s # bench: drill\nroute POST /orders to orderdesk %s # bench: drill\n", menus, orders)
}

func moveTo(to, from string, by time.Time) string {
	return fmt.Sprintf("%s from %s by %s", to, from, by.UTC().Format(time.RFC3339))
}

func (d *drill) load() loadgen.Options {
	o := loadgen.Options{
		Rate: rate, Duration: 5 * time.Minute, Seed: 1, OrderPrefix: "drill", KeepOutcomes: true,
		Mix: []loadgen.Kind{{Method: "GET", Path: "/menus", Weight: 1}, {Method: "POST", Path: "/orders", Weight: 1, BodySize: 100}},
	}
	for _, n := range d.c.Nodes {
		o.Nodes = append(o.Nodes, n.CallerURL())
	}
	return o
}

// platformOut cuts the platform off while a good and a bad move are on the way:
// the moves go on, the veto spreads, and the reports come after the outage.
func (d *drill) platformOut(ctx context.Context) error {
	by := time.Now().Add(window)
	head, err := d.startMoves(ctx, rulesText(moveTo("v2", "v1", by), moveTo("bad", "v1", by)))
	if err != nil {
		return err
	}
	time.Sleep(cutAfter)
	d.c.CutPlatform()
	err = d.c.WaitFor(ctx, window, "the bad version has no share on any host", func() bool {
		return d.everyMove(ctx, "bad", func(m *opapi.MoveStatus) bool { return m.State == "taken-back" && m.Share == 0 })
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(d.out, "platform_out_taken_back_s=%.1f\n", time.Since(head.AcceptedAt).Seconds())
	err = d.c.WaitFor(ctx, time.Until(by)+time.Second, "the good version has the full share on all hosts", func() bool {
		return d.everyMove(ctx, "v2", func(m *opapi.MoveStatus) bool { return m.Share == 1 })
	})
	if err != nil {
		return err
	}
	if kinds, err := d.reports(ctx, "v2"); err != nil || slices.Contains(kinds, source.ReportDone) {
		return fmt.Errorf("reports %v during the outage, error %w", kinds, err)
	}
	if wait := time.Until(by); wait > 0 {
		time.Sleep(wait)
	}
	d.c.HealPlatform()
	healed := time.Now()
	if err := d.waitReport(ctx, "v2", source.ReportDone); err != nil {
		return err
	}
	if err := d.waitReport(ctx, "bad", source.ReportTakenBack); err != nil {
		return err
	}
	fmt.Fprintf(d.out, "platform_out_reports_after_healing_s=%.1f\n", time.Since(healed).Seconds())
	return nil
}

// dataCentreCut cuts a data centre off from the others during a good move: the
// move goes on everywhere, and the report waits for the data centre.
func (d *drill) dataCentreCut(ctx context.Context) error {
	by := time.Now().Add(window)
	if _, err := d.startMoves(ctx, rulesText(moveTo("v3", "v2", by), "v1")); err != nil {
		return err
	}
	time.Sleep(cutAfter)
	d.c.CutDataCentre(southern)
	err := d.c.WaitFor(ctx, window+time.Second, "the version has the full share on all hosts", func() bool {
		return d.everyMove(ctx, "v3", func(m *opapi.MoveStatus) bool { return m.Share == 1 })
	})
	if err != nil {
		return err
	}
	if err := d.waitReport(ctx, "v3", source.ReportWaiting); err != nil {
		return err
	}
	if wait := time.Until(by); wait > 0 {
		time.Sleep(wait)
	}
	if kinds, err := d.reports(ctx, "v3"); err != nil || slices.Contains(kinds, source.ReportDone) {
		return fmt.Errorf("reports %v while a data centre is out of reach, error %w", kinds, err)
	}
	d.c.HealDataCentre(southern)
	healed := time.Now()
	if err := d.waitReport(ctx, "v3", source.ReportDone); err != nil {
		return err
	}
	fmt.Fprintf(d.out, "data_centre_cut_report_after_healing_s=%.1f\n", time.Since(healed).Seconds())
	return nil
}

func (d *drill) startMoves(ctx context.Context, text string) (source.Head, error) {
	head, err := d.c.Accept(ctx, text)
	if err != nil {
		return head, err
	}
	return head, d.c.WaitFor(ctx, 9*time.Second, "moves are in force on all nodes", func() bool {
		return d.c.InForce(ctx, head.Revision, d.c.Nodes)
	})
}

// everyMove reports whether the move to a version is as wanted on all hosts.
func (d *drill) everyMove(ctx context.Context, to mesh.TargetVersion, wanted func(*opapi.MoveStatus) bool) bool {
	for _, n := range d.c.Nodes {
		s, err := n.Status(ctx)
		if err != nil {
			return false
		}
		i := slices.IndexFunc(s.Moves, func(m opapi.MoveStatus) bool { return m.To == to })
		if i < 0 || !wanted(&s.Moves[i]) {
			return false
		}
	}
	return true
}

// reports returns the kinds of reports that exist for the move to a version.
func (d *drill) reports(ctx context.Context, to mesh.TargetVersion) ([]source.ReportKind, error) {
	reports, err := d.c.Source().Reports(ctx)
	var kinds []source.ReportKind
	for _, r := range reports {
		if r.Version == to {
			kinds = append(kinds, r.Kind)
		}
	}
	return kinds, err
}

// waitReport waits for a kind of report for the move to a version.
func (d *drill) waitReport(ctx context.Context, to mesh.TargetVersion, kind source.ReportKind) error {
	return d.c.WaitFor(ctx, reportLimit, fmt.Sprintf("report %s for version %s", kind, to), func() bool {
		kinds, err := d.reports(ctx, to)
		return err == nil && slices.Contains(kinds, kind)
	})
}

// check compares what callers were told with what the targets ran, and looks
// for hosts that went back to an older version.
func (d *drill) check(r *loadgen.Result) error {
	runs, err := d.c.Runs()
	if err != nil {
		return err
	}
	broken := loadgen.CheckRuns(r.Orders, runs)
	older := d.c.CountDowngrades()
	fmt.Fprintf(d.out, "calls=%d\nok_share=%.4f\npromises_broken=%d\nolder_served=%d\n",
		r.Sent, float64(r.Counts[loadgen.OK])/float64(r.Sent), len(broken), older)
	if len(broken) > 0 || older > 0 {
		return errors.New("a promise was broken: " + fmt.Sprint(broken))
	}
	return nil
}
