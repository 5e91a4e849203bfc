package cluster

import (
	"context"
	"errors"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"

	"nutmeghoist.example/nutmeghoist/pkg/platform"
	"nutmeghoist.example/nutmeghoist/pkg/rules"
	"nutmeghoist.example/nutmeghoist/pkg/source"
	adapter "nutmeghoist.example/nutmeghoist/platform"
)

// Source returns a source that reads and accepts configurations at the platform
// directly, without the relay.
func (c *Cluster) Source() *source.Source {
	client := adapter.NewStore(c.PlatformURL(), metrics.NewRegistry())
	return source.New(client, client.Objects())
}

// Accept accepts a rules text as the next revision, without the checks that need
// a node.
func (c *Cluster) Accept(ctx context.Context, text string) (source.Head, error) {
	s := c.Source()
	base, err := s.Head(ctx)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return base, err
	}
	file, findings := rules.Parse("rules", []byte(text))
	if err := findings.Err(); err != nil {
		return base, err
	}
	sub := source.Submission{Text: []byte(text), Base: base, Author: "bench", Token: uuid.NewString()}
	for i := range file.Rules {
		if r := &file.Rules[i]; r.IsMove() {
			sub.Moves = append(sub.Moves, source.PendingMove{Move: r.MoveID(), By: r.By})
		}
	}
	return s.Accept(ctx, sub)
}

// InForce reports whether a revision or a newer one is in force on the given
// nodes.
func (c *Cluster) InForce(ctx context.Context, revision uint64, nodes []*Node) bool {
	for _, n := range nodes {
		s, err := n.Status(ctx)
		if err != nil || s.Version.Revision < revision {
			return false
		}
	}
	return true
}

// AllTargetsReady reports whether all running nodes list all targets as ready.
func (c *Cluster) AllTargetsReady(ctx context.Context) bool {
	for _, n := range c.Nodes {
		if !n.Running() {
			continue
		}
		s, err := n.Status(ctx)
		if err != nil || countReadyTargets(s.Hosts) != len(c.Targets) {
			return false
		}
	}
	return true
}
