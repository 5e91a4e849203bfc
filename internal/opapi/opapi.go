// Package opapi defines the operator API of a node over HTTP: the JSON types and
// a client.
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

// Paths of the operator API.
const (
	StatusPath = "/status" // GET: the node's Status
	PollPath   = "/poll"   // POST: poll the head now
)

// maxResponseSize limits a status response. The record of a host takes about
// 1 KiB, so that the status of 2,200 hosts fits with a wide margin.
const maxResponseSize = 32 << 20 // bytes

// Status is a node's view of itself and of the mesh.
type Status struct {
	Host       mesh.HostID        `json:"host"`
	DataCentre mesh.DataCentre    `json:"data_centre"`
	Ready      bool               `json:"ready"`
	Draining   bool               `json:"draining"`
	Version    mesh.ConfigVersion `json:"version"` // in force on this node
	Head       source.Head        `json:"head"`    // the newest head received by this node
	Hosts      []membership.Host  `json:"hosts"`
	Rules      []string           `json:"rules"` // in force on this node, formatted as lines of a rules file
	Moves      []MoveStatus       `json:"moves"`
	Vetoes     []source.Veto      `json:"vetoes"`
}

// MoveStatus is one node's view of a move.
type MoveStatus struct {
	Move    mesh.MoveID        `json:"move"`
	Route   string             `json:"route"`
	Service mesh.ServiceName   `json:"service"`
	From    mesh.TargetVersion `json:"from"`
	To      mesh.TargetVersion `json:"to"`
	Share   float64            `json:"share"` // share of the new version, from 0 to 1
	State   string             `json:"state"`
	By      time.Time          `json:"by"`
}

// Serves reports whether an alive or suspect host has a target of the service
// version that accepts calls or is starting.
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

// Client is a client of one node's operator API.
type Client struct {
	sling *sling.Sling
	http  *http.Client
	url   string
}

// NewClient returns a client of the node whose operator address is baseURL, for
// example "http://127.0.0.1:8082".
func NewClient(baseURL string, httpClient *http.Client) *Client {
	return &Client{sling: sling.New().Base(baseURL), http: httpClient, url: baseURL}
}

// Status returns the status of the node.
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
		return Status{}, fmt.Errorf("node %s: status request returned %s", c.url, resp.Status)
	}
	var s Status
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseSize)).Decode(&s); err != nil {
		return Status{}, eris.Wrapf(err, "node %s: decode status", c.url)
	}
	return s, nil
}

// Poll requests the node to poll the head now. It does not wait for the result.
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
		return fmt.Errorf("node %s: poll request returned %s", c.url, resp.Status)
	}
	return nil
}
