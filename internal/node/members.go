package node

import (
	"context"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/membership"
)

const (
	// memberRenewal is the mean period in which a host renews its row. At 2,200
	// hosts it makes 37 writes a second of the several hundred that the table takes.
	memberRenewal = 60 * time.Second
	// memberRetry bounds the jittered pause after a failed renewal.
	memberRetry = 10 * time.Second
	// joinInterval is the mean period in which a host without links reads the
	// rows of the others again.
	joinInterval = 3 * time.Second
)

// memberLoop renews this host's row, by which hosts find one another, and reads
// the others' rows at start and while the host has no links.
func (n *Node) memberLoop(ctx context.Context) {
	renewAt := time.Now()
	for {
		if !time.Now().Before(renewAt) {
			if n.writeMember(ctx) {
				renewAt = time.Now().Add(memberRenewal/2 + n.jitter(memberRenewal))
			} else {
				renewAt = time.Now().Add(n.jitter(memberRetry))
			}
		}
		if n.gossip.LinkCount() == 0 {
			n.readMembers(ctx)
		}
		if !sleep(ctx, joinInterval/2+n.jitter(joinInterval)) {
			return
		}
	}
}

func (n *Node) writeMember(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, floorTimeout)
	defer cancel()
	h := n.members.Self()
	h.Targets = nil // spread by the gossip only; they change too often for the table
	if err := n.source.PutMember(ctx, h); err != nil {
		n.count("member.renewal_failed")
		n.log.Debug().Err(err).Msg("host row not renewed")
		return false
	}
	return true
}

func (n *Node) readMembers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, floorTimeout)
	defer cancel()
	hosts, err := n.source.Members(ctx)
	if err != nil {
		n.count("member.listing_failed")
		n.log.Debug().Err(err).Msg("host rows not read")
	}
	// Rows say where hosts are, not how they are: only links tell that.
	known := hosts[:0]
	for _, h := range hosts {
		if h.Status == membership.StatusAlive {
			known = append(known, h)
		}
	}
	n.members.Merge(known)
}

// vetoLoop stores the vetoes that this host decided until each has its row.
func (n *Node) vetoLoop(ctx context.Context) {
	for sleep(ctx, time.Second+n.jitter(time.Second)) {
		for _, v := range n.gossip.Vetoes() {
			if v.Host == n.settings.Host && !n.storeVeto(ctx, v) {
				break
			}
		}
	}
}
