package cluster

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"

	"nutmeghoist.example/nutmeghoist/internal/standin"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// Target is the process of one stand-in for a target.
type Target struct {
	*Process
	ID             mesh.TargetID
	Node           *Node
	Version        mesh.ServiceVersion
	Address        string // of calls
	controlAddress string // of control paths, which the faults of the call address do not affect
}

// StartTarget starts a target on a node's host. The extra flags follow the others.
func (c *Cluster) StartTarget(n *Node, v mesh.ServiceVersion, slots, connections int, extra ...string) (*Target, error) {
	port := 9000
	for _, t := range c.Targets {
		if t.Node == n {
			port += 10
		}
	}
	t := &Target{
		Node: n, Version: v, ID: mesh.TargetID(fmt.Sprintf("%s-%s", v.Service, v.Version)),
		Address: fmt.Sprintf("%s:%d", n.IP, port), controlAddress: fmt.Sprintf("%s:%d", n.IP, port+1),
	}
	t.Process = c.newProcess(fmt.Sprintf("%s-%s", n.ID, t.ID), "nutmeghoist-target", append([]string{
		"--id", string(t.ID), "--service", string(v.Service), "--target-version", string(v.Version),
		"--address", t.Address, "--control-address", t.controlAddress, "--node", n.AnnounceURL(), "--print-runs",
		"--slots", fmt.Sprint(slots), "--connections", fmt.Sprint(connections),
	}, extra...))
	if err := t.Start(); err != nil {
		return nil, err
	}
	c.Targets = append(c.Targets, t)
	return t, nil
}

// SetFaults replaces the faults of the target.
func (t *Target) SetFaults(ctx context.Context, f standin.Faults) error {
	body, err := json.Marshal(f)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+t.controlAddress+"/faults", bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("faults of target %s: %w", t.ID, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("faults of target %s: refused with status %d", t.ID, resp.StatusCode)
	}
	return nil
}

// Runs returns how often the target ran each order, also in processes that were
// killed.
func (t *Target) Runs() (map[string]int, error) {
	f, err := os.Open(t.stdoutPath())
	if err != nil {
		return nil, err
	}
	defer f.Close()
	runs := map[string]int{}
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		runs[lines.Text()]++
	}
	return runs, lines.Err()
}

// Runs returns how often all targets together ran each order.
func (c *Cluster) Runs() (map[string]int, error) {
	total := map[string]int{}
	for _, t := range c.Targets {
		runs, err := t.Runs()
		if err != nil {
			return nil, err
		}
		for order, n := range runs {
			total[order] += n
		}
	}
	return total, nil
}
