package node

import (
	"context"
	"time"
)

// revocationInterval is the time between two reads of the revocation lists.
const revocationInterval = 2 * time.Second

// revocationLoop puts changed revocation lists in force. Lists that cannot be used
// leave those in force, and are reported once.
func (n *Node) revocationLoop(ctx context.Context) {
	reported := ""
	for sleep(ctx, revocationInterval) {
		changed, err := n.keys.ReloadRevocations()
		if err == nil {
			reported = ""
		} else if err.Error() != reported {
			reported = err.Error()
			n.count("keys.crl_rejected")
			n.log.Error().Err(err).Msg("revocation lists not used")
		}
		if changed {
			n.transport.CloseRevoked()
			n.log.Info().Int("certificates", n.keys.RevokedCount()).Msg("revocation lists in force")
		}
	}
}
