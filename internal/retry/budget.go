// Package retry limits retries to a fraction of the requests, so that they do not
// amplify an overload.
package retry

import "sync"

// A Budget limits the retries of a VM. It is safe for concurrent use.
type Budget struct {
	ratio float64 // retries added by each request

	mu    sync.Mutex
	burst float64 // most retries available at once
	level float64 // retries available
}

// New returns a full budget. Each request adds ratio retries, up to burst.
func New(ratio, burst float64) *Budget { return &Budget{ratio: ratio, burst: burst, level: burst} }

// SetBurst changes the most retries that can be available at once. It lowers the
// available retries to burst, but does not raise them.
func (b *Budget) SetBurst(burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.burst = burst
	b.level = min(b.level, burst)
}

// Left returns the available retries.
func (b *Budget) Left() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.level
}

// AddRequest counts a request, which adds a fraction of a retry.
func (b *Budget) AddRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.level = min(b.burst, b.level+b.ratio)
}

// TakeRetry uses one retry and reports whether one was available.
func (b *Budget) TakeRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}
