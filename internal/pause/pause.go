// Package pause defines a sleep that ends early if a context is done.
package pause

import (
	"context"
	"time"
)

// For sleeps for d or until ctx is done, and reports whether it slept for d.
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
