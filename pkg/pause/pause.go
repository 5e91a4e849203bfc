// Package pause waits.
package pause

import (
	"context"
	"time"
)

// For waits for a time and reports whether the context is still live.
func For(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
