package node

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/move"
)

const (
	controlTimeout    = time.Second
	gatherConcurrency = 32
	// gatherAttempts is how many hosts of a data centre are asked to gather its
	// states before the data centre is treated as unreachable.
	gatherAttempts = 3
)

// ownState returns this host's confirmation.
func (n *Node) ownState() hostState {
	s := hostState{Host: n.settings.Host}
	if snap := n.active.Load(); snap != nil {
		s.Version = snap.Version
	}
	for _, m := range n.moves.Moves() {
		s.Moves = append(s.Moves, moveState{Move: m.Move, Share: m.Share})
	}
	return s
}

// gatherHosts requests the states of the given hosts and omits hosts that do not
// answer.
func (n *Node) gatherHosts(ctx context.Context, hosts []membership.Host) []hostState {
	return gatherStates(hosts, func(h *membership.Host) (hostState, bool) {
		if h.ID == n.settings.Host {
			return n.ownState(), true
		}
		ctx, cancel := context.WithTimeout(ctx, controlTimeout)
		defer cancel()
		var s hostState
		err := n.sendControl(ctx, h, http.MethodGet, pathState, nil, &s)
		if err != nil {
			n.log.Debug().Err(err).Str("peer", string(h.ID)).Msg("host did not confirm")
		}
		return s, err == nil
	})
}

// gatherStates calls request for each host, for several at once, and returns the
// states that it got.
func gatherStates(hosts []membership.Host, request func(*membership.Host) (hostState, bool)) []hostState {
	var mu sync.Mutex
	states := make([]hostState, 0, len(hosts))
	var g errgroup.Group
	g.SetLimit(gatherConcurrency)
	for i := range hosts {
		g.Go(func() error {
			s, ok := request(&hosts[i])
			if !ok {
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			states = append(states, s)
			return nil
		})
	}
	_ = g.Wait() // the functions return no error
	return states
}

// gatherLocal gathers the states of this node's data centre.
func (n *Node) gatherLocal(ctx context.Context) dataCentreState {
	hosts := n.expectedHosts(n.settings.DataCentre)
	s := dataCentreState{States: n.gatherHosts(ctx, hosts)}
	for _, h := range hosts {
		s.Members = append(s.Members, h.ID)
	}
	return s
}

// meshState is the state of the whole mesh as gathered by the report writer.
type meshState struct {
	members     []move.Member
	states      map[mesh.HostID]hostState
	unreachable []mesh.DataCentre // data centres without an answering host
}

// gatherMesh asks one host of each data centre to gather the states there, so
// that the report writer needs one connection per data centre instead of one
// per host. Which hosts have failed is best detected within their own data
// centre. A data centre in which no host answers is reported as unreachable, not
// as failed.
func (n *Node) gatherMesh(ctx context.Context) meshState {
	var mu sync.Mutex
	all := meshState{states: map[mesh.HostID]hostState{}}
	var g errgroup.Group
	g.SetLimit(gatherConcurrency)
	for _, dc := range n.dataCentres() {
		g.Go(func() error {
			s, ok := n.gatherDataCentre(ctx, dc)
			mu.Lock()
			defer mu.Unlock()
			if !ok {
				all.unreachable = append(all.unreachable, dc)
			}
			for _, id := range s.Members {
				all.members = append(all.members, move.Member{ID: id, DataCentre: dc})
			}
			for _, st := range s.States {
				all.states[st.Host] = st
			}
			return nil
		})
	}
	_ = g.Wait() // the functions return no error
	return all
}

func (n *Node) gatherDataCentre(ctx context.Context, dc mesh.DataCentre) (s dataCentreState, ok bool) {
	if dc == n.settings.DataCentre {
		return n.gatherLocal(ctx), true
	}
	hosts := n.expectedHosts(dc)
	n.rngMu.Lock()
	n.rng.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	n.rngMu.Unlock()
	for i := range hosts[:min(gatherAttempts, len(hosts))] {
		ctx, cancel := context.WithTimeout(ctx, 2*controlTimeout)
		err := n.sendControl(ctx, &hosts[i], http.MethodGet, pathDataCentre, nil, &s)
		cancel()
		if err == nil {
			return s, true
		}
	}
	return dataCentreState{}, false
}

// expectedHosts returns the hosts of a data centre that must confirm: all except
// those that have failed or left.
func (n *Node) expectedHosts(dc mesh.DataCentre) []membership.Host {
	return slices.DeleteFunc(slices.Clone(n.members.Hosts()), func(h membership.Host) bool {
		return h.DataCentre != dc || h.Status >= membership.StatusFailed
	})
}

// dataCentres returns all known data centres. A data centre whose hosts have all
// failed, or of which only rows are known, is included while their records are kept,
// because it may be partitioned for hours and continue to serve calls.
func (n *Node) dataCentres() []mesh.DataCentre {
	dcs := n.gossip.UnconfirmedDataCentres()
	for _, h := range slices.Concat(n.members.Hosts(), n.members.FailedHosts()) {
		dcs = append(dcs, h.DataCentre)
	}
	slices.SortFunc(dcs, func(a, b mesh.DataCentre) int { return cmp.Compare(a, b) })
	return slices.Compact(dcs)
}
