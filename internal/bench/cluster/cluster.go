// Package cluster starts a mesh of separate processes on loopback addresses for
// the demo and the measurements, and injects faults into it.
package cluster

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"

	"nutmeghoist.example/nutmeghoist/internal/bench/relay"
	"nutmeghoist.example/nutmeghoist/internal/tlskeys"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// PlatformZone is the zone of the platform in the relay.
const PlatformZone relay.Zone = "platform"

// Addresses are 127.<subnet>.<data centre>.<host>. In place of the number of the
// data centre, the relay listens at that number + relayOffset for the nodes and at
// platformOffset for the platform.
const (
	relayOffset    = 100
	platformOffset = 200
	maxDataCentres = 50
	maxHosts       = 250
)

// Options describe a mesh.
type Options struct {
	BinDir        string // directory of the built programs
	DataCentres   []mesh.DataCentre
	Hosts         int      // in each data centre
	Direct        bool     // connect nodes without the relay, which adds latency
	PlatformFlags []string // extra flags of the platform stand-in
	NodeFlags     []string // extra flags of all nodes
}

// Cluster is a running mesh.
type Cluster struct {
	Options  Options
	Dir      string // logs and keys
	Relay    *relay.Relay
	Platform *Process
	Nodes    []*Node
	Targets  []*Target

	subnet      byte
	cancel      context.CancelFunc
	mu          sync.Mutex
	activations []Activation
}

// Start starts the platform and the nodes, and waits until the nodes are live.
func Start(ctx context.Context, o Options) (*Cluster, error) {
	if len(o.DataCentres) > maxDataCentres || o.Hosts > maxHosts {
		return nil, fmt.Errorf("%d data centres with %d hosts are too many", len(o.DataCentres), o.Hosts)
	}
	dir, err := os.MkdirTemp("", "nutmeghoist-")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	c := &Cluster{Options: o, Dir: dir, subnet: freeSubnet(), cancel: cancel}
	c.Relay = relay.New(c.zoneOf)
	if err := c.start(ctx); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// freeSubnet returns the second byte of the addresses. The search starts from
// the process ID, so that two meshes on one machine get different subnets, and
// skips subnets on which a mesh still runs, for example after its run was killed.
func freeSubnet() byte {
	const first, count = 16, 200
	for i := range count {
		n := byte(first + (os.Getpid()+i)%count)
		if l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.1:8500", n, platformOffset)); err == nil {
			_ = l.Close()
			return n
		}
	}
	return first
}

func (c *Cluster) start(ctx context.Context) error {
	if err := c.startPlatform(ctx); err != nil {
		return err
	}
	ca, err := tlskeys.NewCA("bench", 24*time.Hour)
	if err != nil {
		return err
	}
	if err := ca.Write(c.path("ca.pem"), c.path("ca-key.pem")); err != nil {
		return err
	}
	for i, dc := range c.Options.DataCentres {
		for h := range c.Options.Hosts {
			n := &Node{DataCentre: dc, dataCentreIndex: i, ID: mesh.HostID(fmt.Sprintf("%s-%d", dc, h+1)), IP: c.ip(i+1, h+1)}
			if err := c.prepareNode(ctx, ca, n, c.ip(relayOffset+i+1, h+1)); err != nil {
				return err
			}
			c.Nodes = append(c.Nodes, n)
		}
	}
	for _, n := range c.Nodes {
		if err := n.Start(); err != nil {
			return err
		}
	}
	return c.WaitFor(ctx, 20*time.Second, "nodes are live", func() bool {
		for _, n := range c.Nodes {
			if !n.Running() || !reachable(n.OperatorURL()+"/live") {
				return false
			}
		}
		return true
	})
}

func (c *Cluster) startPlatform(ctx context.Context) error {
	address := c.ip(platformOffset, 1) + ":8500"
	c.Platform = c.newProcess("platform", "nutmeghoist-platform", append([]string{"--address", address}, c.Options.PlatformFlags...))
	if err := c.Platform.Start(); err != nil {
		return err
	}
	for i := range c.Options.DataCentres {
		if err := c.Relay.ForwardTCP(ctx, c.platformAddress(i), address, PlatformZone); err != nil {
			return err
		}
	}
	return c.WaitFor(ctx, 5*time.Second, "platform is up", func() bool {
		return c.Platform.Running() && reachable(c.PlatformURL()+"/stats")
	})
}

// platformAddress returns the relay address at which data centre i reaches the
// platform.
func (c *Cluster) platformAddress(i int) string { return c.ip(platformOffset, 10+i) + ":8500" }

// PlatformURL returns the URL at which operators reach the platform without the
// relay.
func (c *Cluster) PlatformURL() string { return "http://" + c.ip(platformOffset, 1) + ":8500" }

// prepareNode creates the keys, the relay addresses and the process of a node.
// Hosts of the same data centre also connect through the relay, so that their
// connections can be silenced.
func (c *Cluster) prepareNode(ctx context.Context, ca *tlskeys.CA, n *Node, relayIP string) error {
	cert, key := c.path(string(n.ID)+".pem"), c.path(string(n.ID)+"-key.pem")
	if err := ca.IssueHostCertificate(n.ID, []net.IP{net.ParseIP(n.IP)}, 24*time.Hour, cert, key); err != nil {
		return err
	}
	seed := c.ip(relayOffset+1, 1)
	if c.Options.Direct {
		relayIP, seed = n.IP, c.ip(1, 1)
	} else if err := c.forwardNode(ctx, n, relayIP); err != nil {
		return err
	}
	n.Process = c.newProcess(string(n.ID), "nutmeghoistd", append([]string{
		"--host", string(n.ID), "--data-centre", string(n.DataCentre),
		"--caller-address", n.IP + ":8080", "--announce-address", n.IP + ":8081", "--operator-address", n.IP + ":8082",
		"--call-address", n.IP + ":8443", "--peer-address", n.IP + ":8444",
		"--advertise-call-address", relayIP + ":8443", "--advertise-peer-address", relayIP + ":8444",
		"--platform", "http://" + c.platformAddress(n.dataCentreIndex), "--seeds", seed + ":8444",
		"--ca-file", c.path("ca.pem"), "--cert-file", cert, "--key-file", key,
	}, c.Options.NodeFlags...))
	return nil
}

func (c *Cluster) forwardNode(ctx context.Context, n *Node, relayIP string) error {
	zone := relay.Zone(n.DataCentre)
	if err := c.Relay.ForwardTCP(ctx, relayIP+":8443", n.IP+":8443", zone); err != nil {
		return err
	}
	return c.Relay.ForwardUDP(relayIP+":8444", n.IP+":8444", zone)
}

func (c *Cluster) ip(dc, host int) string { return fmt.Sprintf("127.%d.%d.%d", c.subnet, dc, host) }

func (c *Cluster) path(name string) string { return filepath.Join(c.Dir, name) }

func (c *Cluster) binPath(name string) string { return filepath.Join(c.Options.BinDir, name) }

// zoneOf returns the data centre of a source address. Nodes connect to the
// platform from any address, so those flows have no data centre; see CutPlatform.
func (c *Cluster) zoneOf(addr netip.Addr) relay.Zone {
	b := addr.As4()
	if i := int(b[2]) - 1; b[1] == c.subnet && i >= 0 && i < len(c.Options.DataCentres) {
		return relay.Zone(c.Options.DataCentres[i])
	}
	return ""
}

// CutPlatform partitions all data centres from the platform.
func (c *Cluster) CutPlatform() { c.Relay.Cut("", PlatformZone) }

// HealPlatform ends CutPlatform.
func (c *Cluster) HealPlatform() { c.Relay.Heal("", PlatformZone) }

// CutDataCentre partitions a data centre from all others.
func (c *Cluster) CutDataCentre(dc mesh.DataCentre) { c.forEachOther(dc, c.Relay.Cut) }

// HealDataCentre ends CutDataCentre.
func (c *Cluster) HealDataCentre(dc mesh.DataCentre) { c.forEachOther(dc, c.Relay.Heal) }

func (c *Cluster) forEachOther(dc mesh.DataCentre, f func(a, b relay.Zone)) {
	for _, other := range c.Options.DataCentres {
		if other != dc {
			f(relay.Zone(dc), relay.Zone(other))
		}
	}
}

// Ready reports whether all running nodes are ready to serve calls.
func (c *Cluster) Ready() bool {
	for _, n := range c.Nodes {
		if n.Running() && !reachable(n.OperatorURL()+"/ready") {
			return false
		}
	}
	return true
}

// WaitFor polls a condition and returns an error when it is not met within the
// limit.
func (c *Cluster) WaitFor(ctx context.Context, limit time.Duration, description string, condition func() bool) error {
	deadline := time.Now().Add(limit)
	for !condition() {
		if time.Now().After(deadline) {
			return fmt.Errorf("%s: condition not met within %s (logs in %s)", description, limit, c.Dir)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(20 * time.Millisecond):
		}
	}
	return nil
}

// Stop stops targets, nodes and the platform gracefully, in this order, and
// returns an error for each process that did not exit with code 0.
func (c *Cluster) Stop() error {
	var targets, nodes []*Process
	for _, t := range c.Targets {
		targets = append(targets, t.Process)
	}
	for _, n := range c.Nodes {
		nodes = append(nodes, n.Process)
	}
	return errors.Join(stopAll(targets), stopAll(nodes), stopAll([]*Process{c.Platform}))
}

func stopAll(processes []*Process) error {
	var errs []error
	for _, p := range processes {
		p.Terminate()
	}
	for _, p := range processes {
		errs = append(errs, p.Wait(20*time.Second))
	}
	return errors.Join(errs...)
}

// Close kills the processes that still run, and removes the logs and keys unless
// NUTMEGHOIST_KEEP_LOGS is set.
func (c *Cluster) Close() {
	for _, t := range c.Targets {
		t.Kill()
	}
	for _, n := range c.Nodes {
		n.Kill()
	}
	if c.Platform != nil {
		c.Platform.Kill()
	}
	c.Relay.Close()
	c.cancel()
	if os.Getenv("NUTMEGHOIST_KEEP_LOGS") == "" {
		_ = os.RemoveAll(c.Dir)
	}
}
