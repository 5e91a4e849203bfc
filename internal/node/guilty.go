package node

import (
	"context"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/pause"
)

const (
	// guiltyPrefix begins the keys of the rows of requests that end targets.
	guiltyPrefix = "suspect/"
	// maxGuiltyRows bounds the rows that are read at the start.
	maxGuiltyRows  = 500
	guiltyReadWait = time.Second // between attempts to read the rows
)

// guiltyLoop reads which requests end targets from the platform, once it answers. A host
// that has neighbours learns it from them as well.
func (n *Node) guiltyLoop(ctx context.Context) {
	for {
		rows, err := n.table.List(ctx, guiltyPrefix, "", maxGuiltyRows)
		if err == nil {
			n.gossip.SpreadSuspects(n.guilty.Load(rows))
			return
		}
		if !pause.For(ctx, guiltyReadWait) {
			return
		}
	}
}
