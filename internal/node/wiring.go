package node

import (
	"nutmeghoist.example/nutmeghoist/internal/announce"
	"nutmeghoist.example/nutmeghoist/internal/peer"
	"nutmeghoist.example/nutmeghoist/pkg/membership"
)

func (n *Node) peerConfig() peer.Config {
	return peer.Config{Keys: n.keys, Listen: n.settings.PeerAddress.String()}
}

func (n *Node) announceConfig() announce.Config {
	return announce.Config{
		OnChange: func() {
			targets := n.targets.Targets()
			n.members.UpdateSelf(func(h *membership.Host) { h.Targets = targets })
		},
		Metrics: n.metrics, Log: n.log,
	}
}
