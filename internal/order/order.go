// Package order defines the policies that choose which adapter an endpoint
// loads next.
package order

import (
	"time"

	"knapweedplank.org/plank"
)

// FIFO loads the model whose first request arrived first. It is the baseline.
type FIFO struct{}

var _ plank.LoadOrder = FIFO{}

// Name implements plank.LoadOrder.
func (FIFO) Name() string { return "fifo" }

// Next implements plank.LoadOrder.
func (FIFO) Next(pending []plank.PendingLoad, _ time.Time) int {
	best := -1
	for i := range pending {
		if best < 0 || pending[i].Since.Before(pending[best].Since) {
			best = i
		}
	}
	return best
}

// Deadline loads the model with the earliest deadline among its requests.
type Deadline struct{}

var _ plank.LoadOrder = Deadline{}

// Name implements plank.LoadOrder.
func (Deadline) Name() string { return "deadline" }

// Next implements plank.LoadOrder.
func (Deadline) Next(pending []plank.PendingLoad, _ time.Time) int {
	best := -1
	for i := range pending {
		if best < 0 || pending[i].Earliest.Before(pending[best].Earliest) {
			best = i
		}
	}
	return best
}

// HighestValue loads the model with the most waiting requests per second left until
// the earliest of their deadlines. A model with less time left than a load takes
// comes last, because its load would end too late and delay the others.
type HighestValue struct{}

var _ plank.LoadOrder = HighestValue{}

// loadTime is the approximate duration of a load.
const loadTime = 250 * time.Millisecond

// Name implements plank.LoadOrder.
func (HighestValue) Name() string { return "value" }

// Next implements plank.LoadOrder.
func (HighestValue) Next(pending []plank.PendingLoad, now time.Time) int {
	best := -1
	highest := 0.0
	for i := range pending {
		left := pending[i].Earliest.Sub(now)
		score := float64(pending[i].Waiting) / max(left.Seconds(), loadTime.Seconds())
		if left < loadTime {
			score = 0
		}
		if best < 0 || score > highest {
			best = i
			highest = score
		}
	}
	return best
}
