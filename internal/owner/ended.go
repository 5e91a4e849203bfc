package owner

import (
	"context"
	"sync"
	"time"

	"nutmeghoist.example/nutmeghoist/internal/hop"
	"nutmeghoist.example/nutmeghoist/pkg/suspect"
)

// keyOf returns the key that a call shares with all calls of the same request.
func keyOf(r *hop.Request) suspect.Key {
	q := suspect.Request{Method: r.Method, Host: r.Host, URI: r.URI, Caller: string(r.Caller), Body: r.Body}
	return q.Key()
}

// endCheck finds out whether a target has ended, when the connection of a call to it
// has broken. The calls that break together share one check.
type endCheck struct {
	mu    sync.Mutex
	ended bool
}

// checkEnded reports whether the target's process has ended: nothing listens at its
// address any more.
func (o *Owner) checkEnded(ctx context.Context, t *target) bool {
	t.end.mu.Lock()
	defer t.end.mu.Unlock()
	if t.end.ended || t.client.Listening(ctx) {
		return t.end.ended
	}
	t.end.ended = true
	load := t.limiter.Load()
	o.count("targets.ended")
	o.cfg.Log.Warn().Str("target", string(t.ID)).Str("service", string(t.Service)).Int("in_flight", load.InFlight).
		Dur("age", time.Since(time.UnixMilli(t.Started))).Msg("target ended")
	return true
}
