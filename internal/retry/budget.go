// Package retry defines how retries are bounded to a part of the requests, so
// that they cannot multiply an overload.
package retry

import "sync"

// A Budget bounds the retries of a VM. It is safe for concurrent use.
type Budget struct {
	ratio float64 // retries that a request earns

	mu    sync.Mutex
	burst float64 // retries that can be saved up
	level float64
}

// New returns a full budget.
func New(ratio, burst float64) *Budget { return &Budget{ratio: ratio, burst: burst, level: burst} }

// SetBurst changes how many retries can be saved up. What is saved is cut to
// it, but does not grow.
func (b *Budget) SetBurst(burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.burst = burst
	b.level = min(b.level, burst)
}

// Left returns the retries that are left.
func (b *Budget) Left() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.level
}

// AddRequest counts a request, which earns a part of a retry.
func (b *Budget) AddRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.level = min(b.burst, b.level+b.ratio)
}

// TakeRetry takes one retry and reports whether there was one.
func (b *Budget) TakeRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}
