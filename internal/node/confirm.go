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
	confirmTimeout     = time.Second
	confirmConcurrency = 32
	// gatherTries is how many hosts of a data centre are asked to gather its
	// states before the data centre counts as out of reach.
	gatherTries = 3
)

// ownState is what this host confirms.
func (n *Node) ownState() hostState {
	s := hostState{Host: n.settings.Host}
	if snap := n.holder.Load(); snap != nil {
		s.Version = snap.Version
	}
	for _, m := range n.moves.Moves() {
		s.Moves = append(s.Moves, moveState{Move: m.Move, Share: m.Share})
	}
	return s
}

// gatherHosts asks the given hosts for their states; a host that does not
// answer is left out.
func (n *Node) gatherHosts(ctx context.Context, hosts []membership.Host) []hostState {
	var mu sync.Mutex
	states := make([]hostState, 0, len(hosts))
	var g errgroup.Group
	g.SetLimit(confirmConcurrency)
	for i := range hosts {
		h := &hosts[i]
		if h.ID == n.settings.Host {
			states = append(states, n.ownState())
			continue
		}
		g.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
			defer cancel()
			var s hostState
			if err := n.control(ctx, h, http.MethodGet, pathState, nil, &s); err != nil {
				n.log.Debug().Err(err).Str("peer", string(h.ID)).Msg("host did not confirm")
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

// gatherHere gathers the states of the own data centre.
func (n *Node) gatherHere(ctx context.Context) dataCentreState {
	hosts := n.hostsOf(n.settings.DataCentre)
	s := dataCentreState{States: n.gatherHosts(ctx, hosts)}
	for _, h := range hosts {
		s.Members = append(s.Members, h.ID)
	}
	return s
}

// meshState is the whole mesh as the report writer sees it.
type meshState struct {
	members     []move.Member
	states      map[mesh.HostID]hostState
	unreachable []mesh.DataCentre // no host there answered
}

// gatherMesh asks one host of each data centre to gather the states there, so
// that the report writer needs one connection for each data centre and not one
// for each host. The hosts of a data centre know best which of them have
// failed; a data centre of which no host answers is out of reach, not gone.
func (n *Node) gatherMesh(ctx context.Context) meshState {
	var mu sync.Mutex
	all := meshState{states: map[mesh.HostID]hostState{}}
	var g errgroup.Group
	g.SetLimit(confirmConcurrency)
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
		return n.gatherHere(ctx), true
	}
	hosts := n.hostsOf(dc)
	n.rngMu.Lock()
	n.rng.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	n.rngMu.Unlock()
	for i := range hosts[:min(gatherTries, len(hosts))] {
		ctx, cancel := context.WithTimeout(ctx, 2*confirmTimeout)
		err := n.control(ctx, &hosts[i], http.MethodGet, pathDataCentre, nil, &s)
		cancel()
		if err == nil {
			return s, true
		}
	}
	return dataCentreState{}, false
}

// hostsOf returns the hosts of a data centre that must confirm: all that are
// not known to have stopped.
func (n *Node) hostsOf(dc mesh.DataCentre) []membership.Host {
	return slices.DeleteFunc(n.members.Hosts(), func(h membership.Host) bool {
		return h.DataCentre != dc || h.Status >= membership.StatusFailed
	})
}

// dataCentres returns all data centres that are known. One whose hosts have all
// failed counts as long as their records are kept: it may be cut off for hours
// and go on serving.
func (n *Node) dataCentres() []mesh.DataCentre {
	var dcs []mesh.DataCentre
	for _, h := range slices.Concat(n.members.Hosts(), n.members.FailedHosts()) {
		dcs = append(dcs, h.DataCentre)
	}
	slices.SortFunc(dcs, func(a, b mesh.DataCentre) int { return cmp.Compare(a, b) })
	return slices.Compact(dcs)
}
