package node

import (
	"context"

	"nutmeghoist.example/nutmeghoist/internal/announce"
	"nutmeghoist.example/nutmeghoist/internal/peer"
	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

func (n *Node) peerConfig() peer.Config {
	return peer.Config{Keys: n.keys, Listen: n.settings.PeerAddress.String()}
}

func (n *Node) announceConfig() announce.Config {
	return announce.Config{
		OnChange: func() { notify(n.targetsChanged) },
		OnProbe:  func(id mesh.TargetID, healthy bool) { n.proxy.ReportHealth(id, healthy) },
		Metrics:  n.metrics, Log: n.log,
	}
}

// targetLoop copies the local targets into this host's record. It runs in a
// goroutine of its own because the registry holds its lock when it reports a
// change.
func (n *Node) targetLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.targetsChanged:
			targets := n.targets.Targets()
			n.members.UpdateSelf(func(h *membership.Host) { h.Targets = targets })
		}
	}
}
