package relay

import "sync"

// The bounds of retries, so that retries cannot multiply an overload.
const (
	retryRatio = 0.2 // retries per request
	retryBurst = 20.0
)

// A Budget bounds the retries of a VM to a part of its requests. It is safe for
// concurrent use.
type Budget struct {
	mu    sync.Mutex
	level float64
}

// NewBudget returns a full budget.
func NewBudget() *Budget { return &Budget{level: retryBurst} }

// Request counts a request, which earns a part of a retry.
func (b *Budget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.level = min(retryBurst, b.level+retryRatio)
}

// Retry takes one retry and reports whether there was one.
func (b *Budget) Retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}
