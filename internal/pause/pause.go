// Package pause defines a sleep that a context ends.
package pause

import (
	"context"
	"time"
)

// For sleeps for d, or until ctx ends. It reports whether it slept to the end.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
