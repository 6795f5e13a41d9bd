// Package order defines policies that choose which adapter an endpoint loads next.
package order

import (
	"time"

	"knapweedplank.org/plank"
)

// FIFO loads the model whose first waiting request arrived first. It is the baseline
// for comparisons.
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

// Deadline loads the model whose waiting requests have the earliest deadline.
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

// HighestValue loads the model with the most waiting requests in relation to the
// time left until their earliest deadline. If less time than one load is left, the
// model comes last, because its load would end too late and delay the others.
type HighestValue struct{}

var _ plank.LoadOrder = HighestValue{}

// typicalLoadTime is the approximate time that one load takes.
const typicalLoadTime = 250 * time.Millisecond

// Name implements plank.LoadOrder.
func (HighestValue) Name() string { return "value" }

// Next implements plank.LoadOrder.
func (HighestValue) Next(pending []plank.PendingLoad, now time.Time) int {
	best := -1
	highest := 0.0
	for i := range pending {
		timeLeft := pending[i].Earliest.Sub(now)
		value := float64(pending[i].Waiting) / max(timeLeft.Seconds(), typicalLoadTime.Seconds())
		if timeLeft < typicalLoadTime {
			value = 0
		}
		if best < 0 || value > highest {
			best = i
			highest = value
		}
	}
	return best
}
