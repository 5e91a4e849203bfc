// Package demo runs the system end to end in separate processes: an edited rules
// file is checked, accepted and put in force, calls reach targets of the right
// version, one move is done and one is taken back, and all processes stop
// gracefully.
package demo

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"nutmeghoist.example/nutmeghoist/internal/bench/cluster"
	"nutmeghoist.example/nutmeghoist/internal/loadgen"
	"nutmeghoist.example/nutmeghoist/internal/standin"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

const (
	slots       = 12
	connections = 130
	// moveWindow is the time from accepting a move to its end; the minimum is 30 s.
	moveWindow = 34 * time.Second
	loadRate   = 200 // calls per second over all nodes
)

const faultyRules = `route GET /menus to orderdesk tray-1
route GET menus to orderdesk tray-1                    # Oyuna: path without slash
route FETCH /orders to orderdesk tray-1                # Oyuna: no such method
route POST /orders to orderdesk tray-1 timeout soon    # Oyuna: no such duration
route GET /pantry to galley g-7 class slow             # Bat-Erdene: no such class
`

type demo struct {
	cluster   *cluster.Cluster
	out       io.Writer
	rulesPath string
}

// Run runs the demo with the programs in binDir and writes its progress to out.
func Run(ctx context.Context, binDir string, out io.Writer) error {
	c, err := cluster.Start(ctx, cluster.Options{BinDir: binDir, DataCentres: []mesh.DataCentre{"north", "south"}, Hosts: 2})
	if err != nil {
		return err
	}
	defer c.Close()
	d := &demo{cluster: c, out: out, rulesPath: filepath.Join(c.Dir, "rules.txt")}
	for _, step := range []func(context.Context) error{
		d.startTargets, d.checkFaultyRules, d.applyFirstRules, d.sendFirstOrders, d.runMoves, d.stop,
	} {
		if err := step(ctx); err != nil {
			d.printf("FAILED: %v", err)
			return err
		}
	}
	return nil
}

func (d *demo) printf(format string, args ...any) { fmt.Fprintf(d.out, format+"\n", args...) }

// startTargets starts the stand-ins of three versions of orderdesk and one of galley.
func (d *demo) startTargets(ctx context.Context) error {
	d.printf("2 data centres with 2 hosts each are running")
	for _, n := range d.cluster.Nodes {
		for _, v := range []mesh.ServiceVersion{
			{Service: "orderdesk", Version: "tray-1"},
			{Service: "orderdesk", Version: "tray-2"},
			{Service: "orderdesk", Version: "tray-3"},
			{Service: "galley", Version: "g-7"},
		} {
			t, err := d.cluster.StartTarget(n, v, slots, connections)
			if err != nil {
				return err
			}
			if v.Version != "tray-3" {
				continue
			}
			if err := d.injectFailures(ctx, t); err != nil {
				return err
			}
		}
	}
	return d.cluster.WaitFor(ctx, 20*time.Second, "all targets are ready on all nodes", func() bool { return d.cluster.AllTargetsReady(ctx) })
}

// injectFailures makes a target fail half of its calls.
func (d *demo) injectFailures(ctx context.Context, t *cluster.Target) error {
	return d.cluster.WaitFor(ctx, 5*time.Second, "faults are set", func() bool {
		return t.SetFaults(ctx, standin.Faults{FailShare: 0.5}) == nil
	})
}

func (d *demo) runCtl(ctx context.Context, args ...string) (string, error) {
	args = append([]string{"--platform", d.cluster.PlatformURL(), "--node", d.cluster.Nodes[0].OperatorURL(), "--author", "demo"}, args...)
	out, err := exec.CommandContext(ctx, filepath.Join(d.cluster.Options.BinDir, "nutmeghoistctl"), args...).CombinedOutput()
	return string(out), err
}

func (d *demo) checkFaultyRules(ctx context.Context) error {
	if err := os.WriteFile(d.rulesPath, []byte(faultyRules), 0o600); err != nil {
		return err
	}
	out, err := d.runCtl(ctx, "check", d.rulesPath)
	if err == nil {
		return errors.New("check of a faulty file passed")
	}
	if n := strings.Count(out, d.rulesPath+":"); n != 5 {
		return fmt.Errorf("check of a file with 5 faults printed %d findings:\n%s", n, out)
	}
	d.printf("nutmeghoistctl check finds all 5 faults of a faulty file:\n%s", strings.TrimSpace(out))
	return nil
}

// apply writes the rules, applies them and waits until they are in force.
func (d *demo) apply(ctx context.Context, rules string) error {
	if err := os.WriteFile(d.rulesPath, []byte(rules), 0o600); err != nil {
		return err
	}
	before := len(d.cluster.Activations())
	start := time.Now()
	out, err := d.runCtl(ctx, "apply", d.rulesPath)
	if err != nil {
		return fmt.Errorf("apply: %w\n%s", err, out)
	}
	accepted := time.Now()
	err = d.cluster.WaitFor(ctx, 9*time.Second, "rules are in force on all nodes", func() bool {
		return len(d.cluster.Activations()) >= before+len(d.cluster.Nodes)
	})
	if err != nil {
		return err
	}
	last := d.cluster.Activations()[len(d.cluster.Activations())-1]
	d.printf("applied in %d ms; version %s in force on all nodes %d ms later", accepted.Sub(start).Milliseconds(), last.Version, last.At.Sub(accepted).Milliseconds())
	return nil
}

func rulesText(menus, orders string) string {
	return fmt.Sprintf(`route GET /menus to orderdesk %s # Oyuna: tray menus
route POST /orders to orderdesk %s class urgent timeout 3s # Oyuna: orders first
route GET,POST /pantry to galley g-7 class background # Bat-Erdene: tallies may wait
`, menus, orders)
}

func (d *demo) applyFirstRules(ctx context.Context) error {
	if err := d.apply(ctx, rulesText("tray-1", "tray-1")); err != nil {
		return err
	}
	return d.cluster.WaitFor(ctx, 5*time.Second, "nodes are ready", d.cluster.Ready)
}

// sendFirstOrders sends an order through a node of each data centre.
func (d *demo) sendFirstOrders(ctx context.Context) error {
	for i, n := range []*cluster.Node{d.cluster.Nodes[0], d.cluster.Nodes[len(d.cluster.Nodes)-1]} {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, n.CallerURL()+"/orders", bytes.NewReader([]byte("two trays")))
		if err != nil {
			return err
		}
		req.Header.Set("Order-Number", fmt.Sprintf("first-%d", i))
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return err
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil || resp.StatusCode != http.StatusOK || !strings.Contains(string(body), "tray-1") {
			return fmt.Errorf("order through %s: status %d, body %.200q, error %w", n.ID, resp.StatusCode, body, err)
		}
		d.printf("order first-%d through %s in %s: status %d from tray-1", i, n.ID, n.DataCentre, resp.StatusCode)
	}
	return nil
}

// runMoves moves one route to a good version and one to a bad version under load.
func (d *demo) runMoves(ctx context.Context) error {
	by := time.Now().Add(moveWindow).UTC().Truncate(time.Second)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type outcome struct {
		result loadgen.Result
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		r, err := loadgen.Run(ctx, d.loadOptions())
		done <- outcome{r, err}
	}()
	move := func(to string) string { return fmt.Sprintf("%s from tray-1 by %s", to, by.Format(time.RFC3339)) }
	if err := d.apply(ctx, rulesText(move("tray-2"), move("tray-3"))); err != nil {
		return err
	}
	reports := func() string { out, _ := d.runCtl(ctx, "reports"); return out }
	err := d.cluster.WaitFor(ctx, moveWindow, "report that tray-3 is taken back", func() bool {
		time.Sleep(500 * time.Millisecond)
		return strings.Contains(reports(), "taken-back")
	})
	if err != nil {
		return err
	}
	d.printf("tray-3 was taken back %s before the end of its move", time.Until(by).Round(time.Second))
	err = d.cluster.WaitFor(ctx, moveWindow+10*time.Second, "report that tray-2 is done", func() bool {
		time.Sleep(500 * time.Millisecond)
		return strings.Contains(reports(), "done")
	})
	if err != nil {
		return err
	}
	d.printf("the move to tray-2 was done in time; the reports:\n%s", strings.TrimSpace(reports()))
	cancel()
	o := <-done
	return d.checkLoad(o.result)
}

func (d *demo) loadOptions() loadgen.Options {
	o := loadgen.Options{
		Rate: loadRate, Duration: 3 * time.Minute, Seed: 1, OrderPrefix: "demo", KeepOutcomes: true,
		Mix: []loadgen.Kind{
			{Method: "GET", Path: "/menus", Weight: 5},
			{Method: "POST", Path: "/orders", Weight: 4, BodySize: 200},
			{Method: "GET", Path: "/pantry", Weight: 1},
		},
	}
	for _, n := range d.cluster.Nodes {
		o.Nodes = append(o.Nodes, n.CallerURL())
	}
	return o
}

// checkLoad compares the outcomes that callers saw with the runs of the targets.
func (d *demo) checkLoad(r loadgen.Result) error {
	runs, err := d.cluster.Runs()
	if err != nil {
		return err
	}
	if violations := loadgen.CheckRuns(r.Orders, runs); len(violations) > 0 {
		return fmt.Errorf("%d guarantees to callers violated, the first: %s", len(violations), violations[0])
	}
	if r.Counts[loadgen.Short]+r.Counts[loadgen.Foreign] > 0 {
		return fmt.Errorf("short or foreign answers: %v", r.BadAnswers)
	}
	d.printf("%d calls: %v by outcome, %v by version; no order ran twice", r.Sent, r.Counts, r.Versions)
	return nil
}

func (d *demo) stop(context.Context) error {
	if err := d.cluster.Stop(); err != nil {
		return err
	}
	d.printf("all processes stopped gracefully")
	return nil
}
