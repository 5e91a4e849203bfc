package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/olekukonko/tablewriter"

	"nutmeghoist.example/nutmeghoist/internal/opapi"
	"nutmeghoist.example/nutmeghoist/pkg/membership"
)

type outputOption struct {
	Output string `long:"output" env:"NUTMEGHOIST_OUTPUT" default:"table" choice:"table" choice:"json" description:"output format"`
}

// printJSON writes a JSON value on one line.
func printJSON(w io.Writer, v any) error { return json.NewEncoder(w).Encode(v) }

func printTable(w io.Writer, header []string, rows [][]string) error {
	if len(rows) == 0 {
		return nil
	}
	t := tablewriter.NewTable(w)
	t.Header(header)
	if err := t.Bulk(rows); err != nil {
		return err
	}
	return t.Render()
}

type statusCommand struct {
	*app `no-flag:"true"`
	outputOption
	Rules   bool   `long:"rules" description:"also show the lines of the rules in force"`
	Metrics string `long:"metrics" env:"NUTMEGHOIST_METRICS" description:"URL of a node's metrics, as http://IP:port/metrics; shows them instead of the status"`
}

// Execute shows the status of the node.
func (c *statusCommand) Execute([]string) error {
	ctx, cancel := c.withTimeout()
	defer cancel()
	if c.Metrics != "" {
		return c.showMetrics(ctx)
	}
	if c.Node == "" {
		return &usageError{"neither --node (NUTMEGHOIST_NODE) nor --metrics (NUTMEGHOIST_METRICS) is set"}
	}
	s, err := c.nodeStatus(ctx)
	if err != nil {
		return err
	}
	if c.Output == "json" {
		return printJSON(c.Out, s)
	}
	if err := printStatus(c.Out, s); err != nil || !c.Rules {
		return err
	}
	for _, line := range s.Rules {
		fmt.Fprintln(c.Out, line)
	}
	return nil
}

func printStatus(w io.Writer, s *opapi.Status) error {
	fmt.Fprintf(w, "host %s in %s: ready=%t draining=%t\n", s.Host, s.DataCentre, s.Ready, s.Draining)
	if s.Head.Revision == 0 {
		fmt.Fprintln(w, "the node has no revision yet")
	} else {
		fmt.Fprintf(w, "version in force %s; head is revision %d by %s, accepted %s\n", s.Version, s.Head.Revision, s.Head.Author, s.Head.AcceptedAt.Format(time.RFC3339))
	}
	var moves, vetoes, hosts [][]string
	for _, m := range s.Moves {
		moves = append(moves, []string{
			m.Route, string(m.Service), string(m.From), string(m.To),
			strconv.FormatFloat(100*m.Share, 'f', 0, 64) + "%", m.State, m.By.Format(time.RFC3339),
		})
	}
	for _, v := range s.Vetoes {
		vetoes = append(vetoes, []string{string(v.Service), string(v.Version), strconv.Itoa(v.Attempt), v.Route, v.At.Format(time.RFC3339), v.Evidence})
	}
	for _, h := range s.Hosts {
		hosts = append(hosts, []string{string(h.ID), string(h.DataCentre), statusName(h.Status), strconv.Itoa(len(h.Targets)), targetSummary(h.Targets)})
	}
	for _, t := range []struct {
		header []string
		rows   [][]string
	}{
		{[]string{"Route", "Service", "From", "To", "Share", "State", "By"}, moves},
		{[]string{"Service", "Taken back", "Attempt", "Route", "At", "Evidence"}, vetoes},
		{[]string{"Host", "Data centre", "Status", "Targets", "Versions"}, hosts},
	} {
		if err := printTable(w, t.header, t.rows); err != nil {
			return err
		}
	}
	return nil
}

func statusName(s membership.Status) string {
	switch s {
	case membership.StatusAlive:
		return "alive"
	case membership.StatusSuspect:
		return "suspect"
	case membership.StatusLeaving:
		return "leaving"
	case membership.StatusFailed:
		return "failed"
	case membership.StatusLeft:
		return "left"
	}
	return fmt.Sprintf("status(%d)", s)
}

// targetSummary lists the distinct service versions of a host's targets.
func targetSummary(targets []membership.Target) string {
	text := ""
	seen := map[string]bool{}
	for _, t := range targets {
		name := string(t.Service) + "@" + string(t.Version)
		if t.State == membership.TargetDraining {
			name += " (draining)"
		}
		if seen[name] {
			continue
		}
		seen[name] = true
		if text != "" {
			text += ", "
		}
		text += name
	}
	return text
}
