// Package opapi defines the HTTP interface between a node and its operators'
// tool: the JSON types and the client.
package opapi

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/dghubble/sling"
	"github.com/rotisserie/eris"

	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/source"
)

// Paths at a node's operators' address.
const (
	StatusPath = "/status" // GET: the node's Status
	PollPath   = "/poll"   // POST: read the head now instead of at the next poll
)

// maxResponseSize bounds a status. A record of a host takes about 1 KiB, so
// that the status of 2,200 hosts fits with a wide margin.
const maxResponseSize = 32 << 20 // bytes

// Status is what a node knows of itself and of the mesh.
type Status struct {
	Host       mesh.HostID        `json:"host"`
	DataCentre mesh.DataCentre    `json:"data_centre"`
	Ready      bool               `json:"ready"`
	Draining   bool               `json:"draining"`
	Version    mesh.ConfigVersion `json:"version"` // in force on this node
	Head       source.Head        `json:"head"`    // the newest head this node has heard of
	Hosts      []membership.Host  `json:"hosts"`
	Rules      []string           `json:"rules"` // in force on this node, as lines of a rules file
	Moves      []MoveStatus       `json:"moves"`
	Vetoes     []source.Veto      `json:"vetoes"`
}

// MoveStatus is a move as one node sees it.
type MoveStatus struct {
	Move    mesh.MoveID        `json:"move"`
	Route   string             `json:"route"`
	Service mesh.ServiceName   `json:"service"`
	From    mesh.TargetVersion `json:"from"`
	To      mesh.TargetVersion `json:"to"`
	Share   float64            `json:"share"` // of the new version, from 0 to 1
	State   string             `json:"state"`
	By      time.Time          `json:"by"`
}

// Serves reports whether a live host has a target of the service version that
// takes work or is about to.
func (s *Status) Serves(v mesh.ServiceVersion) bool {
	for _, h := range s.Hosts {
		if h.Status != membership.StatusAlive && h.Status != membership.StatusSuspect {
			continue
		}
		for _, t := range h.Targets {
			if t.State != membership.TargetDraining && t.Service == v.Service && t.Version == v.Version {
				return true
			}
		}
	}
	return false
}

// Client asks one node.
type Client struct {
	sling *sling.Sling
	http  *http.Client
	url   string
}

// NewClient returns a client of the node whose operators' address is baseURL,
// for example "http://127.0.0.1:8082".
func NewClient(baseURL string, httpClient *http.Client) *Client {
	return &Client{sling: sling.New().Base(baseURL), http: httpClient, url: baseURL}
}

// Status reads the status of the node.
func (c *Client) Status(ctx context.Context) (Status, error) {
	req, err := c.sling.New().Get(StatusPath).Request()
	if err != nil {
		return Status{}, eris.Wrapf(err, "node %s", c.url)
	}
	resp, err := c.http.Do(req.WithContext(ctx))
	if err != nil {
		return Status{}, eris.Wrapf(err, "node %s", c.url)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return Status{}, fmt.Errorf("node %s: status answers %s", c.url, resp.Status)
	}
	var s Status
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseSize)).Decode(&s); err != nil {
		return Status{}, eris.Wrapf(err, "node %s: status", c.url)
	}
	return s, nil
}

// Poll makes the node read the head now.
func (c *Client) Poll(ctx context.Context) error {
	req, err := c.sling.New().Post(PollPath).Request()
	if err != nil {
		return eris.Wrapf(err, "node %s", c.url)
	}
	resp, err := c.http.Do(req.WithContext(ctx))
	if err != nil {
		return eris.Wrapf(err, "node %s", c.url)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusAccepted {
		return fmt.Errorf("node %s: poll answers %s", c.url, resp.Status)
	}
	return nil
}
