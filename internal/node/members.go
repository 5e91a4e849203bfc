package node

import (
	"context"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/distribution"
	"nutmeghoist.example/nutmeghoist/pkg/membership"
)

const (
	// memberRenewal is the mean period at which a host renews its row. 2,200 hosts
	// then write 37 rows a second of the several hundred that the table supports.
	memberRenewal = 60 * time.Second
	// memberRetry is the upper bound of the random delay after a failed renewal.
	memberRetry = 10 * time.Second
	// joinInterval is the mean period at which a host without links rereads the
	// rows of the other hosts.
	joinInterval = 3 * time.Second
)

// memberLoop renews this host's row, through which hosts discover one another,
// and reads the rows of the other hosts at start and while this host has no
// links.
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
	h.Targets = nil // disseminated by gossip only; they change too often for the table
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
	// After an error, hosts contains the rows that could be decoded. The rows are
	// used only for the addresses of hosts: whether one is alive shows when it answers.
	// The row of this host tells of its earlier process.
	var candidates []distribution.Candidate
	for _, h := range hosts {
		switch {
		case h.Status != membership.StatusAlive:
		case h.ID == n.settings.Host:
			n.members.Merge([]membership.Host{h})
		default:
			candidates = append(candidates, distribution.Candidate{Host: h})
		}
	}
	n.gossip.Discover(candidates)
}

// knowsHosts reports whether this host has looked for all hosts that the rows name. Until
// then it cannot tell which ones have to confirm a report.
func (n *Node) knowsHosts() bool {
	pending, _ := n.gossip.SearchState()
	return pending == 0
}

// vetoLoop stores the vetoes issued by this host and retries until each has its
// row.
func (n *Node) vetoLoop(ctx context.Context) {
	for sleep(ctx, time.Second+n.jitter(time.Second)) {
		for _, v := range n.gossip.Vetoes() {
			if v.Host == n.settings.Host && !n.storeVeto(ctx, v) {
				break
			}
		}
	}
}
