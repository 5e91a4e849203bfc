package node

import (
	"context"
	"errors"
	"fmt"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/distribution"
	"nutmeghoist.example/nutmeghoist/pkg/platform"
	"nutmeghoist.example/nutmeghoist/pkg/snapshot"
	"nutmeghoist.example/nutmeghoist/pkg/source"
)

const (
	// floorTimeout is the timeout of each step of establishing the floor, of a
	// fallback, of a poll of the head and of reading or writing host rows.
	floorTimeout = 3 * time.Second
	// maxStartupRetryDelay is the upper bound of the random delay between
	// attempts to establish the floor or to read an earlier revision. Full jitter
	// spreads the requests of nodes that start at the same time.
	maxStartupRetryDelay = 2 * time.Second
)

// establishFloor obtains the lowest version that this node may serve from the
// platform and from its neighbours. It retries until one of them has answered
// or the context ends.
func (n *Node) establishFloor(ctx context.Context) error {
	for {
		err := n.tryEstablishFloor(ctx)
		if err == nil || ctx.Err() != nil {
			return ctx.Err()
		}
		n.count("floor.attempt_failed")
		n.log.Warn().Err(err).Msg("floor not known yet")
		if !sleep(ctx, n.jitter(maxStartupRetryDelay)) {
			return ctx.Err()
		}
	}
}

// tryEstablishFloor queries the neighbours and the platform concurrently, each
// with its own timeout: on a host without neighbours, such as the first one of a
// mesh, the query of the neighbours times out, and the host must still read the
// platform's head.
func (n *Node) tryEstablishFloor(ctx context.Context) error {
	var head source.Head
	var headErr error
	headRead := make(chan struct{})
	go func() {
		defer close(headRead)
		headErr = withTimeout(ctx, floorTimeout, func(ctx context.Context) (err error) {
			head, err = n.source.Head(ctx)
			return err
		})
	}()
	var floor distribution.VersionFloor
	floorErr := withTimeout(ctx, floorTimeout, func(ctx context.Context) (err error) {
		floor, err = n.gossip.QueryFloor(ctx)
		return err
	})
	<-headRead
	if floorErr == nil {
		// Set the floor before adopting a head: the platform may return an older one.
		n.active.SetFloor(floor.Version)
		n.awaitHead(ctx, floor.Head.Revision)
	}
	switch {
	case headErr == nil:
		if err := withTimeout(ctx, floorTimeout, func(ctx context.Context) error { return n.adoptHead(ctx, head) }); err != nil {
			return err
		}
		if err := withTimeout(ctx, floorTimeout, n.loadVetoes); err != nil {
			return err
		}
	case errors.Is(headErr, platform.ErrNotFound):
		n.log.Info().Msg("no configuration has been accepted yet")
	case floorErr == nil:
		n.count("floor.from_neighbours")
		n.log.Warn().Err(headErr).Str("floor", floor.Version.String()).Msg("platform out of reach, floor taken from neighbours")
	default:
		return fmt.Errorf("neither the platform (%w) nor a neighbour (%w) answered", headErr, floorErr)
	}
	return nil
}

// awaitHead waits until the gossip has delivered the head that the neighbours
// reported, with its text. This host may have had that head in force before it
// restarted, even if no neighbour has.
func (n *Node) awaitHead(ctx context.Context, revision uint64) {
	ctx, cancel := context.WithTimeout(ctx, floorTimeout)
	defer cancel()
	for {
		if head, _, ok := n.gossip.Head(); revision == 0 || ok && head.Revision >= revision {
			return
		}
		if !sleep(ctx, headCheckInterval) {
			n.count("floor.head_missing")
			return
		}
	}
}

// headCheckInterval is how often awaitHead checks whether the head has arrived.
const headCheckInterval = 20 * time.Millisecond

// fallbackLoop tries earlier revisions, from new to old, when the newest one is
// bad and none is in force, as on a host that restarts after a bad revision.
func (n *Node) fallbackLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case base := <-n.fallback:
			for !n.tryFallback(ctx, base) {
				n.count("floor.base_missing")
				if !sleep(ctx, n.jitter(maxStartupRetryDelay)) {
					return
				}
			}
		}
	}
}

// tryFallback fetches an older revision and checks it. It returns false if the
// revision or its text could not be read.
func (n *Node) tryFallback(ctx context.Context, revision uint64) bool {
	if revision == 0 || n.active.Load() != nil {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, floorTimeout)
	defer cancel()
	head, err := n.source.Revision(ctx, revision)
	if err != nil {
		return false
	}
	text, err := n.source.Text(ctx, head.Hash)
	if err != nil {
		return false
	}
	n.configMu.Lock()
	defer n.configMu.Unlock()
	if n.accepted == nil {
		n.fire(&candidate{head: head, text: text}, snapshot.EventHeadSeen)
	}
	return true
}

// withTimeout calls f with a context that expires after d.
func withTimeout(ctx context.Context, d time.Duration, f func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	return f(ctx)
}
