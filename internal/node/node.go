// Package node assembles the components of a node in one process.
package node

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"nutmeghoist.example/nutmeghoist/internal/announce"
	"nutmeghoist.example/nutmeghoist/internal/peer"
	"nutmeghoist.example/nutmeghoist/internal/proxy"
	"nutmeghoist.example/nutmeghoist/internal/settings"
	"nutmeghoist.example/nutmeghoist/internal/suspectstore"
	"nutmeghoist.example/nutmeghoist/internal/telemetry"
	"nutmeghoist.example/nutmeghoist/internal/tlskeys"
	"nutmeghoist.example/nutmeghoist/pkg/distribution"
	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/move"
	"nutmeghoist.example/nutmeghoist/pkg/platform"
	"nutmeghoist.example/nutmeghoist/pkg/snapshot"
	"nutmeghoist.example/nutmeghoist/pkg/source"
	"nutmeghoist.example/nutmeghoist/pkg/suspect"
	adapter "nutmeghoist.example/nutmeghoist/platform"
)

// Node is one node of the mesh. New builds it and Run operates it.
type Node struct {
	settings *settings.Settings
	log      *log.Logger
	metrics  metrics.Registry
	keys     *tlskeys.Keys

	table     platform.Table
	source    *source.Source
	members   *membership.Table
	transport *peer.Transport
	gossip    *distribution.Gossip
	targets   *announce.Registry
	proxy     *proxy.Proxy
	moves     *move.Controller
	active    snapshot.Holder
	suspects  *suspect.Table
	guilty    *suspectstore.Keeper

	controlClient *http.Client

	configMu   sync.Mutex
	revisions  snapshot.RevisionTracker
	newest     *candidate // the newest head received
	accepted   *accepted  // the last configuration that passed the check
	generation uint64     // of the last snapshot built

	fallback chan uint64 // revisions to try when the newest one is bad and none is in force
	// Each of these channels wakes one loop and has a buffer of one.
	vetoesChanged  chan struct{}
	targetsChanged chan struct{}
	pollNow        chan struct{}

	storedVetoesMu sync.Mutex
	storedVetoes   map[source.VetoKey]bool // vetoes whose row exists in the store
	// storedVetoesEra is the era of the platform's history to which storedVetoes applies.
	storedVetoesEra uint64

	rngMu sync.Mutex
	rng   *rand.Rand

	floorKnown atomic.Bool
	draining   atomic.Bool
}

// New builds a node from checked settings. It opens no listener yet.
func New(s *settings.Settings, logger *log.Logger, registry metrics.Registry) (*Node, error) {
	keys, err := tlskeys.Load(s.CAFile, s.CertFile, s.KeyFile)
	if err != nil {
		return nil, err
	}
	if keys.Host() != s.Host {
		return nil, fmt.Errorf("certificate %s is for host %q, the settings name host %q", s.CertFile, keys.Host(), s.Host)
	}
	if s.CRLFile != "" {
		if err := keys.LoadRevocations(s.CRLFile); err != nil {
			return nil, err
		}
	}
	client := adapter.NewStore(s.Platform, registry)
	n := &Node{
		settings: s, log: logger, metrics: registry, keys: keys,
		table: client, source: source.New(client, client.Objects()),
		fallback:       make(chan uint64, 16),
		vetoesChanged:  make(chan struct{}, 1),
		targetsChanged: make(chan struct{}, 1),
		pollNow:        make(chan struct{}, 1),
		storedVetoes:   map[source.VetoKey]bool{}, storedVetoesEra: platform.FirstEra,
		rng:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		suspects: suspect.NewTable(),
	}
	n.guilty = suspectstore.New(client, guiltyPrefix, n.suspects, logger)
	// The start time in milliseconds exceeds the incarnations of the host's
	// earlier processes, unless its clock was set back. In that case the node
	// raises its incarnation when a neighbour reports the higher one.
	n.members = membership.NewTable(membership.Host{
		ID: s.Host, DataCentre: s.DataCentre,
		PeerAddress: s.AdvertisePeer.String(), CallAddress: s.AdvertiseCall.String(),
		Incarnation: uint64(time.Now().UnixMilli()), Status: membership.StatusAlive,
	}, membership.Options{})
	if err := n.wireControl(); err != nil {
		return nil, err
	}
	n.wireCalls()
	return n, nil
}

func (n *Node) wireControl() error {
	var err error
	if n.transport, err = peer.New(n.peerConfig()); err != nil {
		return err
	}
	n.gossip, err = distribution.New(distribution.Config{
		Members: n.members, Transport: n.transport, Seeds: n.settings.Seeds,
		ActiveVersion: n.activeVersion, OnHead: n.handleHead, OnVeto: n.handleVeto, Fetch: n.source.Text,
		Suspects: n.suspects,
		OnFault:  n.logGossipFault, Counters: gossipCounters{n}, Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	if err != nil {
		return err
	}
	n.moves = move.NewController(move.Config{
		Self: n.settings.Host, DataCentre: n.settings.DataCentre, Instance: uint64(time.Now().UnixNano()),
		Hosts: n.liveHosts, MeshHosts: n.liveMeshHosts, OnVeto: n.publishVeto, OnFault: n.recordLateFault,
	})
	n.controlClient = &http.Client{Transport: &http.Transport{
		DialTLSContext:      n.dialControl,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     30 * time.Second,
	}}
	return nil
}

// dialer returns a dialer that binds connections to other nodes to this host's
// call address, so that filters between data centres can distinguish hosts.
func (n *Node) dialer() *net.Dialer {
	ip := n.settings.CallAddress.Addr()
	return &net.Dialer{Timeout: controlTimeout, LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(ip, 0))}
}

// dialControl opens a connection for control requests to another node.
func (n *Node) dialControl(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := n.dialer().DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	conf := n.keys.ClientConfig()
	conf.ServerName, _, _ = net.SplitHostPort(address)
	tc := tls.Client(c, conf)
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	if err := tc.HandshakeContext(ctx); err != nil {
		_ = c.Close() // the handshake error is returned
		return nil, err
	}
	return n.keys.Track(tc), nil
}

func (n *Node) wireCalls() {
	n.targets = announce.New(n.announceConfig())
	n.proxy = proxy.New(proxy.Config{
		Self: n.settings.Host, DataCentre: n.settings.DataCentre, Snapshot: n.active.Load,
		Chooser: n.moves, Observer: n.moves, Targets: n.targets, Suspects: n.suspects,
		PeerTLS: n.keys.ClientConfig(), TrackPeer: n.keys.Track, PeerSource: n.settings.CallAddress.Addr(), Metrics: n.metrics, Log: n.log,
	})
	telemetry.RegisterProcess(n.metrics)
	n.metrics.GetOrRegister("suspects.known", metrics.NewFunctionalGauge(func() int64 { return int64(n.suspects.Len()) }))
	for name, value := range map[string]func(peer.Stats) int64{
		"links.bytes_sent":     func(s peer.Stats) int64 { return int64(s.BytesSent) },
		"links.bytes_received": func(s peer.Stats) int64 { return int64(s.BytesReceived) },
		"links.open":           func(s peer.Stats) int64 { return int64(s.Connections) },
		"links.refused":        func(s peer.Stats) int64 { return s.Refused },
		"links.unauthorized":   func(s peer.Stats) int64 { return s.Unauthorized },
	} {
		n.metrics.GetOrRegister(name, metrics.NewFunctionalGauge(func() int64 { return value(n.transport.Stats()) }))
	}
}

// Run operates the node until the context ends and then stops it gracefully.
func (n *Node) Run(ctx context.Context) error {
	servers, err := n.listen()
	if err != nil {
		n.log.Error().Err(err).Msg("node failed")
		return err
	}
	// Links and control loops outlive ctx, so that the node can still announce
	// that it is leaving.
	loopCtx, stopLoops := context.WithCancel(context.WithoutCancel(ctx))
	defer stopLoops()
	var wg sync.WaitGroup
	run := func(f func(context.Context)) { wg.Go(func() { f(loopCtx) }) }
	failed := make(chan error, len(servers)+1)
	for _, s := range servers {
		run(func(context.Context) {
			if err := s.serve(); err != nil && !errors.Is(err, http.ErrServerClosed) {
				failed <- err
			}
		})
	}
	run(func(ctx context.Context) {
		if err := n.gossip.Run(ctx); err != nil && ctx.Err() == nil {
			failed <- err
		}
	})
	for _, loop := range []func(context.Context){
		n.targets.Run, n.targetLoop, n.memberLoop, n.rebuildLoop, n.moveLoop, n.startupLoop, n.fallbackLoop, n.reportLoop, n.vetoLoop, n.revocationLoop, n.guiltyLoop, n.guilty.Run,
	} {
		run(loop)
	}
	n.log.Info().Str("data_centre", string(n.settings.DataCentre)).Str("callers", n.settings.CallerAddress.String()).Msg("node started")
	select {
	case <-ctx.Done():
	case err = <-failed:
		n.log.Error().Err(err).Msg("node failed")
	}
	n.stop(servers)
	stopLoops()
	wg.Wait()
	n.log.Info().Msg("node stopped")
	return err
}

// startupLoop establishes the floor and then polls the head.
func (n *Node) startupLoop(ctx context.Context) {
	if n.establishFloor(ctx) != nil {
		return
	}
	n.startServing()
	n.log.Info().Str("version", n.activeVersion().String()).Msg("floor known")
	n.pollLoop(ctx)
}

// stop announces that the node is leaving, drains calls in flight until the
// drain timeout and closes the listeners.
func (n *Node) stop(servers []*server) {
	n.log.Info().Int("in_flight", n.proxy.InFlight()).Msg("node stops")
	n.draining.Store(true)
	n.members.UpdateSelf(func(h *membership.Host) { h.Status = membership.StatusLeaving })
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.DrainTimeout)
	defer cancel()
	if err := n.proxy.Drain(ctx); err != nil {
		n.count("drain.cut")
		n.log.Error().Err(err).Msg("calls were cut at the drain timeout")
	}
	for _, s := range servers {
		s.stop(ctx)
	}
	n.members.UpdateSelf(func(h *membership.Host) { h.Status = membership.StatusLeft })
	n.writeMember(ctx)
	// Leaves time for one gossip round with the last record.
	sleep(ctx, finalGossipTime)
}

// finalGossipTime is how long a stopping node keeps its links open after the
// last change of its record.
const finalGossipTime = 200 * time.Millisecond

// Ready reports whether the node accepts calls.
func (n *Node) Ready() bool {
	return n.floorKnown.Load() && !n.draining.Load() && n.active.Load() != nil
}

// liveHosts returns the hosts with status alive in this node's data centre.
func (n *Node) liveHosts() []mesh.HostID {
	return n.liveHostsWhere(func(h *membership.Host) bool { return h.DataCentre == n.settings.DataCentre })
}

// liveMeshHosts returns the hosts with status alive in all data centres.
func (n *Node) liveMeshHosts() []mesh.HostID {
	return n.liveHostsWhere(func(*membership.Host) bool { return true })
}

func (n *Node) liveHostsWhere(match func(*membership.Host) bool) []mesh.HostID {
	var ids []mesh.HostID
	for _, h := range n.members.Hosts() {
		if h.Status == membership.StatusAlive && match(&h) {
			ids = append(ids, h.ID)
		}
	}
	return ids
}

func (n *Node) logGossipFault(f distribution.Fault, peer mesh.HostID, err error) {
	n.log.Warn().Str("fault", string(f)).Str("peer", string(peer)).Err(err).Msg("link fault")
}

func (n *Node) recordLateFault(id mesh.MoveID, evidence string) {
	n.count("moves.late_fault")
	n.log.Warn().Str("move", string(id)).Str("evidence", evidence).Msg("version fails after its watch period")
}

func (n *Node) callURL(h *membership.Host) string { return "https://" + h.CallAddress }
