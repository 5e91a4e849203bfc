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
	// floorTimeout bounds each request of an attempt to learn the floor at start.
	floorTimeout = 3 * time.Second
	// startBackoffMax bounds the pause between attempts; the pause is drawn
	// uniformly below it, so that a herd of starting nodes spreads out.
	startBackoffMax = 2 * time.Second
)

// establishFloor learns the lowest version that this node may serve, from the
// platform and from its neighbours, and returns when one of them has answered.
func (n *Node) establishFloor(ctx context.Context) error {
	for {
		err := n.tryFloor(ctx)
		if err == nil || ctx.Err() != nil {
			return ctx.Err()
		}
		n.count("floor.attempt_failed")
		n.log.Warn().Err(err).Msg("floor not known yet")
		if !sleep(ctx, n.jitter(startBackoffMax)) {
			return ctx.Err()
		}
	}
}

// tryFloor asks the neighbours and the platform at the same time, each within a
// time of its own: a host without neighbours, such as the first one of a mesh,
// waits for them in vain and must still learn the platform's head.
func (n *Node) tryFloor(ctx context.Context) error {
	var head source.Head
	var headErr error
	read := make(chan struct{})
	go func() {
		defer close(read)
		headErr = within(ctx, floorTimeout, func(ctx context.Context) (err error) {
			head, err = n.source.Head(ctx)
			return err
		})
	}()
	var peers distribution.VersionFloor
	peersErr := within(ctx, floorTimeout, func(ctx context.Context) (err error) {
		peers, err = n.gossip.QueryFloor(ctx)
		return err
	})
	<-read
	if peersErr == nil {
		// Before anything is adopted: the platform may answer with an older head.
		n.holder.SetFloor(peers.Version)
		n.awaitHead(ctx, peers.Head.Revision)
	}
	switch {
	case headErr == nil:
		if err := within(ctx, floorTimeout, func(ctx context.Context) error { return n.adopt(ctx, head) }); err != nil {
			return err
		}
		if err := within(ctx, floorTimeout, n.loadVetoes); err != nil {
			return err
		}
	case errors.Is(headErr, platform.ErrNotFound):
		n.log.Info().Msg("no configuration has been accepted yet")
	case peersErr == nil:
		n.count("floor.from_neighbours")
		n.log.Warn().Err(headErr).Str("floor", peers.Version.String()).Msg("platform out of reach, floor taken from neighbours")
	default:
		return fmt.Errorf("neither the platform (%w) nor a neighbour (%w) answered", headErr, peersErr)
	}
	return nil
}

// awaitHead waits until the gossip has brought the text of a head that the
// neighbours know. This host may have had it in force although no neighbour has.
func (n *Node) awaitHead(ctx context.Context, revision uint64) {
	ctx, cancel := context.WithTimeout(ctx, floorTimeout)
	defer cancel()
	for {
		if head, _, ok := n.gossip.Head(); revision == 0 || ok && head.Revision >= revision {
			return
		}
		if !sleep(ctx, headPoll) {
			n.count("floor.head_missing")
			return
		}
	}
}

const headPoll = 20 * time.Millisecond

// fallBackLoop looks for the newest good revision when the newest one is bad
// and nothing is in force, as on a host that has restarted meanwhile.
func (n *Node) fallBackLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case base := <-n.fallBack:
			for !n.tryBase(ctx, base) {
				n.count("floor.base_missing")
				if !sleep(ctx, n.jitter(startBackoffMax)) {
					return
				}
			}
		}
	}
}

// tryBase fetches an older revision and gives it to the checks. It reports
// false when the platform did not answer.
func (n *Node) tryBase(ctx context.Context, revision uint64) bool {
	if revision == 0 || n.holder.Load() != nil {
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

// within calls f with a context that ends after d.
func within(ctx context.Context, d time.Duration, f func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	return f(ctx)
}
