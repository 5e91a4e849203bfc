package cluster

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"nutmeghoist.example/nutmeghoist/internal/opapi"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// Node is one nutmeghoistd process.
type Node struct {
	*Process
	ID         mesh.HostID
	DataCentre mesh.DataCentre
	IP         string

	dataCentreIndex int
}

// CallerURL returns the URL at which callers reach the node.
func (n *Node) CallerURL() string { return "http://" + n.IP + ":8080" }

// AnnounceURL returns the URL at which targets announce themselves.
func (n *Node) AnnounceURL() string { return "http://" + n.IP + ":8081" }

// OperatorURL returns the URL at which operators reach the node.
func (n *Node) OperatorURL() string { return "http://" + n.IP + ":8082" }

// Status reads the node's status.
func (n *Node) Status(ctx context.Context) (opapi.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	return opapi.NewClient(n.OperatorURL(), http.DefaultClient).Status(ctx)
}

// Metrics reads the node's metrics in the Prometheus text format and returns the
// value of each series.
func (n *Node) Metrics(ctx context.Context) (map[string]float64, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, n.OperatorURL()+"/metrics", nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("metrics of host %s: %w", n.ID, err)
	}
	defer resp.Body.Close()
	series := map[string]float64{}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		name, value, found := strings.Cut(lines.Text(), " ")
		if v, err := strconv.ParseFloat(value, 64); found && err == nil {
			series[name] = v
		}
	}
	return series, lines.Err()
}

func reachable(url string) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get(url)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
