// Package order defines the policies that choose which adapter an endpoint
// loads next.
package order

import (
	"time"

	"knapweedplank.org/plank"
)

// FIFO loads the model whose first request came first. It is the baseline.
type FIFO struct{}

var _ plank.LoadOrder = FIFO{}

// Name implements plank.LoadOrder.
func (FIFO) Name() string { return "fifo" }

// Next implements plank.LoadOrder.
func (FIFO) Next(wants []plank.PendingLoad, _ time.Time) int {
	best := -1
	for i := range wants {
		if best < 0 || wants[i].Since.Before(wants[best].Since) {
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
func (Deadline) Next(wants []plank.PendingLoad, _ time.Time) int {
	best := -1
	for i := range wants {
		if best < 0 || wants[i].Earliest.Before(wants[best].Earliest) {
			best = i
		}
	}
	return best
}

// HighestValue loads the model that frees the most requests for the time they have
// left. A model whose requests have hardly any time left sorts last, because
// its load would come too late and delay the others.
type HighestValue struct{}

var _ plank.LoadOrder = HighestValue{}

// loadTime is about what one load takes.
const loadTime = 250 * time.Millisecond

// Name implements plank.LoadOrder.
func (HighestValue) Name() string { return "value" }

// Next implements plank.LoadOrder.
func (HighestValue) Next(wants []plank.PendingLoad, now time.Time) int {
	best := -1
	highest := 0.0
	for i := range wants {
		left := wants[i].Earliest.Sub(now)
		score := float64(wants[i].Waiting) / max(left.Seconds(), loadTime.Seconds())
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
